#include "signal_watch.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace endiveusher::daemon {

namespace {

/// Longest single poll(); wait() repeats it until the deadline.
constexpr std::int64_t kMaxPollMs = 60'000;

} // namespace

signal_watch::signal_watch()
{
  sigset_t watched;
  sigemptyset(&watched);
  for (const int number : { SIGTERM, SIGINT, SIGUSR1, SIGHUP }) {
    sigaddset(&watched, number);
  }
  pthread_sigmask(SIG_BLOCK, &watched, nullptr);
  // A write to a closed connection reports the error by its return value instead.
  std::signal(SIGPIPE, SIG_IGN);
  mSignalFd = signalfd(-1, &watched, SFD_CLOEXEC | SFD_NONBLOCK);
  mStoppedFd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
}

signal_watch::~signal_watch()
{
  close(mSignalFd);
  close(mStoppedFd);
}

void signal_watch::notifyStopped()
{
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = write(mStoppedFd, &one, sizeof(one));
}

wake_reason signal_watch::wait(std::optional<std::chrono::steady_clock::time_point> aDeadline)
{
  for (;;) {
    int timeoutMs = -1;
    if (aDeadline) {
      const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(*aDeadline - std::chrono::steady_clock::now());
      if (left.count() <= 0) {
        return wake_reason::deadline;
      }
      timeoutMs = static_cast<int>(std::min(left.count(), kMaxPollMs));
    }
    std::array<pollfd, 2> fds{ { { .fd = mSignalFd, .events = POLLIN, .revents = 0 },
                                 { .fd = mStoppedFd, .events = POLLIN, .revents = 0 } } };
    poll(fds.data(), fds.size(), timeoutMs);
    std::uint64_t count = 0;
    if (read(mStoppedFd, &count, sizeof(count)) == sizeof(count)) {
      return wake_reason::stopped;
    }
    signalfd_siginfo info{};
    if (read(mSignalFd, &info, sizeof(info)) == sizeof(info)) {
      if (info.ssi_signo == SIGHUP) {
        return wake_reason::reload;
      }
      return info.ssi_signo == SIGUSR1 ? wake_reason::dump : wake_reason::terminate;
    }
  }
}

} // namespace endiveusher::daemon
