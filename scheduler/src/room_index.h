#pragma once

#include "capacity_fit.h"
#include "endiveusher/kernel/resources.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::scheduler::internal {

/// The candidates of one planning pass that are in a pool and have a label, in the order of their
/// free CPU at the start of the pass. Load pattern: thousands of steps wait in a full cell of a
/// thousand targets. Free capacity only shrinks during a pass: where one step has found no room,
/// there is none for any later step of the pass that needs at least as much.
class room_group
{
public:
  /// Adds a candidate by its position; in the order of the free CPU.
  void add(std::uint32_t aPosition, std::int64_t aFreeCpuMilli)
  {
    mPositions.push_back(aPosition);
    mFreeCpuMilli.push_back(aFreeCpuMilli);
  }
  std::span<const std::uint32_t> positions() const { return mPositions; }
  /// Returns the index in positions() of the first candidate with room for a task; the size of
  /// positions() if there is none.
  /// @param aFreeAt returns the free capacity at a position now
  /// @param aVisits is increased by the number of candidates that were looked at
  template<typename FreeAt>
  std::size_t firstWithRoom(const resources& aNeeds, FreeAt&& aFreeAt, std::uint64_t& aVisits)
  {
    std::size_t first = 0;
    for (const auto& bound : mBounds) {
      if (bound.mNeeds.fitsIn(aNeeds)) {
        first = std::max(first, bound.mFirst);
      }
    }
    if (first == mPositions.size()) {
      return first;
    }
    const auto cpu = std::ranges::lower_bound(mFreeCpuMilli, aNeeds.mCpuMilli);
    first = std::max(first, static_cast<std::size_t>(cpu - mFreeCpuMilli.begin()));
    while (first < mPositions.size() && maxTasksIn(aNeeds, aFreeAt(mPositions[first])) == 0) {
      ++first;
      ++aVisits;
    }
    remember({ .mNeeds = aNeeds, .mFirst = first });
    return first;
  }

  /// Whether the candidates together have room for aCount tasks now.
  /// @param aFreeAt and @param aVisits as for firstWithRoom()
  template<typename FreeAt>
  bool hasRoom(const resources& aNeeds, std::uint64_t aCount, FreeAt&& aFreeAt,
               std::uint64_t& aVisits)
  {
    return mRoomLimits.mayHold(mPositions, aNeeds, aCount, aFreeAt, aVisits);
  }
  /// Whether their whole capacity holds aCount tasks.
  /// @param aCapacityAt returns the capacity at a position
  template<typename CapacityAt>
  bool hasCapacity(const resources& aNeeds, std::uint64_t aCount, CapacityAt&& aCapacityAt,
                   std::uint64_t& aVisits)
  {
    return mCapacityLimits.mayHold(mPositions, aNeeds, aCount, aCapacityAt, aVisits);
  }

  /// Whether it is known that no task with aNeeds fits on any candidate, even after all runs there
  /// that a step with aPriority may preempt.
  bool isPreemptionFutile(const resources& aNeeds, int aPriority) const
  {
    return std::ranges::any_of(mFutilePreemptions, [&](const preemption_limit& aOne) {
      return aOne.mPriority <= aPriority && aOne.mNeeds.fitsIn(aNeeds);
    });
  }
  /// Called when a run of a route with aPriority is preempted: what it leaves is also room for
  /// steps that may not preempt it.
  void onPreempted(int aPriority)
  {
    std::erase_if(mFutilePreemptions, [aPriority](const preemption_limit& aOne) {
      return aOne.mPriority >= aPriority;
    });
  }
  /// Finds out whether that is so, after a step has found no run to preempt.
  /// @param aFreeAt returns the free capacity at a position after these runs
  template<typename FreeAt>
  void checkPreemption(const resources& aNeeds, int aPriority, FreeAt&& aFreeAt,
                       std::uint64_t& aVisits)
  {
    const auto isKnown = std::ranges::any_of(mUsefulPreemptions, [&](const auto& aOne) {
      return aPriority <= aOne.mPriority && aNeeds.fitsIn(aOne.mNeeds);
    });
    if (isKnown || mFutilePreemptions.size() + mUsefulPreemptions.size() >= kMaxBounds) {
      return;
    }
    aVisits += mPositions.size();
    const bool useful = std::ranges::any_of(mPositions, [&](std::uint32_t aPosition) {
      return maxTasksIn(aNeeds, aFreeAt(aPosition)) > 0;
    });
    (useful ? mUsefulPreemptions : mFutilePreemptions)
      .push_back({ .mNeeds = aNeeds, .mPriority = aPriority });
  }

private:
  /// Each search looks through all bounds, which must stay cheaper than the search itself.
  static constexpr std::size_t kMaxBounds = 64;

  /// Numbers of tasks that have proved to be too many in this pass, by their needs.
  class task_limits
  {
  public:
    template<typename FreeAt>
    bool mayHold(std::span<const std::uint32_t> aPositions, const resources& aNeeds,
                 std::uint64_t aCount, FreeAt&& aFreeAt, std::uint64_t& aVisits)
    {
      for (const auto& one : mLimits) {
        if (one.mTasks < aCount && one.mNeeds.fitsIn(aNeeds)) {
          return false;
        }
      }
      std::uint64_t tasks = 0;
      // Those with the most free CPU come last.
      for (auto at = aPositions.rbegin(); at != aPositions.rend() && tasks < aCount; ++at) {
        tasks += maxTasksIn(aNeeds, aFreeAt(*at));
        ++aVisits;
      }
      if (tasks >= aCount) {
        return true;
      }
      std::erase_if(mLimits, [&](const limit& aOther) {
        return aNeeds.fitsIn(aOther.mNeeds) && aOther.mTasks >= tasks;
      });
      if (mLimits.size() < kMaxBounds) {
        mLimits.push_back({ .mNeeds = aNeeds, .mTasks = tasks });
      }
      return false;
    }

  private:
    /// There is room for at most mTasks tasks that need at least mNeeds.
    struct limit
    {
      resources mNeeds;
      std::uint64_t mTasks = 0;
    };
    std::vector<limit> mLimits;
  };

  /// No candidate before mFirst has room for a task with mNeeds.
  struct bound
  {
    resources mNeeds;
    std::size_t mFirst = 0;
  };

  void remember(const bound& aBound)
  {
    if (aBound.mFirst == 0) {
      return;
    }
    std::erase_if(mBounds, [&aBound](const bound& aOther) {
      return aBound.mNeeds.fitsIn(aOther.mNeeds) && aOther.mFirst <= aBound.mFirst;
    });
    if (mBounds.size() < kMaxBounds) {
      mBounds.push_back(aBound);
    } else if (auto least = std::ranges::min_element(mBounds, {}, &bound::mFirst);
               least->mFirst < aBound.mFirst) {
      *least = aBound;
    }
  }

  /// Needs of a task and the priority of its route.
  struct preemption_limit
  {
    resources mNeeds;
    int mPriority = 0;
  };

  std::vector<std::uint32_t> mPositions;
  std::vector<std::int64_t> mFreeCpuMilli;
  std::vector<bound> mBounds;
  task_limits mRoomLimits;
  task_limits mCapacityLimits;
  std::vector<preemption_limit> mFutilePreemptions;
  /// Where runs could be preempted, but the step that looked may not run there.
  std::vector<preemption_limit> mUsefulPreemptions;
};

/// The groups of one planning pass by pool and label, built when they are first asked for.
class room_index
{
public:
  void clear() { mGroups.clear(); }
  /// See room_group::onPreempted().
  void onPreempted(int aPriority)
  {
    for (auto& [pool, groups] : mGroups) {
      for (auto& [label, group] : groups) {
        group.onPreempted(aPriority);
      }
    }
  }
  /// @param aFill adds the candidates to a new group
  template<typename Fill>
  room_group& group(std::string_view aPool, std::string_view aLabel, Fill&& aFill)
  {
    const auto pool = mGroups.find(aPool);
    if (pool != mGroups.end()) {
      if (const auto found = pool->second.find(aLabel); found != pool->second.end()) {
        return found->second;
      }
    }
    auto& added = mGroups[std::string(aPool)][std::string(aLabel)];
    aFill(added);
    return added;
  }

private:
  std::map<std::string, std::map<std::string, room_group, std::less<>>, std::less<>> mGroups;
};

} // namespace endiveusher::scheduler::internal
