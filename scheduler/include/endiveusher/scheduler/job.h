#pragma once

#include "endiveusher/kernel/resources.h"
#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/index_set.h"
#include "endiveusher/scheduler/task_states.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::scheduler {

/// Wall-clock time, milliseconds since 1970.
using wall_time = std::chrono::milliseconds;

/// Job identifier; sixteen lower-case hexadecimal digits on the wire.
enum class job_id : std::uint64_t
{
};

inline constexpr std::size_t kJobIdDigits = 16;
std::optional<job_id> parseJobId(std::string_view aText);
std::string toText(job_id aId);

/// Identical tasks of a job that may start together.
struct step_spec
{
  std::uint32_t mCount = 1;
  /// Resources needed by one task.
  resources mNeeds;
  std::chrono::milliseconds mEstimate{ 0 };
  /// Indexes of the steps that must be complete before this one starts.
  std::vector<std::uint32_t> mAfter;
  bool mCheckpointing = false;
  /// Whether the tasks must all run at the same time.
  bool mGang = false;
  /// Whether the step is slower when spread over several racks.
  bool mRackLocal = false;
  bool mSpeculative = false;
  /// Whether the step runs until the job is cancelled.
  bool mLongRunning = false;
  /// Whether the tasks reserve no CPU and use only what other tasks leave idle.
  bool mUsesIdleCpu = false;
  /// Label that the target must have; empty for any target.
  std::string mRequiredLabel;
  /// Rack that holds the input data; empty if there is none.
  std::string mDataRack;
  /// Maximum number of tasks of the step on one target; 0 for no limit.
  std::uint32_t mMaxPerTarget = 0;
  /// Maximum number of tasks that the scheduler may have stopped at a time; 0 if not stated.
  std::uint32_t mMaxUnavailable = 0;

  /// Capacity that one task takes from its target.
  resources capacityNeeds() const
  {
    resources needs = mNeeds;
    needs.mCpuMilli = mUsesIdleCpu ? 0 : needs.mCpuMilli;
    return needs;
  }
};

struct job_spec
{
  job_id mId{};
  std::string mRoute;
  std::string mTeam;
  /// Opaque data passed to the targets unchanged.
  std::string mPayload;
  std::vector<step_spec> mSteps;
  /// Occurrence k is due at mFirstDue + k * mInterval. If mRepeat is 0, the job has one occurrence
  /// without a due time.
  wall_time mFirstDue{ 0 };
  std::chrono::milliseconds mInterval{ 0 };
  std::uint32_t mRepeat = 0;
  wall_time mSubmitted{ 0 };
  /// Route by which the job was accepted, see jobTermsOf(): the job outlives it. Absent in records
  /// of earlier versions.
  std::optional<route_config> mAcceptedBy;

  std::uint32_t occurrences() const { return mRepeat == 0 ? 1 : mRepeat; }
  /// Whether callers of the team may see the job. Callers of public routes have no team and see
  /// every job.
  bool visibleTo(std::string_view aTeam) const { return aTeam.empty() || aTeam == mTeam; }
  wall_time due(std::uint32_t aOccurrence) const
  {
    return mRepeat == 0 ? wall_time{ 0 } : mFirstDue + aOccurrence * mInterval;
  }
};

/// One step of one occurrence of a job.
struct step_key
{
  job_id mJob{};
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;

  auto operator<=>(const step_key&) const = default;
};

struct task_key
{
  step_key mStep;
  std::uint32_t mIndex = 0;

  auto operator<=>(const task_key&) const = default;
};

/// `job.occurrence.step[.index]`, the form used for tasks in messages to targets.
std::string toText(const step_key& aKey);
std::string toText(const task_key& aKey);
std::optional<task_key> parseTaskKey(std::string_view aText);

/// How a run of a task ended. The values are part of the stored format.
enum class run_end : std::uint8_t
{
  done,
  failed,
  /// Ended by an order, an expired lease, another member of its gang or a planned leave of its
  /// target.
  interrupted,
  /// Did not start and cannot start any more.
  not_run,
  /// Its target has crashed, without a planned leave, while the run may have been executing.
  target_lost,
  /// As target_lost, soon after the run was ordered.
  target_lost_at_start,
  /// Its lease has expired at a target that has been silent since. Does not count against the task,
  /// unless a further record of the run's end says that the target has crashed.
  target_silent,
  /// As target_silent, if contact was lost soon after the run was ordered.
  target_silent_at_start,
};

/// Whether a run that ends so ends with the contact to its target, soon after it was ordered.
constexpr bool isAtStart(run_end aOutcome)
{
  return aOutcome == run_end::target_lost_at_start || aOutcome == run_end::target_silent_at_start;
}
constexpr bool isTargetLost(run_end aOutcome)
{
  return aOutcome == run_end::target_lost || aOutcome == run_end::target_lost_at_start;
}
constexpr bool isTargetSilent(run_end aOutcome)
{
  return aOutcome == run_end::target_silent || aOutcome == run_end::target_silent_at_start;
}

/// Returns the outcome's name, for the log.
std::string_view toText(run_end aOutcome);

/// An end of a run that counts against its task or gang, kept for the log.
struct counted_end
{
  std::uint32_t mIndex = 0;
  std::uint32_t mRun = 0;
  run_end mOutcome = run_end::failed;
  std::string mTarget;
};

/// A run that has ended as target_silent, as long as it is not known whether its target has
/// crashed.
struct silent_run
{
  std::uint32_t mIndex = 0;
  std::uint32_t mRun = 0;
  open_run mAt;
  bool mAtStart = false;
  bool mHasBegun = false;
};

/// Largest number of ends that a step keeps for the log; the oldest are dropped.
inline constexpr std::size_t kMaxCountedEnds = 32;
/// Largest number of silent runs of one task that a step keeps; a crash under an older one does not
/// count.
inline constexpr std::ptrdiff_t kMaxSilentRuns = 8;

struct step_state
{
  task_states mTasks;
  std::uint32_t mDone = 0;
  std::uint32_t mOpen = 0;
  /// Checkpoint from which all members of the gang resume; empty if there is none, or no gang.
  std::string mGangCheckpoint;
  /// Number of failed runs of the gang, and the latest of them. Each counts once, however many
  /// members have failed in it.
  std::uint32_t mGangFailures = 0;
  std::uint32_t mLastFailedRun = 0;
  /// The latest ends that count against a task or the gang, the oldest first.
  std::vector<counted_end> mCountedEnds;
  /// The latest ones, the oldest first.
  std::vector<silent_run> mSilentRuns;

  bool complete() const { return mDone == mTasks.size(); }
  const std::string& checkpointOf(std::uint32_t aTask) const
  {
    return mGangCheckpoint.empty() ? mTasks[aTask].mCheckpoint : mGangCheckpoint;
  }
};

enum class job_phase : std::uint8_t
{
  active,
  completed,
  failed,
  cancelled,
};

struct job
{
  job_spec mSpec;
  job_phase mPhase = job_phase::active;
  /// Whether any task has been started; false again if none of the starts had any effect.
  bool mStarted = false;
  /// Opened occurrences by index; see job_table::openOccurrence().
  std::map<std::uint32_t, std::vector<step_state>> mOccurrences;
  std::uint32_t mOccurrencesDone = 0;
  /// Complete occurrences whose states were dropped, see job_table::dropCompleted().
  index_set mDropped;
  /// End of the job on the local clock; the job is dropped after the retention period.
  std::chrono::microseconds mEndedAt{ 0 };
  /// What the job counts in job_table::bytes().
  std::size_t mBytes = 0;

  const step_state* find(const step_key& aKey) const;
  /// Returns the state of a task; the initial state if its step is unknown, or the states of its
  /// occurrence were dropped.
  const task_state& taskOf(const task_key& aKey) const;
  /// Whether the occurrence is open and all steps listed in mAfter are complete.
  bool eligible(const step_key& aKey) const;
};

} // namespace endiveusher::scheduler
