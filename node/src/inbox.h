#pragma once

#include "endiveusher/kernel/time.h"
#include "input_lanes.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace endiveusher::node {

/// Queues from several producer threads to the event loop's thread, one for each lane, each bounded
/// by itself: a flood in one lane rejects nothing in another one. aWake wakes the loop.
template<typename Item>
class inbox
{
public:
  struct entry
  {
    Item mItem;
    time_point mArrived;
  };

  inbox(const clock& aClock, std::function<void()> aWake) : mClock(aClock), mWake(std::move(aWake))
  {
  }

  /// Returns false if the lane is full; aItem is left unchanged then.
  bool push(input_lane aLane, Item& aItem)
  {
    const auto lane = static_cast<std::size_t>(aLane);
    const auto now = mClock.now();
    bool first = false;
    {
      const std::lock_guard lock(mMutex);
      auto& items = mItems[lane];
      if (items.size() >= kInputLaneOptions[lane].mCapacity) {
        ++mRejected[lane];
        return false;
      }
      first = std::ranges::all_of(mItems, [](const auto& aOne) { return aOne.empty(); });
      items.push_back({ .mItem = std::move(aItem), .mArrived = now });
    }
    if (first) {
      mWake();
    }
    return true;
  }

  input_lanes::waiting_lanes waiting() const
  {
    const std::lock_guard lock(mMutex);
    input_lanes::waiting_lanes result{};
    std::ranges::transform(mItems, result.begin(), [](const auto& aOne) { return !aOne.empty(); });
    return result;
  }

  /// Returns the oldest item of a lane that has one.
  entry take(input_lane aLane)
  {
    const std::lock_guard lock(mMutex);
    auto& items = mItems[static_cast<std::size_t>(aLane)];
    auto oldest = std::move(items.front());
    items.pop_front();
    return oldest;
  }

  /// Number of items that were rejected because their lane was full.
  std::uint64_t rejected(input_lane aLane) const
  {
    const std::lock_guard lock(mMutex);
    return mRejected[static_cast<std::size_t>(aLane)];
  }

private:
  const clock& mClock;
  const std::function<void()> mWake;
  mutable std::mutex mMutex;
  std::array<std::deque<entry>, kInputLanes> mItems;
  std::array<std::uint64_t, kInputLanes> mRejected{};
};

/// Handles the inputs of one pass of the loop. An exception of aHandle ends the handling of its
/// input only, and is passed to aOnError(lane, error).
template<typename Item, typename Handler, typename ErrorHandler>
void serveInputs(inbox<Item>& aInbox, input_lanes& aLanes, const clock& aClock,
                 const Handler& aHandle, const ErrorHandler& aOnError)
{
  aLanes.beginPass(aClock.now());
  while (const auto lane = aLanes.next(aInbox.waiting(), aClock.now())) {
    auto input = aInbox.take(*lane);
    try {
      aHandle(*lane, input);
    } catch (const std::exception& error) {
      aOnError(*lane, error);
    }
  }
}

} // namespace endiveusher::node
