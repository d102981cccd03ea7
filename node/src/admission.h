#pragma once

#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::node {

/// Distinct sizes of the targets of each pool, each the largest that the target has stated; empty
/// while they are unknown.
struct cell_capacity
{
  std::map<std::string, std::vector<resources>> mPools;
  bool operator==(const cell_capacity&) const = default;
};

/// Returns aCapacity without the sizes that fit into another one of the same pool. What fits in
/// none of the sizes left fits in none at all.
///
/// Load pattern: the owner reports the sizes to every daemon several times a second; hundreds of
/// targets have a few largest sizes.
inline cell_capacity largestSizes(const cell_capacity& aCapacity)
{
  cell_capacity largest;
  for (const auto& [pool, sizes] : aCapacity.mPools) {
    auto& kept = largest.mPools[pool];
    for (const auto& size : sizes) {
      if (std::ranges::any_of(kept, [&](const resources& aOne) { return size.fitsIn(aOne); })) {
        continue;
      }
      std::erase_if(kept, [&](const resources& aOne) { return aOne.fitsIn(size); });
      kept.push_back(size);
    }
  }
  return largest;
}

/// Returns why a job can never be scheduled; empty if it can be, or if that is unknown.
///
/// Load pattern: jobs that are larger than any target or than their team's limit would wait forever
/// and, as gangs, reserve free capacity that other jobs could use.
inline std::string_view unschedulableReason(const scheduler::job_spec& aJob,
                                            const scheduler::route_config& aRoute,
                                            const scheduler::team_config* aTeam,
                                            const cell_capacity& aCapacity)
{
  const auto pool = aCapacity.mPools.find(aRoute.mPool);
  for (const auto& step : aJob.mSteps) {
    resources atOnce = step.mNeeds;
    if (step.mGang) {
      atOnce.mCpuMilli *= step.mCount;
      atOnce.mMemoryMb *= step.mCount;
      atOnce.mAccelerators *= step.mCount;
    }
    if (aTeam != nullptr && !scheduler::withinLimit(atOnce, aTeam->mUpperLimit)) {
      return "larger than the team's limit";
    }
    if (pool != aCapacity.mPools.end() && !pool->second.empty() &&
        std::ranges::none_of(pool->second,
                             [&step](const resources& aOne) { return step.mNeeds.fitsIn(aOne); })) {
      return "a task is larger than every target";
    }
  }
  return {};
}

} // namespace endiveusher::node
