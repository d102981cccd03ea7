#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace endiveusher::standins {

/// Runs actions after a delay on one thread. Actions still pending at destruction are dropped.
///
/// Usage: `replies.after(100ms, [=] { responder.answer(answer); });`
class delayed_replies
{
public:
  delayed_replies() : mThread([this] { run(); }) {}
  ~delayed_replies()
  {
    {
      const std::lock_guard lock(mMutex);
      mStopping = true;
    }
    mChanged.notify_one();
    mThread.join();
  }
  delayed_replies(const delayed_replies&) = delete;
  delayed_replies& operator=(const delayed_replies&) = delete;

  /// Runs aAction at once, on the calling thread, if aDelay is zero.
  void after(std::chrono::milliseconds aDelay, std::function<void()> aAction)
  {
    if (aDelay.count() == 0) {
      aAction();
      return;
    }
    {
      const std::lock_guard lock(mMutex);
      mWaiting.emplace(std::chrono::steady_clock::now() + aDelay, std::move(aAction));
    }
    mChanged.notify_one();
  }

private:
  void run()
  {
    std::unique_lock lock(mMutex);
    while (!mStopping) {
      if (mWaiting.empty()) {
        mChanged.wait(lock);
      } else if (std::chrono::steady_clock::now() < mWaiting.begin()->first) {
        // Copies the time, because the entry may be removed while the lock is released.
        const auto until = mWaiting.begin()->first;
        mChanged.wait_until(lock, until);
      } else {
        const auto action = std::move(mWaiting.extract(mWaiting.begin()).mapped());
        lock.unlock();
        action();
        lock.lock();
      }
    }
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::multimap<std::chrono::steady_clock::time_point, std::function<void()>> mWaiting;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace endiveusher::standins
