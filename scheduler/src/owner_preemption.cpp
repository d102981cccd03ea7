#include "owner_impl.h"
#include "room.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace endiveusher::scheduler {

using internal::fits;
using internal::times;
using verdict = internal::step_advice::verdict;

namespace {

/// A step that has to start within this to be on time has others stopped for it: the time to stop
/// them, to see their ends and to store the start.
constexpr auto kPreemptLead = std::chrono::milliseconds(800);
/// Room becomes free by itself all the time; a step waits this long for it.
constexpr auto kPreemptPatience = std::chrono::milliseconds(60);
/// Between two preemptions for one step: a wide gang needs tickets for the room, and what it frees
/// before it has them is taken by others again and again.
constexpr auto kPreemptPause = std::chrono::milliseconds(1500);
/// Targets at which one step stops work in one pass.
constexpr std::size_t kMostPreemptions = 16;

} // namespace

bool owner::impl::mayBePreempted(const waiting_step& aStep, const task_key& aTask,
                                 const held_run& aRun) const
{
  if (aRun.mPhase != internal::run_phase::confirmed || aRun.mEnded || aRun.mStopWanted) {
    return false;
  }
  const job* owning = mBook.find(aTask.mStep.mJob);
  if (owning == nullptr || owning->mPhase != job_phase::active) {
    return false;
  }
  const auto& spec = owning->mSpec.mSteps[aTask.mStep.mStep];
  const auto route = mRoutes.find(owning->mSpec.mRoute);
  return spec.mCheckpointing && !spec.mGang && !spec.mLongRunning && spec.mMaxUnavailable == 0 &&
         !spec.mFills && route != mRoutes.end() && route->second.mPriority > aStep.mRoute.mPriority;
}

owner::impl::preemption owner::impl::preemptionAt(const waiting_step& aStep, candidate& aWhere,
                                                  std::uint32_t aMost) const
{
  std::vector<std::pair<std::int64_t, task_key>> found;
  for (const auto& [task, run] : aWhere.mTarget->mRuns) {
    if (mayBePreempted(aStep, task, run)) {
      found.emplace_back(run.mNeeds.mCpuMilli, task);
    }
  }
  // The largest first, so that few have to stop.
  std::ranges::sort(found, std::greater<>{});
  auto room = aWhere.mRoom + aWhere.mComing;
  preemption result{ .mWhere = &aWhere };
  std::vector<task_key> victims;
  for (const auto& [cpu, task] : found) {
    room += aWhere.mTarget->mRuns.find(task)->second.mNeeds;
    victims.push_back(task);
    if (const auto tasks = std::min(aMost, fits(aStep.mNeeds, room)); tasks > result.mTasks) {
      result.mTasks = tasks;
      result.mVictims = victims;
    }
    if (result.mTasks == aMost) {
      break;
    }
  }
  return result;
}

duration owner::impl::preemptLead(const waiting_step& aStep)
{
  duration lead = kPreemptLead;
  if (aStep.spec().mGang && aStep.mRoute.mAdvice) {
    // Tickets lapse while a gang waits; it needs new ones when there is room.
    lead += 2 * aStep.mRoute.mAdvice->mPerCall;
  }
  return lead;
}

/// Load pattern: a burst of urgent jobs finds the cell full of batch work that saves its progress.
/// Stopping such a task costs the time to resume it, which its job can afford; the urgent job,
/// which has a fraction of a second to start, would be late. Room that is being freed already is
/// counted first, and a step stops only what it needs.
void owner::impl::preempt(waiting_step& aStep, const internal::step_rank& aRank,
                          std::vector<candidate>& aRooms, time_point aNow)
{
  const bool pressing = aRank.mBand <= internal::kLastOnTimeBand &&
                        aRank.mLatestStart - aNow < preemptLead(aStep) &&
                        aNow - aStep.mSince > kPreemptPatience;
  if (!pressing || !aStep.startable() || aStep.spec().mLongRunning ||
      aStep.mNextPreemption > aNow) {
    return;
  }
  const bool gang = aStep.spec().mGang;
  auto missing = std::min<std::size_t>(aStep.mPending.size(), teamSlots(aStep));
  if (gang && missing < aStep.mPending.size()) {
    return;
  }
  std::vector<candidate*> good;
  for (auto& room : aRooms) {
    const bool known =
      !aStep.mRoute.mAdvice || aStep.mAdvice.verdictOn(room.mTarget->mNumber) == verdict::good;
    if (known && allowed(aStep, *room.mTarget, aNow)) {
      good.push_back(&room);
    }
  }
  for (auto* room : good) {
    const auto coming = static_cast<std::uint32_t>(
      std::min<std::size_t>(missing, fits(aStep.mNeeds, room->mRoom + room->mComing)));
    room->mComing -= times(aStep.mNeeds, coming);
    missing -= coming;
  }
  std::vector<preemption> stops;
  for (auto* room : good) {
    if (missing == 0 || stops.size() == kMostPreemptions) {
      break;
    }
    auto here = preemptionAt(aStep, *room, static_cast<std::uint32_t>(missing));
    if (here.mTasks > 0) {
      missing -= here.mTasks;
      stops.push_back(std::move(here));
    }
  }
  if (gang && missing > 0) {
    return;
  }
  aStep.mNextPreemption = stops.empty() ? aNow : aNow + kPreemptPause;
  for (const auto& stop : stops) {
    auto& target = *stop.mWhere->mTarget;
    for (const auto& task : stop.mVictims) {
      auto& run = target.mRuns.find(task)->second;
      run.mStopWanted = true;
      run.mNextTry = aNow;
      stop.mWhere->mComing += run.mNeeds;
      mPort.explain(
        "preempt",
        fmt::format("task={} run={} target={} for={} on_time_left_ms={}", toText(task), run.mRun,
                    target.mEntry.mId, toText(aStep.mKey),
                    (aStep.mOnTimeUntil - aStep.mRemaining - aNow) / std::chrono::milliseconds(1)));
    }
    target.mNextOrders = time_point{};
    stop.mWhere->mComing -= times(aStep.mNeeds, stop.mTasks);
  }
}

} // namespace endiveusher::scheduler
