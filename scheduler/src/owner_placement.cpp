#include "capacity_fit.h"
#include "owner_impl.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace endiveusher::scheduler {

using internal::fitCount;
using internal::kTicketMargin;
using internal::maxTasksIn;
using internal::times;
using verdict = internal::step_advice::verdict;

namespace {

/// Fraction of all CPU that steps may claim while they ask for advice about it.
constexpr double kMaxClaimedFraction = 0.4;
/// Time before the last start that meets its deadline from which a step takes any rack, not only
/// that of its data.
constexpr auto kAnyRackLead = std::chrono::milliseconds(1500);
/// Maximum time for which a step waits for the rack of its data. Callers are told that it starts
/// within 3 s; advice and storing the start may take 2 s of them.
constexpr auto kMaxRackWait = std::chrono::milliseconds(1000);
/// Time for which gangs that wait may hold back a step of their team by reservations in its limit
/// while the team uses less than half of it. Callers are told that such a step starts within 3 s;
/// advice and storing the start may take 2 s of them.
constexpr auto kMaxTeamHold = std::chrono::milliseconds(1000);
/// Maximum number of steps whose reason for waiting is logged in one pass, as each of these visits
/// all targets. Enough for each of 9,000 waiting steps once per kWaitLogInterval.
constexpr std::size_t kMaxWaitLogs = 64;

/// Returns the number of tasks with aNeeds that fit into a team's limit beside aUsed.
std::uint32_t slotsWithin(const resources& aLimit, const resources& aUsed, const resources& aNeeds)
{
  const auto slots = [](std::int64_t aWhole, std::int64_t aPart, std::int64_t aNeed) {
    return aWhole <= 0 ? std::numeric_limits<std::int32_t>::max() : fitCount(aNeed, aWhole - aPart);
  };
  return static_cast<std::uint32_t>(
    std::min({ slots(aLimit.mCpuMilli, aUsed.mCpuMilli, aNeeds.mCpuMilli),
               slots(aLimit.mMemoryMb, aUsed.mMemoryMb, aNeeds.mMemoryMb),
               slots(aLimit.mAccelerators, aUsed.mAccelerators, aNeeds.mAccelerators) }));
}

/// Whether aUsed is less than half of each limited component.
bool usesUnderHalf(const resources& aUsed, const resources& aLimit)
{
  const auto under = [](std::int64_t aPart, std::int64_t aWhole) {
    return aWhole <= 0 || 2 * aPart < aWhole;
  };
  return under(aUsed.mCpuMilli, aLimit.mCpuMilli) && under(aUsed.mMemoryMb, aLimit.mMemoryMb) &&
         under(aUsed.mAccelerators, aLimit.mAccelerators);
}

} // namespace

target_fit owner::impl::fitOf(const target_state& aTarget, time_point aNow) const
{
  if (!aTarget.mListed || !aTarget.isDescribed() || !aTarget.mAcquisitionStored ||
      aTarget.mRestartListed || aTarget.mMissedHeartbeats != 0 || !aTarget.mClock ||
      aTarget.mHasUnknownRuns) {
    return target_fit::not_usable;
  }
  if (aTarget.mEntry.mDraining) {
    return target_fit::draining;
  }
  if (aTarget.mAvoidUntil > aNow) {
    return target_fit::avoided;
  }
  if (aTarget.mSlowUntil > aNow) {
    return target_fit::slow;
  }
  return mClosedZones.contains(aTarget.mEntry.mZone) ? target_fit::closed_zone : target_fit::fits;
}

bool owner::impl::usable(const target_state& aTarget, time_point aNow) const
{
  return fitOf(aTarget, aNow) == target_fit::fits;
}

bool owner::impl::isSuitable(const target_state& aTarget, const route_config& aRoute,
                             const step_spec& aStep)
{
  return aTarget.mEntry.mPool == aRoute.mPool &&
         (aStep.mRequiredLabel.empty() || aTarget.mEntry.hasLabel(aStep.mRequiredLabel));
}

bool owner::impl::allowed(const waiting_step& aStep, const target_state& aTarget,
                          time_point aNow) const
{
  return allowedInGroup(aStep, aTarget, aNow) && isSuitable(aTarget, aStep.mRoute, aStep.spec());
}

bool owner::impl::allowedInGroup(const waiting_step& aStep, const target_state& aTarget,
                                 time_point aNow) const
{
  ++mPass.mVisits;
  if (aStep.mRoute.mAdvice && aStep.mAdvice.verdictOn(aTarget.mNumber) == verdict::bad) {
    return false;
  }
  if (!aStep.mAvoidedTargets.empty()) {
    const auto failed = aStep.mAvoidedTargets.find(aTarget.mNumber);
    if (failed != aStep.mAvoidedTargets.end() && failed->second > aNow) {
      return false;
    }
  }
  return true;
}

internal::room_group& owner::impl::groupOf(const waiting_step& aStep,
                                           std::span<const candidate_target> aCandidates) const
{
  const auto& spec = aStep.spec();
  return mPass.mRoom.group(
    aStep.mRoute.mPool, spec.mRequiredLabel, [&](internal::room_group& aGroup) {
      mPass.mVisits += aCandidates.size();
      for (std::uint32_t position = 0; position < aCandidates.size(); ++position) {
        const auto& candidate = aCandidates[position];
        if (isSuitable(*candidate.mTarget, aStep.mRoute, spec)) {
          aGroup.add(position, candidate.mFirstFreeCpuMilli);
        }
      }
    });
}

std::span<const std::uint32_t> owner::impl::positionsWithRoom(
  const waiting_step& aStep, std::span<const candidate_target> aCandidates) const
{
  auto& group = groupOf(aStep, aCandidates);
  const auto freeAt = [aCandidates](std::uint32_t aPosition) -> const resources& {
    return aCandidates[aPosition].mFree;
  };
  return group.positions().subspan(group.firstWithRoom(aStep.mNeeds, freeAt, mPass.mVisits));
}

std::uint32_t owner::impl::slotsAt(const waiting_step& aStep,
                                   const candidate_target& aCandidate) const
{
  return mayShare(aStep, aCandidate) ? freeSlotsAt(aStep, aCandidate) : 0;
}

std::uint32_t owner::impl::freeSlotsAt(const waiting_step& aStep,
                                       const candidate_target& aCandidate) const
{
  std::uint32_t slots = maxTasksIn(aStep.mNeeds, aCandidate.mFree);
  const auto most = aStep.spec().mMaxPerTarget;
  if (slots > 0 && most > 0) {
    std::uint32_t there = 0;
    const auto& runs = aCandidate.mTarget->mRuns;
    for (auto at = runs.lower_bound(task_key{ .mStep = aStep.mKey });
         at != runs.end() && at->first.mStep == aStep.mKey; ++at) {
      ++there;
    }
    slots = std::min(slots, most > there ? most - there : 0);
  }
  return slots;
}

std::uint32_t owner::impl::teamSlots(const waiting_step& aStep) const
{
  const auto* team = aStep.mTeam->mConfig;
  if (team == nullptr) {
    return std::numeric_limits<std::int32_t>::max();
  }
  // Tasks that reserve no CPU at their target count in full against the team's limit.
  const auto& needs = aStep.spec().mNeeds;
  auto usage = aStep.mTeam->mUsed;
  if (aStep.mIgnoresTeamReservations) {
    const auto slots = slotsWithin(team->mUpperLimit, usage, needs);
    if (aStep.spec().mGang) {
      return slots;
    }
    // Only until the team uses half of its limit: the other half is left to the gang.
    std::uint32_t untilHalf = 0;
    while (untilHalf < slots && untilHalf < aStep.mPending.size() &&
           usesUnderHalf(usage, team->mUpperLimit)) {
      usage += needs;
      ++untilHalf;
    }
    return untilHalf;
  }
  if (aStep.mTeam->mReserved) {
    usage += aStep.mTeam->mReserved->mTotal;
  }
  return slotsWithin(team->mUpperLimit, usage, needs);
}

std::string owner::impl::reserverFor(const waiting_step& aStep, std::uint32_t aSlots) const
{
  const auto& team = *aStep.mTeam;
  if (team.mConfig == nullptr || !team.mReserved) {
    return "-";
  }
  const bool wouldFit =
    slotsWithin(team.mConfig->mUpperLimit, team.mUsed, aStep.spec().mNeeds) >= aSlots;
  return wouldFit ? toText(team.mReserved->mLargest) : "-";
}

/// Bounds the time for which a step waits behind reservations in its team's limit. Load pattern: a
/// gang needs more than is left of the limit, or finds no capacity, for as long as other tasks run;
/// meanwhile the team's other steps could run.
void owner::impl::updateTeamHold(waiting_step& aStep, time_point aNow) const
{
  aStep.mIgnoresTeamReservations = false;
  const auto& team = *aStep.mTeam;
  const bool held = team.mConfig != nullptr && team.mReserved &&
                    usesUnderHalf(team.mUsed, team.mConfig->mUpperLimit) &&
                    teamSlots(aStep) < aStep.mPending.size();
  if (!held) {
    aStep.mTeamHoldSince.reset();
    return;
  }
  aStep.mTeamHoldSince = aStep.mTeamHoldSince.value_or(aNow);
  aStep.mIgnoresTeamReservations = aNow - *aStep.mTeamHoldSince >= kMaxTeamHold;
}

void owner::impl::planAndMeasure(time_point aNow)
{
  const auto* clock = mOptions.mClock;
  const auto begin = clock == nullptr ? time_point{} : clock->now();
  mLastPass = {};
  mPass.mVisits = 0;
  plan(aNow);
  mLastPass.mVisits = mPass.mVisits;
  mLastPass.mDuration = clock == nullptr ? duration{ 0 } : clock->now() - begin;
}

std::vector<owner::impl::candidate_target> owner::impl::makeCandidates(time_point aNow)
{
  std::vector<std::pair<std::int64_t, target_state*>> order;
  order.reserve(mTargetsByNumber.size());
  mPass.mCandidateCpuMilli = 0;
  for (auto* target : mTargetsByNumber) {
    if (target != nullptr && usable(*target, aNow)) {
      mPass.mCandidateCpuMilli += target->mEntry.mCapacity.mCpuMilli;
      order.emplace_back(target->freeCapacity().mCpuMilli, target);
    }
  }
  // Best fit: small tasks go to the fullest targets, so that large gaps remain for gangs.
  std::ranges::stable_sort(order, {}, [](const auto& aOne) { return aOne.first; });
  mPass.mRoom.clear();
  mPass.mCapacityIsBeingFreed = false;
  mPass.mCandidatePositions.assign(mTargetsByNumber.size(), std::nullopt);
  std::vector<candidate_target> candidates;
  candidates.reserve(order.size());
  for (const auto& [freeCpu, target] : order) {
    mPass.mCandidatePositions[target->mNumber] = static_cast<std::uint32_t>(candidates.size());
    auto& candidate = candidates.emplace_back(candidate_target{
      .mTarget = target, .mFree = target->freeCapacity(), .mFirstFreeCpuMilli = freeCpu });
    if (!target->mHasStops && target->mIsolatedUntil <= aNow) {
      continue;
    }
    for (const auto& [task, run] : target->mRuns) {
      if (run.mIsolatedUntil > aNow) {
        candidate.mIsolated.add(task.mStep.mJob);
      }
      if (run.mStopWanted) {
        candidate.mBeingFreed += run.mNeeds;
        mPass.mCapacityIsBeingFreed = true;
      }
    }
  }
  return candidates;
}

std::vector<std::pair<internal::step_rank, internal::waiting_step*>> owner::impl::stepsInOrder(
  time_point aNow)
{
  std::vector<std::pair<internal::step_rank, waiting_step*>> order;
  for (auto& [key, step] : mWaiting) {
    if (step.startable()) {
      order.emplace_back(internal::rankOf(step, aNow), &step);
    }
  }
  std::ranges::sort(order, {}, [](const auto& aOne) { return aOne.first; });
  return order;
}

void owner::impl::plan(time_point aNow)
{
  updateTeamPositions(aNow);
  if (!mConfig || mWaiting.empty()) {
    return;
  }
  auto candidates = makeCandidates(aNow);
  for (auto& [name, team] : mTeams) {
    team.mWaitingTasks = 0;
    team.mReserved.reset();
  }
  for (auto& [key, step] : mWaiting) {
    step.mTeam->mWaitingTasks += static_cast<std::uint32_t>(step.mPending.size());
  }
  overload_admission::task_counts waiting;
  for (const auto& [name, team] : mTeams) {
    if (team.mWaitingTasks > 0) {
      waiting[name] = team.mWaitingTasks;
    }
  }
  mAdmission.setWaiting(std::move(waiting));
  const auto order = stepsInOrder(aNow);
  mPass.mReservedCpuMilli = 0;
  mPass.mReservedInPools.clear();
  mPass.mClaimedCpuMilli = 0;
  withholdReservations(candidates, aNow);
  mLastPass.mSteps = order.size();
  std::size_t waitLogs = 0;
  for (const auto& [rank, step] : order) {
    if (step->mNotBefore > aNow && step->mJob->mSpec.mRepeat == 0) {
      continue;
    }
    updateIsolation(*step, aNow);
    mPass.mWithheldForGang.clear();
    if (step->spec().mGang) {
      placeGang(*step, candidates, aNow);
    } else {
      placeTasks(*step, candidates, aNow);
    }
    // Its team's use does not make a step late for which others may be stopped.
    preempt(*step, ordersByUse() ? internal::rankWithoutShare(*step, aNow) : rank, candidates,
            aNow);
    if (step->startable() && step->mNextWaitLog <= aNow && waitLogs < kMaxWaitLogs) {
      ++waitLogs;
      logWait(*step, candidates, aNow);
    }
    // Last, because the step itself may use this room.
    claimQueriedRoom(*step, candidates);
  }
}

/// Load pattern: hundreds of steps wait in a cell of a thousand targets, each with tickets for some
/// tens of them. Only these are visited.
std::vector<owner::impl::candidate_target*> owner::impl::startableCandidates(
  const waiting_step& aStep, std::vector<candidate_target>& aCandidates, std::size_t aMost,
  time_point aNow) const
{
  std::vector<candidate_target*> found;
  const auto withRoom = positionsWithRoom(aStep, aCandidates);
  if (!aStep.mRoute.mAdvice) {
    std::size_t slots = 0;
    for (auto at = withRoom.begin(); at != withRoom.end() && slots < aMost; ++at) {
      auto& candidate = aCandidates[*at];
      if (allowedInGroup(aStep, *candidate.mTarget, aNow)) {
        found.push_back(&candidate);
        slots += slotsAt(aStep, candidate);
      }
    }
    return found;
  }
  if (withRoom.empty()) {
    return found;
  }
  aStep.mAdvice.forEachValidTicket(aNow + kTicketMargin, [&](internal::target_number aNumber) {
    const auto position = mPass.mCandidatePositions[aNumber];
    if (position && allowed(aStep, *aCandidates[*position].mTarget, aNow)) {
      found.push_back(&aCandidates[*position]);
    }
  });
  std::ranges::sort(found);
  return found;
}

std::vector<owner::impl::candidate_target*> owner::impl::goodCandidates(
  const waiting_step& aStep, std::vector<candidate_target>& aCandidates, time_point aNow) const
{
  std::vector<candidate_target*> good;
  if (!aStep.mRoute.mAdvice) {
    for (const auto position : groupOf(aStep, aCandidates).positions()) {
      if (allowedInGroup(aStep, *aCandidates[position].mTarget, aNow)) {
        good.push_back(&aCandidates[position]);
      }
    }
    return good;
  }
  for (const auto number : aStep.mAdvice.good()) {
    const auto position = mPass.mCandidatePositions[number];
    if (position && allowed(aStep, *aCandidates[*position].mTarget, aNow)) {
      good.push_back(&aCandidates[*position]);
    }
  }
  std::ranges::sort(good);
  return good;
}

internal::wait_counts owner::impl::countsFor(const waiting_step& aStep,
                                             std::span<const candidate_target> aCandidates,
                                             time_point aNow) const
{
  internal::wait_counts counts;
  const auto positions = groupOf(aStep, aCandidates).positions();
  const auto firstWithRoom = positions.size() - positionsWithRoom(aStep, aCandidates).size();
  for (std::size_t at = 0; at < positions.size(); ++at) {
    const auto& candidate = aCandidates[positions[at]];
    if (!allowedInGroup(aStep, *candidate.mTarget, aNow)) {
      continue;
    }
    ++counts.mAllowedTargets;
    const auto freeHere =
      at < firstWithRoom ? 0 : std::min(freeSlotsAt(aStep, candidate), aStep.spec().mCount);
    const auto here = mayShare(aStep, candidate) ? freeHere : 0;
    counts.mSlots += here;
    counts.mFreeSlots += freeHere;
    counts.mGoodSlots +=
      aStep.mAdvice.verdictOn(candidate.mTarget->mNumber) == verdict::good ? here : 0;
    const auto* ticket = aStep.mAdvice.validTicket(candidate.mTarget->mNumber, aNow);
    counts.mTickets += ticket != nullptr ? 1 : 0;
  }
  return counts;
}

const char* owner::impl::waitReason(const waiting_step& aStep, const internal::wait_counts& aCounts,
                                    time_point aNow) const
{
  const auto neededSlots = aStep.spec().mGang ? aStep.spec().mCount : 1;
  if (aStep.mNotBefore > aNow) {
    return "not_before";
  }
  if (teamSlots(aStep) < neededSlots) {
    return "team_limit";
  }
  if (aCounts.mAllowedTargets == 0) {
    return "no_target";
  }
  if (aCounts.mSlots < neededSlots) {
    return aCounts.mFreeSlots < neededSlots ? "no_room" : "isolation";
  }
  if (!aStep.mRoute.mAdvice && !aStep.spec().mDataRack.empty()) {
    return "data_rack";
  }
  if (aStep.mAdvice.mCallsOpen > 0) {
    return "advice_open";
  }
  if (aStep.mRoute.mAdvice &&
      !mAdviceDispatcher.hasFreeHelper(aStep.mRoute.mAdvice->mPerCall, aNow)) {
    return "advice_busy";
  }
  return "no_ticket";
}

void owner::impl::logWait(waiting_step& aStep, const std::vector<candidate_target>& aCandidates,
                          time_point aNow)
{
  aStep.mNextWaitLog = aNow + internal::kWaitLogInterval;
  const auto counts = countsFor(aStep, aCandidates, aNow);
  const auto neededSlots = aStep.spec().mGang ? aStep.spec().mCount : 1;
  mPort.logDecision(
    "step_waiting",
    fmt::format("step={} route={} waited_ms={} pending={}/{} reason={} allowed_targets={} "
                "slots={} good_slots={} tickets={} ticket_slots={} replies={} cpu={} mem={} "
                "band={} held_by={}",
                toText(aStep.mKey), aStep.mRoute.mName,
                (aNow - aStep.mWaitingSince) / std::chrono::milliseconds(1), aStep.mPending.size(),
                aStep.spec().mCount, waitReason(aStep, counts, aNow), counts.mAllowedTargets,
                counts.mSlots, counts.mGoodSlots, counts.mTickets, ticketSlots(aStep, aNow),
                aStep.mAdvice.mReplies, aStep.mNeeds.mCpuMilli, aStep.mNeeds.mMemoryMb,
                internal::rankOf(aStep, aNow).mBand,
                teamSlots(aStep) < neededSlots ? reserverFor(aStep, neededSlots) : "-"));
}

std::vector<owner::impl::placement> owner::impl::chooseTasks(
  const waiting_step& aStep, std::vector<candidate_target>& aCandidates, time_point aNow) const
{
  const bool ready = aStep.mNotBefore <= aNow;
  const auto& rack = aStep.spec().mDataRack;
  // Elsewhere a task takes at least twice as long, so waiting for longer than its estimate does not
  // pay.
  const auto rackWait = std::min<duration>(kMaxRackWait, aStep.spec().mEstimate);
  const bool anyRack = rack.empty() || aNow - aStep.mWaitingSince >= rackWait ||
                       aNow > aStep.mDeadline - aStep.mRemainingWork - kAnyRackLead;
  const auto wanted = std::min<std::size_t>(aStep.mPending.size(), teamSlots(aStep));
  const auto most = rack.empty() ? wanted : std::numeric_limits<std::size_t>::max();
  auto startable = startableCandidates(aStep, aCandidates, most, aNow);
  if (!rack.empty()) {
    std::ranges::stable_partition(startable, [&rack](const candidate_target* aOne) {
      return aOne->mTarget->mEntry.mRack == rack;
    });
  }
  std::vector<placement> placements;
  for (auto* candidate : startable) {
    if (placements.size() == wanted) {
      break;
    }
    if (!anyRack && candidate->mTarget->mEntry.mRack != rack) {
      continue;
    }
    for (auto slots = slotsAt(aStep, *candidate); ready && slots > 0 && placements.size() < wanted;
         --slots) {
      placements.push_back(
        { .mTaskIndex = aStep.mPending[placements.size()], .mCandidate = candidate });
      candidate->mFree -= aStep.mNeeds;
    }
  }
  return placements;
}

void owner::impl::placeTasks(waiting_step& aStep, std::vector<candidate_target>& aCandidates,
                             time_point aNow)
{
  updateTeamHold(aStep, aNow);
  const auto team = teamSlots(aStep);
  if (team == 0) {
    return;
  }
  const auto wanted = std::min<std::size_t>(aStep.mPending.size(), team);
  const auto placements = chooseTasks(aStep, aCandidates, aNow);
  if (!placements.empty()) {
    commit(aStep, placements, aNow);
  }
  if (placements.size() < wanted && aStep.mRoute.mAdvice) {
    requestAdvice(aStep, aCandidates, aNow);
  }
}

/// Load pattern: more steps wait than there is room for, and each of them sees the same room and
/// asks about it. What a step has asked about is withheld from the steps behind it until its call
/// has ended, so that the number of calls depends on the room that becomes free. The room that its
/// waiting tasks need is claimed first on the targets that are known to be good; all steps together
/// claim at most kMaxClaimedFraction. Gangs reserve capacity instead.
void owner::impl::claimQueriedRoom(const waiting_step& aStep,
                                   std::vector<candidate_target>& aCandidates)
{
  if (aStep.mAdvice.mCallsOpen == 0 || aStep.spec().mGang) {
    return;
  }
  auto tasks = std::min<std::size_t>(aStep.mPending.size(), teamSlots(aStep));
  const auto most =
    static_cast<std::int64_t>(kMaxClaimedFraction * static_cast<double>(mPass.mCandidateCpuMilli));
  const auto claimOn = [&](verdict aVerdict) {
    for (const auto number : aStep.mAdvice.mQueried) {
      const auto position = mPass.mCandidatePositions[number];
      if (tasks == 0 || mPass.mClaimedCpuMilli >= most) {
        return;
      }
      if (!position || aStep.mAdvice.verdictOn(number) != aVerdict) {
        continue;
      }
      auto& candidate = aCandidates[*position];
      const auto slots =
        static_cast<std::uint32_t>(std::min<std::size_t>(tasks, slotsAt(aStep, candidate)));
      const auto claimed = times(aStep.mNeeds, slots);
      candidate.mFree -= claimed;
      mPass.mClaimedCpuMilli += claimed.mCpuMilli;
      tasks -= slots;
      ++mPass.mVisits;
    }
  };
  claimOn(verdict::good);
  claimOn(verdict::unknown);
}

void owner::impl::commit(waiting_step& aStep, const std::vector<placement>& aPlacements,
                         time_point aNow)
{
  mLastPass.mStarts += aPlacements.size();
  const auto key = aStep.mKey;
  const auto& spec = aStep.spec();
  const auto* state = aStep.mJob->find(key);
  const auto isolatedUntil = isolationEnd(*state, aNow);
  aStep.mIsolationSince.reset();
  aStep.mReservation.reset();
  std::uint32_t gangRun = 1;
  if (spec.mGang) {
    for (const auto& [index, task] : state->mTasks.full()) {
      gangRun = std::max(gangRun, task.mRun + 1);
    }
  }
  for (const auto& one : aPlacements) {
    auto& target = *one.mCandidate->mTarget;
    const task_key task{ .mStep = key, .mIndex = one.mTaskIndex };
    const auto run = spec.mGang ? gangRun : state->mTasks[one.mTaskIndex].mRun + 1;
    const run_started record{ .mTask = task,
                              .mRun = run,
                              .mAt = { .mTarget = target.mEntry.mId,
                                       .mIncarnationStart = target.mEntry.mIncarnationStart } };
    allocated_run allocated{
      .mRun = run, .mNeeds = aStep.mNeeds, .mTeam = aStep.mTeam, .mIsolatedUntil = isolatedUntil
    };
    if (isolatedUntil > aNow) {
      one.mCandidate->mIsolated.add(key.mJob);
    }
    if (aStep.mRoute.mAdvice) {
      const auto* ticket = aStep.mAdvice.validTicket(target.mNumber, aNow);
      allocated.mTicket = ticket->mToken;
      allocated.mTicketExpiry = ticket->mExpiry;
    }
    allocate(target, task, std::move(allocated));
    append(record, aNow);
    mNextBatch.mStarts.push_back(record);
    mPort.logDecision("start",
                      fmt::format("task={} run={} target={} zone={} cpu={} free_cpu={} "
                                  "report_age_ms={} waited_ms={}",
                                  toText(task), run, target.mEntry.mId, target.mEntry.mZone,
                                  aStep.mNeeds.mCpuMilli, target.freeCapacity().mCpuMilli,
                                  (aNow - target.mLastReply) / std::chrono::milliseconds(1),
                                  (aNow - mSubmittedAt[key.mJob]) / std::chrono::milliseconds(1)));
  }
  enqueueStep(*aStep.mJob, key, aNow);
}

} // namespace endiveusher::scheduler
