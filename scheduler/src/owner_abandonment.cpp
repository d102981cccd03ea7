#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>

namespace endiveusher::scheduler {

using internal::run_phase;

namespace {

/// Number of targets that have crashed under a task after which its job is given up if nothing of
/// other jobs ran on the last of them. The users' rule allows two further starts after three
/// crashes.
constexpr std::uint32_t kMaxTargetLossesAlone = 3;
/// The same for crashes soon after the task's start, whatever ran beside it.
constexpr std::uint32_t kMaxStartLosses = 3;
/// Number of crashes under runs that are known to have begun from which the users' rule permits to
/// give up a job.
constexpr std::uint32_t kMinCertainLosses = 2;
/// The number of crashes if other jobs may be at fault, or runs may not have begun: the two further
/// starts have been made.
constexpr std::uint32_t kMaxTargetLosses = 5;
/// A target that is lost within this time of the order to start a run may have been crashed by the
/// start: tasks beside it that have run for longer are not suspected.
constexpr auto kStartLossPeriod = std::chrono::milliseconds(500);

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

/// How a run ends at a target that is lost unplanned. A former owner was in contact with it until
/// aEpochStart, as far as is known.
run_end lossOf(const internal::target_state& aTarget, const internal::allocated_run& aRun,
               time_point aEpochStart)
{
  const auto lostAt = std::max(
    aTarget.mMissedHeartbeats > 0 ? aTarget.mLostContactAt : aTarget.mLastReply, aEpochStart);
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
  const bool gang = state != nullptr && aJob.mSpec.mSteps[aTask.mStep.mStep].mGang;
  return gang ? state->mGangFailures : aJob.taskOf(aTask).mFailures;
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
  mPort.logDecision("job_failed",
                    fmt::format("job={} task={} reason={} failures={} max_attempts={} losses={} "
                                "start_losses={} counted={}",
                                toText(id), toText(aTask), aReason, failuresOf(aJob, aTask),
                                routeOf(aJob.mSpec).mMaxAttempts, aJob.taskOf(aTask).mTargetLosses,
                                aJob.taskOf(aTask).mStartLosses, describeCountedEnds(aJob, aTask)));
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
      } else if (crashesTooOften(step.mJob->taskOf(task), step.spec().mLongRunning, false)) {
        failed.try_emplace(key.mJob, task, "targets_lost");
      }
    }
  }
  for (const auto& [id, cause] : failed) {
    abandon(*mJobTable.find(id), cause.first, cause.second, aNow);
  }
}

bool owner::impl::crashesTooOften(const task_state& aTask, bool aIsLongRunning, bool aWasAlone)
{
  const bool mayBeLower = aTask.mCertainLosses >= kMinCertainLosses;
  if (aTask.mStartLosses >= (mayBeLower ? kMaxStartLosses : kMaxTargetLosses)) {
    return true;
  }
  // A task that runs until it is cancelled loses targets that crash for other reasons.
  return !aIsLongRunning && aTask.mTargetLosses >=
                              (mayBeLower && aWasAlone ? kMaxTargetLossesAlone : kMaxTargetLosses);
}

void owner::impl::abandonAfterTargetLoss(job& aJob, const task_key& aTask, bool aWasAlone,
                                         time_point aNow)
{
  if (aJob.mPhase == job_phase::active &&
      crashesTooOften(aJob.taskOf(aTask), aJob.mSpec.mSteps[aTask.mStep.mStep].mLongRunning,
                      aWasAlone)) {
    abandon(aJob, aTask, "targets_lost", aNow);
  }
}

std::map<task_key, owner::impl::run_loss> owner::impl::lossesAt(const target_state& aTarget) const
{
  const auto jobs = occupantsOf(aTarget);
  std::map<task_key, run_loss> losses;
  for (const auto& [task, run] : aTarget.mRuns) {
    if (run.mPhase != run_phase::storing) {
      losses.emplace(
        task, run_loss{ .mOutcome = lossOf(aTarget, run, mEpochStart),
                        .mWasAlone = !aTarget.mHasUnknownRuns && jobs.onlyOf(task.mStep.mJob),
                        .mHasBegun = run.mHasBegun,
                        .mListedBy = run.mListedBy });
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
    const bool hadBegun = lost.mHasBegun;
    const auto checkpoint = lost.mCheckpoint;
    const bool isConfirmed = lost.mPhase == run_phase::confirmed && !lost.mLoss;
    endRun(aTarget, aTask, aLoss ? aLoss->mOutcome : run_end::interrupted, checkpoint, aNow, aLoss);
    job* owning = mJobTable.find(aTask.mStep.mJob);
    mPort.logDecision(
      "run_lost", fmt::format("task={} run={} target={} reason={} outcome={} begun={} losses={} "
                              "start_losses={}",
                              toText(aTask), run, aTarget.mEntry.mId, aReason,
                              toText(aLoss ? aLoss->mOutcome : run_end::interrupted), hadBegun,
                              owning == nullptr ? 0 : owning->taskOf(aTask).mTargetLosses,
                              owning == nullptr ? 0 : owning->taskOf(aTask).mStartLosses));
    if (!isConfirmed) {
      stopGangOf(aTask, aNow);
    }
    if (aLoss && owning != nullptr) {
      abandonAfterTargetLoss(*owning, aTask, aLoss->mWasAlone, aNow);
    }
  }
  release(aTarget, aTask);
}

void owner::impl::endLostRuns(target_state& aTarget, std::string_view aReason,
                              loss_evidence aEvidence, time_point aNow)
{
  if (aEvidence == loss_evidence::silence) {
    dropOldSilentRuns(aNow);
  }
  const auto incarnation = std::max(aTarget.mEntry.mIncarnationStart,
                                    mJobTable.acquiredIncarnation(aTarget.mEntry.mId).value_or(0));
  const auto losses = lossesAt(aTarget);
  std::vector<task_key> tasks;
  tasks.reserve(aTarget.mRuns.size());
  for (const auto& [task, run] : aTarget.mRuns) {
    tasks.push_back(task);
  }
  for (const auto& task : tasks) {
    // A former incarnation of a silent target has crashed under a run with mLoss.
    auto loss = aTarget.mRuns.at(task).mLoss;
    if (const auto found = losses.find(task); !loss && found != losses.end()) {
      loss = found->second;
      if (aEvidence == loss_evidence::silence) {
        loss->mOutcome =
          isAtStart(loss->mOutcome) ? run_end::target_silent_at_start : run_end::target_silent;
      }
    }
    if (aEvidence == loss_evidence::none) {
      loss.reset();
    }
    const auto run = aTarget.mRuns.at(task).mRun;
    const bool hadEnded = aTarget.mRuns.at(task).mEnded;
    endLostRun(aTarget, task, loss, aReason, aNow);
    if (loss && isTargetSilent(loss->mOutcome) && !hadEnded) {
      noteSilentRun(aTarget.mEntry.mId, { .mTask = task,
                                          .mRun = run,
                                          .mIncarnationStart = incarnation,
                                          .mAtStart = isAtStart(loss->mOutcome),
                                          .mHasBegun = loss->mHasBegun,
                                          .mSince = aNow });
    }
  }
}

void owner::impl::noteSilentRuns(const job& aJob, time_point aNow)
{
  if (aJob.mPhase != job_phase::active) {
    return;
  }
  for (const auto& [occurrence, steps] : aJob.mOccurrences) {
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      for (const auto& silent : steps[step].mSilentRuns) {
        const step_key key{ .mJob = aJob.mSpec.mId, .mOccurrence = occurrence, .mStep = step };
        noteSilentRun(silent.mAt.mTarget, { .mTask = { .mStep = key, .mIndex = silent.mIndex },
                                            .mRun = silent.mRun,
                                            .mIncarnationStart = silent.mAt.mIncarnationStart,
                                            .mAtStart = silent.mAtStart,
                                            .mSince = aNow });
      }
    }
  }
}

void owner::impl::noteSilentRun(const std::string& aTarget, const internal::silent_run_ref& aRun)
{
  auto& known = mSilentRuns[aTarget];
  const bool isKnown = std::ranges::any_of(known, [&aRun](const auto& aOne) {
    return aOne.mTask == aRun.mTask && aOne.mRun == aRun.mRun;
  });
  if (!isKnown) {
    known.push_back(aRun);
  }
}

void owner::impl::dropOldSilentRuns(time_point aNow)
{
  for (auto& [id, runs] : mSilentRuns) {
    std::erase_if(runs,
                  [aNow](const auto& aOne) { return aNow - aOne.mSince > kTargetLossMemory; });
  }
  std::erase_if(mSilentRuns, [](const auto& aOne) { return aOne.second.empty(); });
}

void owner::impl::resolveSilentRuns(const std::string& aTarget, std::int64_t aIncarnationStart,
                                    time_point aNow)
{
  const auto found = mSilentRuns.find(aTarget);
  if (found == mSilentRuns.end()) {
    return;
  }
  const auto runs = std::move(found->second);
  mSilentRuns.erase(found);
  for (const auto& run : runs) {
    job* owning = mJobTable.find(run.mTask.mStep.mJob);
    if (owning == nullptr || owning->mPhase != job_phase::active) {
      continue;
    }
    const bool hasCrashed = run.mIncarnationStart != 0 && aIncarnationStart > run.mIncarnationStart;
    auto outcome = run_end::interrupted;
    if (hasCrashed) {
      outcome = run.mAtStart ? run_end::target_lost_at_start : run_end::target_lost;
    }
    // Whether the target crashed before the lease had expired is not known. It is likely if contact
    // was lost at the start.
    append(run_ended{ .mTask = run.mTask,
                      .mRun = run.mRun,
                      .mOutcome = outcome,
                      .mHasBegun = hasCrashed && run.mAtStart && run.mHasBegun },
           aNow);
    if (!hasCrashed) {
      continue;
    }
    mPort.logDecision("crash_shown_late",
                      fmt::format("task={} run={} target={} losses={} start_losses={}",
                                  toText(run.mTask), run.mRun, aTarget,
                                  owning->taskOf(run.mTask).mTargetLosses,
                                  owning->taskOf(run.mTask).mStartLosses));
    if (const auto step = mWaiting.find(run.mTask.mStep); step != mWaiting.end()) {
      updateSuspicion(step->second, *owning->find(run.mTask.mStep), aNow);
    }
    if (!owning->taskOf(run.mTask).mDone) {
      abandonAfterTargetLoss(*owning, run.mTask, false, aNow);
    }
  }
}

} // namespace endiveusher::scheduler
