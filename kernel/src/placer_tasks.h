#pragma once

#include "placer_impl.h"

namespace endiveusher {

template<guard_policy Guards>
basic_placer<Guards>::impl::impl(placer_options aOptions)
  : mOptions(std::move(aOptions)), mPolicy(internal::makePolicy(mOptions.mPolicy, mOptions.mSeed)),
    mRandom(mOptions.mSeed)
{
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::setView(cell_view aView, time_point aNow)
{
  const std::map<incarnation_id, incarnation_id> oldSuccessors =
    std::exchange(mView, std::move(aView)).mSuccessors;
  for (target_state* target : mOrder) {
    target->mListed = false;
  }
  const std::size_t known = mTargets.size();
  for (const target_info& info : mView.mTargets) {
    const auto [entry, added] = mTargets.try_emplace(info.mTarget, mOptions.mTiming.mClockDrift);
    target_state& target = entry->second;
    if (added) {
      target.mInterval = mOptions.mTiming.mExchangeInterval;
      target.mNextExchange = aNow;
    }
    target.mInfo = info;
    target.mListed = true;
  }
  if (mTargets.size() != known) {
    mOrder.clear();
    for (auto& [id, target] : mTargets) {
      target.mIndex = mOrder.size();
      mOrder.push_back(&target);
    }
  }
  if (oldSuccessors != mView.mSuccessors) {
    for (const auto& [dead, successor] : mView.mSuccessors) {
      const auto old = oldSuccessors.find(dead);
      if (successor == self() && (old == oldSuccessors.end() || old->second != successor)) {
        mReconcileFromOffset = mView.mControlOffset;
      }
    }
    // Attempts of a placer that this daemon succeeds become attempts of this daemon.
    for (target_state* target : mOrder) {
      if (target->mTableKnown) {
        adoptTable(*target, aNow);
      }
    }
    // The successor of a coordinator needs a report with all of its tasks.
    for (const auto& [coordinator, keys] : mAttempts.byCoordinator()) {
      const auto old = oldSuccessors.find(coordinator);
      if (mView.resolve(coordinator) != (old == oldSuccessors.end() ? coordinator : old->second)) {
        mAttempts.markChanged(*mAttempts.find(*keys.begin()));
      }
    }
  }
  rescoreAll();
  onCapacityFreed();
  mNextScan = aNow;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::enqueue(const task_attempt& aTask, duration aStartWithin,
                                         time_point aNow)
{
  if (held_attempt* held = mAttempts.find(aTask.mKey)) {
    // The coordinator makes a later attempt only once it knows of the end of the earlier one.
    const bool replaces = aTask.mAttempt > held->mTask.mAttempt &&
                          (held->final() || held->mState == placed_state::queued);
    if (!replaces) {
      return;
    }
    erase(*held);
  }
  held_attempt& attempt = mAttempts.add(aTask);
  attempt.mQueuedAt = aNow;
  if (aStartWithin.count() > 0) {
    attempt.mDeadline = aNow + aStartWithin;
  }
  for (target_state* target : mOrder) {
    if (target->mForeign > 0 && target->mTable.contains(aTask.mKey)) {
      // Runs on a target that this daemon owns in the interim; its placer decides when it ends.
      attempt.mTask = target->mTable.at(aTask.mKey).mTask;
      // The table may name a coordinator that has ended; attempts are indexed by the current one.
      attempt.mTask.mCoordinator = aTask.mCoordinator;
      setRunning(attempt, *target, false, aNow);
      return;
    }
  }
  if (mShuttingDown || mQueue.size() >= mOptions.mQueueLimit) {
    setReturned(attempt);
    return;
  }
  queue(attempt);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::recall(const incarnation_id& aCoordinator,
                                        std::span<const task_key> aKeys, bool aStop, time_point)
{
  for (const task_key& key : aKeys) {
    held_attempt* held = mAttempts.find(key);
    if (held == nullptr || mView.resolve(held->mTask.mCoordinator) != mView.resolve(aCoordinator)) {
      continue;
    }
    if (held->mState == placed_state::queued) {
      mQueue.erase(*held);
      setReturned(*held);
      continue;
    }
    if (!held->onTarget()) {
      continue;
    }
    target_state* target = targetOf(held->mTarget);
    const auto order = target->mOrders.find(held->mStartOrder);
    if (held->mState == placed_state::starting && order != target->mOrders.end() &&
        !order->second.mSent) {
      detach(*held);
      setReturned(*held);
    } else if (aStop) {
      held->mRecalled = true;
      orderEnd(*held, order_action::stop);
    }
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::acknowledge(const incarnation_id& aCoordinator,
                                             std::span<const placed_task> aTasks, time_point aNow)
{
  for (const placed_task& task : aTasks) {
    held_attempt* held = mAttempts.find(task.mKey);
    if (held != nullptr && held->final() && held->mTask.mAttempt == task.mAttempt &&
        held->mState == task.mState &&
        mView.resolve(held->mTask.mCoordinator) == mView.resolve(aCoordinator)) {
      erase(*held);
      if (const auto deferred = mDeferred.extract(task.mKey); !deferred.empty()) {
        const held_attempt& later = deferred.mapped();
        const bool hasDeadline = later.mDeadline != time_point::max();
        enqueue(later.mTask,
                hasDeadline ? std::max(later.mDeadline - aNow, duration(1)) : duration(0), aNow);
      }
    }
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::beginShutdown()
{
  mShuttingDown = true;
  for (const auto& [coordinator, keys] : mAttempts.byCoordinator()) {
    for (const task_key& key : keys) {
      held_attempt* held = mAttempts.find(key);
      if (held->mState == placed_state::queued) {
        mQueue.erase(*held);
        setReturned(*held);
      } else if (held->mState == placed_state::starting) {
        target_state* target = targetOf(held->mTarget);
        const auto order = target->mOrders.find(held->mStartOrder);
        if (order != target->mOrders.end() && !order->second.mSent) {
          detach(*held);
          setReturned(*held);
        }
      }
    }
  }
  for (const auto& [id, held] : std::map(mReservations.held())) {
    freeReservation(mReservations.take(id));
  }
  mNextScan = {};
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::charge(held_attempt& aAttempt)
{
  if (!aAttempt.mCharged && aAttempt.mOwn) {
    aAttempt.mCharged = true;
    mSlices.add(aAttempt.mTask.mTeam, aAttempt.mTask.mSize);
    rescore(aAttempt.mTask.mTeam);
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::uncharge(held_attempt& aAttempt)
{
  if (aAttempt.mCharged) {
    aAttempt.mCharged = false;
    mSlices.remove(aAttempt.mTask.mTeam, aAttempt.mTask.mSize);
    rescore(aAttempt.mTask.mTeam);
    const auto team = mQueue.teams().find(aAttempt.mTask.mTeam);
    if (team != mQueue.teams().end()) {
      team->second.mBlocked = false;
    }
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::queue(held_attempt& aAttempt)
{
  aAttempt.mState = placed_state::queued;
  mQueue.push(aAttempt);
  rescore(aAttempt.mTask.mTeam);
  mAttempts.markChanged(aAttempt);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::removePendingStart(held_attempt& aAttempt, target_state& aTarget)
{
  if (aAttempt.mPendingStart) {
    aAttempt.mPendingStart = false;
    aTarget.mAccount.removePending(aAttempt.mTask.mSize);
    onCapacityFreed();
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::detach(held_attempt& aAttempt)
{
  uncharge(aAttempt);
  if (target_state* target = targetOf(aAttempt.mTarget)) {
    removePendingStart(aAttempt, *target);
    target->mHeld.erase(aAttempt.mTask.mKey);
    target->mOrders.erase(aAttempt.mStartOrder);
    target->mOrders.erase(aAttempt.mEndOrder);
  }
  aAttempt.mStartOrder = 0;
  aAttempt.mEndOrder = 0;
  aAttempt.mEnding = false;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::requeue(held_attempt& aAttempt)
{
  if (target_state* target = targetOf(aAttempt.mTarget)) {
    target->mHealth.startInconclusive();
  }
  detach(aAttempt);
  aAttempt.mTarget.clear();
  // A gang whose start failed is retried as a whole by its coordinator.
  if (aAttempt.mRecalled || mShuttingDown || aAttempt.mTask.mKind == job_kind::gang) {
    setReturned(aAttempt);
  } else {
    queue(aAttempt);
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::setReturned(held_attempt& aAttempt)
{
  dropHold(aAttempt.mTask.mKey);
  aAttempt.mState = placed_state::returned;
  aAttempt.mTarget.clear();
  mAttempts.markChanged(aAttempt);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::setLost(held_attempt& aAttempt)
{
  detach(aAttempt);
  aAttempt.mOutcome = attempt_outcome::lease_expired;
  aAttempt.mState = aAttempt.mTask.mIdempotent ? placed_state::ended : placed_state::unknown;
  log(log_level::warning, "attempt {} of task {}/{} on target {} is lost; its outcome is unknown",
      aAttempt.mTask.mAttempt, aAttempt.mTask.mKey.mRequest, aAttempt.mTask.mKey.mIndex,
      aAttempt.mTarget);
  mAttempts.markChanged(aAttempt);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::setRunning(held_attempt& aAttempt, target_state& aTarget,
                                            bool aOwn, time_point aNow)
{
  removePendingStart(aAttempt, aTarget);
  aTarget.mOrders.erase(aAttempt.mStartOrder);
  aAttempt.mStartOrder = 0;
  aAttempt.mOwn = aOwn;
  charge(aAttempt);
  aTarget.mHeld.insert(aAttempt.mTask.mKey);
  aAttempt.mTarget = aTarget.mInfo.mTarget;
  if (aAttempt.mState != placed_state::running) {
    aAttempt.mState = placed_state::running;
    aAttempt.mStartedAt = aNow;
    mAttempts.markChanged(aAttempt);
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::erase(held_attempt& aAttempt)
{
  if (aAttempt.mState == placed_state::queued) {
    mQueue.erase(aAttempt);
  }
  dropHold(aAttempt.mTask.mKey);
  if (target_state* target = targetOf(aAttempt.mTarget)) {
    target->mEnded.erase(aAttempt.mTask.mKey);
    if (aAttempt.mFinishedId != 0) {
      target->mAcks.insert(aAttempt.mFinishedId);
    }
  }
  mAttempts.markChanged(aAttempt);
  mAttempts.erase(aAttempt);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::orderEnd(held_attempt& aAttempt, order_action aAction)
{
  target_state* target = targetOf(aAttempt.mTarget);
  if (target == nullptr || aAttempt.mEndOrder != 0) {
    return;
  }
  aAttempt.mEnding = true;
  aAttempt.mEndOrder = ++mLastOrder;
  target->mOrders[aAttempt.mEndOrder] = {
    .mOrder = { .mOrderId = aAttempt.mEndOrder, .mAction = aAction, .mTask = aAttempt.mTask }
  };
  target->mUnsentOrders = true;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::evict(held_attempt& aAttempt)
{
  const bool stop = aAttempt.mTask.mKind == job_kind::service && aAttempt.mTask.mIdempotent;
  orderEnd(aAttempt, stop ? order_action::stop : order_action::checkpoint);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::dropHold(const task_key& aKey)
{
  if (const auto hold = mHolds.find(aKey); hold != mHolds.end()) {
    if (target_state* target = targetOf(hold->second.mTarget)) {
      target->mAccount.removeHold(hold->second.mSize);
    }
    mHolds.erase(hold);
    onCapacityFreed();
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::onCapacityFreed()
{
  mUnplaceableSizes[0].clear();
  mUnplaceableSizes[1].clear();
  mQueue.unblockAll();
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::rescore(const team_name& aTeam)
{
  const auto info = mView.mTeams.find(aTeam);
  if (info == mView.mTeams.end()) {
    return;
  }
  const resources used = mSlices.of(aTeam).mUsed + info->second.mUsedElsewhere;
  mQueue.setScore(aTeam,
                  dominantShare(used, mOwnTotal + mView.mTotalElsewhere) / info->second.mShare);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::rescoreAll()
{
  for (const auto& [team, queued] : mQueue.teams()) {
    rescore(team);
  }
}

template<guard_policy Guards>
internal::target_state* basic_placer<Guards>::impl::targetOf(const target_id& aTarget)
{
  const auto found = mTargets.find(aTarget);
  return found == mTargets.end() ? nullptr : &found->second;
}

} // namespace endiveusher
