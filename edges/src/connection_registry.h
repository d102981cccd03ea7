#pragma once

#include "accept_gate.h"
#include "http_connection.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_set>
#include <vector>

namespace endiveusher::edges::internal {

/// Open connections of a server, and the thread that sends the rest of partly sent answers and
/// enforces timeouts, so that a slow caller does not block a server thread.
class connection_registry
{
public:
  /// aBudget may be null.
  explicit connection_registry(std::shared_ptr<memory_budget> aBudget);
  ~connection_registry();
  connection_registry(const connection_registry&) = delete;
  connection_registry& operator=(const connection_registry&) = delete;

  void add(std::shared_ptr<connection> aConnection);
  /// Appends the connections to aHolders.
  void appendTo(std::vector<std::shared_ptr<sheddable>>& aHolders) const;
  void remove(const std::shared_ptr<connection>& aConnection);
  /// Makes the thread visit all connections immediately.
  void wake() const;
  bool anyBusy() const;
  /// Gives all open requests the answer of a stop; returns their numbers, without mUnsent.
  stop_report answerStopped();
  /// Number of answers that are not completely sent.
  std::size_t countUnsent() const;
  bool containsSocket(int aSocket) const;
  /// Ends all connections and closes their sockets. Call only when nothing else uses the sockets.
  void closeAll();
  /// Controls whether connections are accepted; updated by the thread.
  accept_gate& gate() { return mGate; }
  /// Ends the thread.
  void stop();

private:
  std::vector<std::shared_ptr<connection>> snapshot() const;
  void run();

  const std::shared_ptr<memory_budget> mBudget;
  const int mWakeFd;
  accept_gate mGate;
  std::atomic<bool> mStopped = false;
  mutable std::mutex mMutex;
  std::unordered_set<std::shared_ptr<connection>> mConnections;
  std::thread mThread;
};

} // namespace endiveusher::edges::internal
