#include "job_table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace endiveusher::internal {

std::string boundedOutput(std::string_view aOutput)
{
  const auto length = std::min(aOutput.size(), job_table::kMaxOutputBytes);
  return std::string(aOutput.substr(aOutput.size() - length));
}

coordinated_job* job_table::find(const request_id& aRequest)
{
  const auto found = mJobs.find(aRequest);
  return found == mJobs.end() ? nullptr : &found->second;
}

const coordinated_job* job_table::find(const request_id& aRequest) const
{
  const auto found = mJobs.find(aRequest);
  return found == mJobs.end() ? nullptr : &found->second;
}

coordinated_job& job_table::add(const job_spec& aSpec, std::uint64_t aDigest, time_point aNow)
{
  auto& job = mJobs[aSpec.mRequest];
  job = coordinated_job{ .mSpec = aSpec,
                         .mDigest = aDigest,
                         .mAcceptedAt = aNow,
                         .mTasks = std::vector<coordinated_task>(aSpec.mTaskCount),
                         .mOpenTasks = aSpec.mTaskCount };
  ++mUnfinished;
  return job;
}

bool job_table::endTask(coordinated_job& aJob, std::uint32_t aIndex, task_state aState,
                        time_point aNow)
{
  auto& task = aJob.mTasks.at(aIndex);
  if (hasEnded(task.mState)) {
    return false;
  }
  task.mState = aState;
  if (--aJob.mOpenTasks > 0) {
    return false;
  }
  aJob.mEnded = true;
  aJob.mEndedAt = aNow;
  --mUnfinished;
  mEnded.emplace_back(aNow, aJob.mSpec.mRequest);
  return true;
}

void job_table::evict(time_point aNow)
{
  while (!mEnded.empty() &&
         (mEnded.size() > kMaxEnded || mEnded.front().first + kKeepEnded <= aNow)) {
    mJobs.erase(mEnded.front().second);
    mEnded.pop_front();
  }
}

void job_table::forEach(const std::function<void(coordinated_job&)>& aVisit)
{
  for (auto& [request, job] : mJobs) {
    aVisit(job);
  }
}

void job_table::clear()
{
  mJobs.clear();
  mEnded.clear();
  mUnfinished = 0;
}

job_status job_table::status(const coordinated_job& aJob)
{
  job_status status{ .mRequest = aJob.mSpec.mRequest,
                     .mTeam = aJob.mSpec.mTeam,
                     .mKind = aJob.mSpec.mKind,
                     .mDurability = aJob.mDurability,
                     .mEnded = aJob.mEnded,
                     .mTaskCount = static_cast<std::uint32_t>(aJob.mTasks.size()) };
  const auto shown = std::min(aJob.mTasks.size(), job_status::kMaxTasksShown);
  status.mTasks.reserve(shown);
  for (std::uint32_t i = 0; i < shown; ++i) {
    const auto& task = aJob.mTasks[i];
    status.mTasks.push_back({ .mIndex = i,
                              .mState = task.mState,
                              .mAttempt = task.mAttempt,
                              .mTarget = task.mTarget,
                              .mExitCode = task.mExitCode,
                              .mOutput = task.mOutput });
  }
  return status;
}

ended_record job_table::summary(const coordinated_job& aJob)
{
  ended_record record{ .mRequest = aJob.mSpec.mRequest };
  for (const auto& task : aJob.mTasks) {
    switch (task.mState) {
      case task_state::succeeded:
        ++record.mSucceeded;
        break;
      case task_state::failed:
        ++record.mFailed;
        break;
      case task_state::cancelled:
        ++record.mCancelled;
        break;
      default:
        ++record.mUnknown;
    }
  }
  return record;
}

std::string job_table::dump() const
{
  constexpr std::size_t kMaxJobsShown = 1000;
  constexpr std::array kStates{ "waiting", "starting",  "running", "succeeded",
                                "failed",  "cancelled", "unknown" };
  nlohmann::json jobs = nlohmann::json::array();
  for (const auto& [request, job] : mJobs) {
    if (jobs.size() == kMaxJobsShown) {
      break;
    }
    std::array<std::uint32_t, kStates.size()> counts{};
    for (const auto& task : job.mTasks) {
      ++counts.at(static_cast<std::size_t>(task.mState));
    }
    nlohmann::json states = nlohmann::json::object();
    for (std::size_t i = 0; i < kStates.size(); ++i) {
      if (counts.at(i) > 0) {
        states[kStates.at(i)] = counts.at(i);
      }
    }
    jobs.push_back({ { "request", request },
                     { "team", job.mSpec.mTeam },
                     { "ended", job.mEnded },
                     { "inherited", job.mFailedOver },
                     { "settled", job.mSettled },
                     { "tasks", std::move(states) } });
  }
  return nlohmann::json{
    { "unfinished", mUnfinished }, { "kept", mJobs.size() }, { "jobs", jobs }
  }.dump();
}

} // namespace endiveusher::internal
