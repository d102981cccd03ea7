#include "endiveusher/kernel/back_off.h"
#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <span>
#include <utility>

namespace endiveusher::scheduler {

using internal::run_phase;

namespace {

/// Number of unanswered start orders after which the run is stopped, so that the task can start
/// elsewhere.
constexpr std::uint32_t kMaxStartTries = 4;
/// Minimum time in which a crashed target restarts; the users' pages say some seconds.
constexpr auto kMinRestartTime = std::chrono::milliseconds(1000);
/// Pause before an unanswered or rejected order is sent again.
constexpr auto kRetryPause = std::chrono::milliseconds(50);
/// Time after which a stop order is repeated if the target still lists the run.
constexpr auto kStopRetryInterval = std::chrono::milliseconds(1500);
/// Time without new tasks for a target that did not accept a start for reasons of its own, doubled
/// with each further rejection, and its upper limit. It has to exceed the time in which the other
/// members of a gang stop, up to 1 s, or the gang tries the same target again; a step with no other
/// target has to start within 3 s.
constexpr auto kTargetRejectionPause = std::chrono::milliseconds(500);
constexpr auto kMaxTargetRejectionPause = std::chrono::milliseconds(2000);
/// Pause of a step after a rejected start, for each rejection so far, and its upper limit.
constexpr auto kStepRejectionPause = std::chrono::milliseconds(20);
constexpr auto kMaxStepRejectionPause = std::chrono::milliseconds(1000);

} // namespace

owner::impl::allocated_run* owner::impl::findRun(const std::string& aTarget, const task_key& aTask,
                                                 std::uint32_t aRun)
{
  const auto target = mTargets.find(aTarget);
  if (target == mTargets.end()) {
    return nullptr;
  }
  const auto run = target->second.mRuns.find(aTask);
  return run != target->second.mRuns.end() && run->second.mRun == aRun ? &run->second : nullptr;
}

bool owner::impl::mayStartAt(const target_state& aTarget, const job& aJob,
                             const step_key& aStep) const
{
  return aTarget.mListed && aTarget.isDescribed() && !aTarget.mEntry.mDraining &&
         !mClosedZones.contains(aTarget.mEntry.mZone) &&
         isSuitable(aTarget, routeOf(aJob.mSpec), aJob.mSpec.mSteps[aStep.mStep]);
}

bool owner::impl::orderable(const run_started& aStart, time_point aNow)
{
  const auto* run = findRun(aStart.mAt.mTarget, aStart.mTask, aStart.mRun);
  const job* owning = mJobTable.find(aStart.mTask.mStep.mJob);
  if (run == nullptr || run->mStopWanted || run->mTicketExpiry <= aNow || owning == nullptr ||
      owning->mPhase != job_phase::active) {
    return false;
  }
  const auto& target = mTargets.find(aStart.mAt.mTarget)->second;
  return target.mAcquisitionStored && !target.mRestartListed &&
         target.mEntry.mIncarnationStart == aStart.mAt.mIncarnationStart &&
         mayStartAt(target, *owning, aStart.mTask.mStep);
}

bool owner::impl::repeatable(const target_state& aTarget, const task_key& aTask) const
{
  const auto& capacity = aTarget.mEntry.mCapacity;
  return mayStartAt(aTarget, *mJobTable.find(aTask.mStep.mJob), aTask.mStep) &&
         (aTarget.mUsed.fitsIn(capacity) || aTarget.orderedNeeds().fitsIn(capacity));
}

void owner::impl::stopIncompleteGangs(std::span<const run_started> aStarts, time_point aNow)
{
  std::optional<step_key> stopped;
  for (const auto& start : aStarts) {
    const auto& key = start.mTask.mStep;
    job* owning = mJobTable.find(key.mJob);
    if (stopped == key || owning == nullptr || !owning->mSpec.mSteps[key.mStep].mGang ||
        orderable(start, aNow)) {
      continue;
    }
    // The gang may have lost all members of this run and be part of a later batch.
    if (owning->taskOf(start.mTask).mRun == start.mRun) {
      stopStep(*owning, key, aNow);
      stopped = key;
    }
  }
}

void owner::impl::withdrawUnfittingStarts(std::span<const run_started> aStarts, time_point aNow)
{
  // Needs at targets with too little capacity for all runs: of the ordered runs and of the starts
  // that are kept.
  std::map<std::string, resources> kept;
  while (!aStarts.empty()) {
    const auto& key = aStarts.front().mTask.mStep;
    const job* owning = mJobTable.find(key.mJob);
    const bool gang = owning != nullptr && owning->mSpec.mSteps[key.mStep].mGang;
    // The starts of a gang are decided together.
    const auto other = std::ranges::find_if(
      aStarts, [&key](const run_started& aOne) { return aOne.mTask.mStep != key; });
    const auto count = gang ? static_cast<std::size_t>(other - aStarts.begin()) : 1;
    const auto group = aStarts.first(count);
    aStarts = aStarts.subspan(count);
    auto withGroup = kept;
    bool fits = true;
    for (const auto& start : group) {
      if (!orderable(start, aNow)) {
        continue;
      }
      const auto& target = mTargets.find(start.mAt.mTarget)->second;
      if (target.mUsed.fitsIn(target.mEntry.mCapacity)) {
        continue;
      }
      const auto [needs, isNew] = withGroup.try_emplace(start.mAt.mTarget);
      if (isNew) {
        needs->second = target.orderedNeeds();
      }
      needs->second += target.mRuns.at(start.mTask).mNeeds;
      fits = fits && needs->second.fitsIn(target.mEntry.mCapacity);
    }
    if (fits) {
      kept = std::move(withGroup);
      continue;
    }
    mPort.logDecision("starts_withdrawn",
                      fmt::format("task={} run={} target={} tasks={} reason=capacity",
                                  toText(group.front().mTask), group.front().mRun,
                                  group.front().mAt.mTarget, group.size()));
    for (const auto& start : group) {
      if (auto* run = findRun(start.mAt.mTarget, start.mTask, start.mRun)) {
        mTargets.find(start.mAt.mTarget)->second.wantStop(*run);
      }
    }
  }
}

void owner::impl::sendOrders(target_state& aTarget, time_point aNow)
{
  if (aTarget.mNextOrders > aNow || aTarget.mRestartListed) {
    return;
  }
  aTarget.mNextOrders = time_point::max();
  for (auto& [task, run] : aTarget.mRuns) {
    const bool noOrderNeeded =
      run.mPhase == run_phase::confirmed && (!run.mStopWanted || run.mEnded);
    if (run.mOrderOpen || noOrderNeeded || run.mPhase == run_phase::storing) {
      continue;
    }
    if (run.mNextTry > aNow) {
      aTarget.mNextOrders = std::min(aTarget.mNextOrders, run.mNextTry);
      continue;
    }
    // A start order extends the lease, so it is not repeated once renewals have been stopped. The
    // member of a gang may have ended with another one before its own start was answered.
    const bool abandonStart = run.mTries >= kMaxStartTries || run.mStopWanted || run.mEnded ||
                              run.mLoss || !aTarget.mAcquisitionStored ||
                              !mayOrderStart(aTarget, run, aNow);
    if (run.mPhase == run_phase::ordered && run.mTries == 0 && !abandonStart &&
        aNow > mViewCurrentUntil) {
      // The process was paused since the start was decided, or reads stand still.
      aTarget.mNextOrders = aNow;
    } else if (run.mPhase == run_phase::ordered && !abandonStart && repeatable(aTarget, task)) {
      sendStart(aTarget, task, run, aNow);
    } else if (run.mPhase == run_phase::ordered || run.mPhase == run_phase::stopping ||
               (run.mStopWanted && !run.mEnded)) {
      sendStop(aTarget, task, run);
    }
  }
}

bool owner::impl::mayOrderStart(const target_state& aTarget, const allocated_run& aRun,
                                time_point aNow)
{
  return aRun.mTries == 0 ||
         (aTarget.mMissedHeartbeats == 0 && (aTarget.mLastReply >= aRun.mUnansweredAt ||
                                             aNow - aRun.mFirstOrderAt < kMinRestartTime));
}

void owner::impl::sendStart(target_state& aTarget, const task_key& aTask, allocated_run& aRun,
                            time_point aNow)
{
  const job* owning = mJobTable.find(aTask.mStep.mJob);
  const auto* step = owning->find(aTask.mStep);
  const auto checkpoint = step == nullptr ? std::string() : step->checkpointOf(aTask.mIndex);
  const auto* route = findRoute(owning->mSpec);
  aRun.mOrderOpen = true;
  if (aRun.mTries == 0) {
    aRun.mFirstOrderAt = aNow;
    aRun.mIsResumed = !checkpoint.empty();
  }
  mPort.start({ .mTarget = aTarget.mEntry.mId,
                .mAddress = aTarget.mEntry.mAddress,
                .mTask = aTask,
                .mRun = aRun.mRun,
                .mPayload = owning->mSpec.mPayload,
                .mLeaseUntil = extendLease(aTarget, aNow),
                .mEpoch = mEpoch,
                .mFence = aTarget.mFence,
                .mCheckpoint = checkpoint,
                .mTicket = aRun.mTicket,
                .mTicketExpiry = aRun.mTicketExpiry,
                .mUrgent = route != nullptr && route->mPriority == 0 });
}

void owner::impl::sendStop(target_state& aTarget, const task_key& aTask, allocated_run& aRun)
{
  if (aTarget.mEntry.mAddress.empty()) {
    aTarget.mNextOrders = time_point{};
    return;
  }
  aRun.mPhase = run_phase::stopping;
  aRun.mOrderOpen = true;
  mPort.stop({ .mTarget = aTarget.mEntry.mId,
               .mAddress = aTarget.mEntry.mAddress,
               .mTask = aTask,
               .mRun = aRun.mRun,
               .mEpoch = mEpoch,
               .mFence = aTarget.mFence });
}

template<typename Order>
owner::impl::allocated_run* owner::impl::closeOrder(const Order& aOrder, order_outcome& aOutcome)
{
  if (aOutcome == order_outcome::fenced) {
    const auto newest = mLastFences.find(aOrder.mTarget);
    if (newest == mLastFences.end() || aOrder.mFence >= newest->second) {
      mFenced = true;
      return nullptr;
    }
    aOutcome = order_outcome::other_incarnation;
  }
  auto* run = findRun(aOrder.mTarget, aOrder.mTask, aOrder.mRun);
  if (run != nullptr) {
    run->mOrderOpen = false;
    mTargets.find(aOrder.mTarget)->second.mNextOrders = time_point{};
  }
  return run;
}

void owner::impl::onStartReply(const start_order& aOrder, order_outcome aOutcome, time_point aNow)
{
  auto* run = closeOrder(aOrder, aOutcome);
  if (run == nullptr) {
    return;
  }
  auto& target = mTargets.find(aOrder.mTarget)->second;
  if (aOutcome == order_outcome::accepted) {
    target.mRejectedStarts = 0;
    run->mHasBegun = true;
    countStart(aOrder.mTask, aNow);
    if (run->mPhase == run_phase::ordered) {
      run->mPhase = run_phase::confirmed;
    }
    run->mMustBeListedFrom = std::min(run->mMustBeListedFrom, aNow);
    return;
  }
  mPort.logDecision("start_rejected", fmt::format("task={} run={} target={} outcome={} tries={}",
                                                  toText(aOrder.mTask), aOrder.mRun, aOrder.mTarget,
                                                  toText(aOutcome), run->mTries));
  // An earlier copy of the order may have left.
  const bool mayHaveLeft = aOutcome == order_outcome::unreachable &&
                           (run->mTries > 0 || run->mPhase != run_phase::ordered);
  if (aOutcome == order_outcome::unanswered || aOutcome == order_outcome::undefined ||
      mayHaveLeft) {
    ++run->mTries;
    run->mUnansweredAt = aNow;
    run->mNextTry = aNow + kRetryPause;
    target.mAvoidUntil = std::max<time_point>(target.mAvoidUntil, aNow + kTargetRejectionPause);
    return;
  }
  if (run->mPhase != run_phase::ordered) {
    return;
  }
  if (run->mTries > 0) {
    // An earlier copy of the order may have been or may still be executed. An outdated run has
    // ended there, which the next heartbeat reply reports; otherwise a stop order resolves it.
    run->mPhase = aOutcome == order_outcome::outdated ? run_phase::confirmed : run_phase::stopping;
    run->mMustBeListedFrom = aOutcome == order_outcome::outdated ? aNow : run->mMustBeListedFrom;
    run->mNextTry = aNow;
    return;
  }
  if (aOutcome == order_outcome::bad_ticket || aOutcome == order_outcome::not_sent) {
    if (const auto step = mWaiting.find(aOrder.mTask.mStep); step != mWaiting.end()) {
      step->second.mAdvice.dropTicket(target.mNumber);
    }
  } else if (target.mAvoidUntil <= aNow) {
    // Rejections of orders that were sent together count as one.
    target.mAvoidUntil =
      aNow + doubled(kTargetRejectionPause, target.mRejectedStarts++, kMaxTargetRejectionPause);
  }
  endRun(target, aOrder.mTask, run_end::not_run, {}, aNow);
  release(target, aOrder.mTask);
  if (const auto step = mWaiting.find(aOrder.mTask.mStep); step != mWaiting.end()) {
    const auto pause = kStepRejectionPause * std::min(++step->second.mRejectedStarts, 50U);
    step->second.mNotBefore =
      std::max(step->second.mNotBefore, aNow + std::min<duration>(pause, kMaxStepRejectionPause));
    // The gang cannot start without this member, so the others are stopped.
    stopGangOf(aOrder.mTask, aNow);
  }
}

void owner::impl::onStopReply(const stop_order& aOrder, order_outcome aOutcome, time_point aNow)
{
  auto* run = closeOrder(aOrder, aOutcome);
  if (run == nullptr) {
    return;
  }
  if (aOutcome == order_outcome::accepted || aOutcome == order_outcome::outdated) {
    run->mPhase = run_phase::confirmed;
    run->mMustBeListedFrom = std::min(run->mMustBeListedFrom, aNow);
    run->mNextTry = aNow + kStopRetryInterval;
  } else {
    run->mNextTry = aNow + kRetryPause;
  }
}

} // namespace endiveusher::scheduler
