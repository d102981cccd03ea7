#pragma once

#include <chrono>
#include <optional>

namespace endiveusher::daemon {

/// Why signal_watch::wait() returned.
enum class wake_reason
{
  terminate, ///< SIGTERM or SIGINT.
  dump,      ///< SIGUSR1.
  reload,    ///< SIGHUP.
  stopped,   ///< notifyStopped() was called.
  deadline,  ///< The deadline passed.
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

  /// Makes wait() return wake_reason::stopped. May be called from any thread.
  void notifyStopped();
  /// Waits for a signal, notifyStopped() or aDeadline; without a time limit if it is absent.
  wake_reason wait(std::optional<std::chrono::steady_clock::time_point> aDeadline);

private:
  int mSignalFd;
  int mStoppedFd;
};

} // namespace endiveusher::daemon
