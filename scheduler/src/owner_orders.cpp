#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>

namespace endiveusher::scheduler {

using internal::run_phase;

namespace {

/// Starts without an answer after which the run is stopped instead, so that it can go elsewhere.
constexpr std::uint32_t kMaxStartTries = 4;
constexpr auto kRetryPause = std::chrono::milliseconds(50);
/// A stopped run that is still listed after this is stopped again.
constexpr auto kStopAgain = std::chrono::milliseconds(1500);
/// No new work for a target that has rejected some for its own reasons.
constexpr auto kRejectedPause = std::chrono::milliseconds(500);
/// Pause of a step after a rejected start; grows with the rejections up to the longest.
constexpr auto kStepPause = std::chrono::milliseconds(20);
constexpr auto kMaxStepPause = std::chrono::milliseconds(1000);

} // namespace

owner::impl::held_run* owner::impl::findRun(const std::string& aTarget, const task_key& aTask,
                                            std::uint32_t aRun)
{
  const auto target = mTargets.find(aTarget);
  if (target == mTargets.end()) {
    return nullptr;
  }
  const auto run = target->second.mRuns.find(aTask);
  return run != target->second.mRuns.end() && run->second.mRun == aRun ? &run->second : nullptr;
}

void owner::impl::sendOrders(target_state& aTarget, time_point aNow)
{
  if (aTarget.mNextOrders > aNow) {
    return;
  }
  aTarget.mNextOrders = time_point::max();
  for (auto& [task, run] : aTarget.mRuns) {
    const bool settled = run.mPhase == run_phase::confirmed && (!run.mStopWanted || run.mEnded);
    if (run.mOrderOpen || settled || run.mPhase == run_phase::storing) {
      continue;
    }
    if (run.mNextTry > aNow) {
      aTarget.mNextOrders = std::min(aTarget.mNextOrders, run.mNextTry);
      continue;
    }
    const bool giveUp = run.mTries >= kMaxStartTries || run.mStopWanted;
    if (run.mPhase == run_phase::ordered && !giveUp) {
      sendStart(aTarget, task, run, aNow);
    } else if (run.mPhase == run_phase::ordered || run.mPhase == run_phase::stopping ||
               (run.mStopWanted && !run.mEnded)) {
      sendStop(aTarget, task, run);
    }
  }
}

void owner::impl::sendStart(target_state& aTarget, const task_key& aTask, held_run& aRun,
                            time_point aNow)
{
  const job* owning = mBook.find(aTask.mStep.mJob);
  const auto& state = owning->find(aTask.mStep)->mTasks[aTask.mIndex];
  aRun.mOrderOpen = true;
  mPort.start({ .mTarget = aTarget.mEntry.mId,
                .mAddress = aTarget.mEntry.mAddress,
                .mTask = aTask,
                .mRun = aRun.mRun,
                .mPayload = owning->mSpec.mPayload,
                .mLeaseUntil = leaseFor(aTarget, aNow),
                .mEpoch = mEpoch,
                .mCheckpoint = state.mCheckpoint,
                .mTicket = aRun.mTicket });
}

void owner::impl::sendStop(target_state& aTarget, const task_key& aTask, held_run& aRun)
{
  if (aTarget.mEntry.mAddress.empty()) {
    aTarget.mNextOrders = time_point{};
    return;
  }
  aRun.mPhase = run_phase::stopping;
  aRun.mOrderOpen = true;
  mPort.stop({ .mTarget = aTarget.mEntry.mId,
               .mAddress = aTarget.mEntry.mAddress,
               .mTask = aTask,
               .mRun = aRun.mRun,
               .mEpoch = mEpoch });
}

template<typename Order>
owner::impl::held_run* owner::impl::answered(const Order& aOrder, order_outcome aOutcome)
{
  if (aOutcome == order_outcome::fenced) {
    mFenced = true;
    return nullptr;
  }
  auto* run = findRun(aOrder.mTarget, aOrder.mTask, aOrder.mRun);
  if (run != nullptr) {
    run->mOrderOpen = false;
    mTargets.find(aOrder.mTarget)->second.mNextOrders = time_point{};
  }
  return run;
}

void owner::impl::startAnswered(const start_order& aOrder, order_outcome aOutcome, time_point aNow)
{
  auto* run = answered(aOrder, aOutcome);
  if (run == nullptr) {
    return;
  }
  auto& target = mTargets.find(aOrder.mTarget)->second;
  if (aOutcome == order_outcome::accepted) {
    if (run->mPhase == run_phase::ordered) {
      run->mPhase = run_phase::confirmed;
    }
    run->mSettledAt = std::min(run->mSettledAt, aNow);
    return;
  }
  mPort.explain("start_rejected",
                fmt::format("task={} run={} target={} outcome={} tries={}", toText(aOrder.mTask),
                            aOrder.mRun, aOrder.mTarget, toText(aOutcome), run->mTries));
  if (aOutcome == order_outcome::unanswered) {
    ++run->mTries;
    run->mNextTry = aNow + kRetryPause;
    target.mAvoidUntil = std::max<time_point>(target.mAvoidUntil, aNow + kRejectedPause);
    return;
  }
  if (run->mPhase != run_phase::ordered) {
    return;
  }
  if (run->mTries > 0) {
    // An earlier copy of the order may have been carried out or may still be. An outdated run has
    // ended there, which the next look tells; otherwise a stop settles it.
    run->mPhase = aOutcome == order_outcome::outdated ? run_phase::confirmed : run_phase::stopping;
    run->mSettledAt = aOutcome == order_outcome::outdated ? aNow : run->mSettledAt;
    run->mNextTry = aNow;
    return;
  }
  if (aOutcome == order_outcome::bad_ticket) {
    if (const auto step = mWaiting.find(aOrder.mTask.mStep); step != mWaiting.end()) {
      step->second.mAdvice.dropTicket(target.mNumber);
    }
  } else {
    target.mAvoidUntil = std::max<time_point>(target.mAvoidUntil, aNow + kRejectedPause);
  }
  endRun(target, aOrder.mTask, run_end::not_run, {}, aNow);
  release(target, aOrder.mTask);
  if (const auto step = mWaiting.find(aOrder.mTask.mStep); step != mWaiting.end()) {
    const auto pause = kStepPause * std::min(++step->second.mRejections, 50U);
    step->second.mNotBefore =
      std::max(step->second.mNotBefore, aNow + std::min<duration>(pause, kMaxStepPause));
    if (step->second.spec().mGang) {
      // The other members would wait in vain.
      if (job* owning = mBook.find(aOrder.mTask.mStep.mJob)) {
        stopStep(*owning, aOrder.mTask.mStep, aNow);
      }
    }
  }
}

void owner::impl::stopAnswered(const stop_order& aOrder, order_outcome aOutcome, time_point aNow)
{
  auto* run = answered(aOrder, aOutcome);
  if (run == nullptr) {
    return;
  }
  if (aOutcome == order_outcome::accepted || aOutcome == order_outcome::outdated) {
    run->mPhase = run_phase::confirmed;
    run->mSettledAt = std::min(run->mSettledAt, aNow);
    run->mNextTry = aNow + kStopAgain;
  } else {
    run->mNextTry = aNow + kRetryPause;
  }
}

} // namespace endiveusher::scheduler
