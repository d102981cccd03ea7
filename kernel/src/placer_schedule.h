#pragma once

#include "placer_impl.h"

namespace endiveusher {

template<guard_policy Guards>
bool basic_placer<Guards>::impl::mayStart(time_point aNow) const
{
  if (mShuttingDown) {
    return false;
  }
  if constexpr (Guards::kChecksFreshness) {
    return aNow < mView.mFreshUntil;
  }
  return true;
}

template<guard_policy Guards>
bool basic_placer<Guards>::impl::placeable(const target_state& aTarget, time_point aNow,
                                           bool aUrgent) const
{
  if (!aTarget.mOwned || !aTarget.mListed || aTarget.mMissed > 0 || aTarget.mReleasing ||
      !aTarget.mTableKnown || aTarget.mForeign > 0) {
    return false;
  }
  if (Guards::kChecksLeaving && aTarget.leaving()) {
    return false;
  }
  return aNow >= aTarget.mBackoffUntil && aTarget.mHealth.admits(aNow) &&
         (aUrgent || !aTarget.mDraining);
}

template<guard_policy Guards>
bool basic_placer<Guards>::impl::fitsSlice(const team_name& aTeam, const resources& aSize,
                                           const limit_vector& aKept) const
{
  const auto info = mView.mTeams.find(aTeam);
  if (info == mView.mTeams.end()) {
    return false;
  }
  if constexpr (Guards::kChecksSlices) {
    const limit_vector charge = internal::sum(mSlices.of(aTeam).mCharged, aKept);
    return internal::within(internal::sum(charge, internal::chargeOf(aSize)), info->second.mSlice);
  }
  return true;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::schedule(time_point aNow)
{
  if (!mayStart(aNow)) {
    return;
  }
  while (team_queue* team = mQueue.next()) {
    if (!startNext(*team, aNow)) {
      team->mBlocked = true;
    }
  }
}

template<guard_policy Guards>
bool basic_placer<Guards>::impl::startNext(team_queue& aTeam, time_point aNow)
{
  aTeam.mLimitedBySlice = false;
  if (!mView.mTeams.contains(aTeam.mTeam)) {
    return false;
  }
  // Urgent tasks come first for which other tasks were preempted.
  for (const auto& [key, hold] : mHolds) {
    held_attempt* attempt = mAttempts.find(key);
    if (attempt->mTask.mTeam != aTeam.mTeam || !fitsSlice(aTeam.mTeam, hold.mSize)) {
      continue;
    }
    if (target_state* target = targetOfHold(*attempt, aNow)) {
      mQueue.erase(*attempt);
      start(*attempt, *target, aNow);
      return true;
    }
  }
  for (std::size_t lane = 0; lane < aTeam.mLanes.size(); ++lane) {
    const bool urgent = lane == team_queue::kUrgentLane;
    // Batch tasks leave the freed slice to a gang of their team that drains.
    const bool yields =
      lane == team_queue::kBatchLane && mDraining && mDraining->mTeam == aTeam.mTeam;
    const limit_vector kept = yields ? mDraining->mNeed : internal::slice_account::kZero;
    for (const auto& [rank, head] : aTeam.mLanes.at(lane).heads()) {
      held_attempt& attempt = *head;
      const resources& size = attempt.mTask.mSize;
      if (!fitsSlice(aTeam.mTeam, size, kept)) {
        aTeam.mLimitedBySlice = aTeam.mLimitedBySlice ||
                                std::any_of(mOrder.begin(), mOrder.end(), [&](const auto* aTarget) {
                                  return size.fitsIn(aTarget->mAccount.freeCapacity()) &&
                                         placeable(*aTarget, aNow, urgent);
                                });
        continue;
      }
      if (target_state* target = choose(size, urgent, aNow)) {
        mQueue.erase(attempt);
        start(attempt, *target, aNow);
        return true;
      }
    }
  }
  return false;
}

template<guard_policy Guards>
internal::target_state* basic_placer<Guards>::impl::targetOfHold(const held_attempt& aAttempt,
                                                                 time_point aNow)
{
  const auto hold = mHolds.find(aAttempt.mTask.mKey);
  if (hold == mHolds.end()) {
    return nullptr;
  }
  target_state* target = targetOf(hold->second.mTarget);
  const bool fits =
    target != nullptr && placeable(*target, aNow, true) &&
    aAttempt.mTask.mSize.fitsIn(target->mAccount.freeCapacityWith(hold->second.mSize));
  return fits ? target : nullptr;
}

template<guard_policy Guards>
internal::target_state* basic_placer<Guards>::impl::choose(const resources& aSize, bool aUrgent,
                                                           time_point aNow)
{
  std::vector<resources>& unplaceable = mUnplaceableSizes.at(aUrgent ? 1 : 0);
  const auto asLarge = [&](const resources& aFailed) { return aFailed.fitsIn(aSize); };
  if (std::any_of(unplaceable.begin(), unplaceable.end(), asLarge)) {
    return nullptr;
  }
  mCandidates.clear();
  mCandidateTargets.clear();
  for (target_state* target : mOrder) {
    if (aSize.fitsIn(target->mAccount.freeCapacity()) && placeable(*target, aNow, aUrgent)) {
      mCandidates.push_back({ .mIndex = target->mIndex,
                              .mFreeCapacity = target->mAccount.freeCapacity(),
                              .mCapacity = target->mAccount.capacity(),
                              .mFailureRatio = target->mHealth.failureRatio(aNow) });
      mCandidateTargets.push_back(target);
    }
  }
  if (mCandidates.empty()) {
    std::erase_if(unplaceable, [&](const resources& aFailed) { return aSize.fitsIn(aFailed); });
    unplaceable.push_back(aSize);
    return nullptr;
  }
  return mCandidateTargets.at(mPolicy->choose(aSize, mCandidates));
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::start(held_attempt& aAttempt, target_state& aTarget,
                                       time_point aNow)
{
  dropHold(aAttempt.mTask.mKey);
  aAttempt.mTask.mPlacer = self();
  aAttempt.mOwn = true;
  aAttempt.mState = placed_state::starting;
  aAttempt.mTarget = aTarget.mInfo.mTarget;
  aAttempt.mStartedAt = aNow;
  aAttempt.mStartOrder = ++mLastOrder;
  charge(aAttempt);
  aAttempt.mPendingStart = true;
  aTarget.mAccount.addPending(aAttempt.mTask.mSize);
  aTarget.mHeld.insert(aAttempt.mTask.mKey);
  aTarget.mOrders[aAttempt.mStartOrder] = { .mOrder = { .mOrderId = aAttempt.mStartOrder,
                                                        .mAction = order_action::start,
                                                        .mTask = aAttempt.mTask } };
  aTarget.mUnsentOrders = true;
  aTarget.mHealth.started();
  mAttempts.markChanged(aAttempt);
  internal::invariant(internal::within(mSlices.of(aAttempt.mTask.mTeam).mCharged,
                                       mView.mTeams.at(aAttempt.mTask.mTeam).mSlice),
                      "a start keeps the team's charge within its slice");
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::checkInvariants() const
{
  for (const target_state* target : mOrder) {
    internal::invariant(target->mAccount.withinCapacity(),
                        "no target's account exceeds its capacity");
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::scan(time_point aNow)
{
  for (const auto& id : mReservations.expired(aNow)) {
    freeReservation(mReservations.take(id));
  }
  std::vector<task_key> endedHolds;
  for (const auto& [key, hold] : mHolds) {
    if (aNow >= hold.mUntil) {
      endedHolds.push_back(key);
    }
  }
  for (const task_key& key : endedHolds) {
    dropHold(key);
  }
  for (target_state* target : mOrder) {
    expireLeases(*target, aNow);
  }
  std::erase_if(mSliceWaiters, [&](const auto& aEntry) { return !aEntry.second.asks(aNow); });
  updateDraining(aNow);
  evictFromLeaving();
  enforceSlices(aNow);
  preemptForUrgent(aNow);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::tick(time_point aNow)
{
  // Retries placements that become possible with time alone, such as after an ejection ends.
  constexpr duration kRetryInterval = std::chrono::milliseconds(100);
  constexpr duration kScanInterval = std::chrono::milliseconds(10);
  if (aNow >= mNextRetry) {
    mNextRetry = aNow + kRetryInterval;
    onCapacityFreed();
  }
  updateResponsiveSince(aNow);
  const bool scans = aNow >= mNextScan;
  if (scans) {
    mNextScan = aNow + kScanInterval;
    scan(aNow);
  }
  schedule(aNow);
  for (target_state* target : mOrder) {
    if (scans || target->mUnsentOrders) {
      exchangeIfDue(*target, aNow);
    }
  }
  checkInvariants();
}

} // namespace endiveusher
