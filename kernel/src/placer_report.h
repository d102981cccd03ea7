#pragma once

#include "placer_impl.h"

#include <nlohmann/json.hpp>

namespace endiveusher {

template<guard_policy Guards>
std::vector<incarnation_id> basic_placer<Guards>::impl::takeChangedCoordinators()
{
  std::set<incarnation_id> resolved;
  for (const incarnation_id& coordinator : mAttempts.takeChangedCoordinators()) {
    resolved.insert(mView.resolve(coordinator));
  }
  return { resolved.begin(), resolved.end() };
}

template<guard_policy Guards>
std::vector<incarnation_id> basic_placer<Guards>::impl::coordinators() const
{
  std::set<incarnation_id> resolved;
  for (const auto& [coordinator, keys] : mAttempts.byCoordinator()) {
    resolved.insert(mView.resolve(coordinator));
  }
  return { resolved.begin(), resolved.end() };
}

template<guard_policy Guards>
task_report basic_placer<Guards>::impl::reportFor(const incarnation_id& aCoordinator) const
{
  task_report report{ .mCoordinator = aCoordinator };
  for (const auto& [coordinator, keys] : mAttempts.byCoordinator()) {
    if (mView.resolve(coordinator) != mView.resolve(aCoordinator)) {
      continue;
    }
    for (const task_key& key : keys) {
      const held_attempt& held = mAttempts.all().at(key);
      report.mTasks.push_back({ .mKey = key,
                                .mAttempt = held.mTask.mAttempt,
                                .mState = held.mState,
                                .mTarget = held.mTarget,
                                .mOutcome = held.mOutcome,
                                .mExitCode = held.mExitCode,
                                .mOutput = held.mOutput,
                                .mCheckpoint = held.mCheckpoint });
    }
  }
  std::sort(report.mTasks.begin(), report.mTasks.end(),
            [](const auto& aLeft, const auto& aRight) { return aLeft.mKey < aRight.mKey; });
  return report;
}

template<guard_policy Guards>
placer_summary basic_placer<Guards>::impl::summary() const
{
  placer_summary summary;
  double largest = -1.0;
  bool first = true;
  for (const target_state* target : mOrder) {
    if (!target->mOwned || target->leaving() || !target->mListed) {
      continue;
    }
    const resources& free = target->mAccount.freeCapacity();
    summary.mFree += free;
    summary.mTotal += target->mAccount.capacity();
    const double part = dominantShare(free, target->mAccount.capacity());
    if (part > largest) {
      largest = part;
      summary.mLargestFree = free;
    }
  }
  std::set<team_name> teams;
  for (const auto& [name, info] : mView.mTeams) {
    teams.insert(name);
  }
  for (const auto& [name, charged] : mSlices.teams()) {
    teams.insert(name);
  }
  for (const team_name& name : teams) {
    const auto info = mView.mTeams.find(name);
    const auto queued = mQueue.teams().find(name);
    const internal::slice_account::charge& charge = mSlices.of(name);
    summary.mTeams.push_back(
      { .mTeam = name,
        .mUsed = charge.mUsed,
        .mWaiting = queued == mQueue.teams().end() ? resources{} : queued->second.mWaiting,
        .mUnusedSlice = info == mView.mTeams.end()
                          ? internal::slice_account::kZero
                          : internal::unusedOf(info->second.mSlice, charge.mCharged) });
  }
  // mReconciledOffset is the offset at which all responsive targets have been read; unresponsive
  // targets do not count, because they would stop it from advancing.
  const auto counts = [](const target_state* aTarget) {
    return aTarget->mOwned && aTarget->mMissed == 0 && aTarget->mTableKnown &&
           aTarget->mForeign == 0;
  };
  for (const target_state* target : mOrder) {
    if (counts(target)) {
      summary.mOwnedTargets.push_back(target->mInfo.mTarget);
      summary.mReconciledOffset =
        first ? target->mReadSettled : std::min(summary.mReconciledOffset, target->mReadSettled);
      first = false;
    }
  }
  return summary;
}

template<guard_policy Guards>
std::vector<slice_request> basic_placer<Guards>::impl::shortages(time_point aNow) const
{
  std::vector<slice_request> requests;
  for (const auto& [name, waiter] : mSliceWaiters) {
    const auto info = mView.mTeams.find(name);
    if (info == mView.mTeams.end() || !waiter.collects(aNow)) {
      continue;
    }
    const limit_vector unused = internal::unusedOf(info->second.mSlice, mSlices.of(name).mCharged);
    // An unlimited unused amount exceeds every need.
    const limit_vector wanted = internal::unusedOf(waiter.mNeed, unused);
    if (wanted != internal::slice_account::kZero) {
      const auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(waiter.waited(aNow));
      requests.push_back({ .mTeam = name,
                           .mWanted = wanted,
                           .mWaited = std::max(waited, std::chrono::milliseconds(1)) });
    }
  }
  const resources free = summary().mFree;
  for (const auto& [name, queued] : mQueue.teams()) {
    const auto info = mView.mTeams.find(name);
    if (queued.mCount == 0 || !queued.mLimitedBySlice || info == mView.mTeams.end()) {
      continue;
    }
    // Amount that could start now if the slice were larger.
    const limit_vector unused = internal::unusedOf(info->second.mSlice, mSlices.of(name).mCharged);
    const auto missing = [](std::int64_t aWaiting, std::int64_t aFree, std::int64_t aUnused) {
      return aUnused == limit_vector::kUnlimited
               ? 0
               : std::max<std::int64_t>(0, std::min(aWaiting, aFree) - aUnused);
    };
    requests.push_back(
      { .mTeam = name,
        .mWanted = {
          .mTasks = missing(static_cast<std::int64_t>(queued.mCount), free.mSlots, unused.mTasks),
          .mCpuMilli = missing(queued.mWaiting.mCpuMilli, free.mCpuMilli, unused.mCpuMilli),
          .mMemoryMb = missing(queued.mWaiting.mMemoryMb, free.mMemoryMb, unused.mMemoryMb),
          .mAccelerators =
            missing(queued.mWaiting.mAccelerators, free.mAccelerators, unused.mAccelerators) } });
  }
  return requests;
}

template<guard_policy Guards>
bool basic_placer<Guards>::impl::reconciled(const std::set<target_id>& aElsewhere,
                                            bool aConfirmedDead, time_point aSince,
                                            time_point aNow) const
{
  const timing_options& timing = mOptions.mTiming;
  const auto padded = [&](duration aLease) {
    return duration(static_cast<duration::rep>(static_cast<double>(aLease.count()) *
                                               (1.0 + timing.mClockDrift))) +
           timing.mSafetyMargin;
  };
  const bool leasesEnded = aConfirmedDead && aNow >= aSince + padded(timing.mTaskLease);
  const bool isolationEnded = aNow >= aSince + padded(timing.mIsolationLimit + timing.mTaskLease);
  if (leasesEnded || isolationEnded) {
    return true;
  }
  // Without a list of targets it is unknown which ones must be read.
  if (mView.mTargets.empty()) {
    return false;
  }
  return std::all_of(mView.mTargets.begin(), mView.mTargets.end(), [&](const auto& aInfo) {
    const auto target = mTargets.find(aInfo.mTarget);
    const bool read = target != mTargets.end() && target->second.mTableKnown &&
                      target->second.mReadSentAt >= aSince;
    return read || aElsewhere.contains(aInfo.mTarget);
  });
}

template<guard_policy Guards>
bool basic_placer<Guards>::impl::couldEverFit(const resources& aSize) const
{
  resources largest;
  for (const target_state* target : mOrder) {
    if (!target->mListed) {
      continue;
    }
    if (!target->contacted() || aSize.fitsIn(target->mAccount.capacity())) {
      return true;
    }
    largest = internal::componentMax(largest, target->mAccount.capacity());
  }
  // Targets of other members may offer accelerators when no target here does.
  const resources& elsewhere = mView.mTotalElsewhere;
  const bool otherKind = mOrder.empty() || (aSize.mAccelerators > 0 && largest.mAccelerators == 0 &&
                                            aSize.mAccelerators <= elsewhere.mAccelerators);
  return otherKind;
}

template<guard_policy Guards>
bool basic_placer<Guards>::impl::released() const
{
  return std::none_of(mOrder.begin(), mOrder.end(), [](const target_state* aTarget) {
    return aTarget->mOwned || (aTarget->mInFlight != 0 && aTarget->mAcquiring) ||
           aTarget->sentOrders();
  });
}

template<guard_policy Guards>
std::string basic_placer<Guards>::impl::dump(time_point aNow) const
{
  using nlohmann::json;
  const auto amounts = [](const resources& aAmount) {
    return json{ { "slots", aAmount.mSlots },
                 { "cpu_milli", aAmount.mCpuMilli },
                 { "memory_mb", aAmount.mMemoryMb },
                 { "accelerators", aAmount.mAccelerators } };
  };
  json targets = json::object();
  for (const auto& [id, target] : mTargets) {
    targets[id] = { { "owned", target.mOwned },
                    { "owner", target.mOwner },
                    { "epoch", target.mEpoch },
                    { "incarnation", target.mIncarnation },
                    { "leaving", target.leaving() },
                    { "listed", target.mListed },
                    { "missed_exchanges", target.mMissed },
                    { "in_flight", target.mInFlight },
                    { "attempts", target.mHeld.size() },
                    { "foreign_attempts", target.mForeign },
                    { "orders", target.mOrders.size() },
                    { "capacity", amounts(target.mAccount.capacity()) },
                    { "committed", amounts(target.mAccount.committed()) },
                    { "room", amounts(target.mAccount.freeCapacity()) },
                    { "ejected", target.mHealth.ejected() },
                    { "draining", target.mDraining },
                    { "failure_ratio", target.mHealth.failureRatio(aNow) } };
  }
  json teams = json::object();
  for (const team_usage& usage : summary().mTeams) {
    const auto queued = mQueue.teams().find(usage.mTeam);
    teams[usage.mTeam] = {
      { "used", amounts(usage.mUsed) },
      { "waiting", amounts(usage.mWaiting) },
      { "queued", queued == mQueue.teams().end() ? 0 : queued->second.mCount },
      { "score", queued == mQueue.teams().end() ? 0.0 : queued->second.mScore },
    };
  }
  const auto freshFor =
    std::chrono::duration_cast<std::chrono::milliseconds>(mView.mFreshUntil - aNow);
  return json{
    { "self", mView.mSelf },
    { "policy", mOptions.mPolicy },
    { "fresh_for_ms", freshFor.count() },
    { "shutting_down", mShuttingDown },
    { "attempts", mAttempts.all().size() },
    { "queued", mQueue.size() },
    { "reservations", mReservations.held().size() },
    { "draining_gang", mDraining ? mDraining->mRequest : "" },
    { "targets", targets },
    { "teams", teams }
  }.dump();
}

} // namespace endiveusher
