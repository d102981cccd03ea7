#pragma once

#include "endiveusher/kernel/control_state.h"
#include "endiveusher/kernel/events.h"
#include "endiveusher/kernel/timing.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher::internal {

/// Answers publish calls once the record has been read back and is in force, or as unknown once
/// kAppendDeadline has passed.
class publisher
{
public:
  /// Id of a publish call and its answer.
  using result = std::pair<std::uint64_t, answer>;

  explicit publisher(duration aInForcePeriod) : mInForcePeriod(aInForcePeriod) {}

  /// Registers a publish call. aRecordId is empty if the operation is already in the log.
  void begin(std::uint64_t aCallId, std::string aOperationId, std::string aRecordId,
             time_point aNow)
  {
    mWaiting.push_back({ .mCallId = aCallId,
                         .mOperationId = std::move(aOperationId),
                         .mRecordId = std::move(aRecordId),
                         .mBegunAt = aNow });
  }

  /// Removes and returns the calls that can be answered now. aAllMembersAt(offset) returns whether
  /// all members have applied the offset.
  template<typename AllMembersAt>
  std::vector<result> advance(const control_state& aControl, AllMembersAt&& aAllMembersAt,
                              time_point aNow)
  {
    std::vector<result> ended;
    std::erase_if(mWaiting, [&](waiting& aCall) {
      const auto operation = aControl.operation(aCall.mOperationId);
      if (operation) {
        if (aCall.mSeenAt == time_point{}) {
          aCall.mSeenAt = aNow;
        }
        const bool stale = aNow - aCall.mSeenAt >= mInForcePeriod;
        if (operation->mApplied && !stale && !aAllMembersAt(operation->mOffset)) {
          return false;
        }
        ended.emplace_back(aCall.mCallId, resultOf(*operation));
        return true;
      }
      if (aNow - aCall.mBegunAt < kAppendDeadline) {
        return false;
      }
      // If the record were appended later, it could undo a newer change.
      mAbandoned.push_back(aCall.mRecordId);
      ended.emplace_back(aCall.mCallId, unreachable());
      return true;
    });
    return ended;
  }

  /// Removes and returns the ids of records that must no longer be appended, because their calls
  /// have been answered.
  std::vector<std::string> takeAbandoned() { return std::exchange(mAbandoned, {}); }

  /// Answer for an unconfirmed operation. Its class is unknown even if this daemon has appended
  /// nothing: the same operation may have been published through another daemon.
  static answer unreachable()
  {
    return { .mClass = answer_class::unknown,
             .mBody = call_error{ .mStatus = 503,
                                  .mCode = "log_unreachable",
                                  .mMessage = "The log did not confirm the record; it may be in "
                                              "force. Publish the same operation again.",
                                  .mStep = "append",
                                  .mPeer = "log" } };
  }

private:
  static constexpr duration kAppendDeadline = std::chrono::seconds(5);

  struct waiting
  {
    std::uint64_t mCallId = 0;
    std::string mOperationId;
    std::string mRecordId;
    time_point mBegunAt{};
    time_point mSeenAt{};
  };

  static answer resultOf(const control_state::operation_result& aOperation)
  {
    if (!aOperation.mApplied) {
      return { .mClass = answer_class::not_run,
               .mBody = call_error{ .mStatus = 409,
                                    .mCode = "offset_conflict",
                                    .mMessage = "An entry was changed after the expected offset; "
                                                "nothing was published.",
                                    .mStep = "publish",
                                    .mPeer = "log" } };
    }
    return { .mClass = answer_class::ran,
             .mBody = publish_result{ .mOffset = aOperation.mOffset, .mInForceEverywhere = true } };
  }

  duration mInForcePeriod;
  std::vector<waiting> mWaiting;
  std::vector<std::string> mAbandoned;
};

} // namespace endiveusher::internal
