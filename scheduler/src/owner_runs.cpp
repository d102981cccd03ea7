#include "endiveusher/kernel/back_off.h"
#include "owner_impl.h"

#include <algorithm>
#include <fmt/format.h>

namespace endiveusher::scheduler {

using internal::run_phase;

namespace {

/// How long a target holds a look open when nothing ends. Also the time in which a silent target is
/// noticed, with the timeout of the call added.
constexpr auto kLookWait = std::chrono::milliseconds(1000);
/// Pause between two looks, so that one answer carries several ends.
constexpr auto kLookPause = std::chrono::milliseconds(30);
/// Pauses after looks without an answer. Short while runs may still be kept by a renewal in time,
/// longer for targets without any.
constexpr auto kMissedPause = std::chrono::milliseconds(30);
constexpr auto kIdleMissedPause = std::chrono::milliseconds(1000);
/// Failures in a row after which a target gets no new work for a while.
constexpr std::uint32_t kFailuresToAvoid = 2;
/// The first such while; doubles with each further failure up to the longest.
constexpr auto kAvoidPeriod = std::chrono::milliseconds(1000);
constexpr auto kMaxAvoidPeriod = std::chrono::milliseconds(8000);
/// A failed task prefers other targets for this long.
constexpr auto kFailedAtPeriod = std::chrono::milliseconds(3000);

run_end toRunEnd(listed_end aHow)
{
  switch (aHow) {
    case listed_end::done:
      return run_end::done;
    case listed_end::failed:
      return run_end::failed;
    default:
      return run_end::interrupted;
  }
}

} // namespace

owner::impl::target_state& owner::impl::targetOf(const std::string& aId)
{
  const auto [at, isNew] = mTargets.try_emplace(aId);
  if (isNew) {
    at->second.mEntry.mId = aId;
    const auto next = static_cast<std::uint32_t>(mTargetNumbers.size());
    at->second.mNumber = mTargetNumbers.try_emplace(aId, next).first->second;
  }
  return at->second;
}

void owner::impl::setTarget(const target_entry& aEntry, time_point aNow)
{
  auto& target = targetOf(aEntry.mId);
  const bool otherLife =
    target.mEntry.mBorn != 0 && aEntry.mBorn != 0 && aEntry.mBorn > target.mEntry.mBorn;
  const auto born = std::max(target.mEntry.mBorn, aEntry.mBorn);
  const bool isNew = target.mEntry.mAddress.empty();
  target.mListed = true;
  target.mEntry = aEntry;
  target.mEntry.mBorn = born;
  if (otherLife) {
    beginIncarnation(target, born, aNow);
  }
  if (isNew || otherLife) {
    target.mNextLook = aNow;
  }
  mChanged = true;
}

void owner::impl::removeTarget(std::string_view aId, time_point aNow)
{
  const auto found = mTargets.find(aId);
  if (found == mTargets.end()) {
    return;
  }
  // What it runs goes on until its lease is over, or a look tells more.
  found->second.mListed = false;
  found->second.mNextLook = aNow;
}

void owner::impl::beginIncarnation(target_state& aTarget, std::int64_t aBorn, time_point aNow)
{
  mPort.explain("target_restarted", fmt::format("target={} born={} runs_lost={}",
                                                aTarget.mEntry.mId, aBorn, aTarget.mRuns.size()));
  loseRuns(aTarget, "target_restarted", aNow);
  aTarget.mEntry.mBorn = aBorn;
  aTarget.mTaken = false;
  aTarget.mTakingStored = false;
  aTarget.mClock.reset();
  aTarget.mLeaseSent = target_time{ 0 };
  aTarget.mLastEnd = 0;
  aTarget.mStoredEnd = 0;
  aTarget.mFailuresInRow = 0;
  for (auto& [key, step] : mWaiting) {
    step.mAdvice.dropTicket(aTarget.mNumber);
  }
}

target_time owner::impl::leaseFor(target_state& aTarget, time_point aNow) const
{
  const auto until = aTarget.clockAt(aNow) + mOptions.mLease;
  aTarget.mLeaseSent = std::max(aTarget.mLeaseSent, until);
  return until;
}

void owner::impl::sendLook(target_state& aTarget, time_point aNow)
{
  look_order order{ .mTarget = aTarget.mEntry.mId,
                    .mAddress = aTarget.mEntry.mAddress,
                    .mEpoch = mEpoch,
                    .mStoredEnds = aTarget.mStoredEnd };
  // A silent target gets no longer lease: what runs there could not be given up while looks without
  // an answer might still renew it.
  if (aTarget.mClock && aTarget.mTaken && aTarget.mTakingStored && aTarget.mMissed == 0) {
    order.mLeaseUntil = leaseFor(aTarget, aNow);
    order.mWait = kLookWait;
  }
  aTarget.mLookOpen = true;
  mPort.look(order);
}

void owner::impl::looked(const std::string& aTarget, time_point aSent, order_outcome aOutcome,
                         const target_report& aReport, time_point aNow)
{
  const auto found = mTargets.find(aTarget);
  if (found == mTargets.end()) {
    return;
  }
  auto& target = found->second;
  target.mLookOpen = false;
  if (aOutcome == order_outcome::fenced) {
    mFenced = true;
    return;
  }
  if (aOutcome != order_outcome::accepted) {
    if (target.mMissed++ == 0) {
      mPort.explain("target_silent", fmt::format("target={} outcome={} runs={}", aTarget,
                                                 toText(aOutcome), target.mRuns.size()));
    }
    target.mNextLook =
      aNow + (target.mRuns.empty() && target.mMissed > 3 ? kIdleMissedPause : kMissedPause);
    return;
  }
  if (target.mMissed > 0) {
    mPort.explain("target_answers", fmt::format("target={} missed={}", aTarget, target.mMissed));
  }
  target.mMissed = 0;
  if (aReport.mBorn < target.mEntry.mBorn) {
    // An answer of an earlier life that was overtaken.
    target.mNextLook = aNow + kLookPause;
    return;
  }
  if (aReport.mBorn > target.mEntry.mBorn) {
    if (target.mEntry.mBorn != 0) {
      beginIncarnation(target, aReport.mBorn, aNow);
    }
    target.mEntry.mBorn = aReport.mBorn;
  }
  if (!target.mClock || aReport.mClock >= *target.mClock) {
    target.mClock = aReport.mClock;
    target.mClockAt = aNow;
  }
  target.mLastAnswer = aNow;
  readEnds(target, aReport, aNow);
  readRunning(target, aReport, aSent, aNow);
  if (!target.mTaken) {
    target.mTaken = true;
    // Former owners may have renewed a lease until this look; now their epochs are rejected.
    target.mLeaseSent = std::max(target.mLeaseSent, aReport.mClock + mOptions.mLease);
    append(target_taken{ .mTarget = aTarget, .mEpoch = mEpoch }, aNow);
    mNextBatch.mTaken.push_back(aTarget);
    // Renews the leases as soon as the journal tells that this epoch does so.
    target.mNextLook = aNow + kLookPause;
  } else {
    target.mNextLook = aNow + kLookPause;
  }
  mChanged = true;
}

void owner::impl::readEnds(target_state& aTarget, const target_report& aReport, time_point aNow)
{
  const auto before = aTarget.mLastEnd;
  for (const auto& end : aReport.mEnded) {
    if (end.mNumber <= before) {
      continue;
    }
    aTarget.mLastEnd = std::max(aTarget.mLastEnd, end.mNumber);
    const auto found = aTarget.mRuns.find(end.mTask);
    if (found == aTarget.mRuns.end() || found->second.mRun != end.mRun) {
      continue;
    }
    judgeTarget(aTarget, end, aNow);
    if (!found->second.mEnded) {
      if (end.mHow == listed_end::alone) {
        mPort.explain("gang_incomplete", fmt::format("task={} run={} target={}", toText(end.mTask),
                                                     end.mRun, aTarget.mEntry.mId));
      }
      endRun(aTarget, end.mTask, toRunEnd(end.mHow), end.mCheckpoint, aNow);
    }
    release(aTarget, end.mTask);
  }
  if (aTarget.mLastEnd > before) {
    mNextBatch.mEnds.push_back({ .mTarget = aTarget.mEntry.mId,
                                 .mBorn = aTarget.mEntry.mBorn,
                                 .mNumber = aTarget.mLastEnd });
  }
}

void owner::impl::readRunning(target_state& aTarget, const target_report& aReport, time_point aSent,
                              time_point aNow)
{
  std::set<task_key> listed;
  aTarget.mForeignRuns = false;
  for (const auto& running : aReport.mRunning) {
    const auto found = aTarget.mRuns.find(running.mTask);
    if (found == aTarget.mRuns.end() || found->second.mRun != running.mRun) {
      // A run that a former owner ordered after its start was withdrawn, or that a target carried
      // out late.
      aTarget.mForeignRuns = true;
      mPort.explain("stop_unknown_run",
                    fmt::format("task={} run={} target={}", toText(running.mTask), running.mRun,
                                aTarget.mEntry.mId));
      mPort.stop({ .mTarget = aTarget.mEntry.mId,
                   .mAddress = aTarget.mEntry.mAddress,
                   .mTask = running.mTask,
                   .mRun = running.mRun,
                   .mEpoch = mEpoch });
      continue;
    }
    listed.insert(running.mTask);
    auto& run = found->second;
    if (!running.mCheckpoint.empty()) {
      run.mCheckpoint = running.mCheckpoint;
    }
    if (run.mPhase == run_phase::ordered) {
      run.mPhase = run_phase::confirmed;
      run.mSettledAt = aNow;
    }
  }
  if (aReport.mEnded.size() >= kMaxListedEnds) {
    return;
  }
  std::vector<task_key> gone;
  for (const auto& [task, run] : aTarget.mRuns) {
    if (run.mPhase == run_phase::confirmed && run.mSettledAt <= aSent && !listed.contains(task)) {
      gone.push_back(task);
    }
  }
  for (const auto& task : gone) {
    const auto found = aTarget.mRuns.find(task);
    if (found == aTarget.mRuns.end()) {
      continue;
    }
    if (!found->second.mEnded) {
      mPort.explain("run_gone", fmt::format("task={} run={} target={}", toText(task),
                                            found->second.mRun, aTarget.mEntry.mId));
      endRun(aTarget, task, run_end::interrupted, found->second.mCheckpoint, aNow);
    }
    release(aTarget, task);
  }
}

void owner::impl::judgeTarget(target_state& aTarget, const ended_run& aEnd, time_point aNow)
{
  if (aEnd.mHow == listed_end::done) {
    aTarget.mFailuresInRow = 0;
  } else if (aEnd.mHow == listed_end::failed) {
    const auto step = mWaiting.find(aEnd.mTask.mStep);
    if (step != mWaiting.end() && mTargets.size() > 1) {
      step->second.mFailedAt[aTarget.mNumber] = aNow + kFailedAtPeriod;
    }
    if (aTarget.mLastFailed == aEnd.mTask.mStep.mJob) {
      // A job that always fails says little about the target.
      return;
    }
    aTarget.mLastFailed = aEnd.mTask.mStep.mJob;
    if (++aTarget.mFailuresInRow >= kFailuresToAvoid) {
      aTarget.mAvoidUntil =
        aNow + doubled(kAvoidPeriod, aTarget.mFailuresInRow - kFailuresToAvoid, kMaxAvoidPeriod);
      mPort.explain("target_avoided", fmt::format("target={} failures_in_row={}",
                                                  aTarget.mEntry.mId, aTarget.mFailuresInRow));
    }
  }
}

void owner::impl::hold(target_state& aTarget, const task_key& aTask, held_run aRun)
{
  if (!aRun.mNeeds.fitsIn(aTarget.room()) && aTarget.mListed) {
    mPort.explain("room_exceeded",
                  fmt::format("target={} task={}", aTarget.mEntry.mId, toText(aTask)));
  }
  aTarget.mUsed += aRun.mNeeds;
  mTeamUsed[aRun.mTeam] += aRun.mNeeds;
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
  mTeamUsed[found->second.mTeam] -= found->second.mNeeds;
  aTarget.mRuns.erase(found);
  mChanged = true;
}

void owner::impl::endRun(target_state& aTarget, const task_key& aTask, run_end aHow,
                         const std::string& aCheckpoint, time_point aNow)
{
  auto& run = aTarget.mRuns.find(aTask)->second;
  run.mEnded = true;
  const auto number = run.mRun;
  job* owning = mBook.find(aTask.mStep.mJob);
  if (owning == nullptr) {
    return;
  }
  append(run_ended{ .mTask = aTask, .mRun = number, .mHow = aHow, .mCheckpoint = aCheckpoint },
         aNow);
  const bool gang = owning->mSpec.mSteps[aTask.mStep.mStep].mGang;
  if (gang && aHow == run_end::done) {
    endGang(aTask, number, aNow);
  }
  afterEnd(*owning, aTask, aHow, aNow);
}

void owner::impl::endGang(const task_key& aTask, std::uint32_t aRun, time_point aNow)
{
  // Members end together, and one end stands for all; their room is free when their own target no
  // longer lists them.
  const job* owning = mBook.find(aTask.mStep.mJob);
  const auto& tasks = owning->find(aTask.mStep)->mTasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (!tasks[index].mOpen || tasks[index].mRun != aRun) {
      continue;
    }
    const task_key member{ .mStep = aTask.mStep, .mIndex = index };
    if (auto* run = findRun(tasks[index].mOpen->mTarget, member, aRun)) {
      run->mEnded = true;
      run->mSettledAt = std::min(run->mSettledAt, aNow);
    }
    append(run_ended{ .mTask = member, .mRun = aRun, .mHow = run_end::done }, aNow);
  }
}

void owner::impl::loseRuns(target_state& aTarget, std::string_view aReason, time_point aNow)
{
  std::vector<task_key> tasks;
  tasks.reserve(aTarget.mRuns.size());
  for (const auto& [task, run] : aTarget.mRuns) {
    tasks.push_back(task);
  }
  for (const auto& task : tasks) {
    const auto found = aTarget.mRuns.find(task);
    if (found == aTarget.mRuns.end()) {
      continue;
    }
    if (!found->second.mEnded) {
      mPort.explain("run_lost", fmt::format("task={} run={} target={} reason={}", toText(task),
                                            found->second.mRun, aTarget.mEntry.mId, aReason));
      const auto checkpoint = found->second.mCheckpoint;
      endRun(aTarget, task, run_end::interrupted, checkpoint, aNow);
    }
    release(aTarget, task);
  }
}

} // namespace endiveusher::scheduler
