#include "waiting_times.h"

namespace endiveusher::daemon {

void waiting_times::submitted(const job_spec& aJob, time_point aNow)
{
  if (aJob.mRequest.empty() || aJob.mTaskCount > kTaskLimit) {
    return;
  }
  const bool isNew =
    mJobs
      .emplace(aJob.mRequest, job{ .mSince = aNow, .mStarted = std::vector<bool>(aJob.mTaskCount) })
      .second;
  if (!isNew) {
    return;
  }
  mOrder.push_back(aJob.mRequest);
  if (mOrder.size() > kJobLimit) {
    mJobs.erase(mOrder.front());
    mOrder.pop_front();
  }
}

void waiting_times::starting(const exchange_request& aExchange, time_point aNow,
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
    aRecord(aNow - found->second.mSince);
  }
}

void waiting_times::clear()
{
  mJobs.clear();
  mOrder.clear();
}

} // namespace endiveusher::daemon
