#pragma once

#include "job_table.h"

#include "endiveusher/kernel/messages/call.h"

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

inline answer statusAnswer(const home_job& aJob)
{
  return { .mClass = answer_class::ran, .mBody = job_table::status(aJob) };
}

/// Status of a job of which only the record of its end is left.
inline answer endedAnswer(const ended_record& aRecord)
{
  job_status status{ .mRequest = aRecord.mRequest,
                     .mDurability = durability::log,
                     .mEnded = true,
                     .mTaskCount = aRecord.mSucceeded + aRecord.mFailed + aRecord.mCancelled +
                                   aRecord.mUnknown };
  const auto add = [&status](std::uint32_t aCount, task_state aState) {
    for (std::uint32_t i = 0; i < aCount && status.mTasks.size() < job_status::kMaxTasksShown;
         ++i) {
      status.mTasks.push_back(
        { .mIndex = static_cast<std::uint32_t>(status.mTasks.size()), .mState = aState });
    }
  };
  add(aRecord.mSucceeded, task_state::succeeded);
  add(aRecord.mFailed, task_state::failed);
  add(aRecord.mCancelled, task_state::cancelled);
  add(aRecord.mUnknown, task_state::unknown);
  return { .mClass = answer_class::ran, .mBody = std::move(status) };
}

} // namespace endiveusher::internal
