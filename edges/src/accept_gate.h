#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

namespace endiveusher::edges::internal {

/// Stops a Pistache endpoint from accepting connections while the process has no descriptors left,
/// and holds a few back for that time. Thread-safe.
///
/// Pistache's thread that accepts does not wait after accept() has failed with EMFILE: it takes a
/// whole core until descriptors are free again, and takes each one that is freed, so that calls to
/// the store get none. Pistache has no way to pause it. This class takes the listening socket out
/// of the events that the thread waits for, in the thread's epoll instance, which it finds in
/// /proc/self/fdinfo. If there is none, it does nothing.
class accept_gate
{
public:
  /// aReserve: number of descriptors held back.
  explicit accept_gate(std::size_t aReserve);
  ~accept_gate();
  accept_gate(const accept_gate&) = delete;
  accept_gate& operator=(const accept_gate&) = delete;

  /// Starts to control a listening socket that an epoll instance of this process watches.
  void open(int aListener);
  /// Ends the control, before the listening socket is closed.
  void close();
  /// Pauses if no descriptor is left; resumes if the reserve can be taken again.
  void update(std::chrono::steady_clock::time_point aNow);
  std::uint64_t pauses() const { return mPauses; }

private:
  /// Registration of the listening socket in an epoll instance.
  struct registration
  {
    int mEpollFd = -1;
    std::uint32_t mEvents = 0;
    std::uint64_t mData = 0;
  };
  static registration findRegistration(int aListener);
  void setEventsLocked(std::uint32_t aEvents) const;
  /// Returns false, with no reserve, if there are too few descriptors.
  bool takeReserveLocked();
  void releaseReserveLocked();

  const std::size_t mReserveSize;
  /// Descriptor whose copies are the reserve.
  const int mSpare;
  std::mutex mMutex;
  int mListener = -1;
  registration mRegistration;
  std::vector<int> mReserve;
  bool mPaused = false;
  std::chrono::steady_clock::time_point mResumeAt;
  std::atomic<std::uint64_t> mPauses = 0;
};

} // namespace endiveusher::edges::internal
