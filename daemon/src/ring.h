#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <readerwriterqueue/readerwriterqueue.h>
#include <utility>

namespace endiveusher::daemon {

/// Auto-reset event that wakes one waiting thread. Any thread may notify it.
class wakeup_event
{
public:
  void notify()
  {
    if (mNotified.exchange(true)) {
      return;
    }
    // The empty critical section orders the notification after the waiter's check of the flag.
    {
      const std::lock_guard lock(mMutex);
    }
    mCondition.notify_one();
  }

  /// Waits until notify() is called, or was called since the last return, or until aDeadline.
  void waitUntil(std::chrono::steady_clock::time_point aDeadline)
  {
    std::unique_lock lock(mMutex);
    mCondition.wait_until(lock, aDeadline, [this] { return mNotified.load(); });
    mNotified = false;
  }

private:
  std::mutex mMutex;
  std::condition_variable mCondition;
  std::atomic<bool> mNotified{ false };
};

/// Bounded queue from one producer thread to one consumer thread. Notifies aWakeup on each entry.
template<typename T>
class ring
{
public:
  using value_type = T;

  ring(std::size_t aCapacity, wakeup_event& aWakeup)
    : mQueue(aCapacity), mCapacity(aCapacity), mWakeup(aWakeup)
  {
  }

  bool push(T&& aValue) { return offer(aValue); }

  /// Moves from aValue; if the ring is full, returns false and leaves aValue unchanged.
  bool offer(T& aValue)
  {
    // The queue rounds its capacity up; the check enforces the requested one.
    if (mQueue.size_approx() >= mCapacity || !mQueue.try_enqueue(std::move(aValue))) {
      return false;
    }
    mWakeup.notify();
    return true;
  }

  bool pop(T& aValue) { return mQueue.try_dequeue(aValue); }

private:
  // Small blocks, so that entries never used take no resident memory.
  moodycamel::ReaderWriterQueue<T, 64> mQueue;
  std::size_t mCapacity;
  wakeup_event& mWakeup;
};

} // namespace endiveusher::daemon
