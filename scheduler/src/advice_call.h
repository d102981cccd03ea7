#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job.h"
#include "waiting_step.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace endiveusher::scheduler::internal {

/// Maximum number of targets in one advice call, set by the platform.
inline constexpr std::size_t kMaxQueriedTargets = 100;

/// Returns the number of calls in which aTargets targets are queried.
constexpr std::size_t adviceCalls(std::size_t aTargets)
{
  return (aTargets + kMaxQueriedTargets - 1) / kMaxQueriedTargets;
}

/// Returns the expected duration of one call about aTargets targets.
inline duration adviceCost(const advice_terms& aTerms, std::size_t aTargets)
{
  return aTerms.mPerCall + static_cast<int>(aTargets) * aTerms.mPerTarget;
}

/// An open call for advice.
struct advice_call
{
  step_key mStep;
  std::string mDaemon;
  std::vector<target_number> mTargets;
  time_point mSent;
  duration mCost{ 0 };
  /// Number of tasks that fit on the queried targets when the call was made.
  std::uint32_t mSlots = 0;
};

/// Verdicts of the advice service on targets that it had not judged for the step before.
struct verdict_counts
{
  std::uint64_t mQueried = 0;
  std::uint64_t mGood = 0;
};

} // namespace endiveusher::scheduler::internal
