#include "shed_answer.h"

#include <string>

namespace endiveusher::daemon {

answer shedAnswer(const call& aCall, std::string_view aDaemon)
{
  const auto* submit = std::get_if<submit_call>(&aCall);
  const auto* publish = std::get_if<publish_call>(&aCall);
  const bool mayRepeat = (submit != nullptr && !submit->mJob.mRequest.empty()) ||
                         (publish != nullptr && !publish->mOperationId.empty());
  return { .mClass = mayRepeat ? answer_class::unknown : answer_class::not_run,
           .mBody = call_error{ .mStatus = 503,
                                .mCode = "overloaded",
                                .mMessage = "too many calls wait for a decision; send the call "
                                            "again later",
                                .mStep = "queue",
                                .mPeer = std::string(aDaemon) } };
}

} // namespace endiveusher::daemon
