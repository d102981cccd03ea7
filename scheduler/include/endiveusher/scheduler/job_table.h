#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/journal.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiveusher::scheduler {

/// A loss of a target under a task is unrelated to one that is longer ago: a task that crashes its
/// targets does so within minutes, while a long-running one meets unrelated losses for months.
inline constexpr auto kTargetLossMemory = std::chrono::minutes(10);

/// Table of all jobs, built by applying the journal. Deterministic: inapplicable records, such as
/// the second submission of a job, change nothing. A cancellation also takes effect if it precedes
/// the submission: another daemon may store it while the owner's append is behind.
class job_table
{
public:
  /// Applies a record. Returns the job that it changed; nullptr if it changed none.
  job* apply(const journal_record& aRecord, time_point aNow);
  /// Whether the table holds what a record of the owner refers to: the job, the task and its
  /// earlier run. Otherwise the table lacks an earlier record of the journal. Records of jobs that
  /// have ended always have a place, as the table may hold less of these.
  bool hasPlaceFor(const journal_record& aRecord) const;
  /// Creates the steps of an occurrence if they do not exist yet. The owner does so shortly before
  /// the occurrence is due, the other daemons when its first run starts. Returns nullptr if the job
  /// has no such occurrence, or its states were dropped.
  std::vector<step_state>* openOccurrence(job& aJob, std::uint32_t aOccurrence);

  job* find(job_id aId);
  const job* find(job_id aId) const;
  /// Number of active jobs of the route without any started task. Jobs with due times are not
  /// counted.
  std::uint32_t waitingJobs(std::string_view aRoute) const;
  /// Drops jobs that ended before aBefore and have no open run.
  void removeEnded(time_point aBefore);
  /// Drops the states of the complete occurrences of recurring jobs that nothing refers to any
  /// more: a job may have a million occurrences.
  void dropCompleted();

  /// Sets the number of bytes that all jobs may take, as bytes() counts them.
  void setLimit(std::size_t aBytes) { mLimit = aBytes; }
  std::size_t limit() const { return mLimit; }
  /// Returns what the jobs take, or may come to take in the table and in the owner's queue.
  std::size_t bytes() const { return mBytes; }
  /// Whether a new job fits in: into the limit, less a part for occurrences that fall due, and into
  /// the share of its team. A team may take as much as it leaves free, so that one that submits
  /// without end takes half, and the next one still a half of the rest. Each daemon answers by what
  /// it has read of the journal.
  bool hasRoomFor(const job_spec& aSpec) const;
  /// Whether a further occurrence of the job fits into the limit.
  bool hasRoomToOpen(const job& aJob) const;
  /// Returns the last epoch in which leases at the target may have been renewed; 0 if there is
  /// none.
  std::uint64_t lastEpochAt(std::string_view aTarget) const;
  /// Returns the time by which all leases at the target have expired, if the last epoch that
  /// acquired it has stopped renewing them.
  std::optional<time_point> leaseExpiryAt(std::string_view aTarget) const;
  /// Returns the time since which the target is fenced against orders to its former incarnation, or
  /// a later one; absent if the journal knows of no other incarnation. Until the longest lease has
  /// passed since then, it may hold one by such an order.
  std::optional<time_point> restartedAt(std::string_view aTarget) const;
  /// Returns the start of the incarnation of the target that was acquired last, 0 if it is unknown;
  /// absent if the target was never acquired.
  std::optional<std::int64_t> acquiredIncarnation(std::string_view aTarget) const;
  /// Returns the VM of the target; empty if it is unknown.
  std::string vmOf(std::string_view aTarget) const;
  /// Returns the latest past use of the teams; nullptr if there is no record of it.
  const team_use* teamUse() const { return mTeamUse ? &*mTeamUse : nullptr; }
  /// Returns records that rebuild this state in an empty table. Ended jobs without open runs are
  /// reduced to what callers may still query.
  std::vector<journal_record> snapshot(time_point aNow) const;
  void clear();
  std::size_t size() const { return mJobs.size(); }

  template<typename Visitor>
  void forEach(Visitor&& aVisit)
  {
    for (auto& [id, entry] : mJobs) {
      aVisit(entry);
    }
  }

private:
  job* applyRecord(const job_submitted& aRecord, time_point aNow);
  job* applyRecord(const job_cancelled& aRecord, time_point aNow);
  job* applyRecord(const run_started& aRecord, time_point aNow);
  job* applyRecord(const run_ended& aRecord, time_point aNow);
  job* applyRecord(const job_abandoned& aRecord, time_point aNow);
  job* applyRecord(const job_snapshot& aRecord, time_point aNow);
  job* applyRecord(const target_acquired& aRecord, time_point aNow);
  job* applyRecord(const renewals_stopped& aRecord, time_point aNow);
  job* applyRecord(const team_use& aRecord, time_point aNow);
  step_state* stepOf(job& aJob, const step_key& aKey);
  void endRun(const job& aJob, step_state& aStep, const run_ended& aRecord, time_point aNow);
  /// Counts the job anew after a change; setBytes() if the new number is known.
  void recount(job& aJob);
  void setBytes(job& aJob, std::size_t aBytes);
  void finish(job& aJob, job_phase aPhase, time_point aNow);
  void completeIfDone(job& aJob, std::uint32_t aOccurrence, time_point aNow);
  void countWaiting(const job& aJob, int aChange);

  std::unordered_map<job_id, job> mJobs;
  std::size_t mLimit = std::numeric_limits<std::size_t>::max();
  /// See bytes(); by team in addition.
  std::size_t mBytes = 0;
  std::map<std::string, std::size_t, std::less<>> mTeamBytes;
  std::map<std::string, std::uint32_t, std::less<>> mWaiting;
  struct acquisition
  {
    std::uint64_t mEpoch = 0;
    std::string mVm;
    /// Incarnation that was acquired; 0 if it is unknown.
    std::int64_t mIncarnationStart = 0;
    /// See restartedAt().
    std::optional<time_point> mRestartedAt;
    /// Set while no lease is renewed there, see leaseExpiryAt().
    std::optional<time_point> mLeaseExpiry;
  };
  /// Latest acquisition of each target.
  std::map<std::string, acquisition, std::less<>> mAcquisitions;
  /// See teamUse().
  std::optional<team_use> mTeamUse;
  /// Ended jobs by the time of their end, ascending.
  std::vector<std::pair<time_point, job_id>> mEnded;
};

} // namespace endiveusher::scheduler
