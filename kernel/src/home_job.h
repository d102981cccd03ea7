#pragma once

#include "call_origin.h"

#include "endiveusher/kernel/messages/call.h"
#include "endiveusher/kernel/messages/peer.h"
#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <vector>

namespace endiveusher::internal {

inline bool hasEnded(task_state aState)
{
  return aState == task_state::succeeded || aState == task_state::failed ||
         aState == task_state::cancelled || aState == task_state::unknown;
}

/// Whether a placer is done with a task and waits for the home's acknowledgement.
inline bool isOver(placed_state aState)
{
  return aState == placed_state::ended || aState == placed_state::returned ||
         aState == placed_state::unknown;
}

/// One task as its home keeps it.
struct home_task
{
  task_state mState = task_state::waiting;
  std::uint32_t mAttempt = 1;
  /// Member that holds the task; empty if nobody does.
  incarnation_id mPlacer;
  /// Member to which the attempt was delegated first. Differs from mPlacer after a takeover; the
  /// successor then starts nothing before its sweep of mOrigin.
  incarnation_id mOrigin;
  /// A report of mPlacer has named the attempt.
  bool mReported = false;
  /// The last report named it as queued.
  bool mQueued = false;
  bool mRecalled = false;
  time_point mDelegatedAt{};
  std::uint32_t mFailures = 0;
  /// The next attempt repeats a failed one and is charged to the team's retry budget.
  bool mIsRetry = false;
  /// Distinct targets on which an attempt failed.
  std::vector<target_id> mFailedOn;
  /// Position in home_job::mSearch; past its end the task was found nowhere.
  std::uint32_t mSearched = 0;

  target_id mTarget;
  std::int32_t mExitCode = 0;
  std::string mOutput;
  std::string mCheckpoint;
};

/// One job as its home keeps it.
struct home_job
{
  job_spec mSpec;
  std::uint64_t mDigest = 0;
  durability mDurability = durability::memory;
  time_point mAcceptedAt{};
  std::vector<home_task> mTasks;
  std::uint32_t mOpenTasks = 0;
  bool mCancelled = false;
  bool mEnded = false;
  time_point mEndedAt{};
  /// Taken over from another home; nothing starts before mSettled.
  bool mInherited = false;
  /// All members have answered what they hold of the job.
  bool mSettled = true;
  /// Ended members whose targets may still run a task of the job.
  std::vector<incarnation_id> mSearch;
  std::vector<call_origin> mWaiters;
};

} // namespace endiveusher::internal
