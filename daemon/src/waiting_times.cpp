#include "waiting_times.h"

namespace endiveusher::daemon {

void waiting_times::recordSubmission(const job_spec& aJob, time_point aNow)
{
  if (aJob.mRequest.empty() || aJob.mTaskCount > kMaxTasksPerJob) {
    return;
  }
  const bool isNew =
    mJobs
      .emplace(aJob.mRequest,
               job{ .mSubmittedAt = aNow, .mStarted = std::vector<bool>(aJob.mTaskCount) })
      .second;
  if (!isNew) {
    return;
  }
  mSubmissionOrder.push_back(aJob.mRequest);
  if (mSubmissionOrder.size() > kMaxTrackedJobs) {
    mJobs.erase(mSubmissionOrder.front());
    mSubmissionOrder.pop_front();
  }
}

void waiting_times::recordStarts(const exchange_request& aExchange, time_point aNow,
                                 const std::function<void(duration)>& aRecord)
{
  for (const auto& order : aExchange.mOrders) {
    if (order.mAction != order_action::start || order.mTask.mAttempt != 1) {
      continue;
    }
    const auto& key = order.mTask.mKey;
    const auto found = mJobs.find(key.mRequest);
    if (found == mJobs.end() || key.mIndex >= found->second.mStarted.size() ||
        found->second.mStarted[key.mIndex]) {
      continue;
    }
    found->second.mStarted[key.mIndex] = true;
    aRecord(aNow - found->second.mSubmittedAt);
  }
}

void waiting_times::clear()
{
  mJobs.clear();
  mSubmissionOrder.clear();
}

} // namespace endiveusher::daemon
