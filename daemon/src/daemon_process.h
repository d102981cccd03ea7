#pragma once

#include "settings.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace endiveusher::daemon {

/// All threads of a daemon: the core, its clients, peer RPC and the HTTP server.
class daemon_process
{
public:
  /// aOnStopped is called on another thread at the end of a graceful shutdown (see
  /// core_thread_options). Error: UNAVAILABLE if an address cannot be listened on.
  static absl::StatusOr<std::unique_ptr<daemon_process>> start(
    const settings& aSettings, std::function<void(bool aComplete)> aOnStopped);
  /// Sends the answers already given, then stops all threads.
  ~daemon_process();
  daemon_process(const daemon_process&) = delete;
  daemon_process& operator=(const daemon_process&) = delete;

  // The functions below may be called only from the thread that called start().

  /// Begins a graceful shutdown.
  void shutDown();
  /// Writes the state of the core to stderr.
  void dumpState();
  /// Returns the numbers of pending calls, exchanges and platform requests as text.
  std::string describePending() const;

private:
  class impl;
  explicit daemon_process(std::unique_ptr<impl> aImpl);
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::daemon
