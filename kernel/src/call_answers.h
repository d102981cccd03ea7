#pragma once

#include "job_table.h"

#include "endiveusher/kernel/messages/call.h"

#include <fmt/format.h>

#include <string>
#include <utility>

namespace endiveusher::internal {

inline answer refusal(answer_class aClass, call_error aError)
{
  return { .mClass = aClass, .mBody = std::move(aError) };
}

inline answer refusal(answer_class aClass, std::uint16_t aStatus, std::string aCode,
                      std::string aMessage, std::string aStep, std::string aPeer = {})
{
  return refusal(aClass, call_error{ .mStatus = aStatus,
                                     .mCode = std::move(aCode),
                                     .mMessage = std::move(aMessage),
                                     .mStep = std::move(aStep),
                                     .mPeer = std::move(aPeer) });
}

inline answer statusAnswer(const coordinated_job& aJob)
{
  return { .mClass = answer_class::ran, .mBody = job_table::status(aJob) };
}

/// Answer for a job of which only the ended record is left. The record has no outputs, so the
/// answer is not a job_status: an answer with tasks would have to be complete.
inline answer endedAnswer(const ended_record& aRecord)
{
  return refusal(answer_class::ran, 410, "result_lost",
                 fmt::format("The job has ended: {} tasks succeeded, {} failed, {} were cancelled, "
                             "{} have an unknown outcome.",
                             aRecord.mSucceeded, aRecord.mFailed, aRecord.mCancelled,
                             aRecord.mUnknown),
                 "look up");
}

} // namespace endiveusher::internal
