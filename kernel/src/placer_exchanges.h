#pragma once

#include "placer_impl.h"

namespace endiveusher {

template<guard_policy Guards>
bool basic_placer<Guards>::impl::presumedSuccessorOf(const incarnation_id& aUnresponsive,
                                                     const target_state& aTarget) const
{
  const auto presumed = mView.mPresumedSuccessors.find(aUnresponsive);
  return presumed != mView.mPresumedSuccessors.end() ? isSelf(presumed->second)
                                                     : isSelf(aTarget.mInfo.mPreferredOwner);
}

template<guard_policy Guards>
bool basic_placer<Guards>::impl::mustPoll(const target_state& aTarget) const
{
  if (isSelf(aTarget.mInfo.mPreferredOwner) || aTarget.mWasOwned || aTarget.mOwnEntries > 0 ||
      !aTarget.mHeld.empty()) {
    return true;
  }
  // A successor reconciles all targets: it reads each one until it has read it after the
  // succession settled.
  return aTarget.mReadSettled < mReconcileFromOffset ||
         std::any_of(mView.mPresumedSuccessors.begin(), mView.mPresumedSuccessors.end(),
                     [this](const auto& aEntry) { return aEntry.second == mView.mSelf; });
}

template<guard_policy Guards>
internal::target_intent basic_placer<Guards>::impl::decideOwned(const target_state& aTarget) const
{
  if (mShuttingDown) {
    return aTarget.sentOrders() ? target_intent::own : target_intent::release;
  }
  if (!aTarget.mOrders.empty() || aTarget.mOwnEntries > 0 || aTarget.mReservations > 0 ||
      !aTarget.mTableKnown) {
    return target_intent::own;
  }
  const auto isOwn = [this](const task_key& aKey) { return mAttempts.all().at(aKey).mOwn; };
  if (std::any_of(aTarget.mHeld.begin(), aTarget.mHeld.end(), isOwn) ||
      std::any_of(aTarget.mEnded.begin(), aTarget.mEnded.end(), isOwn)) {
    return target_intent::own;
  }
  if (aTarget.mTable.empty()) {
    const incarnation_id& preferred = aTarget.mInfo.mPreferredOwner;
    // A target that is no longer listed belongs to a zone that now has its own member.
    const bool elsewhere = !aTarget.mListed || (!preferred.empty() && preferred != self() &&
                                                mView.mLive.contains(preferred));
    return elsewhere ? target_intent::release : target_intent::own;
  }
  for (const auto& [key, entry] : aTarget.mTable) {
    if (!mView.mLive.contains(mView.resolve(entry.mTask.mPlacer))) {
      return target_intent::own;
    }
  }
  return target_intent::release;
}

template<guard_policy Guards>
internal::target_intent basic_placer<Guards>::impl::decide(const target_state& aTarget) const
{
  if (aTarget.mOwned) {
    return decideOwned(aTarget);
  }
  if (mShuttingDown || (!aTarget.mListed && aTarget.mHeld.empty())) {
    return target_intent::none;
  }
  const target_intent watch = mustPoll(aTarget) ? target_intent::read : target_intent::none;
  const bool free = aTarget.contacted() && (aTarget.mOwner.empty() || aTarget.mOwner == self() ||
                                            aTarget.mOwnerUntil <= aTarget.mClock.reading());
  if (!free || !aTarget.mTableKnown) {
    return watch;
  }
  if (aTarget.mOwnEntries > 0) {
    return target_intent::own;
  }
  if (aTarget.mTable.empty()) {
    return isSelf(aTarget.mInfo.mPreferredOwner) ? target_intent::own : watch;
  }
  for (const auto& [key, entry] : aTarget.mTable) {
    const incarnation_id& placer = mView.resolve(entry.mTask.mPlacer);
    if (mView.mLive.contains(placer)) {
      return watch;
    }
    if (!presumedSuccessorOf(placer, aTarget)) {
      return watch;
    }
  }
  return target_intent::own;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::exchangeIfDue(target_state& aTarget, time_point aNow)
{
  if (aTarget.mInFlight != 0) {
    // The edge normally reports a missed deadline; this covers the loss of that report.
    const duration longest = 2 * mOptions.mTiming.mExchangeTimeout;
    if (aNow - aTarget.mSentAt < longest) {
      return;
    }
    onTimeout(aTarget, aNow);
  }
  const target_intent intent = decide(aTarget);
  bool due = false;
  switch (intent) {
    case target_intent::none:
      break;
    case target_intent::read:
      due = aNow >= aTarget.mNextExchange;
      break;
    case target_intent::own:
      due = aNow >= aTarget.mNextExchange ||
            (aTarget.mOwned && aTarget.mUnsentOrders && aTarget.mMissed == 0);
      break;
    case target_intent::release:
      // Limited to one release per exchange interval (1 s), so that a changed preference does not
      // move all targets at once.
      due = (mShuttingDown && aTarget.mMissed == 0) ||
            (aNow >= aTarget.mNextExchange &&
             aNow - mLastRelease >= mOptions.mTiming.mExchangeInterval);
      break;
  }
  if (due) {
    sendExchange(aTarget, intent, aNow);
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::sendExchange(target_state& aTarget, target_intent aIntent,
                                              time_point aNow)
{
  const timing_options& timing = mOptions.mTiming;
  exchange_request request{ .mTarget = aTarget.mInfo.mTarget,
                            .mDaemon = self(),
                            .mAcquire = aIntent != target_intent::read,
                            .mTargetIncarnation = aTarget.mIncarnation,
                            .mKnownTableVersion = aTarget.mTableKnown ? aTarget.mTableVersion : 0 };
  if constexpr (Guards::kChecksEpoch) {
    request.mEpoch = aTarget.mEpoch;
  }
  if (aIntent == target_intent::own) {
    request.mOwnershipLease =
      std::chrono::duration_cast<std::chrono::milliseconds>(timing.mOwnershipLease);
  }
  // Missed exchanges after which lease renewals to an unresponsive target stop, so that its leases
  // expire and its tasks can be restarted elsewhere.
  constexpr std::uint32_t kMissedToStopRenewal = 3;
  // An interim owner stops renewing once the placer of the tasks is responsive again.
  const bool interimRelease = aIntent == target_intent::release && aTarget.mForeign > 0;
  if (aIntent != target_intent::read && !interimRelease && aTarget.contacted() &&
      aNow < mView.mRenewUntil && aTarget.mMissed < kMissedToStopRenewal) {
    // Based on the earliest possible clock reading, so that no lease ends more than one task lease
    // after the renewal.
    request.mTaskLeaseUntil =
      aTarget.mClock.earliest(aNow) + std::chrono::duration_cast<target_time>(timing.mTaskLease);
    aTarget.mLeaseMax = std::max(aTarget.mLeaseMax, request.mTaskLeaseUntil);
  }
  if (aIntent == target_intent::own && aTarget.mOwned) {
    addOrders(aTarget, request, aNow);
  }
  request.mAcknowledgedFinished.assign(aTarget.mAcks.begin(), aTarget.mAcks.end());
  aTarget.mSentAcks = aTarget.mAcks;
  aTarget.mInFlight = ++mLastExchange;
  aTarget.mAcquiring = aIntent == target_intent::own && !aTarget.mOwned;
  aTarget.mReleasing = aIntent == target_intent::release;
  aTarget.mSentAt = aNow;
  aTarget.mSentSettled = mView.mSettledOffset;
  if (aTarget.mReleasing) {
    mLastRelease = aNow;
  }
  mExchanges.push_back({ .mExchangeId = aTarget.mInFlight,
                         .mAddress = aTarget.mInfo.mAddress,
                         .mRequest = std::move(request) });
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::addOrders(target_state& aTarget, exchange_request& aRequest,
                                           time_point aNow)
{
  const timing_options& timing = mOptions.mTiming;
  // Freshness may have ended, or the target may have begun to leave, since the start was decided.
  const bool startsNew =
    !mShuttingDown && mayStart(aNow) && !(Guards::kChecksLeaving && aTarget.leaving());
  time_point startBy = aNow + timing.mStartByPeriod;
  if constexpr (Guards::kChecksFreshness) {
    startBy = std::min(startBy, mView.mFreshUntil);
  }
  std::vector<task_key> withdrawn;
  aTarget.mUnsentOrders = false;
  for (auto& [id, order] : aTarget.mOrders) {
    const bool isStart = order.mOrder.mAction == order_action::start;
    if (isStart && !order.mSent) {
      if (!startsNew) {
        withdrawn.push_back(order.mOrder.mTask.mKey);
        continue;
      }
      // The target's clock reaches this reading at startBy at the latest.
      order.mOrder.mStartBy = aTarget.mClock.earliest(startBy);
      aTarget.mLeaseMax =
        std::max(aTarget.mLeaseMax, order.mOrder.mStartBy +
                                      std::chrono::duration_cast<target_time>(timing.mTaskLease));
    } else if (isStart && Guards::kChecksLeaving && aTarget.leaving()) {
      // Not resent; settled once its start_by has passed.
      continue;
    } else if (!isStart) {
      order.mOrder.mStartBy =
        aTarget.mClock.latest(aNow) + std::chrono::duration_cast<target_time>(timing.mTaskLease);
    }
    order.mSent = true;
    aRequest.mOrders.push_back(order.mOrder);
  }
  for (const task_key& key : withdrawn) {
    requeue(*mAttempts.find(key));
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::onTimeout(target_state& aTarget, time_point aNow)
{
  aTarget.mInFlight = 0;
  ++aTarget.mMissed;
  // The first retry is sent immediately over a new connection.
  aTarget.mNextExchange = aTarget.mMissed == 1 ? aNow : aNow + mOptions.mTiming.mExchangeInterval;
  if (aTarget.mMissed == 1) {
    log(log_level::warning, "exchange with target {} at {} timed out", aTarget.mInfo.mTarget,
        aTarget.mInfo.mAddress);
  }
  if constexpr (!Guards::kCountsUnansweredOrders) {
    for (const task_key& key : std::set(aTarget.mHeld)) {
      held_attempt& attempt = *mAttempts.find(key);
      if (attempt.mState == placed_state::starting) {
        requeue(attempt);
      }
    }
  }
  if constexpr (!Guards::kWaitsForLeases) {
    for (const task_key& key : std::set(aTarget.mHeld)) {
      setLost(*mAttempts.find(key));
    }
  }
}

/// Updates mAllResponsiveSince. While this daemon was unresponsive, or cannot hear a member,
/// another member may be the interim owner of its targets and renew the leases there.
template<guard_policy Guards>
void basic_placer<Guards>::impl::updateResponsiveSince(time_point aNow)
{
  mMembersSeen.insert(mView.mLive.begin(), mView.mLive.end());
  std::erase_if(mMembersSeen,
                [this](const auto& aMember) { return mView.mSuccessors.contains(aMember); });
  const bool allResponsive =
    std::includes(mView.mLive.begin(), mView.mLive.end(), mMembersSeen.begin(), mMembersSeen.end());
  if (!allResponsive || aNow - mLastTick > mOptions.mTiming.mPeerTimeout / 2) {
    mAllResponsiveSince = aNow;
  }
  mLastTick = aNow;
}

template<guard_policy Guards>
bool basic_placer<Guards>::impl::otherRenewalsEnded(time_point aNow) const
{
  // Interim owners stop renewing when they hear from the placer again, at the latest one silence
  // period after it is responsive again.
  const timing_options& timing = mOptions.mTiming;
  const duration lease(static_cast<duration::rep>(static_cast<double>(timing.mTaskLease.count()) *
                                                  (1.0 + timing.mClockDrift)));
  return aNow - mAllResponsiveSince > timing.mPeerTimeout + lease + timing.mSafetyMargin;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::expireLeases(target_state& aTarget, time_point aNow)
{
  const bool unresponsive = aTarget.mMissed > 0 || !aTarget.mListed;
  if (!unresponsive || aTarget.mHeld.empty() || !aTarget.contacted()) {
    return;
  }
  const target_time ended =
    aTarget.mLeaseMax + std::chrono::duration_cast<target_time>(mOptions.mTiming.mSafetyMargin);
  const bool leasesEnded = aTarget.mClock.earliest(aNow) > ended && otherRenewalsEnded(aNow);
  for (const task_key& key : std::set(aTarget.mHeld)) {
    held_attempt& attempt = *mAttempts.find(key);
    const auto order = aTarget.mOrders.find(attempt.mStartOrder);
    if (order != aTarget.mOrders.end() && !order->second.mSent) {
      requeue(attempt);
    } else if (leasesEnded) {
      setLost(attempt);
    }
  }
}

} // namespace endiveusher
