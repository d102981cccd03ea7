#pragma once

#include "endiveusher/scheduler/job.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endiveusher::scheduler {

/// A job was accepted.
struct job_submitted
{
  job_spec mSpec;
};

/// A caller cancelled a job.
struct job_cancelled
{
  job_id mJob{};
};

/// The owner is about to send the start order of a run.
struct run_started
{
  task_key mTask;
  std::uint32_t mRun = 0;
  open_run mAt;
};

/// A run has ended, as observed or concluded by the owner. If it has ended as target_silent, a
/// second record tells whether its target has crashed; any outcome but target_lost says that it has
/// not.
struct run_ended
{
  task_key mTask;
  std::uint32_t mRun = 0;
  run_end mOutcome = run_end::done;
  /// Latest known checkpoint; empty if there is none.
  std::string mCheckpoint;
  /// Whether the owner knows that the run had begun: its target has accepted or listed it. Stored
  /// only with the outcomes of lost and silent targets.
  bool mHasBegun = false;
  /// Start of the incarnation of the target that has listed the run last, Unix milliseconds; 0 if
  /// it is that of the run's start. Stored only with mHasBegun.
  std::int64_t mIncarnationStart = 0;
};

/// The owner abandoned a job because a task has used up its attempts or crashes its targets.
struct job_abandoned
{
  job_id mJob{};
};

/// The owner of an epoch has acquired a target and is about to renew leases there.
struct target_acquired
{
  std::string mTarget;
  std::uint64_t mEpoch = 0;
  /// The target's VM; empty if it is unknown.
  std::string mVm;
  /// Start of the incarnation that was acquired, Unix milliseconds; 0 if it is unknown.
  std::int64_t mIncarnationStart = 0;
  /// In snapshots: time since the target was first acquired after a restart; absent if none was
  /// seen.
  std::optional<std::chrono::milliseconds> mRestartAge;
};

/// The owner of an epoch renews no lease at a target until it acquires it again. Tells later owners
/// when the runs at an unresponsive target are over.
struct renewals_stopped
{
  std::string mTarget;
  std::uint64_t mEpoch = 0;
  /// Time until all leases at the target have expired, from the moment of this record.
  std::chrono::milliseconds mLeaseLeft{ 0 };
};

/// Complete state of a job, part of a snapshot.
struct job_snapshot
{
  job mJob;
  /// Time of the snapshot, on the clock to which the times in mJob refer.
  time_point mTakenAt{};
};

/// Largest number of teams in a team_use record.
inline constexpr std::size_t kMaxTeamsInRecord = 512;

/// Past use of all teams at a time. It holds totals, and a later record replaces an earlier one.
/// Written only by owners with a half-life of past use; earlier versions pass over it.
struct team_use
{
  struct entry
  {
    std::string mTeam;
    /// Decayed dominant share times time, in seconds of the whole cell. A float, because it takes
    /// 5 bytes in the record.
    float mUse = 0;
  };
  wall_time mAt{ 0 };
  std::vector<entry> mTeams;
};

/// A journal record. Daemons that apply the records in the order of the journal reach the same
/// state.
using journal_record =
  std::variant<job_submitted, job_cancelled, run_started, run_ended, job_abandoned, job_snapshot,
               target_acquired, renewals_stopped, team_use>;

/// Encodes a record as a MessagePack array whose first element is the kind of record.
std::string encode(const journal_record& aRecord);
/// Returns the kind of the record and what it refers to, for the log.
std::string describe(const journal_record& aRecord);
/// Decodes a record. Returns INVALID_ARGUMENT if the bytes are not a valid record.
absl::StatusOr<journal_record> decodeRecord(std::string_view aBytes);

} // namespace endiveusher::scheduler
