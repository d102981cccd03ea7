#pragma once

// Standard library headers come first, because CppUTest's header defines `new` as a macro.
#include "capacity_history.h"
#include "endiveusher/scheduler/owner.h"
#include "fake_services.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher::scheduler::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A cell with one owner. Calls are answered after one step of the simulated time.
class owner_fixture : private owner_port
{
public:
  owner_fixture()
  {
    mConfig.mRoutes.push_back({ .mName = "batch",
                                .mHost = "h",
                                .mPathPrefix = "/b/",
                                .mPool = "pool",
                                .mPriority = 2,
                                .mMaxAttempts = 2,
                                .mStretch = 2.0,
                                .mObjective = seconds(1) });
    mConfig.mRoutes.push_back({ .mName = "urgent",
                                .mHost = "h",
                                .mPathPrefix = "/u/",
                                .mPool = "pool",
                                .mMaxAttempts = 2,
                                .mStretch = 1.5,
                                .mObjective = milliseconds(200) });
    mConfig.mTeams.push_back({ .mName = "red" });
    mConfig.mTeams.push_back({ .mName = "blue" });
  }

  fake_target& addTarget(const std::string& aId, std::int64_t aCpu = 8000,
                         std::int64_t aMemory = 8000, const std::string& aZone = "a")
  {
    auto& target = mTargets[aId];
    target.mEntry = { .mId = aId,
                      .mAddress = "10.0.0.1:1",
                      .mPool = "pool",
                      .mZone = aZone,
                      .mRack = "r1",
                      .mVm = "vm-" + aId,
                      .mLabels = { "k", "r1" },
                      .mCapacity = { .mCpuMilli = aCpu, .mMemoryMb = aMemory },
                      .mIncarnationStart = 1 };
    if (mOwner) {
      mOwner->setTarget(target.mEntry, mNow);
    }
    return target;
  }

  /// Has the target report that it drains.
  void drainTarget(const std::string& aId)
  {
    auto& entry = mTargets.at(aId).mEntry;
    entry.mDraining = true;
    mOwner->setTarget(entry, mNow);
  }
  /// Ends the target's process: its runs are over, and the gangs of these break.
  void leaveTarget(const std::string& aId)
  {
    auto& target = mTargets.at(aId);
    const auto lost = std::exchange(target.mRunning, {});
    target.mReachable = false;
    breakGangsOf(lost);
  }
  /// The registry removes the target's entry.
  void unlistTarget(const std::string& aId)
  {
    mTargets.at(aId).mListed = false;
    mOwner->removeTarget(aId, mNow);
    mOwner->onEntryRemoved(aId, mNow);
  }
  /// Runs until the entry of a target that does not reach the registry lapses, and removes it.
  void lapseTarget(const std::string& aId)
  {
    while (mNow < mTargets.at(aId).mWrittenAt + kEntryLapse) {
      run(milliseconds(5));
    }
    unlistTarget(aId);
  }

  /// Restarts the VM of a target, which comes back as the new target aNew.
  void restartVm(const std::string& aOld, const std::string& aNew)
  {
    auto& old = mTargets.at(aOld);
    old.mRunning.clear();
    old.mReachable = false;
    old.mListed = false;
    auto& restarted = mTargets[aNew];
    restarted.mEntry = old.mEntry;
    restarted.mEntry.mId = aNew;
    ++restarted.mEntry.mIncarnationStart;
    mOwner->removeTarget(aOld, mNow);
    mOwner->setTarget(restarted.mEntry, mNow);
  }

  /// Starts a new incarnation of the target: its runs are lost, and the gangs of these break.
  void restartTarget(const std::string& aId)
  {
    auto& target = mTargets.at(aId);
    const auto lost = std::exchange(target.mRunning, {});
    restartUnlisted(aId);
    breakGangsOf(lost);
    mOwner->setTarget(target.mEntry, mNow);
  }

  /// Starts a new incarnation of the target under its id; the registry does not list it yet.
  fake_target& restartUnlisted(const std::string& aId)
  {
    auto& target = mTargets.at(aId);
    target = { .mEntry = target.mEntry };
    ++target.mEntry.mIncarnationStart;
    return target;
  }

  /// Changes the capacity that the target states; the owner reads it after aDelay.
  void setCapacity(const std::string& aId, const resources& aCapacity,
                   milliseconds aDelay = milliseconds(0))
  {
    auto& target = mTargets.at(aId);
    target.mEntryReadAt = std::min<time_point>(target.mEntryReadAt, mNow + aDelay);
    target.mFormerCapacities.add(target.mEntry.mCapacity, target.mEntryReadAt);
    target.mEntry.mCapacity = aCapacity;
    readChangedEntries();
  }

  /// Loses a target and all its runs; it comes back as a new incarnation after mRestartDelay.
  void crashTarget(const std::string& aId)
  {
    auto& target = mTargets.at(aId);
    const auto lost = std::exchange(target.mRunning, {});
    target.mReachable = false;
    mRestarts[aId] = mNow + mRestartDelay;
    breakGangsOf(lost);
  }

  /// Replaces the owner by one of the next epoch, as after the loss of the former owner.
  void startNextOwner()
  {
    mEpoch = ++mNewestRecord;
    mOwner.reset();
    mPending.clear();
    mUnstored.clear();
    mJobTable.clear();
    // A follower has read each record soon after it was stored.
    mStoredAt.resize(mJournal.size(), mNow);
    for (std::size_t at = 0; at < mJournal.size(); ++at) {
      mJobTable.apply(mJournal[at], mStoredAt[at]);
    }
    mOptions.mEpochs[mEpoch] = mNow;
    mConfig.index();
    mOwner =
      std::make_unique<owner>(mJobTable, static_cast<owner_port&>(*this), mOptions, mEpoch, mNow);
    mOwner->configure(std::make_shared<cell_config>(mConfig));
    mJobTable.forEach([this](job& aJob) { mOwner->onRecordApplied(aJob, mNow, wall()); });
    for (const auto& [id, target] : mTargets) {
      if (target.mListed) {
        mOwner->setTarget(target.mEntry, mNow);
      }
    }
  }

  job_id submit(step_spec aStep, const std::string& aTeam = "red")
  {
    return submit(std::vector<step_spec>{ std::move(aStep) }, aTeam);
  }
  job_id submitUrgent(step_spec aStep)
  {
    return submit(std::vector<step_spec>{ std::move(aStep) }, "blue", "urgent");
  }
  job_id submit(std::vector<step_spec> aSteps, const std::string& aTeam = "red",
                const std::string& aRoute = "batch")
  {
    job_spec spec{ .mId = static_cast<job_id>(++mLastJob),
                   .mRoute = aRoute,
                   .mTeam = aTeam,
                   .mPayload = "p",
                   .mSteps = std::move(aSteps),
                   .mSubmitted = wall(),
                   .mAcceptedBy = termsOfRoute(aRoute) };
    storeFromOtherDaemon(job_submitted{ .mSpec = std::move(spec) });
    return static_cast<job_id>(mLastJob);
  }
  /// Submits a job of the route batch whose first occurrence is due now.
  job_id submitRecurring(step_spec aStep, std::chrono::milliseconds aInterval,
                         std::uint32_t aRepeat)
  {
    job_spec spec{ .mId = static_cast<job_id>(++mLastJob),
                   .mRoute = "batch",
                   .mTeam = "red",
                   .mPayload = "p",
                   .mSteps = { std::move(aStep) },
                   .mFirstDue = wall(),
                   .mInterval = aInterval,
                   .mRepeat = aRepeat,
                   .mSubmitted = wall(),
                   .mAcceptedBy = termsOfRoute("batch") };
    storeFromOtherDaemon(job_submitted{ .mSpec = std::move(spec) });
    return static_cast<job_id>(mLastJob);
  }
  /// Starts the first owner, submits a job and gives the owner time to start it.
  job_id startOwnerAndJob(step_spec aStep)
  {
    startNextOwner();
    const auto id = submit(std::move(aStep));
    run(milliseconds(300));
    return id;
  }
  void cancel(job_id aJob) { storeFromOtherDaemon(job_cancelled{ .mJob = aJob }); }

  /// Advances the simulated time in steps; calls are answered at each step.
  void run(milliseconds aTime, milliseconds aStep = milliseconds(5))
  {
    for (auto left = aTime; left.count() > 0; left -= aStep) {
      mNow += aStep;
      for (auto& [id, target] : mTargets) {
        target.mClock += aStep;
      }
      readChangedEntries();
      writeEntries();
      readWrites();
      crashDueTargets();
      restartCrashedTargets();
      endDueTasks();
      endStoppedRuns();
      endLeases();
      renewOwnership();
      deliverReplies();
      // As cell_node does, from the latency of its own calls.
      mOwner->setStoreResponsive(!mStoreDown && mStoreDelay <= milliseconds(500));
      if (!mPaused) {
        mOwner->tick(mNow, wall());
      }
    }
  }

  /// Has the targets execute the orders that they have delayed. Nobody waits for their answers.
  void deliverLateOrders()
  {
    for (const auto& order : std::exchange(mLateStarts, {})) {
      execute(order);
    }
    for (const auto& order : std::exchange(mLateHeartbeats, {})) {
      receive(order);
    }
  }

  fake_target& target(const std::string& aId) { return mTargets.at(aId); }
  const std::map<std::string, fake_target>& targets() const { return mTargets; }
  std::vector<job_id> submitted() const
  {
    std::vector<job_id> ids;
    for (std::uint64_t id = 1; id <= mLastJob; ++id) {
      ids.push_back(static_cast<job_id>(id));
    }
    return ids;
  }
  const job& find(job_id aJob) const { return *mJobTable.find(aJob); }
  std::size_t running() const
  {
    std::size_t count = 0;
    for (const auto& [id, target] : mTargets) {
      count += target.mRunning.size();
    }
    return count;
  }
  /// Returns the id of the target that runs the task; empty if there is none.
  std::string targetRunning(job_id aJob, std::uint32_t aStep = 0, std::uint32_t aIndex = 0) const
  {
    const task_key key{ .mStep = { .mJob = aJob, .mStep = aStep }, .mIndex = aIndex };
    for (const auto& [id, target] : mTargets) {
      if (target.mRunning.contains(key)) {
        return id;
      }
    }
    return {};
  }
  void endTask(job_id aJob, reported_end aOutcome, std::uint32_t aStep = 0,
               std::uint32_t aIndex = 0)
  {
    target(targetRunning(aJob, aStep, aIndex))
      .end({ .mStep = { .mJob = aJob, .mStep = aStep }, .mIndex = aIndex }, aOutcome);
  }
  wall_time wall() const
  {
    return std::chrono::duration_cast<wall_time>(mNow.time_since_epoch()) + mWallOffset;
  }

  cell_config mConfig;
  owner_options mOptions;
  std::unique_ptr<owner> mOwner;
  job_table mJobTable;
  std::vector<journal_record> mJournal;
  /// Time at which each record of mJournal was stored.
  std::vector<time_point> mStoredAt;
  time_point mNow{ seconds(100) };
  std::vector<std::string> mEvents;
  /// The same with their details.
  std::vector<std::string> mLog;
  std::vector<advice_request> mAdvice;
  /// Targets on which any step may run, returned by advice calls.
  std::vector<std::string> mGoodTargets;
  /// If set, decides about advice calls instead of mGoodTargets.
  std::optional<fake_advice_service> mAdviceService;
  /// Whether tasks end as done after their estimate, except long-running ones.
  bool mTasksEnd = false;
  /// Relative error of the estimates, by which mTasksEnd's ends are earlier or later: up to this.
  double mEstimateError = 0;
  bool mStoreDown = false;
  /// Whether the owner's renewals are stored.
  bool mRenews = true;
  /// Whether the store answers reads of the registry, and when the last one was sent.
  bool mReadsRegistry = true;
  time_point mRegistryReadAt{};
  /// Whether the owner is not ticked, as long as its last accepted renewal is too old.
  bool mPaused = false;
  /// Duration of one append; the store executes appends sequentially.
  milliseconds mStoreDelay{ 0 };
  /// Jobs whose tasks crash the targets that start them.
  std::set<job_id> mDeadlyJobs;
  /// Whether runs end with their lease.
  bool mLeasesEnd = false;
  /// Starts of tasks that were running at another target.
  std::vector<std::string> mConcurrentStarts;
  /// If set, these targets accept the start, and crash after this time.
  std::optional<milliseconds> mCrashDelay;
  std::map<task_key, deadly_task> mDeadlyTasks;
  /// Time after which crashed targets are back, and whether the registry tells so at once or only
  /// after kWriteInterval.
  milliseconds mRestartDelay{ 2000 };
  bool mRestartsAreListed = true;
  int mRenewals = 0;
  /// Number of heartbeats with a lease that each target was sent.
  std::map<std::string, int> mRenewalsOf;
  /// Difference of the daemons' wall clock from the true time.
  milliseconds mWallOffset{ 0 };
  /// Time after the owner has read a change of a target's capacity in which starts may still be
  /// executed that fit into the former one. One step of the simulated time, for orders that are on
  /// their way.
  static constexpr milliseconds kCapacityGrace{ 5 };
  /// Interval at which targets write their entries, and time without a write after which the
  /// registry removes an entry.
  static constexpr milliseconds kWriteInterval{ 1500 };
  static constexpr milliseconds kEntryLapse = 3 * kWriteInterval;
  /// Interval at which the owner renews its ownership.
  static constexpr milliseconds kRenewInterval{ 400 };
  /// Number of start orders whose ticket had expired when they were sent.
  int mStartsWithExpiredTickets = 0;
  /// Starts that brought their target over its capacity.
  std::vector<std::string> mStartsOverCapacity;
  /// Tasks that have ended as done, and those that were started after that.
  std::set<task_key> mDoneTasks;
  std::vector<std::string> mStartsAfterDone;

private:
  struct pending_call
  {
    std::optional<heartbeat_order> mHeartbeat;
    std::optional<start_order> mStart;
    std::optional<stop_order> mStop;
    std::optional<advice_request> mAdvice;
    time_point mSent;
    time_point mReplyAt{};
  };
  struct task_end
  {
    std::string mTarget;
    task_key mTask;
    std::uint32_t mRun = 0;
  };

  /// What a daemon that accepts a job stores of its route.
  std::optional<route_config> termsOfRoute(const std::string& aName) const
  {
    const auto found = std::ranges::find(mConfig.mRoutes, aName, &route_config::mName);
    return found == mConfig.mRoutes.end() ? std::nullopt : std::optional(jobTermsOf(*found));
  }

  void storeFromOtherDaemon(journal_record aRecord)
  {
    mJournal.push_back(aRecord);
    mStoredAt.resize(mJournal.size(), mNow);
    if (job* changed = mJobTable.apply(aRecord, mNow); changed != nullptr && mOwner) {
      mOwner->onRecordApplied(*changed, mNow, wall());
    }
  }

  void store(std::vector<journal_record> aRecords) override
  {
    if (mUnstored.empty()) {
      mAppendSince = mNow;
    }
    mUnstored.push_back(std::move(aRecords));
  }
  void onRecordStored(std::uint64_t /*aToken*/) override {}
  void sendHeartbeat(const heartbeat_order& aOrder) override
  {
    mRenewalsOf[aOrder.mTarget] += aOrder.mLeaseUntil ? 1 : 0;
    mPending.push_back({ .mHeartbeat = aOrder, .mSent = mNow });
  }
  void start(const start_order& aOrder) override
  {
    mStartsWithExpiredTickets += mAdviceService && !mAdviceService->valid(aOrder.mTicket, mNow);
    mPending.push_back({ .mStart = aOrder, .mSent = mNow });
  }
  void stop(const stop_order& aOrder) override
  {
    mPending.push_back({ .mStop = aOrder, .mSent = mNow });
  }
  void requestAdvice(const advice_request& aRequest) override
  {
    mAdvice.push_back(aRequest);
    mPending.push_back({ .mAdvice = aRequest, .mSent = mNow });
    if (mAdviceService) {
      mPending.back().mReplyAt =
        mAdviceService->enqueue(aRequest, termsOf(aRequest.mStep.mJob), mNow);
    }
  }
  void logDecision(std::string_view aEvent, std::string_view aDetail) override
  {
    mEvents.emplace_back(aEvent);
    mLog.push_back(std::string(aEvent) + " " + std::string(aDetail));
  }

  void readChangedEntries()
  {
    for (auto& [id, target] : mTargets) {
      if (target.mEntryReadAt <= mNow && target.mListed && mOwner) {
        target.mEntryReadAt = time_point::max();
        mOwner->setTarget(target.mEntry, mNow);
      }
    }
  }

  void writeEntries()
  {
    for (auto& [id, target] : mTargets) {
      if (target.mNextWrite <= mNow && target.mListed && target.mReachable &&
          target.mReachesStore && !mStoreDown) {
        target.mNextWrite = mNow + kWriteInterval;
        target.mWrittenAt = mNow;
        target.mHasUnreadWrite = true;
      }
    }
  }

  void readWrites()
  {
    if (!mReadsRegistry) {
      return;
    }
    const auto since = std::exchange(mRegistryReadAt, mNow);
    for (auto& [id, target] : mTargets) {
      if (std::exchange(target.mHasUnreadWrite, false) && target.mListed) {
        mOwner->onEntryWritten(id, since);
      }
    }
  }

  void checkCapacity(const fake_target& aTarget, const task_key& aStarted)
  {
    resources used;
    for (const auto& [task, run] : aTarget.mRunning) {
      used += mJobTable.find(task.mStep.mJob)->mSpec.mSteps[task.mStep.mStep].capacityNeeds();
    }
    if (!aTarget.mFormerCapacities.holds(used, aTarget.mEntry.mCapacity, mNow - kCapacityGrace)) {
      mStartsOverCapacity.push_back(toText(aStarted) + " on " + aTarget.mEntry.mId);
    }
  }

  void deliverReplies()
  {
    while (!mStoreDown && !mUnstored.empty() && mNow - mAppendSince >= mStoreDelay) {
      std::ranges::move(mUnstored.front(), std::back_inserter(mJournal));
      mStoredAt.resize(mJournal.size(), mNow);
      mUnstored.pop_front();
      mAppendSince = mNow;
      mOwner->onStored(mNow);
    }
    for (auto& call : std::exchange(mPending, {})) {
      if (call.mReplyAt > mNow || isHeldOpen(call)) {
        mPending.push_back(std::move(call));
      } else {
        answer(call);
      }
    }
  }

  bool isHeldOpen(const pending_call& aCall) const
  {
    return (aCall.mHeartbeat &&
            (mTargets.at(aCall.mHeartbeat->mTarget).mIsSilent ||
             mNow < mTargets.at(aCall.mHeartbeat->mTarget).mLosesHeartbeatsUntil)) ||
           (aCall.mStart && mTargets.at(aCall.mStart->mTarget).mIsSilent);
  }

  void breakGangsOf(const std::map<task_key, std::uint32_t>& aLost)
  {
    for (const auto& [task, run] : aLost) {
      if (mJobTable.find(task.mStep.mJob)->mSpec.mSteps[task.mStep.mStep].mGang) {
        breakGang(task.mStep);
      }
    }
  }

  void breakGang(const step_key& aStep)
  {
    for (auto& [id, target] : mTargets) {
      auto at = target.mRunning.lower_bound({ .mStep = aStep });
      while (at != target.mRunning.end() && at->first.mStep == aStep) {
        const auto task = (at++)->first;
        target.end(task, reported_end::gang_broken);
      }
    }
  }

  void endDueTasks()
  {
    while (!mTaskEnds.empty() && mTaskEnds.begin()->first <= mNow) {
      const auto due = std::move(mTaskEnds.extract(mTaskEnds.begin()).mapped());
      auto& target = mTargets.at(due.mTarget);
      const auto found = target.mRunning.find(due.mTask);
      if (found != target.mRunning.end() && found->second == due.mRun) {
        target.end(due.mTask, reported_end::done);
        mDoneTasks.insert(due.mTask);
      }
    }
  }

  void crashDueTargets()
  {
    while (!mCrashes.empty() && mCrashes.begin()->first <= mNow) {
      const auto id = std::move(mCrashes.extract(mCrashes.begin()).mapped());
      if (mTargets.at(id).mReachable) {
        crashTarget(id);
      }
    }
  }

  void restartCrashedTargets()
  {
    for (auto at = mRestarts.begin(); at != mRestarts.end();) {
      if (at->second > mNow) {
        ++at;
        continue;
      }
      auto& target = restartUnlisted(at->first);
      target.mEntryReadAt = mRestartsAreListed ? mNow : mNow + kWriteInterval;
      readChangedEntries();
      at = mRestarts.erase(at);
    }
  }

  void extendLease(fake_target& aTarget, target_time aUntil) const
  {
    aTarget.mLeaseUntil =
      std::max(aTarget.mLeaseUntil, std::min(aUntil, aTarget.mClock + mOptions.mMaxLease));
  }

  void endLeases()
  {
    for (auto& [id, target] : mTargets) {
      while (mLeasesEnd && target.mLeaseUntil <= target.mClock && !target.mRunning.empty()) {
        target.end(target.mRunning.begin()->first, reported_end::lease_expired);
      }
    }
  }

  void endStoppedRuns()
  {
    for (auto& [id, target] : mTargets) {
      for (auto at = target.mStopping.begin(); at != target.mStopping.end();) {
        if (at->second > mNow) {
          ++at;
          continue;
        }
        if (target.mRunning.contains(at->first)) {
          target.end(at->first, reported_end::stopped, "saved");
        }
        at = target.mStopping.erase(at);
      }
    }
  }

  const advice_terms& termsOf(job_id aJob) const
  {
    return *mConfig.route(mJobTable.find(aJob)->mSpec.mRoute)->mAdvice;
  }

  void replyToAdvice(const advice_request& aRequest, time_point aIssuedAt)
  {
    advice_reply reply{ .mCall = aRequest.mCall, .mOk = true };
    if (mAdviceService && (mAdviceService->mUnreachable.contains(aRequest.mDaemon) ||
                           mAdviceService->mTimedOut.contains(aRequest.mCall))) {
      reply.mOk = false;
      mOwner->onAdviceReply(reply, mNow);
      return;
    }
    const auto& route = mJobTable.find(aRequest.mStep.mJob)->mSpec.mRoute;
    for (const auto& id : aRequest.mTargets) {
      if (mAdviceService) {
        if (mAdviceService->good(route, aRequest.mStep, id)) {
          reply.mTickets.push_back(
            mAdviceService->issue(id, aIssuedAt + termsOf(aRequest.mStep.mJob).mTicketLifetime));
        }
      } else if (std::ranges::find(mGoodTargets, id) != mGoodTargets.end()) {
        reply.mTickets.push_back({ .mTarget = id, .mToken = "t" });
      }
    }
    mOwner->onAdviceReply(reply, mNow);
  }

  void answer(const pending_call& aCall)
  {
    if (aCall.mHeartbeat) {
      replyToHeartbeat(*aCall.mHeartbeat, aCall.mSent);
    } else if (aCall.mStart) {
      mOwner->onStartReply(*aCall.mStart, execute(*aCall.mStart), mNow);
    } else if (aCall.mStop) {
      mOwner->onStopReply(*aCall.mStop, execute(*aCall.mStop), mNow);
    } else {
      replyToAdvice(*aCall.mAdvice, aCall.mReplyAt);
    }
  }

  void replyToHeartbeat(const heartbeat_order& aOrder, time_point aSent)
  {
    auto& target = mTargets.at(aOrder.mTarget);
    if (!target.mReachable || aSent < target.mLosesHeartbeatsUntil) {
      mOwner->onHeartbeatReply(aOrder.mTarget, aSent, order_outcome::unanswered, {}, mNow);
      return;
    }
    if (target.mDelaysHeartbeats) {
      mLateHeartbeats.push_back(aOrder);
      mOwner->onHeartbeatReply(aOrder.mTarget, aSent, order_outcome::unanswered, {}, mNow);
      return;
    }
    if (!receive(aOrder)) {
      mOwner->onHeartbeatReply(aOrder.mTarget, aSent, order_outcome::fenced, {}, mNow);
      return;
    }
    mRenewals += aOrder.mLeaseUntil ? 1 : 0;
    target_report report{ .mClock = target.mClock,
                          .mIncarnationStart = target.mEntry.mIncarnationStart };
    for (const auto& [task, run] : target.mRunning) {
      report.mRunning.push_back({ .mTask = task, .mRun = run });
    }
    report.mEnded = target.mEnded;
    mOwner->onHeartbeatReply(aOrder.mTarget, aSent, order_outcome::accepted, report, mNow);
  }

  /// Has the target note what a heartbeat tells it; returns false if a later order was executed.
  bool receive(const heartbeat_order& aOrder)
  {
    auto& target = mTargets.at(aOrder.mTarget);
    if (aOrder.mFence < target.mFence) {
      return false;
    }
    target.mFence = aOrder.mFence;
    if (aOrder.mLeaseUntil) {
      extendLease(target, *aOrder.mLeaseUntil);
    }
    target.mStoredEndNumber = aOrder.mStoredEndNumber;
    std::erase_if(target.mEnded, [&aOrder](const ended_run& aOne) {
      return aOne.mNumber <= aOrder.mStoredEndNumber;
    });
    return true;
  }

  void renewOwnership()
  {
    if (mNextRenewal <= mNow && mOwner && mRenews) {
      mNextRenewal = mNow + kRenewInterval;
      mOwner->setNewestRecord(++mNewestRecord);
    }
  }

  order_outcome execute(const start_order& aOrder)
  {
    auto& target = mTargets.at(aOrder.mTarget);
    if (!target.mReachable || target.mLosesStarts) {
      return order_outcome::unanswered;
    }
    if (target.mDelaysStarts) {
      mLateStarts.push_back(aOrder);
      return order_outcome::unanswered;
    }
    if (aOrder.mFence < target.mFence) {
      return order_outcome::fenced;
    }
    if (target.mRejectStarts) {
      return *target.mRejectStarts;
    }
    if (mAdviceService && !mAdviceService->valid(aOrder.mTicket, mNow)) {
      return order_outcome::bad_ticket;
    }
    extendLease(target, aOrder.mLeaseUntil);
    if (std::exchange(target.mRunning[aOrder.mTask], aOrder.mRun) != aOrder.mRun) {
      checkCapacity(target, aOrder.mTask);
      for (const auto& [id, other] : mTargets) {
        if (id != aOrder.mTarget && other.mRunning.contains(aOrder.mTask)) {
          mConcurrentStarts.push_back(toText(aOrder.mTask) + " on " + aOrder.mTarget);
        }
      }
      if (mDoneTasks.contains(aOrder.mTask)) {
        mStartsAfterDone.push_back(toText(aOrder.mTask) + " on " + aOrder.mTarget);
      }
    }
    if (mDeadlyJobs.contains(aOrder.mTask.mStep.mJob)) {
      auto& deadly = mDeadlyTasks[aOrder.mTask];
      deadly.mStartsAfterThirdCrash += deadly.mCrashes >= 3 ? 1 : 0;
      ++deadly.mCrashes;
      if (mCrashDelay) {
        mCrashes.emplace(mNow + *mCrashDelay, aOrder.mTarget);
        return order_outcome::accepted;
      }
      crashTarget(aOrder.mTarget);
      return order_outcome::unanswered;
    }
    target.mRunning[aOrder.mTask] = aOrder.mRun;
    const auto& step =
      mJobTable.find(aOrder.mTask.mStep.mJob)->mSpec.mSteps[aOrder.mTask.mStep.mStep];
    if (mTasksEnd && !step.mLongRunning) {
      mTaskEnds.emplace(
        mNow + runTime(step, aOrder.mTask),
        task_end{ .mTarget = aOrder.mTarget, .mTask = aOrder.mTask, .mRun = aOrder.mRun });
    }
    return target.mLosesReplies ? target.mLostReply : order_outcome::accepted;
  }

  /// Returns how long the task runs. The members of a gang run equally long.
  milliseconds runTime(const step_spec& aStep, const task_key& aTask) const
  {
    const auto index = aStep.mGang ? 0 : aTask.mIndex;
    const auto mixed =
      (static_cast<std::uint64_t>(aTask.mStep.mJob) * 131 + index) * 11400714819323198485U;
    const double unit = static_cast<double>(mixed >> 32U) / 4294967296.0;
    return std::chrono::duration_cast<milliseconds>(aStep.mEstimate *
                                                    (1 + mEstimateError * (2 * unit - 1)));
  }

  order_outcome execute(const stop_order& aOrder)
  {
    auto& target = mTargets.at(aOrder.mTarget);
    if (!target.mReachable) {
      return order_outcome::unanswered;
    }
    const auto found = target.mRunning.find(aOrder.mTask);
    if (found != target.mRunning.end() && found->second == aOrder.mRun) {
      if (target.mStopDelay.count() > 0) {
        target.mStopping.try_emplace(aOrder.mTask, mNow + target.mStopDelay);
      } else {
        target.end(aOrder.mTask, reported_end::stopped, "saved");
      }
    }
    return order_outcome::accepted;
  }

  std::map<std::string, fake_target> mTargets;
  std::vector<pending_call> mPending;
  std::multimap<time_point, task_end> mTaskEnds;
  /// Targets that are about to crash.
  std::multimap<time_point, std::string> mCrashes;
  /// Crashed targets and the times at which they are back.
  std::map<std::string, time_point> mRestarts;
  std::deque<std::vector<journal_record>> mUnstored;
  time_point mAppendSince{};
  std::vector<start_order> mLateStarts;
  std::vector<heartbeat_order> mLateHeartbeats;
  std::uint64_t mEpoch = 0;
  /// Number of the newest record in the topic of owners.
  std::uint64_t mNewestRecord = 0;
  time_point mNextRenewal{};
  std::uint64_t mLastJob = 0;
};

} // namespace endiveusher::scheduler::testing
