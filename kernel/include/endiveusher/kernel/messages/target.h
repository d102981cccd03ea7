#pragma once

#include "endiveusher/kernel/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace endiveusher {

enum class order_action
{
  start,
  stop,
  checkpoint, ///< Saves a checkpoint, then ends the attempt with outcome checkpointed.
  throttle,
};

/// One instruction of a target's owner to the target.
struct target_order
{
  /// Unique per owner incarnation and target; a repeated order is answered, not executed again.
  std::uint64_t mOrderId = 0;
  order_action mAction = order_action::start;
  /// For start the whole attempt; otherwise mKey and mAttempt name the one meant.
  task_attempt mTask;
  /// Void after this time of the target's clock.
  target_time mStartBy{ 0 };
  /// Percent of the declared processor time, for throttle.
  std::uint32_t mThrottlePercent = 100;
};

enum class order_result_code
{
  done,
  duplicate,       ///< The same key and attempt is already here; counts as done.
  expired,         ///< Target clock was past mStartBy. Not run.
  not_owner,       ///< Owner or epoch does not match. Not run.
  key_conflict,    ///< Another attempt of the same task is here. Not run.
  no_capacity,     ///< Not run.
  leaving,         ///< The target is leaving. Not run.
  failed_to_start, ///< The target could not run it; ended at once.
  no_such_task,
};

struct target_order_result
{
  std::uint64_t mOrderId = 0;
  order_result_code mCode = order_result_code::done;
};

/// `POST /v1/exchange`: the one call that a daemon makes on a target.
struct exchange_request
{
  target_id mTarget;
  incarnation_id mDaemon;
  /// Ownership lease asked for; zero releases the register.
  std::chrono::milliseconds mOwnershipLease{ 0 };
  /// False for a call that only reads.
  bool mAcquire = true;
  /// Target incarnation that the fields below refer to; empty at first contact.
  std::string mTargetIncarnation;
  /// Epoch the orders are given under; zero at first contact.
  std::uint64_t mEpoch = 0;
  /// Extends the leases of all tasks up to this time of the target's clock; zero: no extension.
  target_time mTaskLeaseUntil{ 0 };
  /// Version of the table that the caller has; zero if none.
  std::uint64_t mKnownTableVersion = 0;
  std::vector<target_order> mOrders;
  /// Finished attempts that need not be reported again.
  std::vector<std::uint64_t> mAcknowledgedFinished;
};

struct running_task
{
  task_attempt mTask;
  target_time mLeaseUntil{ 0 };
};

struct finished_attempt
{
  /// Unique on this target incarnation; named in mAcknowledgedFinished.
  std::uint64_t mFinishedId = 0;
  task_attempt mTask;
  attempt_outcome mOutcome = attempt_outcome::succeeded;
  std::int32_t mExitCode = 0;
  std::string mOutput;
  std::string mCheckpoint;
  /// How long the attempt ran.
  std::chrono::milliseconds mRanFor{ 0 };
};

struct exchange_response
{
  target_id mTarget;
  std::string mTargetIncarnation;
  target_time mClock{ 0 };
  /// Whether the caller owns the target after this exchange.
  bool mGranted = false;
  incarnation_id mOwner;
  std::uint64_t mEpoch = 0;
  target_time mOwnerUntil{ 0 };
  bool mLeaving = false;
  resources mCapacity;
  /// Measured use of all tasks together; lags.
  resources mMeasured;
  std::uint64_t mTableVersion = 0;
  /// The whole table; absent if mKnownTableVersion is current.
  std::optional<std::vector<running_task>> mTable;
  std::vector<target_order_result> mOrderResults;
  /// All finished attempts not yet acknowledged.
  std::vector<finished_attempt> mFinished;
};

} // namespace endiveusher
