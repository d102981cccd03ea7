#pragma once

#include "endiveusher/kernel/resources.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job.h"
#include "team_shares.h"

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
  /// Whether the team waits or runs, in the current planning pass. Maintained only while steps are
  /// ordered by use, like the fields below.
  bool mIsActive = false;
  /// Present dominant share per weight, and past use, each over the mean of the teams.
  double mShareRatio = 1;
  double mPastUseRatio = 1;
  /// Position by use, in the current planning pass.
  share_position mPosition;
};

} // namespace endiveusher::scheduler::internal
