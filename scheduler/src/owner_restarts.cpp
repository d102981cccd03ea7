#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace endiveusher::scheduler {

using internal::run_phase;

namespace {

/// Lateness of a tick above which this daemon counts as having been paused.
constexpr auto kMaxTickGap = std::chrono::milliseconds(1000);

/// Whether a start order of the run may be executed by an incarnation that did not list the run in
/// its reply to a heartbeat that was sent at aSent. Orders name only the target's id.
bool mayStartLater(const internal::allocated_run& aRun, time_point aSent)
{
  const bool orderOpen = aRun.mPhase == run_phase::ordered && aRun.mOrderOpen;
  const bool acceptedSince = aRun.mPhase == run_phase::confirmed && aRun.mMustBeListedFrom > aSent;
  return orderOpen || acceptedSince || aRun.mTries > 0;
}

std::set<std::pair<task_key, std::uint32_t>> runsOf(const target_report& aReport)
{
  std::set<std::pair<task_key, std::uint32_t>> runs;
  for (const auto& one : aReport.mRunning) {
    runs.emplace(one.mTask, one.mRun);
  }
  for (const auto& one : aReport.mEnded) {
    runs.emplace(one.mTask, one.mRun);
  }
  return runs;
}

} // namespace

void owner::impl::onRestartListed(target_state& aTarget, bool aIsPlanned, time_point aNow)
{
  aTarget.mRestartListedAt = aNow;
  if (std::exchange(aTarget.mRestartListed, true)) {
    return;
  }
  aTarget.mRestartPlanned = aIsPlanned;
  expectNewFence(aTarget);
  aTarget.mHasRestarted = true;
  // The heartbeat in flight was sent to the former incarnation.
  aTarget.mHeartbeatInFlight = false;
}

void owner::impl::endRunsOfFormerIncarnation(target_state& aTarget, const target_report& aReport,
                                             time_point aSent, time_point aNow)
{
  const bool isPlanned =
    aTarget.mRestartListed ? aTarget.mRestartPlanned : aTarget.mEntry.mDraining;
  const auto losses = lossesAt(aTarget);
  const auto reported = runsOf(aReport);
  std::vector<task_key> lost;
  std::size_t kept = 0;
  for (auto& [task, run] : aTarget.mRuns) {
    if (reported.contains({ task, run.mRun })) {
      ++kept;
      continue;
    }
    if (run.mEnded || !mayStartLater(run, aSent)) {
      lost.push_back(task);
      continue;
    }
    ++kept;
    if (const auto loss = losses.find(task); !isPlanned && loss != losses.end()) {
      run.mLoss = loss->second;
    }
    if (run.mPhase == run_phase::confirmed && run.mMustBeListedFrom <= aSent) {
      // An earlier order of the run had no answer. Once a stop is accepted, the target rejects it.
      run.mPhase = run_phase::stopping;
      run.mMustBeListedFrom = time_point::max();
    }
    run.mNextTry = aNow;
  }
  mPort.logDecision("target_restarted",
                    fmt::format("target={} former_born={} born={} fence={} runs_lost={} "
                                "runs_kept={}",
                                aTarget.mEntry.mId, aTarget.mEntry.mIncarnationStart,
                                aReport.mIncarnationStart, aTarget.mFence, lost.size(), kept));
  for (const auto& task : lost) {
    const auto loss = losses.find(task);
    const bool isCounted = !isPlanned && loss != losses.end();
    endLostRun(aTarget, task, isCounted ? std::optional(loss->second) : std::nullopt,
               "target_restarted", aNow);
  }
}

bool owner::impl::wasPaused(time_point aNow) const
{
  return aNow - mNextTick > kMaxTickGap;
}

bool owner::impl::hasLeft(const target_state& aTarget, time_point aNow) const
{
  // How long ago the last write was, at most, not when it was read: the registry may have been read
  // too late to tell a write from its removal, while the rest of the store answered.
  return aTarget.mEntry.mDraining && aTarget.mWrittenSince &&
         aNow - *aTarget.mWrittenSince < mOptions.mMinEntryLapse && !wasPaused(aNow) &&
         aNow - mStoreUnresponsiveAt > mOptions.mMinEntryLapse;
}

void owner::impl::onEntryWritten(std::string_view aId, time_point aSince)
{
  if (const auto found = mTargets.find(aId); found != mTargets.end()) {
    found->second.mWrittenSince = aSince;
  }
}

void owner::impl::onEntryRemoved(std::string_view aId, time_point aNow)
{
  const auto found = mTargets.find(aId);
  if (found == mTargets.end() || found->second.mRuns.empty()) {
    return;
  }
  auto& target = found->second;
  const bool left = hasLeft(target, aNow);
  if (left) {
    target.mLeftAt = aNow;
  }
  const auto writeAge = target.mWrittenSince
                          ? (aNow - *target.mWrittenSince) / std::chrono::milliseconds(1)
                          : std::chrono::milliseconds::rep{ -1 };
  mPort.logDecision("entry_removed",
                    fmt::format("target={} draining={} has_left={} write_age_ms={} runs={}", aId,
                                target.mEntry.mDraining, left, writeAge, target.mRuns.size()));
}

void owner::impl::endRunsOfLeftTarget(target_state& aTarget, time_point aNow)
{
  std::vector<task_key> over;
  for (const auto& [task, run] : aTarget.mRuns) {
    const bool startOpen = run.mPhase == run_phase::ordered && run.mOrderOpen;
    if (run.mPhase != run_phase::storing && !startOpen && run.mTries == 0) {
      over.push_back(task);
    }
  }
  mPort.logDecision("target_left",
                    fmt::format("target={} runs_over={} runs_kept={}", aTarget.mEntry.mId,
                                over.size(), aTarget.mRuns.size() - over.size()));
  aTarget.mLeftAt.reset();
  for (const auto& task : over) {
    endLostRun(aTarget, task, std::nullopt, "target_left", aNow);
  }
}

void owner::impl::expectNewFence(target_state& aTarget)
{
  aTarget.mFormerFence = std::max(aTarget.mFormerFence, aTarget.mFence);
}

void owner::impl::raiseFence(target_state& aTarget, time_point aNow)
{
  if (aTarget.mFence > aTarget.mFormerFence || !mayRaiseFence(aTarget)) {
    return;
  }
  aTarget.mFence = aTarget.mFormerFence == 0 ? mEpoch : mNewestRecord;
  aTarget.mFencedFrom = aNow;
  mLastFences[aTarget.mEntry.mId] = aTarget.mFence;
}

bool owner::impl::mayRaiseFence(const target_state& aTarget) const
{
  return mNewestRecord > aTarget.mFormerFence;
}

void owner::impl::beginIncarnation(target_state& aTarget, std::int64_t aIncarnationStart)
{
  aTarget.mEntry.mIncarnationStart = aIncarnationStart;
  if (!aTarget.mRestartListed) {
    expectNewFence(aTarget);
    // A heartbeat in flight may have been sent to the former incarnation.
    aTarget.mHeartbeatInFlight = false;
  }
  aTarget.mHasRestarted = true;
  aTarget.mRestartListed = false;
  aTarget.mAcquired = false;
  aTarget.mAcquisitionStored = false;
  aTarget.mClock.reset();
  aTarget.mLeaseSent = target_time{ 0 };
  aTarget.mLastEndNumber = 0;
  aTarget.mStoredEndNumber = 0;
  aTarget.mConsecutiveFailures = 0;
  aTarget.mSlowUntil = time_point{};
  if (mLearning) {
    mLearning->mSlow.forget(aTarget.mNumber);
  }
  aTarget.mRejectedStarts = 0;
  aTarget.mNextOrders = time_point{};
  for (auto& [key, step] : mWaiting) {
    step.mAdvice.dropTicket(aTarget.mNumber);
  }
}

} // namespace endiveusher::scheduler
