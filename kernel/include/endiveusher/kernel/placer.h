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
  /// Largest number of queued tasks; more are returned at once.
  std::size_t mQueueLimit = 100'000;
};

/// What other members learn of a placer by gossip.
struct placer_summary
{
  resources mFree;
  resources mTotal;
  resources mLargestRoom;
  std::vector<team_usage> mTeams;
  /// Owned targets whose tables were read after mSweptOffset had settled and that hold no attempt
  /// of another placer.
  std::vector<target_id> mOwnedTargets;
  log_offset mSweptOffset = 0;
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

  /// Takes a task over from its home. A key and attempt already held is left as it is.
  /// aStartWithin is zero if the task has no deadline.
  void enqueue(const task_attempt& aTask, duration aStartWithin, time_point aNow);
  /// Returns queued tasks to their home (state returned); with aStop also ends running ones.
  void recall(const incarnation_id& aHome, std::span<const task_key> aKeys, bool aStop,
              time_point aNow);

  /// Holds room and slice for all of aTasks, or for none. True if held.
  bool reserve(const incarnation_id& aHome, std::uint64_t aReservation,
               std::span<const task_attempt> aTasks, duration aWaited, time_point aNow);
  /// Starts the reserved tasks; false if the reservation has expired.
  bool commit(const incarnation_id& aHome, std::uint64_t aReservation, time_point aNow);
  void release(const incarnation_id& aHome, std::uint64_t aReservation);

  void handle(const exchange_event& aEvent, time_point aNow);
  /// Advances queues, leases and deadlines. Call after every change and at least every 50 ms.
  void tick(time_point aNow);

  std::vector<exchange_effect> takeExchanges();
  std::vector<log_effect> takeLogs();

  /// Homes (resolved) whose task set changed since the last call.
  std::vector<incarnation_id> takeChangedHomes();
  /// Homes of which this placer holds tasks.
  std::vector<incarnation_id> homes() const;
  /// Full set of tasks held for aHome (resolved).
  task_report reportFor(const incarnation_id& aHome) const;
  /// Forgets the ended, returned and unknown tasks named.
  void acknowledge(const incarnation_id& aHome, std::span<const placed_task> aTasks,
                   time_point aNow);

  placer_summary summary() const;
  /// Amount charged to this daemon's slice of aTeam.
  limit_vector charged(const team_name& aTeam) const;
  /// Teams that have work waiting only for lack of slice, with the amount missing.
  std::vector<slice_request> shortages() const;
  /// Whether the sweep of aDead (a member that this daemon succeeds) is complete. aElsewhere names
  /// the targets that other live members own and have swept; aProvedDead and aSince as in the
  /// takeover rules.
  bool swept(const incarnation_id& aDead, const std::set<target_id>& aElsewhere, bool aProvedDead,
             time_point aSince, time_point aNow) const;
  /// Whether any target of the cell known here could ever hold aSize.
  bool couldEverFit(const resources& aSize) const;

  /// Starts nothing any more, returns queued tasks, releases targets after their last exchange.
  void beginShutdown(time_point aNow);
  /// Whether no register is held and no order is without answer.
  bool released() const;

  /// State dump, JSON.
  std::string dump(time_point aNow) const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

using placer = basic_placer<all_guards>;

} // namespace endiveusher
