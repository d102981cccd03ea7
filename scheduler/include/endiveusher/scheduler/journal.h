#pragma once

#include "endiveusher/scheduler/job.h"

#include <absl/status/statusor.h>

#include <cstdint>
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

/// The owner is about to order a run.
struct run_started
{
  task_key mTask;
  std::uint32_t mRun = 0;
  open_run mAt;
};

/// The owner knows that a run has ended.
struct run_ended
{
  task_key mTask;
  std::uint32_t mRun = 0;
  run_end mHow = run_end::done;
  /// Newest checkpoint known; empty if there is none.
  std::string mCheckpoint;
};

/// The owner gave a job up: a task has used its attempts.
struct job_given_up
{
  job_id mJob{};
};

/// The owner of an epoch is about to renew leases at a target.
struct target_taken
{
  std::string mTarget;
  std::uint64_t mEpoch = 0;
};

/// State of a job as a whole, as part of a snapshot.
struct job_snapshot
{
  job mJob;
};

/// One record of the journal. Applied in the order of the journal, all daemons reach the same
/// state.
using journal_record = std::variant<job_submitted, job_cancelled, run_started, run_ended,
                                    job_given_up, job_snapshot, target_taken>;

/// MessagePack; the first element of each record names its kind.
std::string encode(const journal_record& aRecord);
/// INVALID_ARGUMENT if the bytes are no record.
absl::StatusOr<journal_record> decodeRecord(std::string_view aBytes);

} // namespace endiveusher::scheduler
