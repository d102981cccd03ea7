#pragma once

#include <chrono>
#include <optional>

namespace endiveusher::daemon {

/// What woke the main thread.
enum class wake_reason
{
  terminate, ///< SIGTERM or SIGINT.
  dump,      ///< SIGUSR1.
  reload,    ///< SIGHUP.
  stopped,   ///< notifyStopped() was called.
  deadline,
};

/// Waits for signals in the main thread. Create it before any other thread, because threads
/// inherit the blocked signals.
class signal_watch
{
public:
  signal_watch();
  ~signal_watch();
  signal_watch(const signal_watch&) = delete;
  signal_watch& operator=(const signal_watch&) = delete;

  /// Any thread.
  void notifyStopped();
  /// Waits without end if aDeadline is absent.
  wake_reason wait(std::optional<std::chrono::steady_clock::time_point> aDeadline);

private:
  int mSignalFd;
  int mStoppedFd;
};

} // namespace endiveusher::daemon
