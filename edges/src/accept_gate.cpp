#include "accept_gate.h"

#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace endiveusher::edges::internal {

namespace {

/// Shortest pause. Limits the part of the time for which the accepting thread spins until the next
/// pause, which is one interval of the maintenance thread, to a tenth.
constexpr std::chrono::seconds kMinPause{ 1 };

} // namespace

accept_gate::accept_gate(std::size_t aReserve)
  : mReserveSize(aReserve), mSpare(::eventfd(0, EFD_CLOEXEC))
{
}

accept_gate::~accept_gate()
{
  close();
  if (mSpare >= 0) {
    ::close(mSpare);
  }
}

accept_gate::registration accept_gate::findRegistration(int aListener)
{
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fdinfo", error)) {
    std::ifstream info(entry.path());
    for (std::string line; std::getline(info, line);) {
      int listener = -1;
      registration found{ .mEpollFd = std::atoi(entry.path().filename().c_str()) };
      if (std::sscanf(line.c_str(), "tfd: %d events: %" SCNx32 " data: %" SCNx64, &listener,
                      &found.mEvents, &found.mData) == 3 &&
          listener == aListener) {
        return found;
      }
    }
  }
  return {};
}

void accept_gate::open(int aListener)
{
  const std::lock_guard lock(mMutex);
  mListener = aListener;
  mRegistration = findRegistration(aListener);
  takeReserveLocked();
}

void accept_gate::close()
{
  const std::lock_guard lock(mMutex);
  mListener = -1;
  mRegistration = {};
  releaseReserveLocked();
}

void accept_gate::update(std::chrono::steady_clock::time_point aNow)
{
  const std::lock_guard lock(mMutex);
  if (mListener < 0 || mRegistration.mEpollFd < 0) {
    return;
  }
  const int probe = ::fcntl(mSpare, F_DUPFD_CLOEXEC, 0);
  const bool isExhausted = probe < 0 && (errno == EMFILE || errno == ENFILE);
  if (probe >= 0) {
    ::close(probe);
  }
  if (!mPaused && isExhausted) {
    // In this order: the accepting thread would take the reserve.
    setEventsLocked(0);
    releaseReserveLocked();
    mPaused = true;
    mResumeAt = aNow + kMinPause;
    ++mPauses;
  } else if (mPaused && aNow >= mResumeAt && takeReserveLocked()) {
    setEventsLocked(mRegistration.mEvents);
    mPaused = false;
  }
}

void accept_gate::setEventsLocked(std::uint32_t aEvents) const
{
  epoll_event event{ .events = aEvents, .data = { .u64 = mRegistration.mData } };
  ::epoll_ctl(mRegistration.mEpollFd, EPOLL_CTL_MOD, mListener, &event);
}

bool accept_gate::takeReserveLocked()
{
  while (mReserve.size() < mReserveSize) {
    const int taken = ::fcntl(mSpare, F_DUPFD_CLOEXEC, 0);
    if (taken < 0) {
      releaseReserveLocked();
      return false;
    }
    mReserve.push_back(taken);
  }
  return true;
}

void accept_gate::releaseReserveLocked()
{
  for (const int taken : mReserve) {
    ::close(taken);
  }
  mReserve.clear();
}

} // namespace endiveusher::edges::internal
