#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>

namespace endiveusher::scheduler {

namespace {

/// Number of targets lost soon after starts of a task from which it is suspected of crashing them.
/// It has one further start before it may be given up.
constexpr std::uint32_t kSuspectStartLosses = 2;
/// Longest time that a suspect step waits for isolation. A step that has room has to start within
/// 3 s, of which an advice call takes up to 1.2 s.
constexpr auto kMaxIsolationWait = std::chrono::milliseconds(1000);
/// Time after the start of a run up to which nothing of other jobs is started beside it. Tasks that
/// crash their targets do so soon; a service that is innocent would hold a whole target for good.
constexpr auto kMaxIsolationPeriod = std::chrono::seconds(5);

/// Returns the time until which the task is suspect.
time_point suspectUntil(const task_state& aTask)
{
  return aTask.mStartLosses >= kSuspectStartLosses && !aTask.mDone
           ? aTask.mLastTargetLoss + kTargetLossMemory
           : time_point{};
}

} // namespace

void owner::impl::updateSuspicion(waiting_step& aStep, const step_state& aState, time_point aNow)
{
  const bool wasSuspect = aStep.mSuspectUntil > aNow;
  aStep.mSuspectUntil = time_point{};
  task_key suspect{ .mStep = aStep.mKey };
  for (const auto index : aStep.mPending) {
    if (const auto until = suspectUntil(aState.mTasks[index]); until > aStep.mSuspectUntil) {
      aStep.mSuspectUntil = until;
      suspect.mIndex = index;
    }
  }
  if (!wasSuspect && aStep.mSuspectUntil > aNow) {
    mPort.logDecision("step_suspect", fmt::format("task={} start_losses={}", toText(suspect),
                                                  aState.mTasks[suspect.mIndex].mStartLosses));
  }
}

void owner::impl::updateIsolation(waiting_step& aStep, time_point aNow)
{
  if (aStep.mSuspectUntil <= aNow) {
    aStep.mIsolationSince.reset();
    aStep.mNeedsIsolation = false;
    return;
  }
  if (!aStep.mIsolationSince) {
    aStep.mIsolationSince = aNow;
  }
  aStep.mNeedsIsolation = aNow - *aStep.mIsolationSince <= kMaxIsolationWait;
}

time_point owner::impl::isolationEnd(const step_state& aStep, time_point aStart)
{
  const bool isSuspect = std::ranges::any_of(
    aStep.mTasks.full(), [aStart](const auto& aOne) { return suspectUntil(aOne.second) > aStart; });
  return isSuspect ? aStart + kMaxIsolationPeriod : time_point{};
}

bool owner::impl::mayShare(const waiting_step& aStep, const candidate_target& aCandidate)
{
  const auto job = aStep.mKey.mJob;
  return aCandidate.mIsolated.onlyOf(job) &&
         (!aStep.mNeedsIsolation ||
          std::ranges::all_of(aCandidate.mTarget->mRuns,
                              [job](const auto& aRun) { return aRun.first.mStep.mJob == job; }));
}

bool owner::impl::queriesInIsolation(const waiting_step& aStep,
                                     std::span<const candidate_target> aCandidates,
                                     time_point aNow) const
{
  const auto withRoom = positionsWithRoom(aStep, aCandidates);
  return std::ranges::any_of(withRoom, [&](std::uint32_t aPosition) {
    const auto& one = aCandidates[aPosition];
    return allowedInGroup(aStep, *one.mTarget, aNow) && slotsAt(aStep, one) > 0;
  });
}

} // namespace endiveusher::scheduler
