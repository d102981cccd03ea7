#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/cell_config.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace endiveusher::overload {

/// A kind of job that callers submit.
struct load_class
{
  std::string mName;
  double mPerSecond = 0;
  double mSteps = 1;
  double mWidth = 1;
  double mWidthSpread = 0;
  std::uint32_t mMaxWidth = 1;
  double mCpuMilli = 0;
  double mCpuSpread = 0;
  double mMaxCpuMilli = 0;
  double mMemoryMb = 0;
  double mMaxMemoryMb = 0;
  double mWorkMs = 0;
  double mMaxWorkMs = 0;
  double mGangShare = 0;
  double mCheckpointingShare = 0;
  /// Fraction of the targets that the advice service permits for a step.
  double mGoodShare = 1;
  int mPriority = 0;
  double mStretch = 1;
  std::chrono::milliseconds mObjective{ 0 };
  scheduler::advice_terms mAdvice;
};

/// A period in which a class, or one team, sends more than usual.
struct load_burst
{
  std::string mClass; ///< Empty for all jobs of the team.
  int mTeam = -1;     ///< -1 for all teams.
  duration mFrom{ 0 };
  duration mTo{ 0 };
  double mFactor = 1;
};

struct overload_options
{
  std::vector<load_class> mClasses;
  std::vector<load_burst> mBursts;
  std::size_t mTargets = 1100;
  std::size_t mHelpers = 146;
  std::size_t mTeams = 60;
  std::int64_t mTargetCpuMilli = 64'000;
  std::int64_t mTargetMemoryMb = 131'072;
  /// Upper limit of a team's tasks, thousandths of a core; 0 for none.
  std::int64_t mTeamLimitCpuMilli = 0;
  /// Time in which jobs are sent, and time after it in which they may end.
  duration mLength = std::chrono::seconds(40);
  duration mDrain = std::chrono::seconds(15);
  std::uint64_t mSeed = 1;
};

/// Returns the load of a cell of 1,100 targets with 1,765 starts a second, three quarters of its
/// cores: wide gangs, batch steps and short urgent jobs, each with advice.
inline overload_options largeCell()
{
  using namespace std::chrono_literals;
  overload_options options;
  options.mClasses = {
    { .mName = "wide",
      .mPerSecond = 8.02,
      .mSteps = 1.2,
      .mWidth = 40,
      .mWidthSpread = 0.8,
      .mMaxWidth = 240,
      .mCpuMilli = 18'000,
      .mCpuSpread = 0.4,
      .mMaxCpuMilli = 30'000,
      .mMemoryMb = 33'000,
      .mMaxMemoryMb = 66'000,
      .mWorkMs = 4000,
      .mMaxWorkMs = 10'000,
      .mGangShare = 1,
      .mCheckpointingShare = 0.5,
      .mGoodShare = 0.25,
      .mPriority = 1,
      .mStretch = 2.2,
      .mObjective = 1000ms,
      .mAdvice = { .mPerCall = 410ms, .mPerTarget = 5800us, .mTicketLifetime = 1500ms } },
    { .mName = "batch",
      .mPerSecond = 11.2,
      .mSteps = 1.5,
      .mWidth = 40,
      .mWidthSpread = 0.6,
      .mMaxWidth = 200,
      .mCpuMilli = 10'000,
      .mCpuSpread = 0.45,
      .mMaxCpuMilli = 31'000,
      .mMemoryMb = 19'000,
      .mMaxMemoryMb = 57'000,
      .mWorkMs = 2700,
      .mMaxWorkMs = 6800,
      .mCheckpointingShare = 0.8,
      .mGoodShare = 0.45,
      .mPriority = 2,
      .mStretch = 4,
      .mObjective = 3000ms,
      .mAdvice = { .mPerCall = 140ms, .mPerTarget = 2000us, .mTicketLifetime = 1500ms } },
    { .mName = "short",
      .mPerSecond = 177,
      .mWidth = 4.5,
      .mWidthSpread = 0.8,
      .mMaxWidth = 27,
      .mCpuMilli = 15'000,
      .mCpuSpread = 0.45,
      .mMaxCpuMilli = 44'000,
      .mMemoryMb = 21'000,
      .mMaxMemoryMb = 63'000,
      .mWorkMs = 640,
      .mMaxWorkMs = 1600,
      .mGangShare = 0.3,
      .mGoodShare = 0.7,
      .mStretch = 1.5,
      .mObjective = 250ms,
      .mAdvice = { .mPerCall = 8900us, .mPerTarget = 130us, .mTicketLifetime = 1500ms } },
  };
  return options;
}

} // namespace endiveusher::overload
