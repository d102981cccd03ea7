#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/job_table.h"
#include "endiveusher/scheduler/owner_port.h"
#include "endiveusher/scheduler/placement_explanation.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::scheduler {

struct owner_options
{
  /// Duration of the lease under which runs continue at a target without a renewal.
  std::chrono::milliseconds mLease{ 6000 };
  /// Longest lease that a target grants, whatever an order states.
  std::chrono::milliseconds mMaxLease{ 10000 };
  /// How long a former owner that has lost the connection to the store may still renew leases.
  std::chrono::milliseconds mMaxRenewalAge{ 5000 };
  /// Known epochs and the time at which this daemon saw each of them begin.
  std::map<std::uint64_t, time_point> mEpochs{};
  /// Latest times at which former owners may have renewed leases, by epoch. Without one, they may
  /// have done so for mMaxRenewalAge after the next epoch began.
  std::map<std::uint64_t, time_point> mLatestActs{};
  /// Shortest time between a target's last write and the removal of its entry, unless it has left:
  /// what the registry waits for, less a margin for its clock.
  std::chrono::milliseconds mMinEntryLapse{ 3000 };
  /// Minimum time between two planning passes.
  std::chrono::milliseconds mPlanInterval{ 20 };
  /// Measures the duration of planning passes; nullptr if it is not wanted.
  const clock* mClock = nullptr;
  /// Half-life of the teams' past use, by which waiting steps are ordered; 0: past use is neither
  /// counted nor stored.
  std::chrono::seconds mPastUseHalfLife{ 0 };
  /// Whether waiting steps are ordered by the teams' present shares.
  bool mOrderByShare = false;
  /// Whether deadlines and ranks use run times that are predicted from past runs, in place of the
  /// callers' estimates.
  bool mLearnRunTimes = false;
  /// Whether targets whose runs take much longer than predicted get no new tasks for a while.
  bool mAvoidSlowTargets = false;
};

/// What was learned of the run times of a route.
struct route_run_times
{
  std::string mRoute;
  /// Number of runs since it became known.
  std::uint64_t mRuns = 0;
  /// Geometric mean of actual time over estimate, and spread of the logarithm of that, by decayed
  /// weight.
  double mMeanRatio = 1;
  double mSpread = 0;
};

/// What the last planning pass has cost.
struct pass_counts
{
  /// Waiting steps whose turn it was, and tasks that it has started.
  std::size_t mSteps = 0;
  std::size_t mStarts = 0;
  /// Number of times that a target was looked at for a step.
  std::uint64_t mVisits = 0;
  /// Zero without owner_options::mClock.
  duration mDuration{ 0 };
};

/// Use of a team, relative to the mean of the others and by weight.
struct team_counts
{
  std::string mName;
  /// Present dominant share.
  double mShare = 0;
  /// Decayed past use; 0 if it is not counted.
  double mPastUse = 0;
};

/// Counts of the owner's state, for metrics.
struct owner_counts
{
  std::size_t mTargets = 0;
  std::size_t mUsableTargets = 0;
  std::size_t mOpenRuns = 0;
  std::size_t mWaitingSteps = 0;
  std::size_t mAdviceCalls = 0;
  pass_counts mLastPass;
  /// Longest time for which a step has waited whose turn has come.
  duration mLongestWait{ 0 };
  /// Longest time since a target with open runs has replied to this owner.
  duration mLongestSilence{ 0 };
  /// The teams with the largest use, largest first; empty unless steps are ordered by use.
  std::vector<team_counts> mTeams{};
  /// Steps that were delayed in the last planning pass because of their teams' use.
  std::size_t mDelayedSteps = 0;
  /// Empty without owner_options::mLearnRunTimes and mAvoidSlowTargets.
  std::vector<route_run_times> mRunTimes{};
  /// Slow targets, those among them that get no new tasks, and tasks moved off slow targets.
  std::size_t mSlowTargets = 0;
  std::size_t mExcludedTargets = 0;
  std::uint64_t mMovedTasks = 0;
};

/// Decides for all targets of the cell during one epoch: where tasks start, which leases are
/// renewed and which runs have ended. Pure: acts through owner_port and gets the time with each
/// call.
///
/// Usage:
///   owner decisions(table, port, {}, epoch, now);
///   decisions.configure(config);
///   decisions.setTarget(entry, now);
///   decisions.tick(now, wallNow);
class owner
{
public:
  owner(job_table& aJobTable, owner_port& aPort, owner_options aOptions, std::uint64_t aEpoch,
        time_point aNow);
  ~owner();
  owner(const owner&) = delete;
  owner& operator=(const owner&) = delete;

  void configure(std::shared_ptr<const cell_config> aConfig);
  void setClosedZones(std::set<std::string> aZones);
  /// Sets whether the store answers appends soon enough for records that delay the renewal of
  /// leases.
  void setStoreResponsive(bool aResponsive);
  /// Sets the time until which the owner knows enough of what others have stored: cancellations,
  /// limits, closed zones. After it, it starts nothing; work that runs goes on.
  /// A time and no flag, because the process may be paused between this call and a start.
  void setViewCurrentUntil(time_point aUntil);
  /// Replaces owner_options::mLatestActs.
  void setLatestActs(std::map<std::uint64_t, time_point> aLatestActs);
  /// Sets the number of this owner's newest record in the topic of owners, which is above its epoch
  /// and below that of the next owner. A target that restarts under its id gets orders with a newer
  /// number than its former incarnation, so that it rejects orders that were meant for that one.
  void setNewestRecord(std::uint64_t aNumber);
  void setTarget(const target_entry& aEntry, time_point aNow);
  void removeTarget(std::string_view aId, time_point aNow);
  /// Called after setTarget() if the target's last write of its entry was read, which the registry
  /// took at or after aSince.
  void onEntryWritten(std::string_view aId, time_point aSince);
  /// Called after removeTarget() if the registry has just removed the entry: its target has left,
  /// or was silent.
  void onEntryRemoved(std::string_view aId, time_point aNow);
  /// Sets the other daemons that can make advice calls.
  void setAdviceHelpers(std::span<const std::string> aHelpers);

  /// Called when a journal record of another daemon has been applied to aJob in the job table.
  void onRecordApplied(job& aJob, time_point aNow, wall_time aWall);

  /// Stores a caller's record together with the owner's records and reports completion by
  /// owner_port::onRecordStored(). The record is applied to the job table immediately.
  void accept(const journal_record& aRecord, std::uint64_t aToken, time_point aNow,
              wall_time aWall);
  /// Called when the oldest open owner_port::store() call has completed.
  void onStored(time_point aNow);
  /// Called with the outcome of a heartbeat that was sent at aSent.
  void onHeartbeatReply(const std::string& aTarget, time_point aSent, order_outcome aOutcome,
                        const target_report& aReport, time_point aNow);
  void onStartReply(const start_order& aOrder, order_outcome aOutcome, time_point aNow);
  void onStopReply(const stop_order& aOrder, order_outcome aOutcome, time_point aNow);
  void onAdviceReply(const advice_reply& aReply, time_point aNow);

  /// Stores what waits if it holds ends that targets have reported, without waiting for tick().
  /// Returns false if an append is open, after whose completion it has to be called again.
  bool storeEnds(time_point aNow);
  /// Returns the ends that targets have reported and that may not be in the journal.
  std::vector<run_ended> unstoredEnds() const;
  /// Adopts ends that targets have reported to a former owner. Those that the journal holds change
  /// nothing.
  void adoptEnds(std::span<const run_ended> aEnds, time_point aNow);

  /// Sends due heartbeats and orders, and plans if something has changed. Returns the latest time
  /// for the next call.
  time_point tick(time_point aNow, wall_time aWall);

  /// Whether a new job is to be rejected now: returns the time after which its caller should come
  /// back, or nothing if it is to be accepted. See overload_admission, for an owner whose loop is
  /// behind, and internal::backlog_estimate, for work that would start too late.
  std::optional<std::chrono::seconds> rejection(const job_spec& aJob, time_point aNow) const;
  /// Explains where the job would be placed if it were submitted now. Changes nothing.
  placement_explanation explain(const job_spec& aJob, time_point aNow) const;
  /// Whether the journal holds the record that has ended the job, if one has. A job may be shown as
  /// ended only then: the next owner may not know that record.
  bool isEndStored(job_id aJob) const;
  /// Whether all records of this owner are in the journal.
  bool allStored() const;
  /// Whether a target has seen a higher epoch, so that this owner has to step down.
  bool fenced() const;
  owner_counts counts(time_point aNow) const;
  /// Returns the owner's state as text, for debugging.
  std::string dump() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::scheduler
