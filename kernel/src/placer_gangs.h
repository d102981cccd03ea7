#pragma once

#include "placer_impl.h"

#include <algorithm>
#include <bit>

namespace endiveusher {

template<guard_policy Guards>
bool basic_placer<Guards>::impl::reserve(const incarnation_id& aCoordinator,
                                         std::uint64_t aReservation,
                                         std::span<const task_attempt> aTasks, duration aWaited,
                                         time_point aNow)
{
  const internal::reservation_table::id id{ aCoordinator, aReservation };
  if (mReservations.committed(id) || mReservations.find(id) != nullptr) {
    return true;
  }
  if (!mayStart(aNow) || aTasks.empty()) {
    return false;
  }
  // A coordinator has given up the earlier rounds of a gang when it begins a later one. Their
  // release may have been lost, and they would take the capacity that this round needs.
  for (const auto& other : mReservations.otherRounds(id, aTasks.front().mKey.mRequest)) {
    if (other.second > aReservation) {
      return false;
    }
    freeReservation(mReservations.take(other));
  }
  // Capacity reserved by draining is available to the draining gang.
  const bool drains = mDraining && mDraining->mRequest == aTasks.front().mKey.mRequest;
  internal::reservation made{ .mExpires = aNow + mOptions.mTiming.mReservationPeriod };
  for (const task_attempt& task : aTasks) {
    const held_attempt* held = mAttempts.find(task.mKey);
    const bool mayHold = held == nullptr || held->mState == placed_state::queued ||
                         (held->final() && held->mTask.mAttempt <= task.mAttempt);
    const bool inSlice = fitsSlice(task.mTeam, task.mSize);
    target_state* target = mayHold && inSlice ? choose(task.mSize, drains, aNow) : nullptr;
    if (target == nullptr) {
      freeReservation(made);
      if (!inSlice) {
        recordSliceWaiter(aTasks, aWaited, aNow);
      }
      recordWaitingGang(aTasks, aWaited, inSlice, aNow);
      return false;
    }
    target->mAccount.addPending(task.mSize);
    ++target->mReservations;
    mSlices.add(task.mTeam, task.mSize);
    rescore(task.mTeam);
    made.mParts.push_back({ .mTask = task, .mTarget = target->mInfo.mTarget });
    internal::invariant(
      internal::within(mSlices.of(task.mTeam).mCharged, mView.mTeams.at(task.mTeam).mSlice),
      "a reservation keeps the team's charge within its slice");
  }
  const auto waiter = mSliceWaiters.find(aTasks.front().mTeam);
  if (waiter != mSliceWaiters.end() && waiter->second.mRequest == aTasks.front().mKey.mRequest) {
    mSliceWaiters.erase(waiter);
  }
  mReservations.add(id, std::move(made));
  if (drains) {
    // Other placers of the gang may still lack capacity, so draining continues until the commit.
    mDraining->mLastAsked = aNow;
  }
  checkInvariants();
  return true;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::freeReservation(const internal::reservation& aReservation)
{
  for (const auto& part : aReservation.mParts) {
    if (target_state* target = targetOf(part.mTarget)) {
      target->mAccount.removePending(part.mTask.mSize);
      --target->mReservations;
    }
    mSlices.remove(part.mTask.mTeam, part.mTask.mSize);
    rescore(part.mTask.mTeam);
  }
  onCapacityFreed();
}

template<guard_policy Guards>
bool basic_placer<Guards>::impl::commit(const incarnation_id& aCoordinator,
                                        std::uint64_t aReservation, time_point aNow)
{
  const internal::reservation_table::id id{ aCoordinator, aReservation };
  if (mReservations.committed(id)) {
    return true;
  }
  const internal::reservation* found = mReservations.find(id);
  if (found == nullptr) {
    return false;
  }
  const bool valid =
    aNow < found->mExpires && mayStart(aNow) &&
    std::all_of(found->mParts.begin(), found->mParts.end(), [&](const auto& aPart) {
      const target_state* target = targetOf(aPart.mTarget);
      const held_attempt* held = mAttempts.find(aPart.mTask.mKey);
      // The team may have been removed, or its slice lowered, since the reservation.
      const auto info = mView.mTeams.find(aPart.mTask.mTeam);
      return target != nullptr && placeable(*target, aNow, true) && info != mView.mTeams.end() &&
             (!Guards::kChecksSlices ||
              internal::within(mSlices.of(aPart.mTask.mTeam).mCharged, info->second.mSlice)) &&
             (held == nullptr || !held->onTarget());
    });
  const internal::reservation taken = mReservations.take(id);
  freeReservation(taken);
  if (!valid) {
    return false;
  }
  for (const auto& part : taken.mParts) {
    if (held_attempt* held = mAttempts.find(part.mTask.mKey)) {
      erase(*held);
    }
    held_attempt& attempt = mAttempts.add(part.mTask);
    attempt.mQueuedAt = aNow;
    start(attempt, *targetOf(part.mTarget), aNow);
  }
  mReservations.setCommitted(id, aNow);
  if (mDraining && mDraining->mRequest == taken.mParts.front().mTask.mKey.mRequest) {
    mDraining.reset();
    updateDraining(aNow);
  }
  checkInvariants();
  return true;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::release(const incarnation_id& aCoordinator,
                                         std::uint64_t aReservation)
{
  const internal::reservation_table::id id{ aCoordinator, aReservation };
  if (mReservations.find(id) != nullptr) {
    freeReservation(mReservations.take(id));
  }
}

template<guard_policy Guards>
limit_vector basic_placer<Guards>::impl::needOf(std::span<const task_attempt> aTasks)
{
  limit_vector need = internal::slice_account::kZero;
  for (const task_attempt& task : aTasks) {
    need = internal::sum(need, internal::chargeOf(task.mSize));
  }
  return need;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::recordSliceWaiter(std::span<const task_attempt> aTasks,
                                                   duration aWaited, time_point aNow)
{
  const request_id& request = aTasks.front().mKey.mRequest;
  const auto [entry, isNew] = mSliceWaiters.try_emplace(aTasks.front().mTeam);
  internal::slice_waiter& waiter = entry->second;
  const bool same = waiter.mRequest == request;
  if (!isNew && !same && waiter.asks(aNow) && aWaited <= waiter.waited(aNow)) {
    return;
  }
  waiter = { .mRequest = request,
             .mNeed = needOf(aTasks),
             .mWaited = aWaited,
             .mSince = same ? waiter.mSince : aNow,
             .mLastAsked = aNow };
}

template<guard_policy Guards>
limit_vector basic_placer<Guards>::impl::keptFromLending(const incarnation_id& aBorrower,
                                                         const slice_request& aRequest,
                                                         time_point aNow) const
{
  const auto found = mSliceWaiters.find(aRequest.mTeam);
  if (found == mSliceWaiters.end() || !found->second.collects(aNow)) {
    return internal::slice_account::kZero;
  }
  // Compares powers of two, because a stated wait is late by the time of its message: with exact
  // values both daemons could take their own gang for the older one and lend nothing for ever.
  const auto rank = [](duration aWaited) {
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(aWaited).count();
    return std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(0, waited)));
  };
  const auto own = rank(found->second.waited(aNow));
  const auto other = rank(aRequest.mWaited);
  const bool yields =
    aRequest.mWaited.count() > 0 && (other > own || (other == own && aBorrower < self()));
  return yields ? internal::slice_account::kZero : found->second.mNeed;
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::recordWaitingGang(std::span<const task_attempt> aTasks,
                                                   duration aWaited, bool aLacksTargets,
                                                   time_point aNow)
{
  constexpr duration kDrainAfter = std::chrono::seconds(5);
  const request_id& request = aTasks.front().mKey.mRequest;
  if (mDraining && mDraining->mRequest == request) {
    mDraining->mWaited = aWaited;
    mDraining->mLastAsked = aNow;
    mDraining->mLacksTargets = mDraining->mLacksTargets || aLacksTargets;
    return;
  }
  // A gang drains in the first half of each period of its own wait. All of its placers are told the
  // same wait, so that they hold capacity at the same time.
  constexpr duration kDrainPeriod = std::chrono::seconds(20);
  constexpr duration kMaxDrainTime = kDrainPeriod / 2;
  const duration sincePeriodBegan = (aWaited - kDrainAfter) % kDrainPeriod;
  if (aWaited < kDrainAfter || sincePeriodBegan >= kMaxDrainTime ||
      (mDraining ? aWaited <= mDraining->mWaited : aNow < mNextDrainFrom)) {
    return;
  }
  // A gang that replaces another one gets only the remainder of its draining time.
  const time_point end = aNow + (kMaxDrainTime - sincePeriodBegan);
  internal::draining_gang gang{ .mRequest = request,
                                .mTeam = aTasks.front().mTeam,
                                .mNeed = needOf(aTasks),
                                .mLacksTargets = aLacksTargets,
                                .mWaited = aWaited,
                                .mUntil = mDraining ? std::min(end, mDraining->mUntil) : end,
                                .mLastAsked = aNow };
  for (const task_attempt& task : aTasks) {
    gang.mSizes.push_back(task.mSize);
  }
  mNextDrainFrom = gang.mUntil + (kDrainPeriod - kMaxDrainTime);
  mDraining = std::move(gang);
  updateDraining(aNow);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::updateDraining(time_point aNow)
{
  // A coordinator that has stopped asking has abandoned the gang.
  constexpr duration kDrainRequestTimeout = std::chrono::seconds(5);
  if (mDraining &&
      (aNow >= mDraining->mUntil || aNow - mDraining->mLastAsked >= kDrainRequestTimeout)) {
    mDraining.reset();
  }
  bool wasDraining = false;
  for (target_state* target : mOrder) {
    wasDraining = wasDraining || target->mDraining;
    target->mDraining = false;
  }
  if (!mDraining || !mDraining->mLacksTargets) {
    if (wasDraining) {
      onCapacityFreed();
    }
    return;
  }
  // Marks the least used targets that together could hold the gang.
  std::vector<target_state*> targets;
  for (target_state* target : mOrder) {
    if (placeable(*target, aNow, true)) {
      targets.push_back(target);
    }
  }
  std::stable_sort(targets.begin(), targets.end(), [](const auto* aLeft, const auto* aRight) {
    return dominantShare(aLeft->mAccount.committed(), aLeft->mAccount.capacity()) <
           dominantShare(aRight->mAccount.committed(), aRight->mAccount.capacity());
  });
  auto next = targets.begin();
  resources remaining;
  for (const resources& size : mDraining->mSizes) {
    while (!size.fitsIn(remaining) && next != targets.end()) {
      remaining = (*next)->mAccount.capacity();
      (*next++)->mDraining = true;
    }
    if (!size.fitsIn(remaining)) {
      return;
    }
    remaining -= size;
  }
}

} // namespace endiveusher
