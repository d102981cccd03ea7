#pragma once

#include "endiveusher/kernel/ids.h"
#include "endiveusher/kernel/resources.h"
#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace endiveusher {

/// The kinds of workload.
enum class job_kind
{
  service, ///< Runs until cancelled; restarted when a task ends.
  batch,   ///< May wait; each task runs to its end once.
  gang,    ///< All tasks start, or none does.
};

/// Job as specified by a caller. All tasks of a job are identical.
struct job_spec
{
  request_id mRequest;
  team_name mTeam;
  job_kind mKind = job_kind::batch;
  std::uint32_t mTaskCount = 1;
  /// Declared size of each task. mSlots is 1.
  resources mPerTask{ .mSlots = 1 };
  /// Declared run time of each task; zero if unknown.
  std::chrono::milliseconds mRunTime{ 0 };
  /// Urgent tasks go before all others of their team and may preempt batch tasks.
  bool mUrgent = false;
  /// Requested time from acceptance to start; zero if none.
  std::chrono::milliseconds mStartWithin{ 0 };
  /// A non-idempotent job runs each task at most once.
  bool mIdempotent = true;
  /// Zones that may run it; empty means all.
  std::vector<zone_name> mZones;
  /// Opaque to the scheduler; passed to the target.
  std::string mCommand;

  bool operator==(const job_spec&) const = default;
};

/// One attempt to run one task, as sent to placers and targets. Contains everything that is needed
/// to rebuild a placer's state from target tables.
struct task_attempt
{
  task_key mKey;
  /// Attempt number, from 1. A new attempt is made only after the previous one is confirmed not to
  /// be running.
  std::uint32_t mAttempt = 1;
  team_name mTeam;
  job_kind mKind = job_kind::batch;
  bool mUrgent = false;
  bool mIdempotent = true;
  resources mSize{ .mSlots = 1 };
  std::chrono::milliseconds mRunTime{ 0 };
  std::string mCommand;
  /// Checkpoint to resume from; empty for a fresh start.
  std::string mCheckpoint;
  /// Coordinator of the job.
  incarnation_id mCoordinator;
  /// Daemon that started the attempt and whose limit slice is charged.
  incarnation_id mPlacer;

  bool operator==(const task_attempt&) const = default;
};

/// Outcome of an attempt, as reported by the target.
enum class attempt_outcome
{
  succeeded,
  failed,
  stopped,
  checkpointed,
  lease_expired,
};

/// State of a task at its coordinator.
enum class task_state
{
  waiting,
  starting,
  running,
  succeeded,
  failed,
  cancelled,
  unknown, ///< A non-idempotent attempt whose outcome was lost.
};

} // namespace endiveusher
