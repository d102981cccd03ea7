#pragma once

#include "placer_impl.h"

namespace endiveusher {

template<guard_policy Guards>
void basic_placer<Guards>::impl::handle(const exchange_event& aEvent, time_point aNow)
{
  target_state* target = targetOf(aEvent.mTarget);
  if (target == nullptr || target->mInFlight == 0 || target->mInFlight != aEvent.mExchangeId) {
    // The exchange has timed out; a later one carries newer state.
    return;
  }
  if (!aEvent.mResponse || aEvent.mResponse->mTarget != aEvent.mTarget) {
    onTimeout(*target, aNow);
  } else {
    onAnswer(*target, *aEvent.mResponse, aNow);
  }
  mNextScan = {};
  checkInvariants();
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::onAnswer(target_state& aTarget, const exchange_response& aAnswer,
                                          time_point aNow)
{
  const timing_options& timing = mOptions.mTiming;
  aTarget.mInFlight = 0;
  aTarget.mMissed = 0;
  const bool restarted =
    !aTarget.mIncarnation.empty() && aTarget.mIncarnation != aAnswer.mTargetIncarnation;
  if (restarted) {
    onRestart(aTarget);
  }
  const bool newEpoch = aTarget.mOwned && (!aAnswer.mGranted || aAnswer.mEpoch != aTarget.mEpoch);
  const bool changed = newEpoch || aTarget.mTableVersion != aAnswer.mTableVersion ||
                       !aAnswer.mOrderResults.empty() || !aTarget.mSentAcks.empty();
  aTarget.mIncarnation = aAnswer.mTargetIncarnation;
  aTarget.mClock.read(aAnswer.mClock, aTarget.mSentAt, aNow);
  aTarget.mOwned = aAnswer.mGranted;
  aTarget.mWasOwned = aTarget.mOwned || (aTarget.mWasOwned && !aTarget.mReleasing);
  aTarget.mOwner = aAnswer.mOwner;
  aTarget.mEpoch = aAnswer.mEpoch;
  aTarget.mOwnerUntil = aAnswer.mOwnerUntil;
  aTarget.mReportsLeaving = aAnswer.mLeaving;

  applyResults(aTarget, aAnswer, aNow);
  if (aAnswer.mTable) {
    aTarget.mTable.clear();
    for (const running_task& entry : *aAnswer.mTable) {
      aTarget.mTable.emplace(entry.mTask.mKey, entry);
      aTarget.mLeaseMax = std::max(aTarget.mLeaseMax, entry.mLeaseUntil);
    }
    aTarget.mTableVersion = aAnswer.mTableVersion;
    aTarget.mTableKnown = true;
    adoptTable(aTarget, aNow);
  }
  applyFinished(aTarget, aAnswer, aNow);
  if (aTarget.mTableKnown) {
    settleOrders(aTarget, aAnswer, newEpoch);
    if (aAnswer.mTable) {
      dropMissing(aTarget);
    }
    aTarget.mReadSentAt = aTarget.mSentAt;
    aTarget.mReadSettled = aTarget.mSentSettled;
  }
  updateAccount(aTarget, aAnswer);

  const bool ending =
    std::any_of(aTarget.mHeld.begin(), aTarget.mHeld.end(),
                [this](const task_key& aKey) { return mAttempts.find(aKey)->mEnding; });
  if (ending) {
    // Other tasks wait for the capacity of the tasks that were ordered to end.
    aTarget.mInterval = timing.mExchangeInterval / 10;
  } else if (changed || mQueue.size() > 0) {
    aTarget.mInterval = timing.mExchangeInterval;
  } else {
    aTarget.mInterval = std::min(std::max(2 * aTarget.mInterval, timing.mExchangeInterval),
                                 4 * timing.mExchangeInterval);
  }
  const target_intent intent = decide(aTarget);
  if (intent == target_intent::read) {
    aTarget.mNextExchange = aNow + 2 * timing.mExchangeInterval;
  } else if ((intent == target_intent::own && !aTarget.mOwned && !aTarget.mAcquiring) ||
             (aTarget.mOwned && !aTarget.mTableKnown)) {
    aTarget.mNextExchange = aNow;
  } else if (aTarget.mOwned && intent == target_intent::own) {
    aTarget.mNextExchange = aNow + aTarget.mInterval;
  } else {
    aTarget.mNextExchange = aNow + timing.mExchangeInterval;
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::onRestart(target_state& aTarget)
{
  for (const task_key& key : std::set(aTarget.mHeld)) {
    held_attempt& attempt = *mAttempts.find(key);
    const auto order = aTarget.mOrders.find(attempt.mStartOrder);
    if (order != aTarget.mOrders.end() && !order->second.mSent) {
      requeue(attempt);
    } else {
      setLost(attempt);
    }
  }
  for (const task_key& key : aTarget.mEnded) {
    mAttempts.find(key)->mFinishedId = 0;
  }
  aTarget.mEnded.clear();
  aTarget.mTable.clear();
  aTarget.mTableKnown = false;
  aTarget.mTableVersion = 0;
  aTarget.mForeign = 0;
  aTarget.mOwnEntries = 0;
  aTarget.mOrders.clear();
  aTarget.mUnsentOrders = false;
  aTarget.mAcks.clear();
  aTarget.mSentAcks.clear();
  aTarget.mLeaseMax = target_time(0);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::applyResults(target_state& aTarget,
                                              const exchange_response& aAnswer, time_point aNow)
{
  for (const target_order_result& result : aAnswer.mOrderResults) {
    const auto order = aTarget.mOrders.find(result.mOrderId);
    if (order == aTarget.mOrders.end()) {
      continue;
    }
    const bool isStart = order->second.mOrder.mAction == order_action::start;
    held_attempt* held = mAttempts.find(order->second.mOrder.mTask.mKey);
    if (held == nullptr) {
      aTarget.mOrders.erase(order);
    } else if (isStart && held->mStartOrder == result.mOrderId) {
      applyStartResult(aTarget, *held, result.mCode, aNow);
    } else {
      if (held->mEndOrder == result.mOrderId) {
        held->mEndOrder = 0;
      }
      aTarget.mOrders.erase(result.mOrderId);
    }
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::applyStartResult(target_state& aTarget, held_attempt& aAttempt,
                                                  order_result_code aCode, time_point aNow)
{
  switch (aCode) {
    case order_result_code::done:
    case order_result_code::duplicate: {
      // Counts as pending until the account is updated from the table of the same answer.
      setRunning(aAttempt, aTarget, true, aNow);
      break;
    }
    case order_result_code::failed_to_start:
      detach(aAttempt);
      recordHealth(aTarget, true, aNow);
      aAttempt.mState = placed_state::ended;
      aAttempt.mOutcome = attempt_outcome::failed;
      aAttempt.mExitCode = -1;
      mAttempts.markChanged(aAttempt);
      break;
    case order_result_code::leaving:
      aTarget.mReportsLeaving = true;
      requeue(aAttempt);
      break;
    case order_result_code::no_capacity:
    case order_result_code::key_conflict:
      // The account and the target disagree; the next answer contains the table.
      aTarget.mBackoffUntil = aNow + mOptions.mTiming.mExchangeInterval / 2;
      requeue(aAttempt);
      break;
    case order_result_code::expired:
    case order_result_code::not_owner:
    case order_result_code::no_such_task:
      requeue(aAttempt);
      break;
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::adoptTable(target_state& aTarget, time_point aNow)
{
  aTarget.mForeign = 0;
  aTarget.mOwnEntries = 0;
  for (const auto& [key, entry] : aTarget.mTable) {
    ++(isSelf(entry.mTask.mPlacer) ? aTarget.mOwnEntries : aTarget.mForeign);
    adoptEntry(aTarget, entry, aNow);
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::adoptEntry(target_state& aTarget, const running_task& aEntry,
                                            time_point aNow)
{
  const task_attempt& task = aEntry.mTask;
  const bool own = isSelf(task.mPlacer);
  held_attempt* held = mAttempts.find(task.mKey);
  if (held != nullptr && held->mState == placed_state::queued) {
    // The task is already running, so it must not be started again.
    mQueue.erase(*held);
    held->mState = placed_state::returned;
    if (held->mTask.mAttempt != task.mAttempt) {
      if (own && held->mTask.mAttempt > task.mAttempt) {
        mDeferred[task.mKey] = *held;
      }
      erase(*held);
      held = nullptr;
    }
  }
  if (held == nullptr) {
    if (own) {
      held_attempt& attempt = mAttempts.add(task);
      attempt.mQueuedAt = aNow;
      setRunning(attempt, aTarget, true, aNow);
    }
    return;
  }
  if (held->mTask.mAttempt != task.mAttempt) {
    if (held->final() && held->mTask.mAttempt < task.mAttempt && own) {
      erase(*held);
      setRunning(mAttempts.add(task), aTarget, true, aNow);
    }
    return;
  }
  if (held->onTarget() && held->mTarget != aTarget.mInfo.mTarget) {
    if (held->mState == placed_state::running) {
      log(log_level::error, "task {}/{} is in the tables of both target {} and target {}",
          task.mKey.mRequest, task.mKey.mIndex, held->mTarget, aTarget.mInfo.mTarget);
      return;
    }
    detach(*held);
  }
  if (held->mState == placed_state::ended && held->mFinishedId != 0) {
    return;
  }
  setRunning(*held, aTarget, own, aNow);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::applyFinished(target_state& aTarget,
                                               const exchange_response& aAnswer, time_point aNow)
{
  std::set<std::uint64_t> listed;
  for (const finished_attempt& finished : aAnswer.mFinished) {
    listed.insert(finished.mFinishedId);
    if (aTarget.mAcks.contains(finished.mFinishedId)) {
      continue;
    }
    const task_attempt& task = finished.mTask;
    const bool own = isSelf(task.mPlacer);
    held_attempt* held = mAttempts.find(task.mKey);
    if (held != nullptr && held->mTask.mAttempt > task.mAttempt) {
      // The coordinator has made a later attempt, so it already knows of this end.
      if (own) {
        aTarget.mAcks.insert(finished.mFinishedId);
      }
      continue;
    }
    if (held != nullptr && held->mTask.mAttempt < task.mAttempt) {
      if (held->onTarget() || !own) {
        continue;
      }
      erase(*held);
      held = nullptr;
    }
    if (held == nullptr) {
      if (!own) {
        continue;
      }
      held = &mAttempts.add(task);
    } else if (held->mState == placed_state::ended && held->mFinishedId != 0) {
      continue;
    } else if (held->mState == placed_state::queued) {
      mQueue.erase(*held);
    }
    if (held->onTarget()) {
      detach(*held);
    }
    dropHold(task.mKey);
    held->mState = placed_state::ended;
    held->mTarget = aTarget.mInfo.mTarget;
    held->mOutcome = finished.mOutcome;
    held->mExitCode = finished.mExitCode;
    held->mOutput = finished.mOutput;
    held->mCheckpoint = finished.mCheckpoint;
    held->mFinishedId = finished.mFinishedId;
    aTarget.mEnded.insert(task.mKey);
    mAttempts.markChanged(*held);
    if (own) {
      recordHealth(aTarget,
                   finished.mOutcome == attempt_outcome::failed &&
                     finished.mRanFor < std::chrono::seconds(1),
                   aNow);
    }
  }
  for (const std::uint64_t id : aTarget.mSentAcks) {
    if (!listed.contains(id)) {
      aTarget.mAcks.erase(id);
    }
  }
  aTarget.mSentAcks.clear();
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::settleOrders(target_state& aTarget,
                                              const exchange_response& aAnswer, bool aEpochEnded)
{
  std::vector<std::pair<std::uint64_t, task_key>> orders;
  orders.reserve(aTarget.mOrders.size());
  for (const auto& [id, order] : aTarget.mOrders) {
    orders.emplace_back(id, order.mOrder.mTask.mKey);
  }
  for (const auto& [id, key] : orders) {
    held_attempt* held = mAttempts.find(key);
    const auto order = aTarget.mOrders.find(id);
    if (order == aTarget.mOrders.end()) {
      continue;
    }
    if (held == nullptr || (held->mStartOrder != id && held->mEndOrder != id)) {
      aTarget.mOrders.erase(order);
    } else if (held->mStartOrder == id) {
      // In neither the table nor the list of finished attempts, so the order has not been executed;
      // it never will be if its epoch has ended or its start_by has passed.
      const bool neverExecuted = order->second.mSent
                                   ? aEpochEnded || aAnswer.mClock > order->second.mOrder.mStartBy
                                   : !aAnswer.mGranted;
      if (neverExecuted) {
        requeue(*held);
      }
    } else if (!aAnswer.mGranted) {
      held->mEndOrder = 0;
      held->mEnding = false;
      aTarget.mOrders.erase(order);
    }
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::dropMissing(target_state& aTarget)
{
  for (const task_key& key : std::set(aTarget.mHeld)) {
    held_attempt& attempt = *mAttempts.find(key);
    if (attempt.mState != placed_state::running) {
      continue;
    }
    if (!aTarget.mTable.contains(key)) {
      setLost(attempt);
    } else if (attempt.mRecalled && attempt.mEndOrder == 0) {
      orderEnd(attempt, order_action::stop);
    }
  }
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::recordHealth(target_state& aTarget, bool aFailed, time_point aNow)
{
  if (!aFailed) {
    aTarget.mHealth.succeeded(aNow);
    return;
  }
  if (!aTarget.mHealth.failed(aNow)) {
    return;
  }
  // Largest percentage of a zone's targets that may be ejected. Each placer applies it to the
  // targets that it owns, so that the placers of a zone together also stay below it.
  constexpr std::size_t kMaxEjectedPercent = 30;
  std::size_t owned = 0;
  std::size_t ejected = 0;
  for (const target_state* target : mOrder) {
    if (target->mOwned && target->mInfo.mZone == aTarget.mInfo.mZone) {
      ++owned;
      ejected += target != &aTarget && target->mHealth.ejected() ? 1 : 0;
    }
  }
  if ((ejected + 1) * 100 > owned * kMaxEjectedPercent) {
    return;
  }
  aTarget.mHealth.eject(aNow, std::uniform_real_distribution<double>(0.0, 1.0)(mRandom));
  log(log_level::warning, "ejected target {} after repeated failures", aTarget.mInfo.mTarget);
}

template<guard_policy Guards>
void basic_placer<Guards>::impl::updateAccount(target_state& aTarget,
                                               const exchange_response& aAnswer)
{
  resources table;
  for (const auto& [key, entry] : aTarget.mTable) {
    table += entry.mTask.mSize;
  }
  for (const task_key& key : aTarget.mHeld) {
    const held_attempt& attempt = *mAttempts.find(key);
    if (attempt.mState == placed_state::running && !aTarget.mTable.contains(key)) {
      // This answer confirmed the start but contained no table; version 0 requests the table.
      table += attempt.mTask.mSize;
      aTarget.mTableVersion = 0;
    }
  }
  aTarget.mAccount.setReported(aAnswer.mCapacity, aAnswer.mMeasured, table);
  resources total;
  for (const target_state* target : mOrder) {
    if (target->mOwned && !target->leaving()) {
      total += target->mAccount.capacity();
    }
  }
  if (total != mOwnTotal) {
    mOwnTotal = total;
    rescoreAll();
  }
  onCapacityFreed();
}

} // namespace endiveusher
