#pragma once

#include "endiveusher/kernel/resources.h"
#include "target_state.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace endiveusher::scheduler::internal {

/// A run that steps of higher priority may stop.
struct preemptible_run
{
  std::int64_t mCpuMilli = 0;
  task_key mTask;
  int mPriority = 0;
};

/// A target and its free capacity during one planning pass.
struct candidate_target
{
  target_state* mTarget = nullptr;
  resources mFree;
  /// CPU that was free at the start of the pass, by which the candidates are ordered.
  std::int64_t mFirstFreeCpuMilli = 0;
  /// Capacity that runs will free which are being stopped.
  resources mBeingFreed;
  /// Runs that could be stopped at the start of the pass, largest first; collected when a step
  /// needs them.
  std::optional<std::vector<preemptible_run>> mPreemptible{};
  /// Jobs of the runs beside which no task of another job may start.
  occupants mIsolated;
};

/// Targets and room of a step that waits.
struct wait_counts
{
  std::size_t mAllowedTargets = 0;
  std::size_t mTickets = 0;
  /// Tasks that fit on the allowed targets: by isolation, without regard to it, and by isolation on
  /// targets with a good verdict.
  std::uint32_t mSlots = 0;
  std::uint32_t mFreeSlots = 0;
  std::uint32_t mGoodSlots = 0;
};

struct placement
{
  std::uint32_t mTaskIndex = 0;
  candidate_target* mCandidate = nullptr;
};

/// Capacity that the gang whose turn it is has withheld at a candidate.
struct withheld_room
{
  candidate_target* mCandidate = nullptr;
  std::uint32_t mSlots = 0;
  resources mAmount;
};

/// Runs to stop at a target, and the number of tasks that then fit there.
struct preemption
{
  candidate_target* mCandidate = nullptr;
  std::vector<preemptible_run> mVictims;
  std::uint32_t mTasks = 0;
};

/// A target at which a gang may reserve capacity.
struct reservable_target
{
  candidate_target* mCandidate = nullptr;
  /// Tasks of the gang that fit without stopping runs, and with the stops.
  std::uint32_t mFreeSlots = 0;
  std::uint32_t mSlots = 0;
  preemption mStops;
};

} // namespace endiveusher::scheduler::internal
