#pragma once

#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace endiveusher::scheduler {

/// Location of a run that may still be executing.
struct open_run
{
  std::string mTarget;
  /// Start of the target's incarnation, Unix milliseconds.
  std::int64_t mIncarnationStart = 0;
};

struct task_state
{
  /// Number of the latest run, from 1; 0 if there was none.
  std::uint32_t mRun = 0;
  std::uint32_t mFailures = 0;
  bool mDone = false;
  std::optional<open_run> mOpen;
  /// When the start of the latest run was read from the journal; unknown after a snapshot.
  time_point mStartedAt{};
  std::string mCheckpoint;
  /// Number of targets that have crashed while a run of the task may have been executing there,
  /// each within kTargetLossMemory of the one before, and the time of the last on the local clock.
  std::uint32_t mTargetLosses = 0;
  /// Those of them that came soon after the start of the task's run.
  std::uint32_t mStartLosses = 0;
  /// Those of them whose run is known to have begun. The others may have crashed before the order
  /// arrived.
  std::uint32_t mCertainLosses = 0;
  time_point mLastTargetLoss{};
};

} // namespace endiveusher::scheduler
