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

/// Order of a target's owner to the target.
struct target_order
{
  /// Unique per owner incarnation and target; a repeated order is answered but not executed again.
  std::uint64_t mOrderId = 0;
  order_action mAction = order_action::start;
  /// The whole attempt for start; otherwise only mKey and mAttempt are set, which identify it.
  task_attempt mTask;
  /// The order is not executed after this time of the target's clock.
  target_time mStartBy{ 0 };
  /// Percent of the declared processor time, for throttle.
  std::uint32_t mThrottlePercent = 100;
};

enum class order_result_code
{
  done,
  duplicate,       ///< The target already has the same key and attempt; counts as done.
  expired,         ///< The target's clock was past mStartBy. Not run.
  not_owner,       ///< Owner or epoch does not match. Not run.
  key_conflict,    ///< The target has another attempt of the same task. Not run.
  no_capacity,     ///< Not run.
  leaving,         ///< The target is leaving. Not run.
  failed_to_start, ///< The target could not start the attempt, which ended at once.
  no_such_task,
};

struct target_order_result
{
  std::uint64_t mOrderId = 0;
  order_result_code mCode = order_result_code::done;
};

/// `POST /v1/exchange`: the only call that a daemon makes to a target.
struct exchange_request
{
  target_id mTarget;
  incarnation_id mDaemon;
  /// Requested ownership lease; zero releases the ownership of the target.
  std::chrono::milliseconds mOwnershipLease{ 0 };
  /// Whether the call acquires or renews the ownership; false for a call that only reads.
  bool mAcquire = true;
  /// Target incarnation to which the fields below refer; empty in the first call.
  std::string mTargetIncarnation;
  /// Epoch of the ownership under which the orders are given; zero in the first call.
  std::uint64_t mEpoch = 0;
  /// Time of the target's clock to which the leases of all tasks are extended; zero for no
  /// extension.
  target_time mTaskLeaseUntil{ 0 };
  /// Version of the task table known to the caller; zero if none.
  std::uint64_t mKnownTableVersion = 0;
  std::vector<target_order> mOrders;
  /// Ids of finished attempts that need not be reported again.
  std::vector<std::uint64_t> mAcknowledgedFinished;
};

struct running_task
{
  task_attempt mTask;
  target_time mLeaseUntil{ 0 };
};

struct finished_attempt
{
  /// Unique within this target incarnation; repeated in mAcknowledgedFinished.
  std::uint64_t mFinishedId = 0;
  task_attempt mTask;
  attempt_outcome mOutcome = attempt_outcome::succeeded;
  std::int32_t mExitCode = 0;
  std::string mOutput;
  std::string mCheckpoint;
  /// Run time of the attempt.
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
  /// Measured use of all tasks together; may be out of date.
  resources mMeasured;
  std::uint64_t mTableVersion = 0;
  /// The whole task table; absent if mKnownTableVersion is current.
  std::optional<std::vector<running_task>> mTable;
  std::vector<target_order_result> mOrderResults;
  /// All finished attempts that have not been acknowledged.
  std::vector<finished_attempt> mFinished;
};

} // namespace endiveusher
