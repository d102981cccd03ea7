#pragma once

#include "http_connection.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_set>
#include <vector>

namespace endiveusher::edges::internal {

/// The open connections of a server, and the thread that completes partly sent answers and enforces
/// time limits, so that a slow caller occupies no thread of the server.
class connection_registry
{
public:
  connection_registry();
  ~connection_registry();
  connection_registry(const connection_registry&) = delete;
  connection_registry& operator=(const connection_registry&) = delete;

  void add(std::shared_ptr<connection> aConnection);
  void remove(const std::shared_ptr<connection>& aConnection);
  /// Makes the thread look at all connections now.
  void wake() const;
  bool anyBusy() const;
  /// Ends all connections. Each stays here until its socket is closed.
  void closeAll();
  bool empty() const;
  /// Ends the thread.
  void stop();

private:
  std::vector<std::shared_ptr<connection>> snapshot() const;
  void run();

  const int mWakeSocket;
  std::atomic<bool> mStopped = false;
  mutable std::mutex mMutex;
  std::unordered_set<std::shared_ptr<connection>> mConnections;
  std::thread mThread;
};

} // namespace endiveusher::edges::internal
