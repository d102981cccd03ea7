#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace endiveusher::testing {

/// Queue of results produced by another thread.
template<typename T>
class result_queue
{
public:
  void add(T&& aValue)
  {
    const std::lock_guard lock(mMutex);
    mValues.push_back(std::move(aValue));
    mCondition.notify_all();
  }

  /// Removes and returns the next value; absent if none is added within aPeriod. The default
  /// exceeds every deadline under test.
  std::optional<T> next(std::chrono::milliseconds aPeriod = std::chrono::seconds(60))
  {
    std::unique_lock lock(mMutex);
    if (!mCondition.wait_for(lock, aPeriod, [this] { return !mValues.empty(); })) {
      return std::nullopt;
    }
    std::optional<T> value(std::move(mValues.front()));
    mValues.pop_front();
    return value;
  }

private:
  std::mutex mMutex;
  std::condition_variable mCondition;
  std::deque<T> mValues;
};

} // namespace endiveusher::testing
