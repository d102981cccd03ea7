#pragma once

#include "advice_desk.h"
#include "endiveusher/scheduler/owner.h"
#include "target_state.h"
#include "waiting_step.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace endiveusher::scheduler {

class owner::impl
{
public:
  impl(job_book& aBook, owner_port& aPort, owner_options aOptions, std::uint64_t aEpoch,
       time_point aNow);

  // Inputs, as in owner.
  void configure(std::shared_ptr<const cell_config> aConfig);
  void setTarget(const target_entry& aEntry, time_point aNow);
  void removeTarget(std::string_view aId, time_point aNow);
  void noticed(job& aJob, time_point aNow, wall_time aWall);
  void accept(const journal_record& aRecord, std::uint64_t aToken, time_point aNow,
              wall_time aWall);
  void stored(time_point aNow);
  void looked(const std::string& aTarget, time_point aSent, order_outcome aOutcome,
              const target_report& aReport, time_point aNow);
  void startAnswered(const start_order& aOrder, order_outcome aOutcome, time_point aNow);
  void stopAnswered(const stop_order& aOrder, order_outcome aOutcome, time_point aNow);
  void advised(const advice_answer& aAnswer, time_point aNow);
  time_point tick(time_point aNow, wall_time aWall);
  bool allStored() const { return mRecords.empty() && mBatches.empty(); }
  owner_counts counts() const;
  std::string dump() const;

  std::set<std::string> mClosedZones;
  bool mFenced = false;
  internal::advice_desk mDesk;
  bool mChanged = true;

private:
  using target_state = internal::target_state;
  using held_run = internal::held_run;
  using waiting_step = internal::waiting_step;

  /// Records of one call of store(), in order.
  struct batch
  {
    std::vector<run_started> mStarts;
    /// Ends to acknowledge: target, its incarnation, number.
    struct stored_end
    {
      std::string mTarget;
      std::int64_t mBorn = 0;
      std::uint64_t mNumber = 0;
    };
    std::vector<stored_end> mEnds;
    /// Of callers' records.
    std::vector<std::uint64_t> mTokens;
    /// Targets at which leases may be renewed from now on.
    std::vector<std::string> mTaken;
    /// When it was handed to the store.
    time_point mSince;
  };
  /// A target's room during one planning pass.
  struct candidate
  {
    target_state* mTarget = nullptr;
    resources mRoom;
    /// Room that runs which are being stopped will free.
    resources mComing;
  };
  struct placement
  {
    std::uint32_t mIndex = 0;
    candidate* mWhere = nullptr;
  };
  /// Runs at a target that would have to stop, and for how many tasks that makes room.
  struct preemption
  {
    candidate* mWhere = nullptr;
    std::vector<task_key> mVictims;
    std::uint32_t mTasks = 0;
  };

  // Steps and jobs.
  void registerJob(job& aJob, time_point aNow, wall_time aWall);
  /// Takes over the runs that a former owner has started, also of jobs that have ended since.
  void adoptRuns(const job& aJob);
  void openDueOccurrences(time_point aNow, wall_time aWall);
  void enqueueStep(job& aJob, const step_key& aKey, time_point aNow);
  void dropSteps(job_id aJob);
  void stopRuns(job& aJob, time_point aNow);
  void stopStep(job& aJob, const step_key& aKey, time_point aNow);
  void afterEnd(job& aJob, const task_key& aTask, run_end aHow, time_point aNow);
  route_config routeOf(const std::string& aName) const;

  // Runs.
  /// The target of this id, made if it is new.
  target_state& targetOf(const std::string& aId);
  void hold(target_state& aTarget, const task_key& aTask, held_run aRun);
  void release(target_state& aTarget, const task_key& aTask);
  void endRun(target_state& aTarget, const task_key& aTask, run_end aHow,
              const std::string& aCheckpoint, time_point aNow);
  void endGang(const task_key& aTask, std::uint32_t aRun, time_point aNow);
  void loseRuns(target_state& aTarget, std::string_view aReason, time_point aNow);
  void append(journal_record aRecord, time_point aNow);
  void flush(time_point aNow);

  // Looks.
  void sendLook(target_state& aTarget, time_point aNow);
  void beginIncarnation(target_state& aTarget, std::int64_t aBorn, time_point aNow);
  void readEnds(target_state& aTarget, const target_report& aReport, time_point aNow);
  void readRunning(target_state& aTarget, const target_report& aReport, time_point aSent,
                   time_point aNow);
  void judgeTarget(target_state& aTarget, const ended_run& aEnd, time_point aNow);
  /// When all that former owners have allowed to run at the target has surely ended.
  time_point formerLeasesOver(const target_state& aTarget) const;
  target_time leaseFor(target_state& aTarget, time_point aNow) const;

  // Orders.
  void sendOrders(target_state& aTarget, time_point aNow);
  void sendStart(target_state& aTarget, const task_key& aTask, held_run& aRun, time_point aNow);
  void sendStop(target_state& aTarget, const task_key& aTask, held_run& aRun);
  /// The run that an answered order concerns, which has no order open any more; nullptr if the
  /// answer tells nothing of a run that is still held.
  template<typename Order>
  held_run* answered(const Order& aOrder, order_outcome aOutcome);
  held_run* findRun(const std::string& aTarget, const task_key& aTask, std::uint32_t aRun);

  // Placement.
  void plan(time_point aNow);
  bool usable(const target_state& aTarget, time_point aNow) const;
  bool allowed(const waiting_step& aStep, const target_state& aTarget, time_point aNow) const;
  /// Allowed, and with a ticket that lasts until the start arrives, if one is needed.
  bool admitted(const waiting_step& aStep, const target_state& aTarget, time_point aNow) const;
  std::uint32_t slotsAt(const waiting_step& aStep, const candidate& aWhere) const;
  std::uint32_t teamSlots(const waiting_step& aStep) const;
  void holdBackLimit(const waiting_step& aStep, time_point aNow);
  void placeTasks(waiting_step& aStep, std::vector<candidate>& aRooms, time_point aNow);
  void placeGang(waiting_step& aStep, std::vector<candidate>& aRooms, time_point aNow);
  void explainWait(waiting_step& aStep, const std::vector<candidate>& aRooms, time_point aNow);
  void holdBack(waiting_step& aStep, std::vector<candidate>& aRooms, time_point aNow);
  void commit(waiting_step& aStep, const std::vector<placement>& aPlacements, time_point aNow);
  void askForAdvice(waiting_step& aStep, std::vector<candidate>& aRooms, time_point aNow);
  std::vector<std::string> targetsToName(const waiting_step& aStep, std::vector<candidate>& aRooms,
                                         time_point aNow) const;

  // Preemption.
  /// Stops runs of less urgent work for a step that would be late otherwise.
  void preempt(waiting_step& aStep, const internal::step_rank& aRank,
               std::vector<candidate>& aRooms, time_point aNow);
  /// For at most aMost tasks of the step; for none if stopping does not help.
  preemption preemptionAt(const waiting_step& aStep, candidate& aWhere, std::uint32_t aMost) const;
  /// How long before its latest start a step has others stopped for it.
  static duration preemptLead(const waiting_step& aStep);
  bool mayBePreempted(const waiting_step& aStep, const task_key& aTask, const held_run& aRun) const;

  job_book& mBook;
  owner_port& mPort;
  const owner_options mOptions;
  const std::uint64_t mEpoch;
  const time_point mTakenOver;

  std::shared_ptr<const cell_config> mConfig;
  /// Also routes that the configuration has dropped while jobs of theirs are unfinished.
  std::map<std::string, route_config> mRoutes;
  std::map<std::string, target_state, std::less<>> mTargets;
  /// Also of targets that are gone: steps remember their verdicts by number.
  std::unordered_map<std::string, std::uint32_t> mTargetNumbers;
  std::map<step_key, waiting_step> mWaiting;
  std::map<std::string, resources> mTeamUsed;
  /// Jobs with occurrences that are not due yet.
  std::set<job_id> mScheduled;
  std::unordered_map<job_id, time_point> mSubmittedAt;

  std::vector<journal_record> mRecords;
  batch mNextBatch;
  std::deque<batch> mBatches;

  struct advice_call
  {
    step_key mStep;
    std::vector<std::string> mTargets;
    time_point mSent;
  };
  std::map<std::uint64_t, advice_call> mAdviceCalls;
  std::uint64_t mLastAdviceCall = 0;
  time_point mNextPlan{};
  time_point mLastFlush{};
  /// What waiting gangs keep free of their teams' limits in the present pass.
  std::map<std::string, resources> mTeamHeldBack;
  /// Room that waiting gangs keep free in the present pass.
  std::int64_t mHeldBackCpu = 0;
};

} // namespace endiveusher::scheduler
