#include "endiveusher/kernel/back_off.h"
#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>

namespace endiveusher::scheduler {

using internal::run_phase;

namespace {

/// Time for which a target delays its reply to a heartbeat while no run ends. An unresponsive
/// target is detected after this time plus the timeout of the call.
constexpr auto kHeartbeatWait = std::chrono::milliseconds(1000);
/// Pause between two heartbeats, so that one reply carries several ends, and its upper limit while
/// the event loop is behind.
constexpr auto kHeartbeatPause = std::chrono::milliseconds(30);
constexpr auto kMaxHeartbeatPause = std::chrono::milliseconds(250);
/// Increase of the pause as a multiple of the time by which the event loop is behind.
constexpr int kPauseLagFactor = 6;
/// Pause after a missed heartbeat. Short, because a renewal may still arrive before the lease of
/// the runs expires; longer for targets without runs.
constexpr auto kMissedHeartbeatPause = std::chrono::milliseconds(30);
constexpr auto kIdleMissedHeartbeatPause = std::chrono::milliseconds(1000);
/// Number of consecutive failures after which a target gets no new tasks for a while.
constexpr std::uint32_t kFailuresToAvoid = 2;
/// Duration of the first such pause, doubled with each further failure, and its upper limit.
constexpr auto kAvoidPeriod = std::chrono::milliseconds(1000);
constexpr auto kMaxAvoidPeriod = std::chrono::milliseconds(8000);
/// Pause between two heartbeats to a target whose acquisition is being stored, or for which there
/// is no higher number yet: they cannot renew its lease, and it answers them at once.
constexpr auto kAcquisitionPause = std::chrono::milliseconds(200);
/// Time after a target's last reply in which it cannot have restarted: the shortest loss of power
/// that was seen to end in a restart. Exceeds kMaxHeartbeatPause.
constexpr auto kMaxAcknowledgementDelay = std::chrono::milliseconds(300);
/// Time for which a step avoids a target at which one of its tasks has failed. If that leaves no
/// target with room, the step still has to run again within 3 s, of which an advice call takes up
/// to 1.2 s.
constexpr auto kAvoidFailedTargetPeriod = std::chrono::milliseconds(1500);

run_end toRunEnd(reported_end aOutcome)
{
  switch (aOutcome) {
    case reported_end::done:
      return run_end::done;
    case reported_end::failed:
      return run_end::failed;
    default:
      return run_end::interrupted;
  }
}

} // namespace

owner::impl::target_state& owner::impl::findOrCreateTarget(const std::string& aId)
{
  const auto [at, isNew] = mTargets.try_emplace(aId);
  if (isNew) {
    at->second.mEntry.mId = aId;
    at->second.mEntry.mVm = mJobTable.vmOf(aId);
    if (const auto known = mLastFences.find(aId); known != mLastFences.end()) {
      // Lower numbers would be rejected, and count as those of a former owner.
      at->second.mFence = known->second;
      at->second.mFormerFence = known->second;
    }
    const auto next = static_cast<std::uint32_t>(mTargetNumbers.size());
    at->second.mNumber = mTargetNumbers.try_emplace(aId, next).first->second;
    mTargetsByNumber.resize(mTargetNumbers.size());
    mTargetsByNumber[at->second.mNumber] = &at->second;
  }
  return at->second;
}

void owner::impl::setTarget(const target_entry& aEntry, time_point aNow)
{
  auto& target = findOrCreateTarget(aEntry.mId);
  target.mLeftAt.reset();
  const auto known = target.mEntry.mIncarnationStart;
  const bool restarted = known != 0 && aEntry.mIncarnationStart > known;
  const bool wasDraining = target.mEntry.mDraining;
  const bool isNew = target.mEntry.mAddress.empty();
  target.mListed = true;
  target.mEntry = aEntry;
  target.mDescribedIncarnation = aEntry.mIncarnationStart;
  if (restarted && !target.mRuns.empty()) {
    // Its first reply tells which of the runs it executes.
    target.mEntry.mIncarnationStart = known;
    onRestartListed(target, wasDraining, aNow);
  } else {
    target.mEntry.mIncarnationStart = std::max(known, aEntry.mIncarnationStart);
    if (restarted) {
      beginIncarnation(target, aEntry.mIncarnationStart);
    }
  }
  if (isNew || restarted) {
    target.mNextHeartbeat = std::min(target.mNextHeartbeat, aNow);
  }
  mPlanNeeded = true;
}

void owner::impl::removeTarget(std::string_view aId, time_point aNow)
{
  const auto found = mTargets.find(aId);
  if (found == mTargets.end()) {
    return;
  }
  // Its runs count as executing until their lease expires, a heartbeat reply reports their end, or
  // it turns out to have left.
  found->second.mListed = false;
  found->second.mNextHeartbeat = aNow;
}

void owner::impl::endRunsOfFormerTargets(const target_state& aTarget, time_point aNow)
{
  if (aTarget.mEntry.mVm.empty()) {
    return;
  }
  for (auto& [id, former] : mTargets) {
    if (&former != &aTarget && former.mEntry.mVm == aTarget.mEntry.mVm &&
        former.mEntry.mIncarnationStart != 0 &&
        former.mEntry.mIncarnationStart < aTarget.mEntry.mIncarnationStart) {
      former.mListed = false;
      endLostRuns(former, "vm_restarted",
                  former.mEntry.mDraining ? loss_evidence::none : loss_evidence::crash, aNow);
    }
  }
  std::vector<std::string> silent;
  for (const auto& [id, runs] : mSilentRuns) {
    if (id != aTarget.mEntry.mId && mJobTable.vmOf(id) == aTarget.mEntry.mVm) {
      silent.push_back(id);
    }
  }
  for (const auto& id : silent) {
    resolveSilentRuns(id, aTarget.mEntry.mIncarnationStart, aNow);
  }
}

/// Load pattern: a burst saturates the event loop. Heartbeats are half of its calls; with a longer
/// pause each reply carries more ends, so that orders are sent sooner.
duration owner::impl::heartbeatPause() const
{
  return std::min<duration>(kHeartbeatPause +
                              std::chrono::duration_cast<duration>(kPauseLagFactor * mTickLag),
                            kMaxHeartbeatPause);
}

void owner::impl::sendHeartbeat(target_state& aTarget, time_point aNow)
{
  raiseFence(aTarget, aNow);
  heartbeat_order order{ .mTarget = aTarget.mEntry.mId,
                         .mAddress = aTarget.mEntry.mAddress,
                         .mEpoch = mEpoch,
                         .mFence = aTarget.mFence };
  // Ends are numbered anew after a restart: an acknowledgement that reaches the next incarnation
  // would make it forget ends that were not read.
  const bool inContact =
    aTarget.mMissedHeartbeats == 0 && aNow - aTarget.mLastReply <= kMaxAcknowledgementDelay;
  aTarget.mAcknowledgementDeferred =
    aTarget.mRestartListed || (!inContact && !aTarget.mAcknowledgementDeferred);
  if (!aTarget.mAcknowledgementDeferred && aTarget.mMissedHeartbeats == 0) {
    order.mStoredEndNumber = aTarget.mStoredEndNumber;
  }
  // The lease of an unresponsive target is not extended: its runs could never be declared lost
  // while unanswered heartbeats might still renew it.
  if (aTarget.mClock && aTarget.mAcquired && aTarget.mAcquisitionStored &&
      !aTarget.mRestartListed && aTarget.mMissedHeartbeats == 0) {
    order.mLeaseUntil = extendLease(aTarget, aNow);
    order.mWait = kHeartbeatWait;
  }
  aTarget.mHeartbeatInFlight = true;
  aTarget.mHeartbeatSentAt = aNow;
  mPort.sendHeartbeat(order);
}

void owner::impl::onHeartbeatReply(const std::string& aTarget, time_point aSent,
                                   order_outcome aOutcome, const target_report& aReport,
                                   time_point aNow)
{
  const auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return;
  }
  auto& target = found->second;
  if (aOutcome == order_outcome::fenced) {
    // An earlier heartbeat may have been overtaken by one with a higher number of this owner.
    mFenced = mFenced || aSent >= target.mFencedFrom;
    return;
  }
  const bool isNewest = aSent >= target.mHeartbeatSentAt;
  // A heartbeat that was sent to a former incarnation, whose loss closes no connection, or that a
  // later one has replaced.
  if (aOutcome != order_outcome::accepted && (aSent < target.mRestartListedAt || !isNewest)) {
    return;
  }
  target.mHeartbeatInFlight = target.mHeartbeatInFlight && !isNewest;
  target.mIsUnreported = aOutcome == order_outcome::unreported ||
                         (target.mIsUnreported && aOutcome != order_outcome::accepted);
  if (aOutcome != order_outcome::accepted) {
    if (target.mMissedHeartbeats++ == 0) {
      target.mUnresponsiveSince = aNow;
      expectNewFence(target);
      // A connection that ends before the target's wait is over tells when; a timeout does not.
      target.mLostContactAt = aNow - aSent < kHeartbeatWait ? aNow : aSent;
      mPort.logDecision("target_unresponsive",
                        fmt::format("target={} outcome={} runs={} {}", aTarget, toText(aOutcome),
                                    target.mRuns.size(), describeLease(target, aNow)));
    }
    target.mNextHeartbeat =
      aNow + (target.mRuns.empty() && target.mMissedHeartbeats > 3 ? kIdleMissedHeartbeatPause
                                                                   : kMissedHeartbeatPause);
    if (aOutcome == order_outcome::unanswered && target.mLeftAt && aSent >= *target.mLeftAt) {
      endRunsOfLeftTarget(target, aNow);
    }
    return;
  }
  if (target.mMissedHeartbeats > 0) {
    mPort.logDecision("target_responsive",
                      fmt::format("target={} missed={}", aTarget, target.mMissedHeartbeats));
    target.mHeardAgainAt = aNow;
  }
  target.mMissedHeartbeats = 0;
  if (aReport.mIncarnationStart < target.mEntry.mIncarnationStart) {
    // A late reply of an earlier incarnation.
    target.mNextHeartbeat = aNow + heartbeatPause();
    return;
  }
  if (aReport.mIncarnationStart > target.mEntry.mIncarnationStart) {
    if (target.mEntry.mIncarnationStart != 0) {
      endRunsOfFormerIncarnation(target, aReport, aSent, aNow);
      beginIncarnation(target, aReport.mIncarnationStart);
    }
    target.mEntry.mIncarnationStart = aReport.mIncarnationStart;
  }
  resolveSilentRuns(aTarget, aReport.mIncarnationStart, aNow);
  if (!target.mClock || aReport.mClock >= *target.mClock) {
    target.mClock = aReport.mClock;
    target.mClockAt = aNow;
  }
  if (target.mLeftAt && aSent >= *target.mLeftAt) {
    target.mLeftAt.reset();
  }
  // How long the reply to an earlier heartbeat took to get here is not known.
  target.mLastReply = std::max(target.mLastReply, isNewest ? aNow : aSent);
  readEnds(target, aReport, aNow);
  readRunning(target, aReport, aSent, aNow);
  if (!target.mAcquired) {
    // Former owners may have renewed a lease up to this heartbeat.
    const auto longest = longestFormerLease(target, aReport.mIncarnationStart, aNow);
    target.mLeaseSent = std::max(target.mLeaseSent, aReport.mClock + longest);
  }
  if (!target.mAcquired && target.isFencedBy(aSent)) {
    // From now on the target rejects the orders of former owners, and those to former incarnations.
    target.mAcquired = true;
    target.mHasRestarted = false;
    append(target_acquired{ .mTarget = aTarget,
                            .mEpoch = mEpoch,
                            .mVm = target.mEntry.mVm,
                            .mIncarnationStart = aReport.mIncarnationStart },
           aNow);
    // Leases are renewed only after the journal records that this epoch does so.
    mNextBatch.mAcquired.push_back(aTarget);
    endRunsOfFormerTargets(target, aNow);
  }
  const bool waits = target.mAcquired ? !target.mAcquisitionStored : !mayRaiseFence(target);
  target.mNextHeartbeat = aNow + (waits ? duration(kAcquisitionPause) : heartbeatPause());
  mPlanNeeded = true;
}

void owner::impl::readEnds(target_state& aTarget, const target_report& aReport, time_point aNow)
{
  const auto before = aTarget.mLastEndNumber;
  for (const auto& end : aReport.mEnded) {
    if (end.mNumber <= before) {
      continue;
    }
    aTarget.mLastEndNumber = std::max(aTarget.mLastEndNumber, end.mNumber);
    const auto found = aTarget.mRuns.find(end.mTask);
    if (found == aTarget.mRuns.end() || found->second.mRun != end.mRun) {
      continue;
    }
    updateTargetHealth(aTarget, end, aNow);
    if (!found->second.mEnded) {
      if (end.mOutcome == reported_end::done) {
        countRunTime(aTarget, end.mTask, aNow);
      }
      if (end.mOutcome == reported_end::gang_incomplete) {
        mPort.logDecision(
          "gang_incomplete",
          fmt::format("task={} run={} target={}", toText(end.mTask), end.mRun, aTarget.mEntry.mId));
      }
      endReportedRun(aTarget, end.mTask, toRunEnd(end.mOutcome), end.mCheckpoint, aNow);
    }
    release(aTarget, end.mTask);
  }
  if (aTarget.mLastEndNumber > before) {
    mNextBatch.mEnds.push_back({ .mTarget = aTarget.mEntry.mId,
                                 .mIncarnationStart = aTarget.mEntry.mIncarnationStart,
                                 .mNumber = aTarget.mLastEndNumber });
  }
}

void owner::impl::readRunning(target_state& aTarget, const target_report& aReport, time_point aSent,
                              time_point aNow)
{
  std::set<task_key> listed;
  aTarget.mHasUnknownRuns = false;
  for (const auto& running : aReport.mRunning) {
    const auto found = aTarget.mRuns.find(running.mTask);
    if (found == aTarget.mRuns.end() || found->second.mRun != running.mRun) {
      // A former owner ordered the run after its start had been withdrawn, or the target executed
      // the order late.
      aTarget.mHasUnknownRuns = true;
      mPort.logDecision("stop_unknown_run",
                        fmt::format("task={} run={} target={} born={} {}", toText(running.mTask),
                                    running.mRun, aTarget.mEntry.mId,
                                    aTarget.mEntry.mIncarnationStart, describeTask(running.mTask)));
      mPort.stop({ .mTarget = aTarget.mEntry.mId,
                   .mAddress = aTarget.mEntry.mAddress,
                   .mTask = running.mTask,
                   .mRun = running.mRun,
                   .mEpoch = mEpoch,
                   .mFence = aTarget.mFence });
      continue;
    }
    listed.insert(running.mTask);
    auto& run = found->second;
    run.mLoss.reset();
    run.mHasBegun = true;
    run.mListedBy = aReport.mIncarnationStart;
    if (!running.mCheckpoint.empty()) {
      run.mCheckpoint = running.mCheckpoint;
    }
    if (run.mPhase == run_phase::ordered) {
      run.mPhase = run_phase::confirmed;
      run.mMustBeListedFrom = aNow;
    }
  }
  if (aReport.mEnded.size() >= kMaxReportedEnds) {
    return;
  }
  std::vector<task_key> gone;
  for (const auto& [task, run] : aTarget.mRuns) {
    if (run.mPhase == run_phase::confirmed && run.mMustBeListedFrom <= aSent &&
        !listed.contains(task)) {
      gone.push_back(task);
    }
  }
  for (const auto& task : gone) {
    const auto found = aTarget.mRuns.find(task);
    if (found == aTarget.mRuns.end()) {
      continue;
    }
    if (found->second.mLoss) {
      const auto loss = found->second.mLoss;
      endLostRun(aTarget, task, loss, "target_restarted", aNow);
      continue;
    }
    if (!found->second.mEnded) {
      mPort.logDecision(
        "run_gone",
        fmt::format("task={} run={} target={} tries={} confirmed_ms={} reply_ms={}", toText(task),
                    found->second.mRun, aTarget.mEntry.mId, found->second.mTries,
                    (aSent - found->second.mMustBeListedFrom) / std::chrono::milliseconds(1),
                    (aNow - aSent) / std::chrono::milliseconds(1)));
      endRun(aTarget, task, run_end::interrupted, found->second.mCheckpoint, aNow);
      stopGangOf(task, aNow);
    }
    release(aTarget, task);
  }
}

std::string owner::impl::describeTask(const task_key& aTask) const
{
  const job* owning = mJobTable.find(aTask.mStep.mJob);
  const auto* step = owning == nullptr ? nullptr : owning->find(aTask.mStep);
  if (step == nullptr || aTask.mIndex >= step->mTasks.size()) {
    return owning == nullptr ? "known=none" : "known=job";
  }
  const auto& task = step->mTasks[aTask.mIndex];
  return fmt::format("known=task phase={} known_run={} done={} open_at={}",
                     static_cast<int>(owning->mPhase), task.mRun, task.mDone,
                     task.mOpen ? task.mOpen->mTarget : "-");
}

bool owner::impl::hasOtherTarget(const waiting_step& aStep, const target_state& aTarget,
                                 time_point aNow) const
{
  return std::ranges::any_of(mTargets, [&](const auto& aOne) {
    return &aOne.second != &aTarget && usable(aOne.second, aNow) &&
           allowed(aStep, aOne.second, aNow) && aStep.mNeeds.fitsIn(aOne.second.mEntry.mCapacity);
  });
}

bool owner::impl::isReplaceable(const target_state& aTarget, const resources& aNeeds,
                                time_point aNow) const
{
  const auto otherExists = [&](std::string_view aLabel) {
    return std::ranges::any_of(mTargets, [&](const auto& aOne) {
      const auto& other = aOne.second;
      return &other != &aTarget && other.mEntry.mPool == aTarget.mEntry.mPool &&
             (aLabel.empty() || other.mEntry.hasLabel(aLabel)) &&
             aNeeds.fitsIn(other.mEntry.mCapacity) && usable(other, aNow);
    });
  };
  return otherExists({}) && std::ranges::all_of(aTarget.mEntry.mLabels, otherExists);
}

void owner::impl::updateTargetHealth(target_state& aTarget, const ended_run& aEnd, time_point aNow)
{
  if (aEnd.mOutcome == reported_end::done) {
    aTarget.mConsecutiveFailures = 0;
  } else if (aEnd.mOutcome == reported_end::failed) {
    const auto step = mWaiting.find(aEnd.mTask.mStep);
    if (step != mWaiting.end() && hasOtherTarget(step->second, aTarget, aNow)) {
      step->second.mAvoidedTargets[aTarget.mNumber] = aNow + kAvoidFailedTargetPeriod;
    }
    if (aTarget.mLastFailedJob == aEnd.mTask.mStep.mJob) {
      // A job that always fails is no evidence against the target.
      return;
    }
    aTarget.mLastFailedJob = aEnd.mTask.mStep.mJob;
    if (++aTarget.mConsecutiveFailures >= kFailuresToAvoid &&
        isReplaceable(aTarget, aTarget.mRuns.at(aEnd.mTask).mNeeds, aNow)) {
      aTarget.mAvoidUntil =
        aNow +
        doubled(kAvoidPeriod, aTarget.mConsecutiveFailures - kFailuresToAvoid, kMaxAvoidPeriod);
      mPort.logDecision("target_avoided",
                        fmt::format("target={} consecutive_failures={}", aTarget.mEntry.mId,
                                    aTarget.mConsecutiveFailures));
    }
  }
}

void owner::impl::allocate(target_state& aTarget, const task_key& aTask, allocated_run aRun)
{
  const auto free = aTarget.freeCapacity();
  if (!aRun.mNeeds.fitsIn(free) && aTarget.mListed) {
    mPort.logDecision("capacity_exceeded",
                      fmt::format("target={} task={} cpu={} free_cpu={} mem={} "
                                  "free_mem={}",
                                  aTarget.mEntry.mId, toText(aTask), aRun.mNeeds.mCpuMilli,
                                  free.mCpuMilli, aRun.mNeeds.mMemoryMb, free.mMemoryMb));
  }
  aTarget.mUsed += aRun.mNeeds;
  aRun.mTeam->mUsed += aRun.mNeeds;
  aTarget.mIsolatedUntil = std::max(aTarget.mIsolatedUntil, aRun.mIsolatedUntil);
  aTarget.mRuns[aTask] = std::move(aRun);
  aTarget.mNextOrders = time_point{};
}

void owner::impl::release(target_state& aTarget, const task_key& aTask)
{
  const auto found = aTarget.mRuns.find(aTask);
  if (found == aTarget.mRuns.end()) {
    return;
  }
  aTarget.mUsed -= found->second.mNeeds;
  found->second.mTeam->mUsed -= found->second.mNeeds;
  aTarget.mRuns.erase(found);
  aTarget.mHasStops = aTarget.mHasStops && !aTarget.mRuns.empty();
  mPlanNeeded = true;
}

void owner::impl::endRun(target_state& aTarget, const task_key& aTask, run_end aOutcome,
                         const std::string& aCheckpoint, time_point aNow,
                         const std::optional<run_loss>& aLoss)
{
  auto& run = aTarget.mRuns.find(aTask)->second;
  run.mEnded = true;
  const auto number = run.mRun;
  job* owning = mJobTable.find(aTask.mStep.mJob);
  if (owning == nullptr) {
    return;
  }
  const auto& step = owning->mSpec.mSteps[aTask.mStep.mStep];
  if (step.mLongRunning && aOutcome == run_end::done) {
    // It runs until it is cancelled.
    aOutcome = run_end::interrupted;
  }
  append(run_ended{ .mTask = aTask,
                    .mRun = number,
                    .mOutcome = aOutcome,
                    .mCheckpoint = aCheckpoint,
                    .mHasBegun = aLoss && aLoss->mHasBegun,
                    .mIncarnationStart = aLoss ? aLoss->mListedBy : 0 },
         aNow);
  if (step.mGang && aOutcome == run_end::done) {
    completeGang(aTask, number, aNow);
  }
  onRunEnded(*owning, aTask, aOutcome, aNow);
}

void owner::impl::endReportedRun(target_state& aTarget, const task_key& aTask, run_end aOutcome,
                                 const std::string& aCheckpoint, time_point aNow)
{
  mNextBatch.mReportedEnds.push_back({ .mTask = aTask,
                                       .mRun = aTarget.mRuns.at(aTask).mRun,
                                       .mOutcome = aOutcome,
                                       .mCheckpoint = aCheckpoint });
  endRun(aTarget, aTask, aOutcome, aCheckpoint, aNow);
}

std::vector<run_ended> owner::impl::unstoredEnds() const
{
  std::vector<run_ended> ends;
  for (const auto& batch : mBatchesInFlight) {
    ends.insert(ends.end(), batch.mReportedEnds.begin(), batch.mReportedEnds.end());
  }
  ends.insert(ends.end(), mNextBatch.mReportedEnds.begin(), mNextBatch.mReportedEnds.end());
  return ends;
}

void owner::impl::adoptEnds(std::span<const run_ended> aEnds, time_point aNow)
{
  for (const auto& end : aEnds) {
    const job* owning = mJobTable.find(end.mTask.mStep.mJob);
    const auto* step = owning == nullptr ? nullptr : owning->find(end.mTask.mStep);
    if (step == nullptr || end.mTask.mIndex >= step->mTasks.size()) {
      continue;
    }
    const auto& open = step->mTasks[end.mTask.mIndex].mOpen;
    const auto* run = open ? findRun(open->mTarget, end.mTask, end.mRun) : nullptr;
    if (run == nullptr || run->mEnded) {
      continue;
    }
    mPort.logDecision("end_adopted",
                      fmt::format("task={} run={} target={} outcome={}", toText(end.mTask),
                                  end.mRun, open->mTarget, static_cast<int>(end.mOutcome)));
    // The capacity is freed when the target no longer lists the run.
    auto& target = mTargets.find(open->mTarget)->second;
    endReportedRun(target, end.mTask, end.mOutcome, end.mCheckpoint, aNow);
  }
  mPlanNeeded = true;
}

void owner::impl::completeGang(const task_key& aTask, std::uint32_t aRun, time_point aNow)
{
  // Members end together, so the end of one completes all. The capacity of each is released when
  // its own target no longer lists it.
  const job* owning = mJobTable.find(aTask.mStep.mJob);
  const auto& tasks = owning->find(aTask.mStep)->mTasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (!tasks[index].mOpen || tasks[index].mRun != aRun) {
      continue;
    }
    const task_key member{ .mStep = aTask.mStep, .mIndex = index };
    if (auto* run = findRun(tasks[index].mOpen->mTarget, member, aRun)) {
      run->mEnded = true;
      run->mMustBeListedFrom = std::min(run->mMustBeListedFrom, aNow);
    }
    append(run_ended{ .mTask = member, .mRun = aRun, .mOutcome = run_end::done }, aNow);
  }
}

void owner::impl::stopGangOf(const task_key& aTask, time_point aNow)
{
  job* owning = mJobTable.find(aTask.mStep.mJob);
  if (owning != nullptr && owning->mSpec.mSteps[aTask.mStep.mStep].mGang) {
    stopStep(*owning, aTask.mStep, aNow);
  }
}

} // namespace endiveusher::scheduler
