#pragma once

#include "archive.h"
#include "codec_job.h"
#include "endiveusher/kernel/messages/target.h"

namespace endiveusher::protocol::internal {

template<>
struct enum_codec<order_action>
{
  using wire = schema::OrderAction;
  static constexpr auto kLast = order_action::throttle;
};
template<>
struct enum_codec<order_result_code>
{
  using wire = schema::OrderResultCode;
  static constexpr auto kLast = order_result_code::no_such_task;
};
template<>
struct codec<target_order>
{
  using wire = schema::TargetOrder;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mOrderId, ENDIVEUSHER_FIELD(OrderId));
    aArchive(aValue.mAction, ENDIVEUSHER_FIELD(Action));
    aArchive(aValue.mTask, ENDIVEUSHER_FIELD(Task));
    aArchive(aValue.mStartBy, ENDIVEUSHER_FIELD(StartByMs));
    aArchive(aValue.mThrottlePercent, ENDIVEUSHER_FIELD(ThrottlePercent));
  }
};
template<>
struct codec<target_order_result>
{
  using wire = schema::TargetOrderResult;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mOrderId, ENDIVEUSHER_FIELD(OrderId));
    aArchive(aValue.mCode, ENDIVEUSHER_FIELD(Code));
  }
};
template<>
struct codec<exchange_request>
{
  using wire = schema::ExchangeRequest;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTarget, ENDIVEUSHER_FIELD(Target));
    aArchive(aValue.mDaemon, ENDIVEUSHER_FIELD(Daemon));
    aArchive(aValue.mOwnershipLease, ENDIVEUSHER_FIELD(OwnershipLeaseMs));
    aArchive(aValue.mAcquire, ENDIVEUSHER_FIELD(Acquire));
    aArchive(aValue.mTargetIncarnation, ENDIVEUSHER_FIELD(TargetIncarnation));
    aArchive(aValue.mEpoch, ENDIVEUSHER_FIELD(Epoch));
    aArchive(aValue.mTaskLeaseUntil, ENDIVEUSHER_FIELD(TaskLeaseUntilMs));
    aArchive(aValue.mKnownTableVersion, ENDIVEUSHER_FIELD(KnownTableVersion));
    aArchive(aValue.mOrders, ENDIVEUSHER_FIELD(Orders));
    aArchive(aValue.mAcknowledgedFinished, ENDIVEUSHER_FIELD(AcknowledgedFinished));
  }
};
template<>
struct codec<running_task>
{
  using wire = schema::RunningTask;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTask, ENDIVEUSHER_FIELD(Task));
    aArchive(aValue.mLeaseUntil, ENDIVEUSHER_FIELD(LeaseUntilMs));
  }
};
template<>
struct codec<finished_attempt>
{
  using wire = schema::FinishedAttempt;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mFinishedId, ENDIVEUSHER_FIELD(FinishedId));
    aArchive(aValue.mTask, ENDIVEUSHER_FIELD(Task));
    aArchive(aValue.mOutcome, ENDIVEUSHER_FIELD(Outcome));
    aArchive(aValue.mExitCode, ENDIVEUSHER_FIELD(ExitCode));
    aArchive(aValue.mOutput, ENDIVEUSHER_FIELD(Output));
    aArchive(aValue.mCheckpoint, ENDIVEUSHER_FIELD(Checkpoint));
    aArchive(aValue.mRanFor, ENDIVEUSHER_FIELD(RanForMs));
  }
};
template<>
struct codec<exchange_response>
{
  using wire = schema::ExchangeResponse;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTarget, ENDIVEUSHER_FIELD(Target));
    aArchive(aValue.mTargetIncarnation, ENDIVEUSHER_FIELD(TargetIncarnation));
    aArchive(aValue.mClock, ENDIVEUSHER_FIELD(ClockMs));
    aArchive(aValue.mGranted, ENDIVEUSHER_FIELD(Granted));
    aArchive(aValue.mOwner, ENDIVEUSHER_FIELD(Owner));
    aArchive(aValue.mEpoch, ENDIVEUSHER_FIELD(Epoch));
    aArchive(aValue.mOwnerUntil, ENDIVEUSHER_FIELD(OwnerUntilMs));
    aArchive(aValue.mLeaving, ENDIVEUSHER_FIELD(Leaving));
    aArchive(aValue.mCapacity, ENDIVEUSHER_FIELD(Capacity));
    aArchive(aValue.mMeasured, ENDIVEUSHER_FIELD(Measured));
    aArchive(aValue.mTableVersion, ENDIVEUSHER_FIELD(TableVersion));
    aArchive.optionalList(aValue.mTable, ENDIVEUSHER_FIELD(Table));
    aArchive(aValue.mOrderResults, ENDIVEUSHER_FIELD(OrderResults));
    aArchive(aValue.mFinished, ENDIVEUSHER_FIELD(Finished));
  }
};

} // namespace endiveusher::protocol::internal
