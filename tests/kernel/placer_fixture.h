#pragma once

#include "endiveusher/kernel/invariant.h"
#include "kernel/src/placer_definitions.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace endiveusher {

extern template class basic_placer<all_guards>;

using namespace std::chrono_literals;

/// In-memory target that follows section 4.1 of the design.
struct fake_target
{
  target_id mId;
  std::string mIncarnation = "i1";
  resources mCapacity{ .mSlots = 8, .mCpuMilli = 8000, .mMemoryMb = 8000 };
  /// If false, only the owner's accounting limits the starts.
  bool mChecksCapacity = true;
  bool mLeaving = false;
  bool mFailsStarts = false;
  /// Measured use beyond the declared sizes.
  resources mExtraUse;

  incarnation_id mOwner;
  std::uint64_t mEpoch = 0;
  target_time mOwnerUntil{ 0 };
  std::uint64_t mVersion = 1;
  std::map<task_key, running_task> mTable;
  std::vector<finished_attempt> mFinished;
  std::map<std::uint64_t, order_result_code> mAnswered;
  std::uint64_t mLastFinished = 0;
  /// Attempts started, in the order of their starts.
  std::vector<task_attempt> mStarted;

  resources used() const
  {
    resources sum;
    for (const auto& [key, entry] : mTable) {
      sum += entry.mTask.mSize;
    }
    return sum;
  }
  void finish(const task_key& aKey, attempt_outcome aOutcome, std::chrono::milliseconds aRan = 5s)
  {
    const auto node = mTable.extract(aKey);
    if (!node.empty()) {
      ++mVersion;
      mFinished.push_back({ .mFinishedId = ++mLastFinished,
                            .mTask = node.mapped().mTask,
                            .mOutcome = aOutcome,
                            .mRanFor = aRan });
    }
  }
  void restart()
  {
    mIncarnation += "x";
    mOwner.clear();
    mEpoch = 0;
    mTable.clear();
    mFinished.clear();
    mAnswered.clear();
    mVersion = 1;
  }
  void advance(target_time aClock)
  {
    for (const auto& [key, entry] : std::map(mTable)) {
      if (aClock > entry.mLeaseUntil) {
        finish(key, attempt_outcome::lease_expired);
      }
    }
  }
  order_result_code execute(const target_order& aOrder, bool aOwner, target_time aClock)
  {
    const task_attempt& task = aOrder.mTask;
    const auto present = mTable.find(task.mKey);
    if (!aOwner) {
      return order_result_code::not_owner;
    }
    if (aOrder.mAction != order_action::start) {
      if (present == mTable.end()) {
        return order_result_code::no_such_task;
      }
      finish(task.mKey, aOrder.mAction == order_action::stop ? attempt_outcome::stopped
                                                             : attempt_outcome::checkpointed);
      return order_result_code::done;
    }
    if (aClock > aOrder.mStartBy) {
      return order_result_code::expired;
    }
    if (present != mTable.end()) {
      return present->second.mTask.mAttempt == task.mAttempt ? order_result_code::duplicate
                                                             : order_result_code::key_conflict;
    }
    if (mFailsStarts) {
      return order_result_code::failed_to_start;
    }
    if (mLeaving) {
      return order_result_code::leaving;
    }
    if (mChecksCapacity && !(used() + task.mSize).fitsIn(mCapacity)) {
      return order_result_code::no_capacity;
    }
    ++mVersion;
    mTable[task.mKey] = { .mTask = task, .mLeaseUntil = aClock + 20s };
    mStarted.push_back(task);
    return order_result_code::done;
  }
  exchange_response exchange(const exchange_request& aRequest, target_time aClock)
  {
    advance(aClock);
    if (mOwnerUntil <= aClock) {
      mOwner.clear();
    }
    if (aRequest.mAcquire && aRequest.mOwnershipLease.count() > 0) {
      if (mOwner.empty()) {
        mOwner = aRequest.mDaemon;
        ++mEpoch;
      }
      if (mOwner == aRequest.mDaemon) {
        mOwnerUntil = aClock + aRequest.mOwnershipLease;
      }
    }
    const bool owner = mOwner == aRequest.mDaemon;
    if (owner) {
      std::erase_if(mFinished, [&](const auto& aEntry) {
        const auto& acks = aRequest.mAcknowledgedFinished;
        return std::find(acks.begin(), acks.end(), aEntry.mFinishedId) != acks.end();
      });
      for (auto& [key, entry] : mTable) {
        entry.mLeaseUntil = std::max(entry.mLeaseUntil, aRequest.mTaskLeaseUntil);
      }
    }
    exchange_response answer{ .mTarget = mId,
                              .mTargetIncarnation = mIncarnation,
                              .mClock = aClock };
    // Without the epoch guard, orders contain no epoch; then only the owner is checked.
    const bool current = owner && (aRequest.mEpoch == 0 || aRequest.mEpoch == mEpoch);
    for (const target_order& order : aRequest.mOrders) {
      const auto known = mAnswered.find(order.mOrderId);
      const order_result_code code =
        known != mAnswered.end() ? known->second : execute(order, current, aClock);
      mAnswered[order.mOrderId] = code;
      answer.mOrderResults.push_back({ .mOrderId = order.mOrderId, .mCode = code });
    }
    if (owner && aRequest.mAcquire && aRequest.mOwnershipLease.count() == 0) {
      mOwner.clear();
    }
    answer.mGranted = mOwner == aRequest.mDaemon;
    answer.mOwner = mOwner;
    answer.mEpoch = mEpoch;
    answer.mOwnerUntil = mOwnerUntil;
    answer.mLeaving = mLeaving;
    answer.mCapacity = mCapacity;
    answer.mMeasured = used() + mExtraUse;
    answer.mTableVersion = mVersion;
    answer.mFinished = mFinished;
    if (aRequest.mKnownTableVersion != mVersion || aRequest.mTargetIncarnation != mIncarnation) {
      answer.mTable.emplace();
      for (const auto& [key, entry] : mTable) {
        answer.mTable->push_back(entry);
      }
    }
    return answer;
  }
};

enum class delivery
{
  normal,
  lose_request,
  lose_answer,
  delay, ///< The request arrives after the exchange has timed out at the placer.
};

/// One placer with fake targets, run in steps of 10 ms. Exchanges take no time.
template<guard_policy Guards = all_guards>
struct placer_harness
{
  explicit placer_harness(std::size_t aTargets, placer_options aOptions = {})
    : mPlacer(std::move(aOptions))
  {
    mView.mSelf = "d1";
    mView.mZone = "z";
    mView.mLive = { "d1" };
    mView.mTeams["team"] = {};
    for (std::size_t i = 0; i < aTargets; ++i) {
      const target_id id = "t" + std::to_string(i);
      mTargets[id].mId = id;
      mView.mTargets.push_back(
        { .mTarget = id, .mZone = "z", .mAddress = id, .mPreferredOwner = "d1" });
    }
    stayFresh();
  }
  void stayFresh()
  {
    mView.mFreshUntil = mNow + 1h;
    mView.mRenewUntil = mNow + 1h;
    mPlacer.setView(mView, mNow);
  }
  void setView() { mPlacer.setView(mView, mNow); }
  target_time clockOf() const
  {
    return std::chrono::duration_cast<target_time>(mNow.time_since_epoch());
  }
  void step()
  {
    mNow += 10ms;
    std::erase_if(mTimeouts, [&](const auto& aTimeout) {
      if (mNow < aTimeout.first) {
        return false;
      }
      mPlacer.handle(aTimeout.second, mNow);
      return true;
    });
    for (auto& [id, target] : mTargets) {
      target.advance(clockOf());
    }
    std::erase_if(mDelayed, [&](const auto& aDelayed) {
      if (mNow < aDelayed.first) {
        return false;
      }
      const exchange_effect& sent = aDelayed.second;
      fake_target& target = mTargets.at(sent.mRequest.mTarget);
      mPlacer.handle(exchange_event{ .mTarget = target.mId,
                                     .mExchangeId = sent.mExchangeId,
                                     .mResponse = target.exchange(sent.mRequest, clockOf()) },
                     mNow);
      return true;
    });
    mPlacer.tick(mNow);
    for (const exchange_effect& sent : mPlacer.takeExchanges()) {
      mSent.push_back(sent);
      fake_target& target = mTargets.at(sent.mRequest.mTarget);
      const delivery how = mDelivery ? mDelivery(sent) : delivery::normal;
      exchange_event event{ .mTarget = target.mId, .mExchangeId = sent.mExchangeId };
      if (how == delivery::normal) {
        event.mResponse = target.exchange(sent.mRequest, clockOf());
        mPlacer.handle(event, mNow);
        continue;
      }
      if (how == delivery::delay) {
        mDelayed.emplace_back(mNow + 900ms, sent);
      }
      if (how == delivery::lose_answer) {
        target.exchange(sent.mRequest, clockOf());
      }
      mTimeouts.emplace_back(mNow + 800ms, event);
    }
    std::set<task_key> keys;
    for (auto& [id, target] : mTargets) {
      mOvercommitted = mOvercommitted || !target.used().fitsIn(target.mCapacity);
      for (const auto& [key, entry] : target.mTable) {
        mDoubled = !keys.insert(key).second || mDoubled;
      }
    }
  }
  void run(duration aSpan)
  {
    for (const time_point end = mNow + aSpan; mNow < end;) {
      step();
    }
  }
  task_attempt task(std::uint32_t aIndex, resources aSize = { .mSlots = 1, .mCpuMilli = 1000 })
  {
    return { .mKey = { "job", aIndex }, .mTeam = "team", .mSize = aSize, .mCoordinator = "home" };
  }
  void enqueue(const task_attempt& aTask, duration aWithin = 0s)
  {
    mPlacer.enqueue(aTask, aWithin, mNow);
  }
  void enqueueMany(std::uint32_t aCount, resources aSize = { .mSlots = 1, .mCpuMilli = 1000 })
  {
    for (std::uint32_t i = 0; i < aCount; ++i) {
      enqueue(task(i, aSize));
    }
  }
  placed_task placed(std::uint32_t aIndex, const request_id& aRequest = "job")
  {
    for (const placed_task& entry : mPlacer.reportFor("home").mTasks) {
      if (entry.mKey == task_key{ aRequest, aIndex }) {
        return entry;
      }
    }
    return { .mAttempt = 0 };
  }
  std::size_t count(placed_state aState)
  {
    const task_report report = mPlacer.reportFor("home");
    return static_cast<std::size_t>(
      std::count_if(report.mTasks.begin(), report.mTasks.end(),
                    [&](const auto& aEntry) { return aEntry.mState == aState; }));
  }
  std::size_t running() const
  {
    std::size_t sum = 0;
    for (const auto& [id, target] : mTargets) {
      sum += target.mTable.size();
    }
    return sum;
  }
  fake_target& target(std::size_t aIndex = 0) { return mTargets.at("t" + std::to_string(aIndex)); }

  time_point mNow{ 1000s };
  cell_view mView;
  basic_placer<Guards> mPlacer;
  std::map<target_id, fake_target> mTargets;
  std::function<delivery(const exchange_effect&)> mDelivery;
  std::vector<std::pair<time_point, exchange_event>> mTimeouts;
  std::vector<exchange_effect> mSent;
  std::vector<std::pair<time_point, exchange_effect>> mDelayed;
  /// A target has run tasks beyond its capacity.
  bool mOvercommitted = false;
  /// A task has run on two targets at the same time.
  bool mDoubled = false;
};

/// Counts broken invariants instead of aborting, for the lifetime of the object.
class invariant_counter
{
public:
  invariant_counter()
  {
    sCount = 0;
    mOld = internal::setInvariantHandler([](std::string_view) { ++sCount; });
  }
  ~invariant_counter() { internal::setInvariantHandler(mOld); }
  invariant_counter(const invariant_counter&) = delete;
  invariant_counter& operator=(const invariant_counter&) = delete;
  int count() const { return sCount; }

private:
  static inline int sCount = 0;
  internal::invariant_handler mOld;
};

} // namespace endiveusher
