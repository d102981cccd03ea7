#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace endiveusher::node {

/// Bounded queue from several producer threads to the event loop's thread. aWake wakes the loop.
template<typename Item>
class inbox
{
public:
  inbox(std::size_t aCapacity, std::function<void()> aWake)
    : mCapacity(aCapacity), mWake(std::move(aWake))
  {
  }

  /// Returns false if the queue is full; aItem is left unchanged then.
  bool push(Item& aItem)
  {
    bool first = false;
    {
      const std::lock_guard lock(mMutex);
      if (mItems.size() >= mCapacity) {
        return false;
      }
      first = mItems.empty();
      mItems.push_back(std::move(aItem));
    }
    if (first) {
      mWake();
    }
    return true;
  }

  std::vector<Item> takeAll()
  {
    const std::lock_guard lock(mMutex);
    return std::exchange(mItems, {});
  }

private:
  const std::size_t mCapacity;
  const std::function<void()> mWake;
  std::mutex mMutex;
  std::vector<Item> mItems;
};

} // namespace endiveusher::node
