#include "owner_impl.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <string>

namespace endiveusher::scheduler {

using internal::run_phase;
using internal::run_times;

namespace {

/// Lateness of a tick from which open runs are not counted: as much as run_times::slowAfter()
/// allows for orders and reports.
constexpr auto kMaxTickDelay = std::chrono::milliseconds(300);
/// Interval at which open runs are looked through.
constexpr auto kCheckInterval = std::chrono::milliseconds(100);
/// Largest part of a pool's CPU that gets no new tasks because its targets are slow, as a divisor.
constexpr std::int64_t kMaxExcludedPart = 5;
/// A run is moved if its time left at the slow speed exceeds this multiple of its time left at the
/// usual speed and this time, in which it stops, waits for a target and resumes.
constexpr int kMoveFactor = 2;
constexpr auto kMoveMargin = std::chrono::seconds(2);
/// Largest number of runs that are moved in kMovePeriod.
constexpr std::size_t kMaxMoves = 4;
constexpr auto kMovePeriod = std::chrono::seconds(1);
/// Time for which the step of a moved run avoids the slow target, whose pause may end before the
/// run has stopped.
constexpr auto kAvoidAfterMove = std::chrono::seconds(8);

} // namespace

const run_times* owner::impl::predictions() const
{
  return mOptions.mLearnRunTimes ? &mLearning->mTimes : nullptr;
}

void owner::impl::notePause(time_point aNow)
{
  if (mLearning && aNow - mNextTick > kMaxTickDelay) {
    mLearning->mCountedFrom = aNow;
  }
}

std::optional<internal::run_measurement> owner::impl::measure(const target_state& aTarget,
                                                              const task_key& aTask,
                                                              const allocated_run& aRun,
                                                              time_point aNow) const
{
  // Runs that a former owner has started began at a time that this one has not observed.
  if (aRun.mFirstOrderAt < std::max(mLearning->mCountedFrom, aTarget.mHeardAgainAt) ||
      aTarget.mMissedHeartbeats > 0 || aRun.mTries > 0 || aRun.mIsResumed || aRun.mStopWanted) {
    return std::nullopt;
  }
  const auto* owning = mJobTable.find(aTask.mStep.mJob);
  if (owning == nullptr) {
    return std::nullopt;
  }
  const auto& step = owning->mSpec.mSteps[aTask.mStep.mStep];
  // The run time of a task that uses idle CPU depends on the tasks beside it.
  if (step.mLongRunning || step.mUsesIdleCpu || step.mEstimate.count() <= 0) {
    return std::nullopt;
  }
  const auto& spec = owning->mSpec;
  return internal::run_measurement{ .mJob = &spec,
                                    .mEstimate = step.mEstimate,
                                    .mTime = aNow - aRun.mFirstOrderAt,
                                    .mPredicted = mLearning->mTimes.predicted(
                                      spec.mRoute, spec.mTeam, step.mEstimate, aNow) };
}

void owner::impl::countRunTime(target_state& aTarget, const task_key& aTask, time_point aNow)
{
  if (!mLearning) {
    return;
  }
  notePause(aNow);
  auto& run = aTarget.mRuns.find(aTask)->second;
  const auto time = measure(aTarget, aTask, run, aNow);
  if (!time) {
    return;
  }
  // The members of a gang end together, with the slowest of them: it tells nothing about the
  // others' targets.
  if (!time->mJob->mSteps[aTask.mStep.mStep].mGang) {
    if (run.mIsSlow) {
      mLearning->mSlow.onStillSlow(aTarget.mNumber, time->ratio(), false, aNow);
    } else if (time->mTime > run_times::slowAfter(time->mPredicted)) {
      countSlowRun(aTarget, aTask, run, *time, aNow);
    } else if (time->mTime <= time->mPredicted) {
      const auto cleared = mLearning->mSlow.onFast(aTarget.mNumber, run.mFirstOrderAt, aNow);
      for (const auto& one : cleared.mOutliers) {
        mLearning->mTimes.onOutlier(one.mRoute, one.mTeam, aNow);
      }
      if (cleared.mWasMarked) {
        aTarget.mSlowUntil = time_point{};
        mPlanNeeded = true;
        mPort.logDecision(
          "target_speed_ok",
          fmt::format("target={} task={} run_ms={} predicted_ms={} outliers={}", aTarget.mEntry.mId,
                      toText(aTask), time->mTime / std::chrono::milliseconds(1),
                      time->mPredicted / std::chrono::milliseconds(1), cleared.mOutliers.size()));
      }
    }
  }
  mLearning->mTimes.onEnded(time->mJob->mRoute, time->mJob->mTeam, time->mEstimate, time->mTime,
                            aNow);
}

void owner::impl::countSlowRun(target_state& aTarget, const task_key& aTask, allocated_run& aRun,
                               const internal::run_measurement& aTime, time_point aNow)
{
  aRun.mIsSlow = true;
  const auto& job = *aTime.mJob;
  mLearning->mTimes.onSlow(job.mRoute, job.mTeam, aNow);
  const auto judged = mLearning->mSlow.onSlow(
    aTarget.mNumber, { .mTask = aTask,
                       .mRoute = job.mRoute,
                       .mTeam = job.mTeam,
                       .mStart = aRun.mFirstOrderAt,
                       .mAt = aNow,
                       .mWeight = mLearning->mTimes.evidenceWeight(job.mRoute, job.mTeam, aNow),
                       .mRatio = aTime.ratio() });
  if (judged.mIsOutlier) {
    mLearning->mTimes.onOutlier(job.mRoute, job.mTeam, aNow);
  }
  const auto& mark = judged.mMark;
  if (!mark) {
    return;
  }
  excludeSlowTargets(aNow);
  if (!mark->mHasChanged) {
    return;
  }
  mPort.logDecision(
    "target_slow",
    fmt::format("target={} task={} run_ms={} predicted_ms={} ratio={:.1f} runs={} "
                "pause_ms={} excluded={}",
                aTarget.mEntry.mId, toText(aTask), aTime.mTime / std::chrono::milliseconds(1),
                aTime.mPredicted / std::chrono::milliseconds(1), mark->mRatio, mark->mRuns,
                mark->mPeriod / std::chrono::milliseconds(1), aTarget.mSlowUntil > aNow));
}

void owner::impl::updateSlowTargets(time_point aNow)
{
  if (!mOptions.mAvoidSlowTargets || mLearning->mNextCheck > aNow) {
    return;
  }
  mLearning->mNextCheck = aNow + kCheckInterval;
  for (auto& [id, target] : mTargets) {
    for (auto& [task, run] : target.mRuns) {
      if (run.mPhase != run_phase::confirmed || !run.mHasBegun || run.mEnded) {
        continue;
      }
      if (run.mSlowAt == time_point{}) {
        const auto time = measure(target, task, run, aNow);
        const bool counts = time && !time->mJob->mSteps[task.mStep.mStep].mGang;
        run.mSlowAt =
          counts ? run.mFirstOrderAt + run_times::slowAfter(time->mPredicted) : time_point::max();
      }
      // Known to be open as of the last reply: the target may be silent since.
      if (run.mSlowAt >= target.mLastReply) {
        continue;
      }
      const auto time = measure(target, task, run, target.mLastReply);
      if (time && run.mIsSlow) {
        mLearning->mSlow.onStillSlow(target.mNumber, time->ratio(), true, aNow);
      } else if (time && time->mTime > run_times::slowAfter(time->mPredicted)) {
        countSlowRun(target, task, run, *time, aNow);
      }
    }
  }
  for (const auto& one : mLearning->mSlow.dropOld(aNow)) {
    mLearning->mTimes.onOutlier(one.mRoute, one.mTeam, aNow);
  }
  excludeSlowTargets(aNow);
  moveFromSlowTargets(aNow);
}

/// Load pattern: a batch task of several seconds runs on a target that becomes slow. How far it has
/// come is not known: the whole time of the run is assumed to have been slow.
void owner::impl::moveFromSlowTargets(time_point aNow)
{
  auto& moves = mLearning->mMoves;
  std::erase_if(moves, [aNow](time_point aOne) { return aNow - aOne >= kMovePeriod; });
  for (const auto& mark : mLearning->mSlow.marks(aNow)) {
    auto* from = mTargetsByNumber[mark.mTarget];
    if (from == nullptr || from->mSlowUntil <= aNow) {
      // The run could start there again.
      continue;
    }
    for (const auto& one : preemptibleRuns(*from)) {
      auto& run = from->mRuns.find(one.mTask)->second;
      const auto time = measure(*from, one.mTask, run, aNow);
      const auto step = mWaiting.find(one.mTask.mStep);
      if (moves.size() >= kMaxMoves || !time || step == mWaiting.end()) {
        continue;
      }
      const auto left =
        time->mPredicted - std::chrono::duration_cast<duration>(time->mTime / mark.mRatio);
      const auto leftHere = std::chrono::duration_cast<duration>(left * mark.mRatio);
      const bool hasRoomElsewhere =
        left > duration{ 0 } && leftHere > kMoveFactor * left + kMoveMargin &&
        std::ranges::any_of(mTargetsByNumber, [&](const target_state* aOne) {
          return aOne != nullptr && aOne != from && usable(*aOne, aNow) &&
                 allowed(step->second, *aOne, aNow) && run.mNeeds.fitsIn(aOne->freeCapacity());
        });
      if (!hasRoomElsewhere) {
        continue;
      }
      moves.push_back(aNow);
      ++mLearning->mMoved;
      step->second.mAvoidedTargets[from->mNumber] = aNow + kAvoidAfterMove;
      from->wantStop(run);
      run.mNextTry = aNow;
      from->mNextOrders = time_point{};
      mPort.logDecision("move",
                        fmt::format("task={} run={} target={} reason=slow_target ratio={:.1f} "
                                    "left_ms={} left_elsewhere_ms={}",
                                    toText(one.mTask), run.mRun, from->mEntry.mId, mark.mRatio,
                                    leftHere / std::chrono::milliseconds(1),
                                    left / std::chrono::milliseconds(1)));
    }
  }
}

/// Excludes the slowest targets first, so that the least slow ones are used where not all can be
/// excluded.
void owner::impl::excludeSlowTargets(time_point aNow)
{
  if (!mOptions.mAvoidSlowTargets) {
    return;
  }
  const auto marks = mLearning->mSlow.marks(aNow);
  if (marks.empty() && mLearning->mExcluded == 0) {
    return;
  }
  mLearning->mExcluded = 0;
  std::map<std::string, std::int64_t> left;
  for (auto* target : mTargetsByNumber) {
    if (target != nullptr) {
      target->mSlowUntil = time_point{};
      left[target->mEntry.mPool] += target->mListed ? target->mEntry.mCapacity.mCpuMilli : 0;
    }
  }
  for (auto& [pool, cpu] : left) {
    cpu /= kMaxExcludedPart;
  }
  for (const auto& mark : marks) {
    auto* target = mTargetsByNumber[mark.mTarget];
    if (target == nullptr || !target->mListed) {
      continue;
    }
    const auto& capacity = target->mEntry.mCapacity;
    auto& leftInPool = left[target->mEntry.mPool];
    // Steps may depend on the target because of its labels or its size.
    if (capacity.mCpuMilli > leftInPool || !isReplaceable(*target, capacity, aNow)) {
      continue;
    }
    leftInPool -= capacity.mCpuMilli;
    target->mSlowUntil = mark.mUntil;
    ++mLearning->mExcluded;
  }
}

} // namespace endiveusher::scheduler
