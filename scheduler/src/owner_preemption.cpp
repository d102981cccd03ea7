#include "capacity_fit.h"
#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace endiveusher::scheduler {

using internal::maxTasksIn;
using internal::times;
using verdict = internal::step_advice::verdict;

namespace {

/// A step may preempt other runs if its latest start is nearer than this: the time to stop them, to
/// receive their ends and to store the start.
constexpr auto kPreemptLead = std::chrono::milliseconds(800);
/// Minimum waiting time before a step preempts others, because capacity is often freed without
/// preemption.
constexpr auto kMinWaitBeforePreemption = std::chrono::milliseconds(60);
/// Minimum time between two preemptions for one step. A wide gang needs tickets before it can use
/// the freed capacity; until then other tasks take it, and it would be freed again and again.
constexpr auto kPreemptInterval = std::chrono::milliseconds(1500);
/// The same, if no run could be stopped for the step.
constexpr auto kFutilePreemptionPause = std::chrono::milliseconds(60);
/// Maximum number of targets at which a step preempts runs in one planning pass.
constexpr std::size_t kMaxPreemptedTargets = 16;

} // namespace

std::vector<owner::impl::preemptible_run> owner::impl::preemptibleRuns(
  const target_state& aTarget) const
{
  std::vector<preemptible_run> found;
  for (const auto& [task, run] : aTarget.mRuns) {
    if (run.mPhase != internal::run_phase::confirmed || run.mEnded || run.mStopWanted) {
      continue;
    }
    const job* owning = mJobTable.find(task.mStep.mJob);
    if (owning == nullptr || owning->mPhase != job_phase::active) {
      continue;
    }
    const auto& spec = owning->mSpec.mSteps[task.mStep.mStep];
    const auto* route = findRoute(owning->mSpec);
    if (spec.mCheckpointing && !spec.mGang && !spec.mLongRunning && spec.mMaxUnavailable == 0 &&
        !spec.mUsesIdleCpu && route != nullptr) {
      found.push_back(
        { .mCpuMilli = run.mNeeds.mCpuMilli, .mTask = task, .mPriority = route->mPriority });
    }
  }
  std::ranges::sort(found, std::greater<>{}, [](const preemptible_run& aOne) {
    return std::pair(aOne.mCpuMilli, aOne.mTask);
  });
  return found;
}

owner::impl::preemption owner::impl::preemptionAt(const waiting_step& aStep,
                                                  candidate_target& aCandidate,
                                                  std::uint32_t aMost) const
{
  if (!aCandidate.mPreemptible) {
    aCandidate.mPreemptible = preemptibleRuns(*aCandidate.mTarget);
  }
  auto free = aCandidate.mFree + aCandidate.mBeingFreed;
  preemption result{ .mCandidate = &aCandidate };
  std::vector<preemptible_run> victims;
  for (const auto& one : *aCandidate.mPreemptible) {
    const auto& run = aCandidate.mTarget->mRuns.find(one.mTask)->second;
    // Steps before this one may have had it stopped in the same pass.
    if (one.mPriority <= aStep.mRoute.mPriority || run.mStopWanted) {
      continue;
    }
    free += run.mNeeds;
    victims.push_back(one);
    if (const auto tasks = std::min(aMost, maxTasksIn(aStep.mNeeds, free)); tasks > result.mTasks) {
      result.mTasks = tasks;
      result.mVictims = victims;
    }
    if (result.mTasks == aMost) {
      break;
    }
  }
  return result;
}

resources owner::impl::freeAfterPreemption(const waiting_step& aStep,
                                           candidate_target& aCandidate) const
{
  if (!aCandidate.mPreemptible) {
    aCandidate.mPreemptible = preemptibleRuns(*aCandidate.mTarget);
  }
  auto free = aCandidate.mFree + aCandidate.mBeingFreed;
  for (const auto& one : *aCandidate.mPreemptible) {
    const auto& run = aCandidate.mTarget->mRuns.find(one.mTask)->second;
    if (one.mPriority > aStep.mRoute.mPriority && !run.mStopWanted) {
      free += run.mNeeds;
    }
  }
  return free;
}

std::optional<time_point> owner::impl::preemptsAfter(const waiting_step& aStep,
                                                     const internal::step_rank& aRank)
{
  if (aRank.mBand > internal::kLastOnTimeBand || aStep.spec().mLongRunning) {
    return std::nullopt;
  }
  duration lead = kPreemptLead;
  if (aStep.spec().mGang && aStep.mRoute.mAdvice) {
    // Tickets expire while a gang waits, so it needs new ones when there is capacity.
    lead += 2 * aStep.mRoute.mAdvice->mPerCall;
  }
  return std::max<time_point>(aRank.mLatestStart - lead,
                              aStep.mWaitingSince + kMinWaitBeforePreemption);
}

/// Load pattern: a burst of urgent jobs arrives while checkpointing batch work fills the cell.
/// Stopping a batch task costs the time to resume it, which its job can afford; the urgent job has
/// a fraction of a second to start and would be late. Capacity that is being freed already counts
/// first, and a step preempts no more runs than it needs.
void owner::impl::preempt(waiting_step& aStep, const internal::step_rank& aRank,
                          std::vector<candidate_target>& aCandidates, time_point aNow)
{
  const auto after = preemptsAfter(aStep, aRank);
  if (!after || aNow <= *after || aStep.mReservation || !aStep.startable() ||
      aStep.mNextPreemption > aNow) {
    return;
  }
  const auto wanted = std::min<std::size_t>(aStep.mPending.size(), teamSlots(aStep));
  if (aStep.spec().mGang && wanted < aStep.mPending.size()) {
    return;
  }
  // In the first case there is nothing to stop and nothing to wait for.
  const bool isFutile =
    (aStep.mRoute.mPriority >= mLowestPriority && !mPass.mCapacityIsBeingFreed &&
     positionsWithRoom(aStep, aCandidates).empty()) ||
    (aStep.mRoute.mAdvice && aStep.mAdvice.goodTargets() == 0) ||
    groupOf(aStep, aCandidates).isPreemptionFutile(aStep.mNeeds, aStep.mRoute.mPriority);
  if (isFutile) {
    aStep.mNextPreemption = aNow + kFutilePreemptionPause;
    return;
  }
  // What the gang has reserved is room for it.
  for (const auto& one : mPass.mWithheldForGang) {
    one.mCandidate->mFree += one.mAmount;
  }
  const auto stops = choosePreemptions(aStep, wanted, aCandidates, aNow);
  for (const auto& stop : stops) {
    stopVictims(aStep, stop, aNow);
  }
  for (const auto& one : mPass.mWithheldForGang) {
    one.mCandidate->mFree -= one.mAmount;
  }
  aStep.mNextPreemption = aNow + (stops.empty() ? kFutilePreemptionPause : kPreemptInterval);
}

std::vector<owner::impl::preemption> owner::impl::choosePreemptions(
  const waiting_step& aStep, std::size_t aWanted, std::vector<candidate_target>& aCandidates,
  time_point aNow) const
{
  auto good = goodCandidates(aStep, aCandidates, aNow);
  std::erase_if(good, [&aStep](const auto* aOne) { return !mayShare(aStep, *aOne); });
  // Candidates are in the order of their free CPU. At a target whose capacity has shrunk below its
  // runs, stopped runs make up the deficit first, so it comes last.
  std::ranges::stable_partition(good, [](const candidate_target* aOne) {
    return !aOne->mTarget->freeCapacity().anyNegative();
  });
  const auto reservedAt = [this](const candidate_target* aOne) {
    const auto found = std::ranges::find(mPass.mWithheldForGang, aOne, &withheld_room::mCandidate);
    return found == mPass.mWithheldForGang.end() ? 0U : found->mSlots;
  };
  auto missing = aWanted;
  for (auto* candidate : good) {
    const auto beingFreed = static_cast<std::uint32_t>(std::min<std::size_t>(
      missing, maxTasksIn(aStep.mNeeds, candidate->mFree + candidate->mBeingFreed)));
    // Reserved capacity is withheld from other steps already.
    const auto reserved = std::min(beingFreed, reservedAt(candidate));
    candidate->mBeingFreed -= times(aStep.mNeeds, beingFreed - reserved);
    missing -= beingFreed;
  }
  std::vector<preemption> stops;
  for (auto* candidate : good) {
    if (missing == 0 || stops.size() == kMaxPreemptedTargets) {
      break;
    }
    auto here = preemptionAt(aStep, *candidate, static_cast<std::uint32_t>(missing));
    if (here.mTasks > 0) {
      missing -= here.mTasks;
      stops.push_back(std::move(here));
    }
  }
  if (missing > 0 && missing == aWanted) {
    const auto freeAt = [&](std::uint32_t aPosition) {
      return freeAfterPreemption(aStep, aCandidates[aPosition]);
    };
    groupOf(aStep, aCandidates)
      .checkPreemption(aStep.mNeeds, aStep.mRoute.mPriority, freeAt, mPass.mVisits);
  }
  if (aStep.spec().mGang && missing > 0) {
    return {};
  }
  return stops;
}

void owner::impl::stopVictims(const waiting_step& aStep, const preemption& aStop, time_point aNow)
{
  auto& target = *aStop.mCandidate->mTarget;
  for (const auto& victim : aStop.mVictims) {
    const auto& task = victim.mTask;
    auto& run = target.mRuns.find(task)->second;
    target.wantStop(run);
    run.mNextTry = aNow;
    aStop.mCandidate->mBeingFreed += run.mNeeds;
    mPass.mCapacityIsBeingFreed = true;
    mPass.mRoom.onPreempted(victim.mPriority);
    mPort.logDecision(
      "preempt",
      fmt::format("task={} run={} target={} for_step={} deadline_slack_ms={}", toText(task),
                  run.mRun, target.mEntry.mId, toText(aStep.mKey),
                  (aStep.mDeadline - aStep.mRemainingWork - aNow) / std::chrono::milliseconds(1)));
  }
  target.mNextOrders = time_point{};
  aStop.mCandidate->mBeingFreed -= times(aStep.mNeeds, aStop.mTasks);
}

} // namespace endiveusher::scheduler
