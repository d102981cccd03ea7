#pragma once

#include "placer_impl.h"

namespace endiveusher {

template<guard_policy Guards>
bool basic_placer<Guards>::impl::presumedSuccessorOf(const incarnation_id& aSilent,
                                                     const target_state& aTarget) const
{
  const auto presumed = mView.mPresumedSuccessors.find(aSilent);
  return presumed != mView.mPresumedSuccessors.end() ? isSelf(presumed->second)
                                                     : isSelf(aTarget.mTerms.mPreferredOwner);
}

template<guard_policy Guards>
bool basic_placer<Guards>::impl::mustPoll(const target_state& aTarget) const
{
  if (isSelf(aTarget.mTerms.mPreferredOwner) || aTarget.mWasOwned || aTarget.mOwnEntries > 0 ||
      !aTarget.mHeld.empty()) {
    return true;
  }
  // A successor sweeps all targets; it goes on reading those that it has not read since the
  // succession had settled.
  return aTarget.mReadSettled < mSweepOffset ||
         std::any_of(mView.mPresumedSuccessors.begin(), mView.mPresumedSuccessors.end(),
                     [this](const auto& aEntry) { return aEntry.second == mView.mSelf; });
}

template<guard_policy Guards>
internal::target_wish basic_placer<Guards>::impl::decideOwned(const target_state& aTarget) const
{
  if (mShuttingDown) {
    return aTarget.sentOrders() ? target_wish::own : target_wish::release;
  }
  if (!aTarget.mOrders.empty() || aTarget.mOwnEntries > 0 || aTarget.mReservations > 0 ||
      !aTarget.mTableKnown) {
    return target_wish::own;
  }
  const auto isOwn = [this](const task_key& aKey) { return mBook.attempts().at(aKey).mOwn; };
  if (std::any_of(aTarget.mHeld.begin(), aTarget.mHeld.end(), isOwn) ||
      std::any_of(aTarget.mEnded.begin(), aTarget.mEnded.end(), isOwn)) {
    return target_wish::own;
  }
  if (aTarget.mTable.empty()) {
    const incarnation_id& preferred = aTarget.mTerms.mPreferredOwner;
    // A target that is no longer listed belongs to a zone that has got its own member.
    const bool elsewhere = !aTarget.mListed || (!preferred.empty() && preferred != self() &&
                                                mView.mLive.contains(preferred));
    return elsewhere ? target_wish::release : target_wish::own;
  }
  for (const auto& [key, entry] : aTarget.mTable) {
    if (!mView.mLive.contains(mView.resolve(entry.mTask.mPlacer))) {
      return target_wish::own;
    }
  }
  return target_wish::release;
}

template<guard_policy Guards>
internal::target_wish basic_placer<Guards>::impl::decide(const target_state& aTarget) const
{
  if (aTarget.mOwned) {
    return decideOwned(aTarget);
  }
  if (mShuttingDown || (!aTarget.mListed && aTarget.mHeld.empty())) {
    return target_wish::leave;
  }
  const target_wish watch = mustPoll(aTarget) ? target_wish::read : target_wish::leave;
  const bool free = aTarget.contacted() && (aTarget.mOwner.empty() || aTarget.mOwner == self() ||
                                            aTarget.mOwnerUntil <= aTarget.mClock.reading());
  if (!free || !aTarget.mTableKnown) {
    return watch;
  }
  if (aTarget.mOwnEntries > 0) {
    return target_wish::own;
  }
  if (aTarget.mTable.empty()) {
    return isSelf(aTarget.mTerms.mPreferredOwner) ? target_wish::own : watch;
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
  return target_wish::own;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::exchangeIfDue(target_state& aTarget, time_point aNow)
{
  if (aTarget.mInFlight != 0) {
    // The edge reports a missed deadline; this is for a lost report.
    const duration longest = 2 * mOptions.mTiming.mExchangeTimeout;
    if (aNow - aTarget.mSentAt < longest) {
      return;
    }
    onTimeout(aTarget, aNow);
  }
  const target_wish wish = decide(aTarget);
  bool due = false;
  switch (wish) {
    case target_wish::leave:
      break;
    case target_wish::read:
      due = aNow >= aTarget.mNextExchange;
      break;
    case target_wish::own:
      due = aNow >= aTarget.mNextExchange ||
            (aTarget.mOwned && aTarget.mUnsentOrders && aTarget.mMissed == 0);
      break;
    case target_wish::release:
      // One release per second keeps a changed preference from moving all targets at once.
      due = (mShuttingDown && aTarget.mMissed == 0) ||
            (aNow >= aTarget.mNextExchange &&
             aNow - mLastRelease >= mOptions.mTiming.mExchangeInterval);
      break;
  }
  if (due) {
    sendExchange(aTarget, wish, aNow);
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::sendExchange(target_state& aTarget, target_wish aWish,
                                              time_point aNow)
{
  const timing_options& timing = mOptions.mTiming;
  exchange_request request{ .mTarget = aTarget.mTerms.mTarget,
                            .mDaemon = self(),
                            .mAcquire = aWish != target_wish::read,
                            .mTargetIncarnation = aTarget.mIncarnation,
                            .mKnownTableVersion = aTarget.mTableKnown ? aTarget.mTableVersion : 0 };
  if constexpr (Guards::kChecksEpoch) {
    request.mEpoch = aTarget.mEpoch;
  }
  if (aWish == target_wish::own) {
    request.mOwnershipLease =
      std::chrono::duration_cast<std::chrono::milliseconds>(timing.mOwnershipLease);
  }
  // Renewals to a silent target stop, so that its leases surely end and its work can go on
  // elsewhere.
  constexpr std::uint32_t kMissedToStopRenewal = 3;
  // An interim owner renews nothing once the placer is heard from again.
  const bool interimRelease = aWish == target_wish::release && aTarget.mForeign > 0;
  if (aWish != target_wish::read && !interimRelease && aTarget.contacted() &&
      aNow < mView.mRenewUntil && aTarget.mMissed < kMissedToStopRenewal) {
    // Counted from the earliest reading, so that no lease outlasts the renewal by more than a
    // task lease.
    request.mTaskLeaseUntil =
      aTarget.mClock.earliest(aNow) + std::chrono::duration_cast<target_time>(timing.mTaskLease);
    aTarget.mLeaseMax = std::max(aTarget.mLeaseMax, request.mTaskLeaseUntil);
  }
  if (aWish == target_wish::own && aTarget.mOwned) {
    addOrders(aTarget, request, aNow);
  }
  request.mAcknowledgedFinished.assign(aTarget.mAcks.begin(), aTarget.mAcks.end());
  aTarget.mSentAcks = aTarget.mAcks;
  aTarget.mInFlight = ++mLastExchange;
  aTarget.mAcquiring = aWish == target_wish::own && !aTarget.mOwned;
  aTarget.mReleasing = aWish == target_wish::release;
  aTarget.mSentAt = aNow;
  aTarget.mSentSettled = mView.mSettledOffset;
  if (aTarget.mReleasing) {
    mLastRelease = aNow;
  }
  mExchanges.push_back({ .mExchangeId = aTarget.mInFlight,
                         .mAddress = aTarget.mTerms.mAddress,
                         .mRequest = std::move(request) });
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::addOrders(target_state& aTarget, exchange_request& aRequest,
                                           time_point aNow)
{
  const timing_options& timing = mOptions.mTiming;
  // Freshness may have ended, or the target may have been told to leave, since the start was
  // decided.
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
      // Not sent again; it is settled once its start_by has passed.
      continue;
    } else if (!isStart) {
      order.mOrder.mStartBy =
        aTarget.mClock.latest(aNow) + std::chrono::duration_cast<target_time>(timing.mTaskLease);
    }
    order.mSent = true;
    aRequest.mOrders.push_back(order.mOrder);
  }
  for (const task_key& key : withdrawn) {
    requeue(*mBook.find(key));
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::onTimeout(target_state& aTarget, time_point aNow)
{
  aTarget.mInFlight = 0;
  ++aTarget.mMissed;
  // The first repetition goes out at once over a new connection.
  aTarget.mNextExchange = aTarget.mMissed == 1 ? aNow : aNow + mOptions.mTiming.mExchangeInterval;
  if (aTarget.mMissed == 1) {
    log(log_level::warning, "no answer from target {} at {}", aTarget.mTerms.mTarget,
        aTarget.mTerms.mAddress);
  }
  if constexpr (!Guards::kCountsUnansweredOrders) {
    for (const task_key& key : std::set(aTarget.mHeld)) {
      held_attempt& attempt = *mBook.find(key);
      if (attempt.mState == placed_state::starting) {
        requeue(attempt);
      }
    }
  }
  if constexpr (!Guards::kWaitsForLeases) {
    for (const task_key& key : std::set(aTarget.mHeld)) {
      setLost(*mBook.find(key));
    }
  }
}

/// While this daemon was silent, or is to a member that it does not hear, another member may be
/// the interim owner of its targets and renew the leases there.
template<guard_policy Guards>
void basic_placer<Guards>::impl::noteSilence(time_point aNow)
{
  mMembersSeen.insert(mView.mLive.begin(), mView.mLive.end());
  std::erase_if(mMembersSeen,
                [this](const auto& aMember) { return mView.mSuccessors.contains(aMember); });
  const bool allHeard =
    std::includes(mView.mLive.begin(), mView.mLive.end(), mMembersSeen.begin(), mMembersSeen.end());
  if (!allHeard || aNow - mLastTick > mOptions.mTiming.mSilencePeriod / 2) {
    mHeardSince = aNow;
  }
  mLastTick = aNow;
}

template<guard_policy Guards>
bool basic_placer<Guards>::impl::othersRenewNothing(time_point aNow) const
{
  // Interim owners stop renewing once they hear from the placer, at the latest a silence period
  // after it is heard again.
  const timing_options& timing = mOptions.mTiming;
  const duration lease(static_cast<duration::rep>(static_cast<double>(timing.mTaskLease.count()) *
                                                  (1.0 + timing.mClockDrift)));
  return aNow - mHeardSince > timing.mSilencePeriod + lease + timing.mSafetyMargin;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::expireLeases(target_state& aTarget, time_point aNow)
{
  const bool silent = aTarget.mMissed > 0 || !aTarget.mListed;
  if (!silent || aTarget.mHeld.empty() || !aTarget.contacted()) {
    return;
  }
  const target_time ended =
    aTarget.mLeaseMax + std::chrono::duration_cast<target_time>(mOptions.mTiming.mSafetyMargin);
  const bool leasesEnded = aTarget.mClock.earliest(aNow) > ended && othersRenewNothing(aNow);
  for (const task_key& key : std::set(aTarget.mHeld)) {
    held_attempt& attempt = *mBook.find(key);
    const auto order = aTarget.mOrders.find(attempt.mStartOrder);
    if (order != aTarget.mOrders.end() && !order->second.mSent) {
      requeue(attempt);
    } else if (leasesEnded) {
      setLost(attempt);
    }
  }
}

} // namespace endiveusher
