#pragma once

#include "endiveusher/kernel/cell_view.h"
#include "endiveusher/kernel/events.h"
#include "endiveusher/kernel/guards.h"
#include "endiveusher/kernel/timing.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace endiveusher {

struct placer_options
{
  timing_options mTiming;
  /// Name of a registered placement policy.
  std::string mPolicy = "best_fit";
  std::uint64_t mSeed = 1;
  /// Waiting time after which urgent work may preempt batch tasks.
  duration mPreemptAfter = std::chrono::milliseconds(200);
  /// Largest number of queued tasks; further ones are returned immediately.
  std::size_t mQueueLimit = 100'000;
};

/// State of a placer that is gossiped to other members.
struct placer_summary
{
  resources mFree;
  resources mTotal;
  /// Free capacity of the target with the largest free dominant share.
  resources mLargestFree;
  std::vector<team_usage> mTeams;
  /// Owned targets whose tables were read after mReconciledOffset had settled and that hold no
  /// attempt of another placer.
  std::vector<target_id> mOwnedTargets;
  log_offset mReconciledOffset = 0;
};

/// Queues tasks, owns targets, places tasks on them and keeps them running.
///
/// Usage:
///   basic_placer<> placer({ .mPolicy = "best_fit" });
///   placer.setView(view, now);
///   placer.enqueue(task, std::chrono::milliseconds(500), now);
///   placer.tick(now);
///   for (auto& exchange : placer.takeExchanges()) { ... }
template<guard_policy Guards = all_guards>
class basic_placer
{
public:
  explicit basic_placer(placer_options aOptions);
  ~basic_placer();
  basic_placer(basic_placer&&) noexcept;
  basic_placer& operator=(basic_placer&&) noexcept;

  /// Replaces the view of the cell.
  void setView(cell_view aView, time_point aNow);

  /// Accepts a delegated task from its coordinator. Has no effect if the attempt is already held.
  /// aStartWithin is zero if the task has no deadline.
  void enqueue(const task_attempt& aTask, duration aStartWithin, time_point aNow);
  /// Returns queued tasks to their coordinator (state returned); with aStop also stops running
  /// ones.
  void recall(const incarnation_id& aCoordinator, std::span<const task_key> aKeys, bool aStop,
              time_point aNow);

  /// Holds capacity and slice for all of aTasks, or for none. Returns whether they are held.
  bool reserve(const incarnation_id& aCoordinator, std::uint64_t aReservation,
               std::span<const task_attempt> aTasks, duration aWaited, time_point aNow);
  /// Starts the reserved tasks. Returns false if the reservation has expired or is no longer valid.
  bool commit(const incarnation_id& aCoordinator, std::uint64_t aReservation, time_point aNow);
  void release(const incarnation_id& aCoordinator, std::uint64_t aReservation);

  void handle(const exchange_event& aEvent, time_point aNow);
  /// Advances queues, leases and deadlines. Call after every change and at least every 50 ms.
  void tick(time_point aNow);

  std::vector<exchange_effect> takeExchanges();
  std::vector<log_effect> takeLogs();

  /// Returns the coordinators (resolved) whose tasks have changed since the last call.
  std::vector<incarnation_id> takeChangedCoordinators();
  /// Returns the coordinators (resolved) of the tasks that this placer holds.
  std::vector<incarnation_id> coordinators() const;
  /// Returns all tasks held for aCoordinator (resolved).
  task_report reportFor(const incarnation_id& aCoordinator) const;
  /// Removes those of aTasks that have ended or are returned or unknown.
  void acknowledge(const incarnation_id& aCoordinator, std::span<const placed_task> aTasks,
                   time_point aNow);

  placer_summary summary() const;
  /// Amount charged to this daemon's slice of aTeam.
  limit_vector charged(const team_name& aTeam) const;
  /// Returns the teams with gangs or queued tasks that wait for a larger slice, and the missing
  /// amounts; gangs first.
  std::vector<slice_request> shortages(time_point aNow) const;
  /// Returns the part of the unused slice that is not lent for aRequest: what a gang needs here
  /// that has waited longer than the one of aBorrower.
  limit_vector keptFromLending(const incarnation_id& aBorrower, const slice_request& aRequest,
                               time_point aNow) const;
  /// Whether the reconciliation of aDead, a member that this daemon succeeds, is complete: every
  /// target has been read since aSince or is in aElsewhere, or all leases that aDead could have
  /// renewed have ended. aElsewhere contains the targets that other live members own and have
  /// reconciled. With aConfirmedDead, aDead renews no leases after aSince; otherwise it may do so
  /// until the isolation limit.
  bool reconciled(const incarnation_id& aDead, const std::set<target_id>& aElsewhere,
                  bool aConfirmedDead, time_point aSince, time_point aNow) const;
  /// Whether a target of the cell may be large enough for aSize; true if that is not known.
  bool couldEverFit(const resources& aSize) const;

  /// Stops starting tasks, returns queued tasks and releases targets once their sent orders are
  /// settled.
  void beginShutdown(time_point aNow);
  /// Whether no target is owned or being acquired and no sent order is unanswered.
  bool released() const;

  /// Returns the state as JSON, for diagnosis.
  std::string dump(time_point aNow) const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

using placer = basic_placer<all_guards>;

} // namespace endiveusher
