#pragma once

#include "delegation.h"

namespace endiveusher::internal {

template<guard_policy Guards>
void delegation<Guards>::start(coordinated_job& aJob)
{
  for (std::uint32_t i = 0; i < aJob.mTasks.size(); ++i) {
    mContext.mBudget.countFirstAttempt(aJob.mSpec.mTeam, mContext.mNow);
    makeReady(aJob, i);
  }
}

template<guard_policy Guards>
void delegation<Guards>::makeReady(coordinated_job& aJob, std::uint32_t aIndex)
{
  const auto& spec = aJob.mSpec;
  const auto deadline =
    spec.mStartWithin.count() > 0 ? aJob.mAcceptedAt + spec.mStartWithin : time_point::max();
  mReady.emplace(!spec.mUrgent, deadline, mNextReady++, task_key{ spec.mRequest, aIndex });
}

template<guard_policy Guards>
void delegation<Guards>::delay(coordinated_job& aJob, std::uint32_t aIndex, duration aTime)
{
  mDelayed.emplace(mContext.mNow + aTime, task_key{ aJob.mSpec.mRequest, aIndex });
}

template<guard_policy Guards>
void delegation<Guards>::nextAttempt(coordinated_job& aJob, std::uint32_t aIndex, duration aDelay)
{
  auto& task = aJob.mTasks.at(aIndex);
  // Each delegation has its own attempt number, so that a late report on an earlier attempt is
  // recognised.
  ++task.mAttempt;
  task.mState = task_state::waiting;
  task.mTarget.clear();
  if (aDelay.count() > 0) {
    delay(aJob, aIndex, aDelay);
  } else {
    makeReady(aJob, aIndex);
  }
}

template<guard_policy Guards>
void delegation<Guards>::endTask(coordinated_job& aJob, std::uint32_t aIndex, task_state aState)
{
  if (mContext.mJobs.endTask(aJob, aIndex, aState, mContext.mNow)) {
    mOnJobEnded(aJob);
  }
}

template<guard_policy Guards>
void delegation<Guards>::releaseDelayed()
{
  while (!mDelayed.empty() && mDelayed.begin()->first <= mContext.mNow) {
    const auto key = mDelayed.begin()->second;
    mDelayed.erase(mDelayed.begin());
    auto* job = mContext.mJobs.find(key.mRequest);
    if (job == nullptr || key.mIndex >= job->mTasks.size() ||
        hasEnded(job->mTasks[key.mIndex].mState)) {
      continue;
    }
    auto& task = job->mTasks[key.mIndex];
    if (task.mIsRetry && !mContext.mBudget.take(job->mSpec.mTeam, mContext.mNow)) {
      delay(*job, key.mIndex, kBudgetRetry);
      continue;
    }
    task.mIsRetry = false;
    makeReady(*job, key.mIndex);
  }
}

template<guard_policy Guards>
bool delegation<Guards>::hasWaiting() const
{
  return !mReady.empty() ||
         std::any_of(mDelayed.begin(), mDelayed.end(), [this](const auto& aEntry) {
           const auto& key = aEntry.second;
           const auto* job = mContext.mJobs.find(key.mRequest);
           return job != nullptr && key.mIndex < job->mTasks.size() &&
                  job->mSpec.mKind == job_kind::batch && !job->mTasks[key.mIndex].mIsRetry &&
                  !hasEnded(job->mTasks[key.mIndex].mState);
         });
}

template<guard_policy Guards>
void delegation<Guards>::advance()
{
  releaseDelayed();
  if (!mReady.empty() && mContext.mayDecide()) {
    mCapacity.refresh();
    for (std::size_t i = 0; i < kMaxPerRound && !mReady.empty(); ++i) {
      const auto key = std::get<task_key>(*mReady.begin());
      mReady.erase(mReady.begin());
      auto* job = mContext.mJobs.find(key.mRequest);
      if (job == nullptr || key.mIndex >= job->mTasks.size()) {
        continue;
      }
      const auto& task = job->mTasks[key.mIndex];
      if (hasEnded(task.mState) || !task.mPlacer.empty()) {
        continue;
      }
      auto placer = mCapacity.chooseWithFreeCapacity(job->mSpec);
      if (!placer) {
        placer = mCapacity.chooseQueue(job->mSpec);
      }
      if (placer) {
        mLinks.assign(*job, key.mIndex, *placer, *placer);
      } else {
        delay(*job, key.mIndex, kNoPlacerRetry);
      }
    }
  }
  mLinks.flush();
}

template<guard_policy Guards>
void delegation<Guards>::tick()
{
  reassignFromEndedPlacers();
  recallForFreeCapacity();
  stopOrphans();
  mLinks.tick();
  mLinks.flush();
}

template<guard_policy Guards>
void delegation<Guards>::cancel(coordinated_job& aJob)
{
  aJob.mCancelled = true;
  for (std::uint32_t i = 0; i < aJob.mTasks.size(); ++i) {
    const auto& task = aJob.mTasks[i];
    if (hasEnded(task.mState)) {
      continue;
    }
    if (!task.mPlacer.empty()) {
      mLinks.stop(aJob, i);
    } else if (aJob.mSettled) {
      endTask(aJob, i, task_state::cancelled);
    }
  }
}

template<guard_policy Guards>
void delegation<Guards>::search(coordinated_job& aJob, std::uint32_t aIndex)
{
  auto& task = aJob.mTasks.at(aIndex);
  if (task.mNextSearch < aJob.mMembersToSearch.size()) {
    const auto& origin = aJob.mMembersToSearch[task.mNextSearch++];
    mLinks.assign(aJob, aIndex, mContext.control().resolve(origin), origin);
    if (aJob.mCancelled) {
      mLinks.stop(aJob, aIndex);
    }
    return;
  }
  if (aJob.mSpec.mKind == job_kind::gang) {
    mOnGangTaskFinished(aJob, aIndex, { .mState = placed_state::unknown });
  } else if (!aJob.mSpec.mIdempotent) {
    endTask(aJob, aIndex, task_state::unknown);
  } else if (aJob.mCancelled) {
    endTask(aJob, aIndex, task_state::cancelled);
  } else {
    nextAttempt(aJob, aIndex);
  }
}

template<guard_policy Guards>
void delegation<Guards>::handle(const incarnation_id& aFrom, const task_report& aReport)
{
  auto& link = mLinks.at(aFrom);
  if (aReport.mSequence <= link.mReportSequence || mContext.control().hasEnded(aFrom)) {
    return;
  }
  link.mReportSequence = aReport.mSequence;
  std::vector<placed_task> acknowledged;
  for (const auto& placed : aReport.mTasks) {
    applyReport(aFrom, placed, acknowledged);
  }
  if (!acknowledged.empty()) {
    // The placer compares only key, attempt and state, so the large fields are not sent back.
    for (auto& task : acknowledged) {
      task.mOutput.clear();
      task.mCheckpoint.clear();
    }
    mContext.send(aFrom, report_ack{ .mTasks = std::move(acknowledged),
                                     .mClosedBefore = mContext.mNextSequence });
  }
}

template<guard_policy Guards>
void delegation<Guards>::applyReport(const incarnation_id& aFrom, const placed_task& aPlaced,
                                     std::vector<placed_task>& aAcknowledged)
{
  auto* job = mContext.mJobs.find(aPlaced.mKey.mRequest);
  const auto index = aPlaced.mKey.mIndex;
  if (job == nullptr || index >= job->mTasks.size()) {
    applyUnknownJob(aFrom, aPlaced, aAcknowledged);
    return;
  }
  auto& task = job->mTasks[index];
  if (!job->mSettled && isTerminal(aPlaced.mState) && !isFinal(*job, aPlaced)) {
    // The ended coordinator may have made a later attempt. Reports of the other members or the
    // reconciliation of its targets will reveal it.
    task.mAttempt = std::max(task.mAttempt, aPlaced.mAttempt);
    aAcknowledged.push_back(aPlaced);
    return;
  }
  if (!belongs(*job, aFrom, aPlaced)) {
    if (isTerminal(aPlaced.mState)) {
      aAcknowledged.push_back(aPlaced);
    } else if (hasEnded(task.mState) || aPlaced.mAttempt < task.mAttempt) {
      mLinks.at(aFrom).mNewStops.push_back(aPlaced.mKey);
    }
    return;
  }
  auto& link = mLinks.at(aFrom);
  if (!task.mReported) {
    task.mReported = true;
    link.mUnreported.erase(aPlaced.mKey);
  }
  const bool queued = aPlaced.mState == placed_state::queued;
  if (queued != task.mQueued) {
    task.mQueued = queued;
    if (queued) {
      link.mQueued.insert(aPlaced.mKey);
    } else {
      link.mQueued.erase(aPlaced.mKey);
    }
  }
  switch (aPlaced.mState) {
    case placed_state::queued:
      task.mState = task_state::waiting;
      return;
    case placed_state::starting:
      task.mState = task_state::starting;
      return;
    case placed_state::running:
      if (task.mState != task_state::running || task.mTarget != aPlaced.mTarget) {
        task.mState = task_state::running;
        task.mTarget = aPlaced.mTarget;
      }
      return;
    default:
      aAcknowledged.push_back(aPlaced);
      applyFinished(*job, index, aPlaced);
  }
}

/// Whether the outcome ends the task regardless of other attempts.
template<guard_policy Guards>
bool delegation<Guards>::isFinal(const coordinated_job& aJob, const placed_task& aPlaced)
{
  return aPlaced.mState == placed_state::ended &&
         ((aPlaced.mOutcome == attempt_outcome::succeeded &&
           aJob.mSpec.mKind != job_kind::service) ||
          (aPlaced.mOutcome == attempt_outcome::failed && !aJob.mSpec.mIdempotent));
}

/// Whether the report concerns the current attempt of the task. For a failed-over job or placer,
/// attaches the task to aFrom and adopts its attempt number.
template<guard_policy Guards>
bool delegation<Guards>::belongs(coordinated_job& aJob, const incarnation_id& aFrom,
                                 const placed_task& aPlaced)
{
  const auto index = aPlaced.mKey.mIndex;
  auto& task = aJob.mTasks[index];
  if (hasEnded(task.mState) || aPlaced.mAttempt < task.mAttempt) {
    return false;
  }
  if (task.mPlacer == aFrom && task.mAttempt == aPlaced.mAttempt) {
    return true;
  }
  const bool placerFollows = !task.mPlacer.empty() && task.mPlacer != aFrom &&
                             mContext.control().hasEnded(task.mPlacer) &&
                             mContext.control().resolve(task.mPlacer) == aFrom;
  // A search names the attempt number known to this coordinator; the ended coordinator may have
  // made later attempts.
  const bool failedOver =
    aJob.mFailedOver && (task.mPlacer.empty() ? !aJob.mSettled : task.mPlacer == aFrom);
  if (!placerFollows && !failedOver) {
    return false;
  }
  if (task.mPlacer != aFrom) {
    mLinks.attach(aJob, index, aFrom, aFrom);
    if (aJob.mCancelled) {
      mLinks.stop(aJob, index);
    }
  }
  task.mAttempt = aPlaced.mAttempt;
  return true;
}

template<guard_policy Guards>
void delegation<Guards>::applyUnknownJob(const incarnation_id& aFrom, const placed_task& aPlaced,
                                         std::vector<placed_task>& aAcknowledged)
{
  const auto& failedOver = mContext.mMembership.failedOverMembers();
  if (isTerminal(aPlaced.mState)) {
    // The job may become known while the records of an ended coordinator are still being read.
    const bool complete =
      std::all_of(failedOver.begin(), failedOver.end(), [this](const auto& aMember) {
        return mContext.mJobLog.hasReadToEnd() &&
               mContext.mJobLog.readToEndAt() > aMember.mEffectiveFrom;
      });
    if (complete) {
      mOrphans.erase(aPlaced.mKey);
      aAcknowledged.push_back(aPlaced);
    }
    return;
  }
  if (failedOver.empty()) {
    mLinks.at(aFrom).mNewStops.push_back(aPlaced.mKey);
    return;
  }
  mOrphans.try_emplace(aPlaced.mKey, orphan{ .mPlacer = aFrom, .mSeenAt = mContext.mNow });
}

template<guard_policy Guards>
void delegation<Guards>::stopOrphans()
{
  if (mContext.mNow < mNextOrphanCheck) {
    return;
  }
  mNextOrphanCheck = mContext.mNow + std::chrono::seconds(5);
  std::erase_if(mOrphans, [this](const auto& aEntry) {
    const auto& [key, orphan] = aEntry;
    if (mContext.mJobs.find(key.mRequest) != nullptr) {
      return true;
    }
    if (mContext.mNow - orphan.mSeenAt >= kOrphanPeriod) {
      mLinks.at(mContext.control().resolve(orphan.mPlacer)).mNewStops.push_back(key);
    }
    return false;
  });
}

template<guard_policy Guards>
void delegation<Guards>::applyFinished(coordinated_job& aJob, std::uint32_t aIndex,
                                       const placed_task& aPlaced)
{
  auto& task = aJob.mTasks[aIndex];
  const bool recalled = task.mRecalled;
  mLinks.detach(aJob, aIndex);
  if (aPlaced.mState == placed_state::ended) {
    task.mTarget = aPlaced.mTarget;
    task.mExitCode = aPlaced.mExitCode;
    task.mOutput = boundedOutput(aPlaced.mOutput);
  }
  if (aPlaced.mState == placed_state::unknown && task.mNextSearch < aJob.mMembersToSearch.size()) {
    search(aJob, aIndex);
    return;
  }
  if (aJob.mSpec.mKind == job_kind::gang) {
    mOnGangTaskFinished(aJob, aIndex, aPlaced);
    return;
  }
  switch (aPlaced.mState) {
    case placed_state::returned:
      if (aJob.mCancelled) {
        endTask(aJob, aIndex, task_state::cancelled);
      } else {
        // A placer that returns a task without a recall is full or stopping.
        nextAttempt(aJob, aIndex, recalled ? duration(0) : kBackOffBase);
      }
      return;
    case placed_state::unknown:
      search(aJob, aIndex);
      return;
    default:
      applyEnded(aJob, aIndex, aPlaced);
  }
}

template<guard_policy Guards>
void delegation<Guards>::applyEnded(coordinated_job& aJob, std::uint32_t aIndex,
                                    const placed_task& aPlaced)
{
  auto& task = aJob.mTasks[aIndex];
  const bool idempotent = aJob.mSpec.mIdempotent;
  switch (aPlaced.mOutcome) {
    case attempt_outcome::succeeded:
      if (aJob.mSpec.mKind == job_kind::service && idempotent && !aJob.mCancelled) {
        applyFailure(aJob, aIndex, {});
      } else {
        endTask(aJob, aIndex, task_state::succeeded);
      }
      return;
    case attempt_outcome::failed:
      if (aJob.mCancelled || !idempotent) {
        endTask(aJob, aIndex, task_state::failed);
      } else {
        task.mCheckpoint.clear();
        applyFailure(aJob, aIndex, aPlaced.mTarget);
      }
      return;
    case attempt_outcome::checkpointed:
      if (aJob.mCancelled) {
        endTask(aJob, aIndex, task_state::cancelled);
      } else if (!idempotent && aPlaced.mCheckpoint.empty()) {
        // Without a checkpoint the next attempt would be a second run.
        endTask(aJob, aIndex, task_state::unknown);
      } else {
        task.mCheckpoint = aPlaced.mCheckpoint;
        nextAttempt(aJob, aIndex);
      }
      return;
    case attempt_outcome::stopped:
      if (aJob.mCancelled) {
        endTask(aJob, aIndex, task_state::cancelled);
      } else if (!idempotent) {
        endTask(aJob, aIndex, task_state::failed);
      } else {
        nextAttempt(aJob, aIndex);
      }
      return;
    case attempt_outcome::lease_expired:
      if (!idempotent) {
        endTask(aJob, aIndex, task_state::unknown);
      } else if (aJob.mCancelled) {
        endTask(aJob, aIndex, task_state::cancelled);
      } else {
        nextAttempt(aJob, aIndex);
      }
      return;
  }
}

template<guard_policy Guards>
void delegation<Guards>::applyFailure(coordinated_job& aJob, std::uint32_t aIndex,
                                      const target_id& aTarget)
{
  auto& task = aJob.mTasks[aIndex];
  const bool service = aJob.mSpec.mKind == job_kind::service;
  if (service && mContext.mNow - task.mDelegatedAt >= kStableRun) {
    task.mFailures = 0;
  }
  ++task.mFailures;
  if (!service) {
    if (std::find(task.mFailedOn.begin(), task.mFailedOn.end(), aTarget) == task.mFailedOn.end()) {
      task.mFailedOn.push_back(aTarget);
    }
    if (task.mFailedOn.size() >= kFailingTargets || task.mFailures >= kMaxFailures) {
      endTask(aJob, aIndex, task_state::failed);
      return;
    }
    task.mIsRetry = true;
  }
  nextAttempt(aJob, aIndex,
              backOff(task.mFailures, kBackOffBase, kBackOffLargest, mContext.mRandom));
}

template<guard_policy Guards>
void delegation<Guards>::reassignFromEndedPlacers()
{
  std::vector<incarnation_id> ended;
  for (const auto& [placer, link] : mLinks.all()) {
    if (mContext.control().hasEnded(placer)) {
      ended.push_back(placer);
    }
  }
  for (const auto& placer : ended) {
    const auto held = std::exchange(mLinks.at(placer), {}).mHeld;
    const auto& successor = mContext.control().resolve(placer);
    for (const auto& key : held) {
      auto* job = mContext.mJobs.find(key.mRequest);
      if (job == nullptr || job->mTasks.at(key.mIndex).mPlacer != placer) {
        continue;
      }
      auto& task = job->mTasks[key.mIndex];
      const auto origin = task.mOrigin.empty() ? placer : task.mOrigin;
      task.mPlacer.clear();
      task.mQueued = false;
      mLinks.assign(*job, key.mIndex, successor, origin);
      if (job->mCancelled) {
        mLinks.stop(*job, key.mIndex);
      }
    }
    mLinks.all().erase(placer);
  }
}

template<guard_policy Guards>
void delegation<Guards>::recallForFreeCapacity()
{
  if (mContext.mNow < mNextRecall || !mContext.mayDecide()) {
    return;
  }
  mNextRecall = mContext.mNow + kRecallInterval;
  const auto& links = mLinks.all();
  if (std::all_of(links.begin(), links.end(),
                  [](const auto& aEntry) { return aEntry.second.mQueued.empty(); })) {
    return;
  }
  mCapacity.refresh();
  for (const auto& member : mCapacity.othersWithSustainedCapacity()) {
    std::size_t recalls = 0;
    std::size_t seen = 0;
    for (auto& [placer, link] : mLinks.all()) {
      if (placer == member) {
        continue;
      }
      for (const auto& key : link.mQueued) {
        if (recalls == kMaxRecallsPerRound || ++seen > 4 * kMaxRecallsPerRound) {
          break;
        }
        auto* job = mContext.mJobs.find(key.mRequest);
        if (job == nullptr || job->mSpec.mKind == job_kind::gang || job->mCancelled) {
          continue;
        }
        const auto& task = job->mTasks.at(key.mIndex);
        const auto since = mContext.mNow - task.mDelegatedAt;
        if (since < kRecallAfter || (task.mRecalled && since < kRecallRepeat) ||
            !mCapacity.hasFreeCapacity(member, job->mSpec)) {
          continue;
        }
        mCapacity.deduct(member, job->mSpec);
        mLinks.recallQueued(*job, key.mIndex);
        ++recalls;
      }
    }
  }
}

} // namespace endiveusher::internal
