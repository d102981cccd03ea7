#pragma once

#include "endiveusher/kernel/resources.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job.h"

#include <cstdint>
#include <optional>
#include <string>

namespace endiveusher::scheduler::internal {

/// Resources reserved for waiting gangs within their team's limit.
struct team_reservation
{
  resources mTotal;
  /// The gang that reserves the most CPU, and how much.
  step_key mLargest;
  std::int64_t mLargestCpuMilli = -1;
};

/// The owner's view of a team. Steps and runs refer to it, so that a planning pass looks up no
/// names.
struct team_state
{
  std::string mName;
  /// Latest configuration; nullptr if the team is not configured, and has no limit then.
  const team_config* mConfig = nullptr;
  /// Resources of the team's runs.
  resources mUsed;
  /// Set while gangs reserve a part of the limit, in the current planning pass.
  std::optional<team_reservation> mReserved;
  /// Tasks that wait, in the current planning pass.
  std::uint32_t mWaitingTasks = 0;
};

} // namespace endiveusher::scheduler::internal
