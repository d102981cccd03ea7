#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <readerwriterqueue/readerwriterqueue.h>
#include <utility>

namespace endiveusher::daemon {

/// Wakes one waiting thread. May be rung by any thread.
class doorbell
{
public:
  void ring()
  {
    if (mRung.exchange(true)) {
      return;
    }
    // The empty critical section orders the ring after the waiter's check.
    {
      const std::lock_guard lock(mMutex);
    }
    mCondition.notify_one();
  }

  /// Returns when rung since the last return, or at aDeadline.
  void waitUntil(std::chrono::steady_clock::time_point aDeadline)
  {
    std::unique_lock lock(mMutex);
    mCondition.wait_until(lock, aDeadline, [this] { return mRung.load(); });
    mRung = false;
  }

private:
  std::mutex mMutex;
  std::condition_variable mCondition;
  std::atomic<bool> mRung{ false };
};

/// Bounded queue from one producer thread to one consumer thread, which the bell wakes.
template<typename T>
class ring
{
public:
  using value_type = T;

  ring(std::size_t aCapacity, doorbell& aBell)
    : mQueue(aCapacity), mCapacity(aCapacity), mBell(aBell)
  {
  }

  bool push(T&& aValue) { return offer(aValue); }

  /// Moves from aValue; if the ring is full, returns false and leaves aValue unchanged.
  bool offer(T& aValue)
  {
    // The queue rounds its capacity up; the check keeps to the bound asked for.
    if (mQueue.size_approx() >= mCapacity || !mQueue.try_enqueue(std::move(aValue))) {
      return false;
    }
    mBell.ring();
    return true;
  }

  bool pop(T& aValue) { return mQueue.try_dequeue(aValue); }

private:
  // Small blocks: entries that were never used take no resident memory.
  moodycamel::ReaderWriterQueue<T, 64> mQueue;
  std::size_t mCapacity;
  doorbell& mBell;
};

} // namespace endiveusher::daemon
