#pragma once

#include "advice_call.h"
#include "advice_dispatcher.h"
#include "backlog_estimate.h"
#include "endiveusher/scheduler/overload_admission.h"
#include "endiveusher/scheduler/owner.h"
#include "endiveusher/scheduler/placement_explanation.h"
#include "past_use.h"
#include "planning_pass.h"
#include "record_batch.h"
#include "slow_targets.h"
#include "target_state.h"
#include "waiting_step.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace endiveusher::scheduler {

class owner::impl
{
public:
  impl(job_table& aJobTable, owner_port& aPort, owner_options aOptions, std::uint64_t aEpoch,
       time_point aNow);

  // Inputs, as in owner.
  void configure(std::shared_ptr<const cell_config> aConfig);
  void setTarget(const target_entry& aEntry, time_point aNow);
  void removeTarget(std::string_view aId, time_point aNow);
  void onEntryWritten(std::string_view aId, time_point aSince);
  void onEntryRemoved(std::string_view aId, time_point aNow);
  void onRecordApplied(job& aJob, time_point aNow, wall_time aWall);
  void accept(const journal_record& aRecord, std::uint64_t aToken, time_point aNow,
              wall_time aWall);
  void onStored(time_point aNow);
  void onHeartbeatReply(const std::string& aTarget, time_point aSent, order_outcome aOutcome,
                        const target_report& aReport, time_point aNow);
  void onStartReply(const start_order& aOrder, order_outcome aOutcome, time_point aNow);
  void onStopReply(const stop_order& aOrder, order_outcome aOutcome, time_point aNow);
  void onAdviceReply(const advice_reply& aReply, time_point aNow);
  bool storeEnds(time_point aNow);
  std::vector<run_ended> unstoredEnds() const;
  void adoptEnds(std::span<const run_ended> aEnds, time_point aNow);
  time_point tick(time_point aNow, wall_time aWall);
  bool isEndStored(job_id aJob) const { return !mUnstoredEnds.contains(aJob); }
  bool allStored() const { return mPendingRecords.empty() && mBatchesInFlight.empty(); }
  std::optional<job_rejection> rejection(const job_spec& aJob, time_point aNow) const;
  placement_explanation explain(const job_spec& aJob, time_point aNow);
  owner_counts counts(time_point aNow) const;
  std::string dump() const;

  std::set<std::string> mClosedZones;
  bool mFenced = false;
  internal::advice_dispatcher mAdviceDispatcher;
  bool mPlanNeeded = true;
  /// See owner::setNewestRecord().
  std::uint64_t mNewestRecord = 0;
  /// See owner::setStoreResponsive().
  bool mStoreResponsive = true;
  /// See owner::setViewCurrentUntil().
  time_point mViewCurrentUntil = time_point::max();
  /// Whether the view was current in the last tick.
  bool mWasViewCurrent = true;
  /// See owner::setLatestActs().
  std::map<std::uint64_t, time_point> mLatestActs;

private:
  using target_state = internal::target_state;
  using allocated_run = internal::allocated_run;
  using run_loss = internal::run_loss;
  using loss_evidence = internal::loss_evidence;
  using waiting_step = internal::waiting_step;
  using preemptible_run = internal::preemptible_run;
  using candidate_target = internal::candidate_target;
  using placement = internal::placement;
  using withheld_room = internal::withheld_room;
  using preemption = internal::preemption;
  using reservable_target = internal::reservable_target;

  using batch = internal::record_batch;
  using verdict_counts = internal::verdict_counts;
  /// See owner_explain.cpp.
  class trial_pass;

  // Steps and jobs.
  void registerJob(job& aJob, time_point aNow, wall_time aWall);
  /// Allocates capacity for the open runs that a former owner has started, also for those of jobs
  /// that have ended since.
  void adoptRuns(const job& aJob);
  void openDueOccurrences(time_point aNow, wall_time aWall);
  void enqueueStep(job& aJob, const step_key& aKey, time_point aNow);
  /// Returns a step of a job that was submitted at aSubmitted, without its waiting tasks.
  waiting_step makeStep(job& aJob, const step_key& aKey, internal::team_state& aTeam,
                        time_point aSubmitted, time_point aNow) const;
  static void updatePending(waiting_step& aStep, const step_state& aState, time_point aNow);
  void dropSteps(job_id aJob);
  void stopRuns(job& aJob, time_point aNow);
  void stopStep(job& aJob, const step_key& aKey, time_point aNow);
  void onRunEnded(job& aJob, const task_key& aTask, run_end aOutcome, time_point aNow);
  /// Number of failed runs of the task, or of its gang.
  static std::uint32_t failuresOf(const job& aJob, const task_key& aTask);
  /// Whether the task has failed as often as its route permits.
  bool attemptsUsedUp(const job& aJob, const task_key& aTask) const;
  /// Whether the job may be abandoned for that: its route is configured, or configurations that
  /// the owner has not read yet are no reason any more that it is not.
  bool knowsAttempts(const job& aJob, time_point aNow) const;
  /// Whether the step has such a task and waits for its route to be configured.
  bool waitsForRoute(const waiting_step& aStep) const;
  /// Records the failure of the job because of aTask and stops its runs.
  void abandon(job& aJob, const task_key& aTask, std::string_view aReason, time_point aNow);
  /// Abandons waiting jobs that used up their attempts while their route was not configured, or
  /// whose tasks had lost as many targets as permitted when a former owner ended.
  void abandonAfterLastAttempts(time_point aNow);
  /// Returns the team with the name, creating it if it is new.
  internal::team_state& teamOf(const std::string& aName);
  /// Whether waiting steps are ordered by their teams' use.
  bool ordersByUse() const { return mPastUse || mOptions.mOrderByShare; }
  /// Returns the capacity of all usable targets.
  resources usableCapacity(time_point aNow) const;
  /// Counts the teams' past use and stores it from time to time.
  void updatePastUse(time_point aNow, wall_time aWall);
  /// Sets the positions of the teams by their use, for a planning pass.
  void updateTeamPositions(time_point aNow);
  /// Returns the teams with the largest use, at most aMost.
  std::vector<team_counts> largestTeams(std::size_t aMost) const;
  /// Returns the latest known configuration of the job's route; without one, what the job was
  /// accepted by.
  route_config routeOf(const job_spec& aJob) const;
  /// The same; nullptr if there is neither.
  const route_config* findRoute(const job_spec& aJob) const;
  /// Returns what the job adds to the waiting work; absent if it is always accepted: it has
  /// occurrences, most of which are due later, or long-running tasks, which have no deadline.
  std::optional<internal::new_work> newWork(const job_spec& aSpec, time_point aNow) const;
  void addToBacklog(const job_spec& aSpec, time_point aNow);
  /// Counts the waiting work for the admission of jobs.
  void updateBacklog(time_point aNow);
  /// Counts a unit of the backlog for a task that has started.
  void countStart(const task_key& aTask, time_point aNow);

  // Runs.
  /// Returns the target with the id, creating it if it is new.
  target_state& findOrCreateTarget(const std::string& aId);
  void allocate(target_state& aTarget, const task_key& aTask, allocated_run aRun);
  void release(target_state& aTarget, const task_key& aTask);
  /// @param aLoss what is known of the run, if its target is lost
  void endRun(target_state& aTarget, const task_key& aTask, run_end aOutcome,
              const std::string& aCheckpoint, time_point aNow,
              const std::optional<run_loss>& aLoss = std::nullopt);
  /// Ends a run as its target has reported, to this owner or to a former one.
  void endReportedRun(target_state& aTarget, const task_key& aTask, run_end aOutcome,
                      const std::string& aCheckpoint, time_point aNow);
  void completeGang(const task_key& aTask, std::uint32_t aRun, time_point aNow);
  /// Ends the runs of targets that were on the same VM before aTarget, which has answered: a VM
  /// hosts one target at a time, so that these runs are over before their lease expires.
  void endRunsOfFormerTargets(const target_state& aTarget, time_point aNow);
  /// Stops the other members of the gang, if the task belongs to one, after a run that may never
  /// have begun: its target does not make them end.
  void stopGangOf(const task_key& aTask, time_point aNow);
  /// Returns how the loss of the target counts for its runs; absent for those that were not
  /// ordered.
  std::map<task_key, run_loss> lossesAt(const target_state& aTarget) const;
  /// Ends a run whose target is lost or has restarted; aLoss is absent if that does not count.
  void endLostRun(target_state& aTarget, const task_key& aTask,
                  const std::optional<run_loss>& aLoss, std::string_view aReason, time_point aNow);
  /// Ends all runs of a target that is lost. Only a crash counts as a loss under them.
  void endLostRuns(target_state& aTarget, std::string_view aReason, loss_evidence aEvidence,
                   time_point aNow);
  /// Notes runs that this or a former owner has ended because their target was silent.
  void noteSilentRuns(const job& aJob, time_point aNow);
  void noteSilentRun(const std::string& aTarget, const internal::silent_run_ref& aRun);
  /// Forgets silent runs after kTargetLossMemory: a crash that shows later is unrelated.
  void dropOldSilentRuns(time_point aNow);
  /// Records whether the runs that were ended while the target was silent have crashed with it.
  /// @param aIncarnationStart incarnation that has been heard of since, of the target or of a later
  /// one on its VM
  void resolveSilentRuns(const std::string& aTarget, std::int64_t aIncarnationStart,
                         time_point aNow);
  /// Whether the targets that have crashed under a task are as many as permitted.
  /// @param aWasAlone whether no task of another job may have been executing on the last one
  static bool crashesTooOften(const task_state& aTask, bool aIsLongRunning, bool aWasAlone);
  /// Abandons the job if the task, whose target is lost, has lost as many as it may.
  /// @param aWasAlone whether no task of another job may have been executing on the last one
  void abandonAfterTargetLoss(job& aJob, const task_key& aTask, bool aWasAlone, time_point aNow);
  /// Applies a record to the table and adds it to those of the next batch; returns the job that it
  /// has changed, if any. The owner's table is ahead of the journal.
  job* append(journal_record aRecord, time_point aNow);
  void flush(time_point aNow);

  // Heartbeats.
  void sendHeartbeat(target_state& aTarget, time_point aNow);
  duration heartbeatPause() const;
  /// Called when the registry lists a new incarnation of a target with runs.
  /// @param aIsPlanned whether the former incarnation was draining
  void onRestartListed(target_state& aTarget, bool aIsPlanned, time_point aNow);
  /// Ends the runs that aReport, the first of a new incarnation, shows to be lost. Those that it
  /// lists, and those whose start order it may still execute, stay allocated.
  /// @param aSent time at which the heartbeat was sent
  void endRunsOfFormerIncarnation(target_state& aTarget, const target_report& aReport,
                                  time_point aSent, time_point aNow);
  /// Whether the removal of the target's entry, which has just been read, shows that the target has
  /// left: the entry of one that is silent is removed later after its last write.
  bool hasLeft(const target_state& aTarget, time_point aNow) const;
  /// Whether this daemon has not run for a while: what it reads now may be old.
  bool wasPaused(time_point aNow) const;
  /// Ends the runs of a target that has left. Those whose start order may still be executed by a
  /// later incarnation stay allocated until their leases end.
  void endRunsOfLeftTarget(target_state& aTarget, time_point aNow);
  /// Has the next heartbeats carry a higher number than all orders so far: the target may restart,
  /// or has.
  static void expectNewFence(target_state& aTarget);
  /// Sets the number that orders to the target carry, if a new one is expected and there is one.
  void raiseFence(target_state& aTarget, time_point aNow);
  bool mayRaiseFence(const target_state& aTarget) const;
  /// Resets what is known of the former incarnation, except its runs.
  void beginIncarnation(target_state& aTarget, std::int64_t aIncarnationStart);
  void readEnds(target_state& aTarget, const target_report& aReport, time_point aNow);
  void readRunning(target_state& aTarget, const target_report& aReport, time_point aSent,
                   time_point aNow);
  /// Returns what the table knows of the task, for the log.
  std::string describeTask(const task_key& aTask) const;
  /// Whether a usable target other than aTarget may run the step and has the capacity for a task.
  bool hasOtherTarget(const waiting_step& aStep, const target_state& aTarget,
                      time_point aNow) const;
  /// Whether other usable targets of the pool have each of the target's labels and the capacity for
  /// aNeeds, so that steps do not depend on this target.
  bool isReplaceable(const target_state& aTarget, const resources& aNeeds, time_point aNow) const;
  void updateTargetHealth(target_state& aTarget, const ended_run& aEnd, time_point aNow);

  // Learned run times and slow targets.
  /// Returns what deadlines and ranks are computed with; nullptr for the callers' estimates.
  const internal::run_times* predictions() const;
  /// Has no open run counted if this daemon has just been paused.
  void notePause(time_point aNow);
  /// Returns what is known of the run's time, aNow being the time of its end or the last at which
  /// it was open; absent if it does not tell about estimates and targets.
  std::optional<internal::run_measurement> measure(const target_state& aTarget,
                                                   const task_key& aTask, const allocated_run& aRun,
                                                   time_point aNow) const;
  /// Counts a run that its target has reported as done.
  void countRunTime(target_state& aTarget, const task_key& aTask, time_point aNow);
  void countSlowRun(target_state& aTarget, const task_key& aTask, allocated_run& aRun,
                    const internal::run_measurement& aTime, time_point aNow);
  /// Counts open runs that are slow by now, and decides which targets get no new tasks.
  void updateSlowTargets(time_point aNow);
  void excludeSlowTargets(time_point aNow);
  /// Stops runs on slow targets that end sooner elsewhere.
  void moveFromSlowTargets(time_point aNow);
  /// Returns the longest lease that the target may hold, from now on, by orders of former owners or
  /// to former incarnations.
  /// @param aIncarnationStart incarnation that has replied
  std::chrono::milliseconds longestFormerLease(const target_state& aTarget,
                                               std::int64_t aIncarnationStart,
                                               time_point aNow) const;
  /// Returns the time by which every lease that former owners sent to the target has expired.
  time_point formerLeaseExpiry(const target_state& aTarget) const;
  /// Returns the time by which all leases at the target have expired.
  time_point leaseEnd(const target_state& aTarget) const;
  /// Returns how long the owner waits after that for a relay to report what the target has replied.
  static duration reportGrace(const target_state& aTarget);
  /// Returns the time until all leases at the target have expired and where that is known from, for
  /// the log.
  std::string describeLease(const target_state& aTarget, time_point aNow) const;
  /// Logs how long the runs at targets without an address stay open: these get no heartbeat.
  void logUnlistedTargets(time_point aNow);
  /// Records when the leases at a target with runs end that has been unresponsive for a while, so
  /// that a next owner need not assume later renewals. None is sent until it is acquired again.
  void recordLeaseEnd(target_state& aTarget, time_point aNow);
  target_time extendLease(target_state& aTarget, time_point aNow) const;

  // Orders.
  /// Whether the target still accepts a start that was decided earlier: its entry and the closed
  /// zones may have changed since.
  bool mayStartAt(const target_state& aTarget, const job& aJob, const step_key& aStep) const;
  /// Whether the run, whose start is stored now, can still be ordered at its target.
  bool orderable(const run_started& aStart, time_point aNow);
  /// Whether a start order may be repeated that had no answer: if the first was not executed, the
  /// repetition starts the run.
  bool repeatable(const target_state& aTarget, const task_key& aTask) const;
  /// Withdraws the starts of gangs of which a member cannot be ordered any more: the other members
  /// would wait for it in vain.
  void stopIncompleteGangs(std::span<const run_started> aStarts, time_point aNow);
  /// Withdraws stored starts that do not fit any more because the capacity of their target has
  /// shrunk since they were decided. Those decided first are kept; gangs are withdrawn whole.
  void withdrawUnfittingStarts(std::span<const run_started> aStarts, time_point aNow);
  void sendOrders(target_state& aTarget, time_point aNow);
  void sendStart(target_state& aTarget, const task_key& aTask, allocated_run& aRun,
                 time_point aNow);
  /// Whether a further start order reaches no later incarnation of the target than the first one.
  /// A run that crashes its target would crash both, but count once.
  static bool mayOrderStart(const target_state& aTarget, const allocated_run& aRun,
                            time_point aNow);
  void sendStop(target_state& aTarget, const task_key& aTask, allocated_run& aRun);
  /// Marks the order of a run as no longer in flight. Returns the run; nullptr if it is not
  /// allocated any more or the target rejected this epoch. An order to a former incarnation that
  /// the present one has rejected gets that outcome.
  template<typename Order>
  allocated_run* closeOrder(const Order& aOrder, order_outcome& aOutcome);
  allocated_run* findRun(const std::string& aTarget, const task_key& aTask, std::uint32_t aRun);

  // Placement.
  /// Makes a planning pass and measures it.
  void planAndMeasure(time_point aNow);
  void plan(time_point aNow);
  /// Returns the steps that a planning pass considers, in the order in which they are placed.
  std::vector<std::pair<internal::step_rank, waiting_step*>> stepsInOrder(time_point aNow);
  /// Returns the usable targets in the order of their free CPU, and resets what a planning pass
  /// finds out about them.
  std::vector<candidate_target> makeCandidates(time_point aNow);
  /// Returns the pause between two planning passes in addition to the usual interval.
  duration planPause() const;
  /// Returns the candidates on which the step may start now, in the order of the candidates. Those
  /// without room may be left out, and those after there is room for aMost tasks.
  std::vector<candidate_target*> startableCandidates(const waiting_step& aStep,
                                                     std::vector<candidate_target>& aCandidates,
                                                     std::size_t aMost, time_point aNow) const;
  /// Returns the candidates on which the step may run, by its verdicts if it needs advice, in the
  /// order of the candidates.
  std::vector<candidate_target*> goodCandidates(const waiting_step& aStep,
                                                std::vector<candidate_target>& aCandidates,
                                                time_point aNow) const;
  /// Returns the candidates in the step's pool and with its label.
  internal::room_group& groupOf(const waiting_step& aStep,
                                std::span<const candidate_target> aCandidates) const;
  /// Returns the positions of the candidates in the step's pool and with its label, from the first
  /// one with room for a task of the step; empty if there is none.
  std::span<const std::uint32_t> positionsWithRoom(
    const waiting_step& aStep, std::span<const candidate_target> aCandidates) const;
  /// Whether the candidates in the gang's pool and with its label together have room for its tasks;
  /// whether advice and isolation permit them is left open.
  bool hasRoomForGang(const waiting_step& aStep,
                      std::span<const candidate_target> aCandidates) const;
  /// Returns why the target can be given no new tasks; target_fit::fits if it can.
  target_fit fitOf(const target_state& aTarget, time_point aNow) const;
  bool usable(const target_state& aTarget, time_point aNow) const;
  /// Whether the target is in the route's pool and has the label that the step requires.
  static bool isSuitable(const target_state& aTarget, const route_config& aRoute,
                         const step_spec& aStep);
  /// Whether the step may run on the target by its verdict, recent failures, pool and label.
  bool allowed(const waiting_step& aStep, const target_state& aTarget, time_point aNow) const;
  /// The same for a target that is in the route's pool and has the label.
  bool allowedInGroup(const waiting_step& aStep, const target_state& aTarget,
                      time_point aNow) const;
  /// Returns the number of tasks of the step that fit now on the target; 0 if isolation rules it
  /// out.
  std::uint32_t slotsAt(const waiting_step& aStep, const candidate_target& aCandidate) const;
  /// The same without regard to isolation.
  std::uint32_t freeSlotsAt(const waiting_step& aStep, const candidate_target& aCandidate) const;
  /// Returns the number of tasks of the step that fit into its team's limit.
  std::uint32_t teamSlots(const waiting_step& aStep) const;
  /// Returns the gang that reserves the most of the team's limit, if enough for aSlots tasks of the
  /// step would be left without reservations; otherwise "-".
  std::string reserverFor(const waiting_step& aStep, std::uint32_t aSlots) const;
  /// Decides whether the step ignores the reservations in its team's limit in this planning pass.
  void updateTeamHold(waiting_step& aStep, time_point aNow) const;
  void reserveTeamLimit(const waiting_step& aStep, time_point aNow);
  void placeTasks(waiting_step& aStep, std::vector<candidate_target>& aCandidates, time_point aNow);
  void placeGang(waiting_step& aStep, std::vector<candidate_target>& aCandidates, time_point aNow);
  /// Returns where waiting tasks of the step start now, and takes the room from the candidates.
  std::vector<placement> chooseTasks(const waiting_step& aStep,
                                     std::vector<candidate_target>& aCandidates,
                                     time_point aNow) const;
  /// The same for a gang, all of whose tasks start at the same time.
  std::vector<placement> chooseGang(const waiting_step& aStep,
                                    std::vector<candidate_target>& aCandidates,
                                    time_point aNow) const;
  /// Withholds what a gang that does not start now needs from the steps behind it.
  void holdForGang(const waiting_step& aStep, std::vector<candidate_target>& aCandidates,
                   time_point aNow);
  internal::wait_counts countsFor(const waiting_step& aStep,
                                  std::span<const candidate_target> aCandidates,
                                  time_point aNow) const;
  /// Returns why the step waits.
  const char* waitReason(const waiting_step& aStep, const internal::wait_counts& aCounts,
                         time_point aNow) const;
  void logWait(waiting_step& aStep, const std::vector<candidate_target>& aCandidates,
               time_point aNow);
  /// Returns the number of tasks of the step that fit now on the targets with a valid ticket,
  /// without regard to capacity reserved for other steps.
  std::uint32_t ticketSlots(const waiting_step& aStep, time_point aNow) const;
  void reserveCapacity(const waiting_step& aStep, std::vector<candidate_target>& aCandidates,
                       time_point aNow);

  // Reservations of gangs, which last over several passes.
  /// Withholds them from all steps of the pass, and drops those that have expired or whose targets
  /// are not usable any more.
  void withholdReservations(std::vector<candidate_target>& aCandidates, time_point aNow);
  bool keepsReservation(const waiting_step& aStep, time_point aNow) const;
  /// Withholds the gang's reservation from the other steps.
  void withhold(const waiting_step& aStep, std::vector<candidate_target>& aCandidates) const;
  /// Makes the gang's reservation available to it.
  void giveBack(const waiting_step& aStep, std::vector<candidate_target>& aCandidates) const;
  /// Whether the gang may make a reservation now.
  bool mayReserve(const waiting_step& aStep, time_point aNow) const;
  /// Reserves capacity for the gang on good targets, and stops runs there that it may preempt.
  void makeReservation(waiting_step& aStep, std::vector<candidate_target>& aCandidates,
                       time_point aNow);
  /// Returns the good targets with their slots for the gang, those at which the fewest runs have to
  /// be stopped for a slot first; empty if they are not enough.
  std::vector<reservable_target> reservableTargets(const waiting_step& aStep,
                                                   std::vector<candidate_target>& aCandidates,
                                                   time_point aNow) const;
  /// Returns the capacity of the candidates in the step's pool and with its label.
  resources poolCapacity(const waiting_step& aStep,
                         std::span<const candidate_target> aCandidates) const;
  /// Stops runs so that the gang can use aSlots slots at the target.
  void freeFor(const waiting_step& aStep, const reservable_target& aTarget, std::uint32_t aSlots,
               time_point aNow);

  void commit(waiting_step& aStep, const std::vector<placement>& aPlacements, time_point aNow);
  void requestAdvice(waiting_step& aStep, std::vector<candidate_target>& aCandidates,
                     time_point aNow);
  /// Withholds the room that the step has asked advice about from the steps behind it in this pass.
  void claimQueriedRoom(const waiting_step& aStep, std::vector<candidate_target>& aCandidates);
  /// Makes one call for the targets; false if no daemon is free for it.
  bool callAdvice(waiting_step& aStep, std::span<const internal::target_number> aTargets,
                  time_point aNow);
  std::vector<internal::target_number> targetsToQuery(const waiting_step& aStep,
                                                      std::vector<candidate_target>& aCandidates,
                                                      time_point aNow) const;
  /// Adds the step's other good targets without a ticket, up to aMost targets in all.
  void addGoodTargets(const waiting_step& aStep, std::size_t aMost,
                      std::vector<internal::target_number>& aQueried, time_point aNow) const;
  std::vector<internal::target_number> gangTargetsToQuery(
    const waiting_step& aStep, std::vector<candidate_target>& aCandidates, time_point aNow) const;
  static std::vector<internal::target_number> reservedTargetsToQuery(const waiting_step& aStep,
                                                                     time_point aNow);
  /// Returns the fraction of targets that is expected to be good for a step of the route.
  double expectedGoodFraction(const std::string& aRoute) const;
  /// Returns the number of tasks of the step that fit now on the targets.
  std::uint32_t slotsOn(const waiting_step& aStep,
                        std::span<const internal::target_number> aTargets) const;

  // Isolation of steps that may crash their targets. It tells them from those that ran beside them.
  /// Updates whether the step is suspect, after a change of its waiting tasks.
  void updateSuspicion(waiting_step& aStep, const step_state& aState, time_point aNow);
  /// Decides whether the step needs isolation in this planning pass.
  static void updateIsolation(waiting_step& aStep, time_point aNow);
  /// Returns the end of the isolation of a run that starts at aStart; in the past if none of the
  /// step's unfinished tasks is suspect.
  static time_point isolationEnd(const step_state& aStep, time_point aStart);
  /// Whether isolation permits tasks of the step on the target.
  static bool mayShare(const waiting_step& aStep, const candidate_target& aCandidate);
  /// Whether advice queries for the step are limited to targets that isolation permits: some of
  /// them have room.
  bool queriesInIsolation(const waiting_step& aStep, std::span<const candidate_target> aCandidates,
                          time_point aNow) const;

  // Preemption.
  /// Stops runs of routes with lower priority for a step that would be late otherwise.
  void preempt(waiting_step& aStep, const internal::step_rank& aRank,
               std::vector<candidate_target>& aCandidates, time_point aNow);
  /// Returns the runs to stop for up to aWanted tasks of the step, by target.
  std::vector<preemption> choosePreemptions(const waiting_step& aStep, std::size_t aWanted,
                                            std::vector<candidate_target>& aCandidates,
                                            time_point aNow) const;
  void stopVictims(const waiting_step& aStep, const preemption& aStop, time_point aNow);
  /// Returns the runs to stop at the target so that up to aMost tasks of the step fit; no tasks if
  /// stopping runs does not help.
  preemption preemptionAt(const waiting_step& aStep, candidate_target& aCandidate,
                          std::uint32_t aMost) const;
  /// Returns what is free at the target, being freed, and taken by runs that the step may preempt.
  resources freeAfterPreemption(const waiting_step& aStep, candidate_target& aCandidate) const;
  /// Returns the time after which a step may preempt other runs; absent if it may not at all.
  static std::optional<time_point> preemptsAfter(const waiting_step& aStep,
                                                 const internal::step_rank& aRank);
  /// Returns the runs at the target that may be preempted, largest first, so that few have to stop.
  std::vector<preemptible_run> preemptibleRuns(const target_state& aTarget) const;

  job_table& mJobTable;
  owner_port& mPort;
  const owner_options mOptions;
  const std::uint64_t mEpoch;
  const time_point mEpochStart;

  std::shared_ptr<const cell_config> mConfig;
  /// Latest known configuration by name, including routes that have been removed: their jobs may be
  /// unfinished.
  std::map<std::string, route_config> mRoutes;
  /// Whether a route has become known since the last tick, or there was no tick yet.
  bool mRouteAdded = true;
  /// Whether the jobs of routes that are not configured have been looked through after the start.
  bool mUnknownRoutesChecked = false;
  bool mUnlistedTargetsLogged = false;
  std::map<std::string, target_state, std::less<>> mTargets;
  /// Silent runs by the id of their target.
  std::map<std::string, std::vector<internal::silent_run_ref>, std::less<>> mSilentRuns;
  /// Target numbers by id. Entries are never removed, because steps keep verdicts by number.
  std::unordered_map<std::string, std::uint32_t> mTargetNumbers;
  /// Last numbers that orders to targets have carried, by id. Entries are never removed.
  std::unordered_map<std::string, std::uint64_t> mLastFences;
  /// Entries of mTargets by number; null for targets that are gone.
  std::vector<target_state*> mTargetsByNumber;
  /// Largest number of a priority among the routes of all runs, or larger: steps of such a route
  /// preempt no other runs.
  int mLowestPriority = 0;
  std::map<step_key, waiting_step> mWaiting;
  /// Teams of all jobs; entries are never removed, because steps and runs refer to them.
  std::map<std::string, internal::team_state> mTeams;
  /// Absent without owner_options::mPastUseHalfLife.
  std::optional<internal::past_use> mPastUse;
  bool mPastUseLoaded = false;
  time_point mNextUseSample{};
  time_point mNextUseRecord{};
  /// See owner_counts::mDelayedSteps.
  std::size_t mDelayedSteps = 0;
  /// Absent without owner_options::mLearnRunTimes and mAvoidSlowTargets.
  std::unique_ptr<internal::run_time_learning> mLearning;
  /// Jobs with occurrences that are not open yet.
  std::set<job_id> mRecurringJobs;
  std::unordered_map<job_id, time_point> mSubmittedAt;

  std::vector<journal_record> mPendingRecords;
  /// Jobs that have ended by a record which is not stored.
  std::set<job_id> mUnstoredEnds;
  batch mNextBatch;
  std::deque<batch> mBatchesInFlight;

  std::map<std::uint64_t, internal::advice_call> mAdviceCalls;
  /// First verdicts on targets, by route.
  std::map<std::string, verdict_counts> mVerdictCounts;
  std::uint64_t mLastAdviceCall = 0;
  /// Latest time at which the store was not known to be responsive. Entries may have lapsed then.
  time_point mStoreUnresponsiveAt{};
  time_point mNextPlan{};
  /// Time by which the next tick is due, and the mean time by which ticks are late.
  time_point mNextTick = time_point::max();
  std::chrono::duration<double, duration::period> mTickLag{ 0 };
  overload_admission mAdmission;
  internal::backlog_estimate mBacklog;
  time_point mNextBacklog{};
  /// Time up to which the event loop counts as behind in the admission of jobs.
  time_point mBehindUntil{};
  time_point mLastFlush{};
  /// Mutable, because it includes a cache and counts of work.
  mutable internal::planning_pass mPass;
  pass_counts mLastPass;
};

} // namespace endiveusher::scheduler
