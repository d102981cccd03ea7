#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>

namespace endiveusher::scheduler {

using internal::run_phase;

namespace {

/// Number of targets lost under a task after which its job is given up if nothing of other jobs ran
/// on the last of them. The users' rule allows two further starts after three crashes.
constexpr std::uint32_t kMaxTargetLossesAlone = 3;
/// The same for losses soon after the task's start, whatever ran beside it.
constexpr std::uint32_t kMaxStartLosses = 3;
/// The same if other jobs may be at fault: the two further starts have been made.
constexpr std::uint32_t kMaxTargetLosses = 5;
/// A target that is lost within this time of the order to start a run may have been crashed by the
/// start: tasks beside it that have run for longer are not suspected.
constexpr auto kStartLossPeriod = std::chrono::milliseconds(500);

const task_state& taskOf(const job& aJob, const task_key& aTask)
{
  return aJob.find(aTask.mStep)->mTasks[aTask.mIndex];
}

/// Returns the ends that count against the task, or against its gang, as
/// `INDEX:RUN:OUTCOME@TARGET`.
std::string describeCountedEnds(const job& aJob, const task_key& aTask)
{
  const auto& step = *aJob.find(aTask.mStep);
  const bool gang = aJob.mSpec.mSteps[aTask.mStep.mStep].mGang;
  std::string text;
  for (const auto& end : step.mCountedEnds) {
    const bool counts = end.mIndex == aTask.mIndex || (gang && end.mOutcome == run_end::failed);
    if (counts) {
      text += fmt::format("{}{}:{}:{}@{}", text.empty() ? "" : ",", end.mIndex, end.mRun,
                          toText(end.mOutcome), end.mTarget);
    }
  }
  return text.empty() ? "-" : text;
}

/// How a run ends at a target that is lost unplanned.
run_end lossOf(const internal::target_state& aTarget, const internal::allocated_run& aRun)
{
  const auto lostAt = aTarget.mMissedHeartbeats > 0 ? aTarget.mLostContactAt : aTarget.mLastReply;
  return lostAt - aRun.mFirstOrderAt < kStartLossPeriod ? run_end::target_lost_at_start
                                                        : run_end::target_lost;
}

/// Returns the jobs of all runs that may be executing at the target, also of those that are being
/// stopped.
internal::occupants occupantsOf(const internal::target_state& aTarget)
{
  internal::occupants jobs;
  for (const auto& [task, run] : aTarget.mRuns) {
    if (run.mPhase != run_phase::storing) {
      jobs.add(task.mStep.mJob);
    }
  }
  return jobs;
}

} // namespace

std::uint32_t owner::impl::failuresOf(const job& aJob, const task_key& aTask)
{
  const auto* state = aJob.find(aTask.mStep);
  return aJob.mSpec.mSteps[aTask.mStep.mStep].mGang ? state->mGangFailures
                                                    : state->mTasks[aTask.mIndex].mFailures;
}

bool owner::impl::attemptsUsedUp(const job& aJob, const task_key& aTask) const
{
  const auto* route = findRoute(aJob.mSpec);
  return route != nullptr && !aJob.mSpec.mSteps[aTask.mStep.mStep].mLongRunning &&
         failuresOf(aJob, aTask) >= route->mMaxAttempts;
}

bool owner::impl::knowsAttempts(const job& aJob, time_point aNow) const
{
  // A route may permit more attempts now than when it accepted the job.
  return mRoutes.contains(aJob.mSpec.mRoute) ||
         (mConfig && aNow - mEpochStart >= internal::kConfigurationTime);
}

bool owner::impl::waitsForRoute(const waiting_step& aStep) const
{
  return !mRoutes.contains(aStep.mJob->mSpec.mRoute) &&
         std::ranges::any_of(aStep.mPending, [&](std::uint32_t aIndex) {
           return attemptsUsedUp(*aStep.mJob, { .mStep = aStep.mKey, .mIndex = aIndex });
         });
}

void owner::impl::abandon(job& aJob, const task_key& aTask, std::string_view aReason,
                          time_point aNow)
{
  const auto id = aJob.mSpec.mId;
  mPort.logDecision(
    "job_failed", fmt::format("job={} task={} reason={} failures={} max_attempts={} losses={} "
                              "start_losses={} counted={}",
                              toText(id), toText(aTask), aReason, failuresOf(aJob, aTask),
                              routeOf(aJob.mSpec).mMaxAttempts, taskOf(aJob, aTask).mTargetLosses,
                              taskOf(aJob, aTask).mStartLosses, describeCountedEnds(aJob, aTask)));
  append(job_abandoned{ .mJob = id }, aNow);
  stopRuns(aJob, aNow);
  dropSteps(id);
}

void owner::impl::abandonAfterLastAttempts(time_point aNow)
{
  std::map<job_id, std::pair<task_key, const char*>> failed;
  for (const auto& [key, step] : mWaiting) {
    for (const auto index : step.mPending) {
      const task_key task{ .mStep = key, .mIndex = index };
      if (attemptsUsedUp(*step.mJob, task) && knowsAttempts(*step.mJob, aNow)) {
        failed.try_emplace(key.mJob, task, "attempts");
      } else if (taskOf(*step.mJob, task).mTargetLosses >= kMaxTargetLosses ||
                 taskOf(*step.mJob, task).mStartLosses >= kMaxStartLosses) {
        failed.try_emplace(key.mJob, task, "targets_lost");
      }
    }
  }
  for (const auto& [id, cause] : failed) {
    abandon(*mJobTable.find(id), cause.first, cause.second, aNow);
  }
}

void owner::impl::abandonAfterTargetLoss(job& aJob, const task_key& aTask, bool aWasAlone,
                                         time_point aNow)
{
  const auto most = aWasAlone ? kMaxTargetLossesAlone : kMaxTargetLosses;
  const auto& task = taskOf(aJob, aTask);
  if (aJob.mPhase == job_phase::active &&
      (task.mTargetLosses >= most || task.mStartLosses >= kMaxStartLosses)) {
    abandon(aJob, aTask, "targets_lost", aNow);
  }
}

std::map<task_key, owner::impl::run_loss> owner::impl::lossesAt(const target_state& aTarget)
{
  const auto jobs = occupantsOf(aTarget);
  std::map<task_key, run_loss> losses;
  for (const auto& [task, run] : aTarget.mRuns) {
    if (run.mPhase != run_phase::storing) {
      losses.emplace(
        task, run_loss{ .mOutcome = lossOf(aTarget, run),
                        .mWasAlone = !aTarget.mHasUnknownRuns && jobs.onlyOf(task.mStep.mJob) });
    }
  }
  return losses;
}

void owner::impl::endLostRun(target_state& aTarget, const task_key& aTask,
                             const std::optional<run_loss>& aLoss, std::string_view aReason,
                             time_point aNow)
{
  const auto& lost = aTarget.mRuns.at(aTask);
  if (!lost.mEnded) {
    const auto run = lost.mRun;
    const auto checkpoint = lost.mCheckpoint;
    const bool hasBegun = lost.mPhase == run_phase::confirmed && !lost.mLoss;
    endRun(aTarget, aTask, aLoss ? aLoss->mOutcome : run_end::interrupted, checkpoint, aNow);
    job* owning = mJobTable.find(aTask.mStep.mJob);
    mPort.logDecision("run_lost",
                      fmt::format("task={} run={} target={} reason={} losses={} start_losses={}",
                                  toText(aTask), run, aTarget.mEntry.mId, aReason,
                                  owning == nullptr ? 0 : taskOf(*owning, aTask).mTargetLosses,
                                  owning == nullptr ? 0 : taskOf(*owning, aTask).mStartLosses));
    if (!hasBegun) {
      stopGangOf(aTask, aNow);
    }
    if (aLoss && owning != nullptr) {
      abandonAfterTargetLoss(*owning, aTask, aLoss->mWasAlone, aNow);
    }
  }
  release(aTarget, aTask);
}

void owner::impl::endLostRuns(target_state& aTarget, std::string_view aReason, bool aIsPlanned,
                              time_point aNow)
{
  const auto losses = lossesAt(aTarget);
  std::vector<task_key> tasks;
  tasks.reserve(aTarget.mRuns.size());
  for (const auto& [task, run] : aTarget.mRuns) {
    tasks.push_back(task);
  }
  for (const auto& task : tasks) {
    const auto loss = losses.find(task);
    const bool isCounted = !aIsPlanned && loss != losses.end();
    endLostRun(aTarget, task, isCounted ? std::optional(loss->second) : std::nullopt, aReason,
               aNow);
  }
}

} // namespace endiveusher::scheduler
