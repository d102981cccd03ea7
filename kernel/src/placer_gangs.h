#pragma once

#include "placer_impl.h"

#include <algorithm>

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
  // Capacity reserved by draining is available to the draining gang.
  const bool drains = mDraining && mDraining->mRequest == aTasks.front().mKey.mRequest;
  internal::reservation made{ .mExpires = aNow + mOptions.mTiming.mReservationPeriod };
  for (const task_attempt& task : aTasks) {
    const held_attempt* held = mAttempts.find(task.mKey);
    const bool mayHold = held == nullptr || held->mState == placed_state::queued ||
                         (held->final() && held->mTask.mAttempt <= task.mAttempt);
    target_state* target =
      mayHold && fitsSlice(task.mTeam, task.mSize) ? choose(task.mSize, drains, aNow) : nullptr;
    if (target == nullptr) {
      freeReservation(made);
      recordWaitingGang(aTasks, aWaited, aNow);
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
void basic_placer<Guards>::impl::recordWaitingGang(std::span<const task_attempt> aTasks,
                                                   duration aWaited, time_point aNow)
{
  constexpr duration kDrainAfter = std::chrono::seconds(5);
  const request_id& request = aTasks.front().mKey.mRequest;
  if (mDraining && mDraining->mRequest == request) {
    mDraining->mWaited = aWaited;
    mDraining->mLastAsked = aNow;
    return;
  }
  if (aWaited < kDrainAfter ||
      (mDraining ? aWaited <= mDraining->mWaited : aNow < mNextDrainFrom)) {
    return;
  }
  // A gang that replaces another one gets only the remainder of its draining time.
  internal::draining_gang gang{ .mRequest = request,
                                .mWaited = aWaited,
                                .mSince = mDraining ? mDraining->mSince : aNow,
                                .mLastAsked = aNow };
  for (const task_attempt& task : aTasks) {
    gang.mSizes.push_back(task.mSize);
  }
  constexpr duration kMinDrainPeriod = std::chrono::seconds(20);
  mNextDrainFrom = gang.mSince + kMinDrainPeriod;
  mDraining = std::move(gang);
  updateDraining(aNow);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::updateDraining(time_point aNow)
{
  constexpr duration kMaxDrainTime = std::chrono::seconds(10);
  // A coordinator that has stopped asking has abandoned the gang.
  constexpr duration kDrainRequestTimeout = std::chrono::seconds(5);
  if (mDraining && (aNow - mDraining->mSince >= kMaxDrainTime ||
                    aNow - mDraining->mLastAsked >= kDrainRequestTimeout)) {
    mDraining.reset();
  }
  bool wasDraining = false;
  for (target_state* target : mOrder) {
    wasDraining = wasDraining || target->mDraining;
    target->mDraining = false;
  }
  if (!mDraining) {
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
