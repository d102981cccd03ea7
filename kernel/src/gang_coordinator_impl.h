#pragma once

#include "gang_coordinator.h"

namespace endiveusher::internal {

template<guard_policy Guards>
void gang_coordinator<Guards>::start(coordinated_job& aJob)
{
  const auto& request = aJob.mSpec.mRequest;
  auto& gang = mGangs[request];
  gang.mResults.assign(aJob.mTasks.size(), result::none);
  for (std::size_t i = 0; i < aJob.mTasks.size(); ++i) {
    mContext.mBudget.countFirstAttempt(aJob.mSpec.mTeam, mContext.mNow);
  }
  addWaiting(aJob, gang);
  scheduleTry(request, gang, duration(0));
}

template<guard_policy Guards>
void gang_coordinator<Guards>::adoptFailedOver(coordinated_job& aJob)
{
  auto& gang = mGangs[aJob.mSpec.mRequest];
  gang.mPhase = phase::running;
  gang.mResults.assign(aJob.mTasks.size(), result::none);
}

template<guard_policy Guards>
void gang_coordinator<Guards>::scheduleTry(const request_id& aRequest, gang& aGang, duration aDelay)
{
  aGang.mPhase = phase::waiting;
  mDue.emplace(mContext.mNow + aDelay, aRequest);
}

template<guard_policy Guards>
void gang_coordinator<Guards>::addWaiting(const coordinated_job& aJob, gang& aGang)
{
  aGang.mTeam = aJob.mSpec.mTeam;
  aGang.mWaitingSince = mContext.mNow;
  mWaiting.emplace(aGang.mWaitingSince, aJob.mSpec.mRequest);
  mWaitingOfTeam[aGang.mTeam].emplace(aGang.mWaitingSince, aJob.mSpec.mRequest);
}

template<guard_policy Guards>
void gang_coordinator<Guards>::removeWaiting(const request_id& aRequest, const gang& aGang)
{
  mWaiting.erase({ aGang.mWaitingSince, aRequest });
  const auto ofTeam = mWaitingOfTeam.find(aGang.mTeam);
  if (ofTeam != mWaitingOfTeam.end()) {
    ofTeam->second.erase({ aGang.mWaitingSince, aRequest });
    if (ofTeam->second.empty()) {
      mWaitingOfTeam.erase(ofTeam);
    }
  }
}

template<guard_policy Guards>
bool gang_coordinator<Guards>::isDraining(const request_id& aRequest, const gang& aGang) const
{
  return mContext.mNow - aGang.mWaitingSince > kDrainAfter && !mWaiting.empty() &&
         mWaiting.begin()->second == aRequest;
}

/// Distributes the tasks over placers: a single one if it has capacity for all of them, otherwise
/// this daemon first, then the others by decreasing capacity.
template<guard_policy Guards>
bool gang_coordinator<Guards>::plan(const coordinated_job& aJob, gang& aGang, basis aBasis)
{
  aGang.mParts.clear();
  const auto count = static_cast<std::int64_t>(aJob.mTasks.size());
  std::vector<std::pair<std::int64_t, incarnation_id>> capacities;
  for (auto& member : mMemberCapacity.allowed(aJob.mSpec)) {
    const bool withinSlice = aBasis == basis::free_less_refusals || aBasis == basis::free;
    auto capacity =
      mMemberCapacity.capacity(member, aJob.mSpec, aBasis == basis::total, withinSlice);
    const auto refused = aGang.mRefusals.find(member);
    if (aBasis == basis::free_less_refusals && refused != aGang.mRefusals.end() &&
        mContext.mNow < refused->second.mUntil) {
      capacity = std::min(capacity, refused->second.mMost);
    }
    if (capacity > 0) {
      capacities.emplace_back(capacity, std::move(member));
    }
  }
  const auto whole = std::find_if(capacities.begin(), capacities.end(),
                                  [count](const auto& aMember) { return aMember.first >= count; });
  if (whole != capacities.end()) {
    capacities = { *whole };
  } else if (capacities.size() > 1) {
    const auto firstOther = capacities.front().second == mContext.self() ? 1 : 0;
    std::stable_sort(
      capacities.begin() + firstOther, capacities.end(),
      [](const auto& aLeft, const auto& aRight) { return aLeft.first > aRight.first; });
  }
  std::uint32_t next = 0;
  for (const auto& [capacity, member] : capacities) {
    for (std::int64_t i = 0; i < capacity && next < aJob.mTasks.size(); ++i) {
      aGang.mParts[member].mTasks.push_back(next++);
    }
  }
  return next == aJob.mTasks.size();
}

/// The sums that plan() uses ignore fragmentation, failing targets and lost messages, so a placer
/// may refuse again and again although other members have room. Fewer tasks for it make the next
/// plan a different one.
template<guard_policy Guards>
void gang_coordinator<Guards>::recordRefusal(gang& aGang, const incarnation_id& aPlacer,
                                             std::int64_t aMost)
{
  aGang.mRefusals[aPlacer] = { .mMost = aMost, .mUntil = mContext.mNow + kKeepRefusal };
}

template<guard_policy Guards>
bool gang_coordinator<Guards>::withinLimit(const coordinated_job& aJob) const
{
  const auto& teams = mContext.control().teams();
  const auto team = teams.find(aJob.mSpec.mTeam);
  limit_vector need = kZeroLimits;
  for (std::uint32_t i = 0; i < aJob.mSpec.mTaskCount; ++i) {
    need = sum(need, chargeOf(aJob.mSpec.mPerTask));
  }
  return team != teams.end() && within(need, team->second.mTeam.mLimit);
}

/// One gang of each team borrows at a time, the one that has waited longest.
template<guard_policy Guards>
bool gang_coordinator<Guards>::mayBorrow(const coordinated_job& aJob, const gang& aGang) const
{
  const auto waiting = mWaitingOfTeam.find(aJob.mSpec.mTeam);
  return waiting != mWaitingOfTeam.end() && !waiting->second.empty() &&
         *waiting->second.begin() == std::pair(aGang.mWaitingSince, aJob.mSpec.mRequest) &&
         withinLimit(aJob);
}

template<guard_policy Guards>
void gang_coordinator<Guards>::tryReserve(coordinated_job& aJob, gang& aGang)
{
  const auto& request = aJob.mSpec.mRequest;
  ++aGang.mTries;
  const bool draining = isDraining(request, aGang);
  if (!plan(aJob, aGang, basis::free_less_refusals) && !plan(aJob, aGang, basis::free) &&
      !(mayBorrow(aJob, aGang) && plan(aJob, aGang, basis::free_beyond_slice)) &&
      !(draining && withinLimit(aJob) && plan(aJob, aGang, basis::total))) {
    if (draining) {
      // The gang would not fit even into empty targets; the next gang drains meanwhile.
      removeWaiting(request, aGang);
      addWaiting(aJob, aGang);
    }
    abandonRound(request, aGang);
    return;
  }
  // Only the draining gang may state a wait that makes placers reserve capacity (kDrainAfter).
  const auto waited = draining ? mContext.mNow - aGang.mWaitingSince
                               : std::min<duration>(mContext.mNow - aGang.mWaitingSince,
                                                    kDrainAfter - std::chrono::milliseconds(1));
  aGang.mPhase = phase::reserving;
  aGang.mReservation = mContext.mNextSequence++;
  aGang.mDeadline = mContext.mNow + kReserveTimeout;
  mUnanswered.insert(request);
  for (const auto& [placer, part] : aGang.mParts) {
    reserve message{ .mReservation = aGang.mReservation,
                     .mWaited = std::chrono::duration_cast<std::chrono::milliseconds>(waited) };
    for (const auto index : part.mTasks) {
      message.mTasks.push_back(mLinks.attemptOf(aJob, index));
      message.mTasks.back().mPlacer = placer;
    }
    mMemberCapacity.deduct(placer, aJob.mSpec, static_cast<std::int64_t>(part.mTasks.size()));
    mContext.send(placer, std::move(message));
  }
}

template<guard_policy Guards>
void gang_coordinator<Guards>::handle(const incarnation_id& aFrom, const reserve_answer& aAnswer)
{
  const auto found = mGangs.find(aAnswer.mRequest);
  auto* job = mContext.mJobs.find(aAnswer.mRequest);
  if (found == mGangs.end() || job == nullptr ||
      found->second.mReservation != aAnswer.mReservation) {
    return;
  }
  auto& gang = found->second;
  const auto part = gang.mParts.find(aFrom);
  if (part == gang.mParts.end()) {
    return;
  }
  if (gang.mPhase == phase::reserving) {
    if (!aAnswer.mReserved) {
      recordRefusal(gang, aFrom, static_cast<std::int64_t>(part->second.mTasks.size()) / 2);
      releaseAll(aAnswer.mRequest, gang);
      abandonRound(aAnswer.mRequest, gang);
      return;
    }
    part->second.mReserved = true;
    if (std::all_of(gang.mParts.begin(), gang.mParts.end(),
                    [](const auto& aPart) { return aPart.second.mReserved; })) {
      commitAll(*job, gang);
    }
  } else if (!aAnswer.mReserved) {
    commitRefused(*job, gang, aFrom);
  }
}

template<guard_policy Guards>
void gang_coordinator<Guards>::commitAll(coordinated_job& aJob, gang& aGang)
{
  const auto& request = aJob.mSpec.mRequest;
  if (!mContext.mayDecide()) {
    releaseAll(request, aGang);
    abandonRound(request, aGang);
    return;
  }
  removeWaiting(request, aGang);
  aGang.mPhase = phase::running;
  aGang.mCommitSentAt = mContext.mNow;
  for (const auto& [placer, part] : aGang.mParts) {
    for (const auto index : part.mTasks) {
      mLinks.attach(aJob, index, placer, placer);
      aJob.mTasks[index].mState = task_state::starting;
    }
    mContext.send(placer, commit{ .mReservation = aGang.mReservation, .mRequest = request });
  }
}

/// Handles a refused commit: the reservation had expired, so no task of this part runs.
template<guard_policy Guards>
void gang_coordinator<Guards>::commitRefused(coordinated_job& aJob, gang& aGang,
                                             const incarnation_id& aPlacer)
{
  const auto tasks = aGang.mParts.at(aPlacer).mTasks;
  const auto isOpen = [&](std::uint32_t aIndex) {
    const auto& task = aJob.mTasks[aIndex];
    return task.mPlacer == aPlacer && task.mOrigin == aPlacer && !task.mReported &&
           aGang.mResults[aIndex] == result::none;
  };
  // A late answer about a part that has been reported is ignored.
  if (!std::all_of(tasks.begin(), tasks.end(), isOpen)) {
    return;
  }
  for (const auto index : tasks) {
    mLinks.detach(aJob, index);
    onTaskEnded(aJob, index, { .mState = placed_state::returned });
    if (!mGangs.contains(aJob.mSpec.mRequest)) {
      return;
    }
  }
}

template<guard_policy Guards>
void gang_coordinator<Guards>::releaseAll(const request_id& aRequest, gang& aGang)
{
  for (const auto& [placer, part] : aGang.mParts) {
    mContext.send(placer, release{ .mReservation = aGang.mReservation, .mRequest = aRequest });
  }
  aGang.mReservation = 0;
}

template<guard_policy Guards>
void gang_coordinator<Guards>::abandonRound(const request_id& aRequest, gang& aGang)
{
  mUnanswered.erase(aRequest);
  aGang.mParts.clear();
  const auto largest = isDraining(aRequest, aGang) ? kDrainingBackOff : kBackOffLargest;
  scheduleTry(aRequest, aGang, backOff(aGang.mTries, kBackOffBase, largest, mContext.mRandom));
}

template<guard_policy Guards>
typename gang_coordinator<Guards>::result gang_coordinator<Guards>::classify(
  const placed_task& aPlaced)
{
  if (aPlaced.mState == placed_state::returned) {
    return result::returned;
  }
  if (aPlaced.mState == placed_state::unknown) {
    return result::unknown;
  }
  switch (aPlaced.mOutcome) {
    case attempt_outcome::succeeded:
      return result::succeeded;
    case attempt_outcome::failed:
      return result::failed;
    case attempt_outcome::stopped:
      return result::stopped;
    case attempt_outcome::checkpointed:
      return aPlaced.mCheckpoint.empty() ? result::stopped : result::checkpointed;
    case attempt_outcome::lease_expired:
      break;
  }
  return result::unknown;
}

template<guard_policy Guards>
void gang_coordinator<Guards>::onTaskEnded(coordinated_job& aJob, std::uint32_t aIndex,
                                           const placed_task& aPlaced)
{
  const auto found = mGangs.find(aJob.mSpec.mRequest);
  if (found == mGangs.end() || found->second.mResults.at(aIndex) != result::none) {
    return;
  }
  auto& gang = found->second;
  const auto outcome = classify(aPlaced);
  gang.mResults[aIndex] = outcome;
  ++gang.mEndedTasks;
  if (outcome == result::failed) {
    gang.mFailedOn.insert(aPlaced.mTarget);
  }
  if (outcome == result::checkpointed) {
    aJob.mTasks[aIndex].mCheckpoint = aPlaced.mCheckpoint;
  }
  if (outcome != result::succeeded && gang.mPhase == phase::running) {
    stopAll(aJob, gang);
  }
  if (gang.mEndedTasks == gang.mResults.size()) {
    finish(aJob, gang);
  }
}

template<guard_policy Guards>
void gang_coordinator<Guards>::stopAll(coordinated_job& aJob, gang& aGang)
{
  aGang.mPhase = phase::stopping;
  for (std::uint32_t i = 0; i < aJob.mTasks.size(); ++i) {
    if (!aJob.mTasks[i].mPlacer.empty()) {
      mLinks.stop(aJob, i);
    }
  }
}

template<guard_policy Guards>
void gang_coordinator<Guards>::cancel(coordinated_job& aJob)
{
  aJob.mCancelled = true;
  const auto found = mGangs.find(aJob.mSpec.mRequest);
  if (found == mGangs.end()) {
    return;
  }
  auto& gang = found->second;
  if (gang.mPhase == phase::running || gang.mPhase == phase::stopping) {
    stopAll(aJob, gang);
    return;
  }
  if (gang.mPhase == phase::reserving) {
    releaseAll(aJob.mSpec.mRequest, gang);
  }
  endAll(aJob, gang);
}

template<guard_policy Guards>
void gang_coordinator<Guards>::finish(coordinated_job& aJob, gang& aGang)
{
  mUnanswered.erase(aJob.mSpec.mRequest);
  const bool succeeded = std::all_of(aGang.mResults.begin(), aGang.mResults.end(),
                                     [](result aResult) { return aResult == result::succeeded; });
  if (succeeded || aJob.mCancelled || !mayRetry(aJob, aGang)) {
    endAll(aJob, aGang);
  } else {
    retry(aJob, aGang);
  }
}

template<guard_policy Guards>
bool gang_coordinator<Guards>::mayRetry(const coordinated_job& aJob, const gang& aGang) const
{
  if (aJob.mSpec.mIdempotent) {
    return aGang.mFailedOn.size() < kFailingTargets && aGang.mFailures < kMaxFailures;
  }
  // Continuing from a checkpoint does not run a task twice.
  return std::all_of(aGang.mResults.begin(), aGang.mResults.end(), [](result aResult) {
    return aResult == result::returned || aResult == result::checkpointed;
  });
}

template<guard_policy Guards>
void gang_coordinator<Guards>::endAll(coordinated_job& aJob, const gang& aGang)
{
  const auto results = aGang.mResults;
  for (std::uint32_t i = 0; i < results.size(); ++i) {
    auto state = aJob.mCancelled ? task_state::cancelled : task_state::failed;
    if (results[i] == result::succeeded) {
      state = task_state::succeeded;
    } else if (results[i] == result::failed) {
      state = task_state::failed;
    } else if (results[i] == result::unknown && !aJob.mSpec.mIdempotent) {
      state = task_state::unknown;
    }
    mDelegation.endTask(aJob, i, state);
  }
}

template<guard_policy Guards>
void gang_coordinator<Guards>::retry(coordinated_job& aJob, gang& aGang)
{
  const bool failed = std::any_of(aGang.mResults.begin(), aGang.mResults.end(),
                                  [](result aResult) { return aResult == result::failed; });
  for (auto& task : aJob.mTasks) {
    ++task.mAttempt;
    task.mState = task_state::waiting;
    task.mTarget.clear();
  }
  aGang.mResults.assign(aJob.mTasks.size(), result::none);
  aGang.mEndedTasks = 0;
  aGang.mTries = 0;
  aGang.mReservation = 0;
  aGang.mParts.clear();
  addWaiting(aJob, aGang);
  auto delay = backOff(1, kBackOffBase, kBackOffLargest, mContext.mRandom);
  if (failed) {
    ++aGang.mFailures;
    delay = backOff(aGang.mFailures, 2 * kBackOffBase, kRetryLargest, mContext.mRandom);
    if (!mContext.mBudget.take(aJob.mSpec.mTeam, mContext.mNow)) {
      delay = kRetryLargest;
    }
  }
  scheduleTry(aJob.mSpec.mRequest, aGang, delay);
}

template<guard_policy Guards>
void gang_coordinator<Guards>::forget(const request_id& aRequest)
{
  const auto found = mGangs.find(aRequest);
  if (found != mGangs.end()) {
    removeWaiting(aRequest, found->second);
    mUnanswered.erase(aRequest);
    mGangs.erase(found);
  }
}

template<guard_policy Guards>
void gang_coordinator<Guards>::tick()
{
  const std::vector<request_id> open(mUnanswered.begin(), mUnanswered.end());
  for (const auto& request : open) {
    auto& gang = mGangs.at(request);
    auto* job = mContext.mJobs.find(request);
    if (gang.mPhase == phase::reserving) {
      if (mContext.mNow >= gang.mDeadline) {
        for (const auto& [placer, part] : gang.mParts) {
          if (!part.mReserved) {
            recordRefusal(gang, placer, 0);
          }
        }
        releaseAll(request, gang);
        abandonRound(request, gang);
      }
      continue;
    }
    if (mContext.mNow - gang.mCommitSentAt < kRepeatCommit) {
      continue;
    }
    gang.mCommitSentAt = mContext.mNow;
    bool complete = true;
    for (const auto& [placer, part] : gang.mParts) {
      const auto& first = job->mTasks.at(part.mTasks.front());
      if (first.mPlacer == placer && first.mOrigin == placer && !first.mReported) {
        complete = false;
        mContext.send(placer, commit{ .mReservation = gang.mReservation, .mRequest = request });
      }
    }
    if (complete) {
      mUnanswered.erase(request);
    }
  }
  if (mDue.empty() || mDue.begin()->first > mContext.mNow || !mContext.mayDecide()) {
    return;
  }
  mMemberCapacity.refresh();
  for (std::size_t i = 0; i < kMaxTriesPerTick; ++i) {
    if (mDue.empty() || mDue.begin()->first > mContext.mNow) {
      break;
    }
    const auto request = mDue.begin()->second;
    mDue.erase(mDue.begin());
    const auto found = mGangs.find(request);
    auto* job = mContext.mJobs.find(request);
    if (found != mGangs.end() && job != nullptr && found->second.mPhase == phase::waiting) {
      tryReserve(*job, found->second);
    }
  }
}

} // namespace endiveusher::internal
