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

/// Whether a placer has finished with a task and waits for the coordinator's acknowledgement.
inline bool isTerminal(placed_state aState)
{
  return aState == placed_state::ended || aState == placed_state::returned ||
         aState == placed_state::unknown;
}

/// State of one task at its coordinator.
struct coordinated_task
{
  task_state mState = task_state::waiting;
  std::uint32_t mAttempt = 1;
  /// Member to which the task is delegated; empty if none.
  incarnation_id mPlacer;
  /// Member to which the attempt was delegated first. Differs from mPlacer after a failover; the
  /// successor then starts nothing before it has reconciled the targets of mOrigin.
  incarnation_id mOrigin;
  /// Whether a report of mPlacer has named the attempt.
  bool mReported = false;
  /// Whether the latest report named the attempt as queued.
  bool mQueued = false;
  bool mRecalled = false;
  time_point mDelegatedAt{};
  std::uint32_t mFailures = 0;
  /// Whether the next attempt repeats a failed one and is charged to the team's retry budget.
  bool mIsRetry = false;
  /// Distinct targets on which an attempt failed.
  std::vector<target_id> mFailedOn;
  /// Index of the next member to search in coordinated_job::mMembersToSearch; at its end, no member
  /// has the task.
  std::uint32_t mNextSearch = 0;

  target_id mTarget;
  std::int32_t mExitCode = 0;
  std::string mOutput;
  std::string mCheckpoint;
};

/// State of one job at its coordinator.
struct coordinated_job
{
  job_spec mSpec;
  std::uint64_t mDigest = 0;
  durability mDurability = durability::memory;
  time_point mAcceptedAt{};
  std::vector<coordinated_task> mTasks;
  std::uint32_t mOpenTasks = 0;
  bool mCancelled = false;
  bool mEnded = false;
  time_point mEndedAt{};
  /// Whether the job failed over from another coordinator; no task starts before mSettled.
  bool mFailedOver = false;
  /// Whether all members have reported the tasks of the job that they hold.
  bool mSettled = true;
  /// Ended members whose targets may still run tasks of the job.
  std::vector<incarnation_id> mMembersToSearch;
  std::vector<call_origin> mWaiters;
};

} // namespace endiveusher::internal
