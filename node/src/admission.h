#pragma once

#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::node {

/// The largest targets of each pool; empty while it is not known.
struct cell_capacity
{
  std::map<std::string, std::vector<resources>> mPools;
};

/// Why a job can never run; empty if it can, or if that is not known.
///
/// Load pattern: jobs that are larger than any target or than their team's limit would wait for
/// ever and, as gangs, keep room from others.
inline std::string_view neverFits(const scheduler::job_spec& aJob,
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
