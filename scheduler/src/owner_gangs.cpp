#include "capacity_fit.h"
#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <utility>

namespace endiveusher::scheduler {

using internal::kTicketMargin;
using internal::maxTasksIn;
using internal::times;

namespace {

/// Fraction of all CPU, and of each resource of a pool, that may be reserved for waiting gangs.
constexpr double kMaxReservedFraction = 0.4;
/// Time after which a reservation is dropped: stops at its targets, one call for advice about them
/// and a repetition of it are over by then.
constexpr auto kMaxReservationAge = std::chrono::milliseconds(2500);
/// Pause of a gang for which no reservation was found, or whose reservation was dropped.
constexpr auto kFutileReservationPause = std::chrono::milliseconds(60);
constexpr auto kDroppedReservationPause = std::chrono::milliseconds(240);
/// The same if its calls for advice got no reply. With the pause above, a gang reserved four times
/// in 10 s of an outage of the advice service, and stopped other runs for it.
constexpr auto kFailedAdvicePause = std::chrono::seconds(10);
/// Minimum waiting time before a gang makes a reservation, and before it stops other runs for it:
/// capacity is often free, or freed without stops.
constexpr auto kMinWaitToReserve = std::chrono::milliseconds(60);
constexpr auto kMinWaitToStop = std::chrono::milliseconds(500);

} // namespace

bool owner::impl::hasRoomForGang(const waiting_step& aStep,
                                 std::span<const candidate_target> aCandidates) const
{
  const auto freeAt = [aCandidates](std::uint32_t aPosition) -> const resources& {
    return aCandidates[aPosition].mFree;
  };
  return groupOf(aStep, aCandidates)
    .hasRoom(aStep.mNeeds, aStep.mPending.size(), freeAt, mPass.mVisits);
}

std::vector<owner::impl::placement> owner::impl::chooseGang(
  const waiting_step& aStep, std::vector<candidate_target>& aCandidates, time_point aNow) const
{
  const auto count = static_cast<std::uint32_t>(aStep.mPending.size());
  const auto most = aStep.spec().mRackLocal ? std::numeric_limits<std::size_t>::max() : count;
  const auto startable = hasRoomForGang(aStep, aCandidates)
                           ? startableCandidates(aStep, aCandidates, most, aNow)
                           : std::vector<candidate_target*>{};
  const auto tryOn = [&](std::string_view aRack) {
    std::vector<placement> placements;
    for (auto* candidate : startable) {
      if (!aRack.empty() && candidate->mTarget->mEntry.mRack != aRack) {
        continue;
      }
      for (auto slots = slotsAt(aStep, *candidate); slots > 0 && placements.size() < count;
           --slots) {
        placements.push_back(
          { .mTaskIndex = aStep.mPending[placements.size()], .mCandidate = candidate });
      }
      if (placements.size() == count) {
        return placements;
      }
    }
    return std::vector<placement>{};
  };
  std::vector<placement> placements;
  if (aStep.mNotBefore <= aNow && !startable.empty()) {
    if (aStep.spec().mRackLocal) {
      std::set<std::string> racks;
      for (const auto* candidate : startable) {
        racks.insert(candidate->mTarget->mEntry.mRack);
      }
      for (const auto& rack : racks) {
        if (placements.empty()) {
          placements = tryOn(rack);
        }
      }
    }
    if (placements.empty()) {
      placements = tryOn({});
    }
  }
  for (const auto& one : placements) {
    one.mCandidate->mFree -= aStep.mNeeds;
  }
  return placements;
}

void owner::impl::placeGang(waiting_step& aStep, std::vector<candidate_target>& aCandidates,
                            time_point aNow)
{
  if (aStep.mReservation) {
    giveBack(aStep, aCandidates);
  }
  updateTeamHold(aStep, aNow);
  if (teamSlots(aStep) < aStep.mPending.size()) {
    if (aStep.mReservation) {
      aStep.mReservation.reset();
      aStep.mNextReservation = aNow + kDroppedReservationPause;
    }
    reserveTeamLimit(aStep, aNow);
    return;
  }
  if (const auto placements = chooseGang(aStep, aCandidates, aNow); !placements.empty()) {
    commit(aStep, placements, aNow);
    return;
  }
  if (!aStep.mReservation) {
    makeReservation(aStep, aCandidates, aNow);
  }
  if (aStep.mRoute.mAdvice) {
    requestAdvice(aStep, aCandidates, aNow);
  }
  holdForGang(aStep, aCandidates, aNow);
}

void owner::impl::holdForGang(const waiting_step& aStep, std::vector<candidate_target>& aCandidates,
                              time_point aNow)
{
  reserveTeamLimit(aStep, aNow);
  if (aStep.mReservation) {
    withhold(aStep, aCandidates);
  } else {
    reserveCapacity(aStep, aCandidates, aNow);
  }
}

/// Reserves a part of the team's limit for a waiting gang. Load pattern: a team runs near its
/// limit, and its small tasks take every part that becomes free before there is enough for one of
/// its gangs. Later steps of the team may not use the reserved part while the gang can be on time,
/// unless it needs more than the whole limit, or updateTeamHold() exempts them.
void owner::impl::reserveTeamLimit(const waiting_step& aStep, time_point aNow)
{
  const auto needs = times(aStep.spec().mNeeds, static_cast<std::uint32_t>(aStep.mPending.size()));
  const auto* team = aStep.mTeam->mConfig;
  if (internal::rankOf(aStep, aNow).mBand > internal::kLastOnTimeBand ||
      (team != nullptr && !withinLimit(needs, team->mUpperLimit))) {
    return;
  }
  auto& reservation = aStep.mTeam->mReserved;
  auto& reserved = reservation ? *reservation : reservation.emplace();
  reserved.mTotal += needs;
  if (needs.mCpuMilli > reserved.mLargestCpuMilli) {
    reserved.mLargest = aStep.mKey;
    reserved.mLargestCpuMilli = needs.mCpuMilli;
  }
}

/// Reserves capacity for a waiting gang. Load pattern: small tasks fill every gap that wide gangs
/// wait for. The capacity that the gang needs is withheld from the steps behind it: first the free
/// capacity of the good targets for which it has tickets or waits for them, then any on the good
/// targets with the most free CPU. All gangs together reserve at most kMaxReservedFraction.
void owner::impl::reserveCapacity(const waiting_step& aStep,
                                  std::vector<candidate_target>& aCandidates, time_point aNow)
{
  const auto needed = static_cast<std::int64_t>(aStep.mPending.size()) * aStep.mNeeds.mCpuMilli;
  if (static_cast<double>(mPass.mReservedCpuMilli + needed) >
      kMaxReservedFraction * static_cast<double>(mPass.mCandidateCpuMilli)) {
    return;
  }
  auto& group = groupOf(aStep, aCandidates);
  const auto capacityAt = [&aCandidates](std::uint32_t aPosition) -> const resources& {
    return aCandidates[aPosition].mTarget->mEntry.mCapacity;
  };
  if (!group.hasCapacity(aStep.mNeeds, aStep.mPending.size(), capacityAt, mPass.mVisits)) {
    return;
  }
  std::vector<candidate_target*> good;
  for (auto* candidate : goodCandidates(aStep, aCandidates, aNow)) {
    // Other jobs may still run where a gang waits for isolation; they end there.
    if (candidate->mIsolated.onlyOf(aStep.mKey.mJob)) {
      good.push_back(candidate);
    }
  }
  const auto requested = [&aStep, aNow](const candidate_target* aOne) {
    return aStep.mAdvice.requested(aOne->mTarget->mNumber, aNow + kTicketMargin);
  };
  const auto part = std::ranges::partition(good, requested);
  const auto freeCpu = [](const candidate_target* aOne) { return aOne->mFree.mCpuMilli; };
  std::ranges::sort(good.begin(), part.begin(), std::greater<>{}, freeCpu);
  std::ranges::sort(part, std::greater<>{}, freeCpu);
  const auto most = aStep.spec().mMaxPerTarget > 0 ? aStep.spec().mMaxPerTarget
                                                   : std::numeric_limits<std::uint32_t>::max();
  auto left = static_cast<std::uint32_t>(aStep.mPending.size());
  std::vector<std::pair<candidate_target*, std::uint32_t>> parts;
  for (auto* candidate : good) {
    const auto fitting = requested(candidate) && mayShare(aStep, *candidate)
                           ? slotsAt(aStep, *candidate)
                           : maxTasksIn(aStep.mNeeds, candidate->mTarget->mEntry.mCapacity);
    const auto slots = std::min({ left, most, fitting });
    if (slots > 0 && !candidate->mFree.anyNegative()) {
      parts.emplace_back(candidate, slots);
      left -= slots;
    }
    if (left == 0) {
      break;
    }
  }
  if (left > 0) {
    return;
  }
  mPass.mReservedCpuMilli += needed;
  for (auto& [candidate, slots] : parts) {
    // Nothing of other jobs may start where a gang waits for isolation. That wait is short, so that
    // the limit on reservations counts only what the gang needs.
    const auto amount = aStep.mNeedsIsolation ? candidate->mFree : times(aStep.mNeeds, slots);
    candidate->mFree -= amount;
    mPass.mWithheldForGang.push_back(
      { .mCandidate = candidate, .mSlots = slots, .mAmount = amount });
  }
}

void owner::impl::withhold(const waiting_step& aStep,
                           std::vector<candidate_target>& aCandidates) const
{
  for (const auto& part : aStep.mReservation->mParts) {
    if (const auto position = mPass.mCandidatePositions[part.mTarget]) {
      aCandidates[*position].mFree -= times(aStep.mNeeds, part.mSlots);
    }
  }
}

void owner::impl::giveBack(const waiting_step& aStep,
                           std::vector<candidate_target>& aCandidates) const
{
  for (const auto& part : aStep.mReservation->mParts) {
    if (const auto position = mPass.mCandidatePositions[part.mTarget]) {
      aCandidates[*position].mFree += times(aStep.mNeeds, part.mSlots);
    }
  }
}

bool owner::impl::keepsReservation(const waiting_step& aStep, time_point aNow) const
{
  const auto isUsable = [&](const internal::gang_reservation::part& aPart) {
    return mPass.mCandidatePositions[aPart.mTarget] &&
           allowed(aStep, *mTargetsByNumber[aPart.mTarget], aNow);
  };
  return aStep.startable() && aStep.mReservation->mSince + kMaxReservationAge > aNow &&
         std::ranges::all_of(aStep.mReservation->mParts, isUsable);
}

void owner::impl::withholdReservations(std::vector<candidate_target>& aCandidates, time_point aNow)
{
  for (auto& [key, step] : mWaiting) {
    if (!step.mReservation) {
      continue;
    }
    if (!keepsReservation(step, aNow)) {
      const bool isExpired = step.mReservation->mSince + kMaxReservationAge <= aNow;
      const bool adviceFailed = isExpired && step.mReservation->mAdviceFailed;
      step.mNextReservation =
        aNow + (adviceFailed ? duration(kFailedAdvicePause) : duration(kDroppedReservationPause));
      step.mReservation.reset();
      continue;
    }
    const auto needs = times(step.mNeeds, static_cast<std::uint32_t>(step.mPending.size()));
    mPass.mReservedCpuMilli += needs.mCpuMilli;
    mPass.mReservedInPools[step.mRoute.mPool] += needs;
    withhold(step, aCandidates);
  }
}

bool owner::impl::mayReserve(const waiting_step& aStep, time_point aNow) const
{
  const auto needed = static_cast<std::int64_t>(aStep.mPending.size()) * aStep.mNeeds.mCpuMilli;
  return aStep.mRoute.mAdvice && aStep.mRoute.mPriority > 0 && !aStep.mNeedsIsolation &&
         aStep.mNextReservation <= aNow && aNow - aStep.mWaitingSince >= kMinWaitToReserve &&
         internal::rankOf(aStep, aNow).mBand <= internal::kLastOnTimeBand &&
         static_cast<double>(mPass.mReservedCpuMilli + needed) <=
           kMaxReservedFraction * static_cast<double>(mPass.mCandidateCpuMilli);
}

std::vector<owner::impl::reservable_target> owner::impl::reservableTargets(
  const waiting_step& aStep, std::vector<candidate_target>& aCandidates, time_point aNow) const
{
  const auto wanted = static_cast<std::uint32_t>(aStep.mPending.size());
  const auto perTarget = aStep.spec().mMaxPerTarget;
  const auto most = perTarget > 0 ? std::min(perTarget, wanted) : wanted;
  std::vector<reservable_target> targets;
  std::uint64_t slots = 0;
  for (auto* candidate : goodCandidates(aStep, aCandidates, aNow)) {
    if (candidate->mTarget->freeCapacity().anyNegative() || !mayShare(aStep, *candidate)) {
      continue;
    }
    const auto soonFree = candidate->mFree + candidate->mBeingFreed;
    const auto here = std::min(most, maxTasksIn(aStep.mNeeds, soonFree));
    targets.push_back({ .mCandidate = candidate, .mFreeSlots = here, .mSlots = here });
    slots += here;
  }
  if (slots < wanted && aNow - aStep.mWaitingSince >= kMinWaitToStop) {
    slots = 0;
    for (auto& one : targets) {
      if (one.mSlots < most) {
        one.mStops = preemptionAt(aStep, *one.mCandidate, most);
        one.mSlots = std::max(one.mFreeSlots, one.mStops.mTasks);
      }
      slots += one.mSlots;
    }
  }
  if (slots < wanted) {
    return {};
  }
  std::ranges::stable_sort(targets, {}, [](const reservable_target& aOne) {
    const auto gained = std::max(aOne.mSlots - aOne.mFreeSlots, 1U);
    return std::pair(static_cast<double>(aOne.mStops.mVictims.size()) / gained,
                     -static_cast<std::int64_t>(aOne.mSlots));
  });
  return targets;
}

resources owner::impl::poolCapacity(const waiting_step& aStep,
                                    std::span<const candidate_target> aCandidates) const
{
  resources total;
  for (const auto position : groupOf(aStep, aCandidates).positions()) {
    total += aCandidates[position].mTarget->mEntry.mCapacity;
  }
  total.mSlots = 0;
  return total;
}

void owner::impl::freeFor(const waiting_step& aStep, const reservable_target& aTarget,
                          std::uint32_t aSlots, time_point aNow)
{
  if (aSlots <= aTarget.mFreeSlots) {
    return;
  }
  const auto stop = aSlots < aTarget.mStops.mTasks
                      ? preemptionAt(aStep, *aTarget.mCandidate, aSlots)
                      : aTarget.mStops;
  stopVictims(aStep, stop, aNow);
  // withhold() subtracts what the gang needs from the free capacity, once for the whole pass.
  aTarget.mCandidate->mBeingFreed += times(aStep.mNeeds, stop.mTasks);
}

/// Load pattern: in a full cell, a gang that knows enough good targets waits for all its slots to
/// be free at the same time, while smaller steps take each of them as it becomes free. What is free
/// on these targets, is being freed or can be freed by stopping tasks with checkpoints is reserved
/// at once, until the gang starts. Stops and the call for tickets run at the same time.
void owner::impl::makeReservation(waiting_step& aStep, std::vector<candidate_target>& aCandidates,
                                  time_point aNow)
{
  if (!mayReserve(aStep, aNow)) {
    return;
  }
  aStep.mNextReservation = aNow + kFutileReservationPause;
  auto left = static_cast<std::uint32_t>(aStep.mPending.size());
  const auto targets = reservableTargets(aStep, aCandidates, aNow);
  const auto reserved = mPass.mReservedInPools[aStep.mRoute.mPool] + times(aStep.mNeeds, left);
  if (targets.empty() ||
      dominantShare(reserved, poolCapacity(aStep, aCandidates)) > kMaxReservedFraction) {
    return;
  }
  internal::gang_reservation reservation{ .mSince = aNow };
  std::size_t stops = 0;
  for (const auto& one : targets) {
    const auto slots = std::min(left, one.mSlots);
    if (slots == 0) {
      continue;
    }
    freeFor(aStep, one, slots, aNow);
    stops += slots > one.mFreeSlots ? 1 : 0;
    reservation.mParts.push_back({ .mTarget = one.mCandidate->mTarget->mNumber, .mSlots = slots });
    left -= slots;
  }
  mPass.mReservedCpuMilli +=
    static_cast<std::int64_t>(aStep.mPending.size()) * aStep.mNeeds.mCpuMilli;
  mPass.mReservedInPools[aStep.mRoute.mPool] = reserved;
  mPort.logDecision("gang_reserved",
                    fmt::format("step={} tasks={} targets={} stops_at={} waited_ms={}",
                                toText(aStep.mKey), aStep.mPending.size(),
                                reservation.mParts.size(), stops,
                                (aNow - aStep.mWaitingSince) / std::chrono::milliseconds(1)));
  aStep.mReservation = std::move(reservation);
}

} // namespace endiveusher::scheduler
