#pragma once

#include "endiveusher/kernel/resources.h"

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

/// A moment of the time of day, milliseconds since 1970.
using wall_time = std::chrono::milliseconds;

/// Sixteen hexadecimal digits on the wire.
enum class job_id : std::uint64_t
{
};

inline constexpr std::size_t kJobIdDigits = 16;
std::optional<job_id> parseJobId(std::string_view aText);
std::string toText(job_id aId);

/// Tasks of a job that are alike and may start together.
struct step_spec
{
  std::uint32_t mCount = 1;
  /// Of one task.
  resources mNeeds;
  std::chrono::milliseconds mEstimate{ 0 };
  /// Steps, by number, of which all tasks have to be done first.
  std::vector<std::uint32_t> mAfter;
  bool mCheckpointing = false;
  /// All tasks run at the same time or none does.
  bool mGang = false;
  /// Slower on more than one rack.
  bool mRackLocal = false;
  bool mSpeculative = false;
  /// Runs until the job is cancelled.
  bool mLongRunning = false;
  /// Takes no capacity into account, only what others leave unused.
  bool mFills = false;
  /// Label that the target must have; empty if any will do.
  std::string mRequiredLabel;
  /// Rack of the data; empty if there is none.
  std::string mDataRack;
  /// Most tasks of the step on one target; 0 for no bound.
  std::uint32_t mMaxPerTarget = 0;
  /// Most tasks that may be away by the scheduler's own doing; 0 if not stated.
  std::uint32_t mMaxUnavailable = 0;

  /// What one task takes of a target's capacity.
  resources roomNeeds() const
  {
    resources needs = mNeeds;
    needs.mCpuMilli = mFills ? 0 : needs.mCpuMilli;
    return needs;
  }
};

struct job_spec
{
  job_id mId{};
  std::string mRoute;
  std::string mTeam;
  /// Handed to the targets as it is.
  std::string mPayload;
  std::vector<step_spec> mSteps;
  /// Occurrence k is due at mFirstDue + k * mInterval; all at once if mRepeat is 0.
  wall_time mFirstDue{ 0 };
  std::chrono::milliseconds mInterval{ 0 };
  std::uint32_t mRepeat = 0;
  wall_time mSubmitted{ 0 };

  std::uint32_t occurrences() const { return mRepeat == 0 ? 1 : mRepeat; }
  /// Callers of public routes name no team and see every job.
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

/// `job.occurrence.step.index`, as targets name tasks.
std::string toText(const step_key& aKey);
std::string toText(const task_key& aKey);
std::optional<task_key> parseTaskKey(std::string_view aText);

/// How a run of a task ended.
enum class run_end : std::uint8_t
{
  done,
  failed,
  /// Ended by an order, a lapsed lease, another member of its gang or the loss of its target.
  interrupted,
  /// Never began and never will.
  not_run,
};

/// A run that may be going on.
struct open_run
{
  std::string mTarget;
  /// Start of the target's incarnation, Unix milliseconds.
  std::int64_t mBorn = 0;
};

struct task_state
{
  /// Number of the latest run, from 1; 0 if there was none.
  std::uint32_t mRun = 0;
  std::uint32_t mFailures = 0;
  bool mDone = false;
  std::optional<open_run> mOpen;
  std::string mCheckpoint;
};

struct step_state
{
  std::vector<task_state> mTasks;
  std::uint32_t mDone = 0;
  std::uint32_t mOpen = 0;
  /// Runs of the gang that ended failed.
  std::uint32_t mGangFailures = 0;

  bool complete() const { return mDone == mTasks.size(); }
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
  /// Whether any task has ever been started.
  bool mStarted = false;
  /// Due occurrences only; created when their time comes.
  std::map<std::uint32_t, std::vector<step_state>> mOccurrences;
  std::uint32_t mOccurrencesDone = 0;
  /// Own clock; when the job ended, for dropping it after the retention period.
  std::chrono::microseconds mEndedAt{ 0 };

  const step_state* find(const step_key& aKey) const;
  /// Whether all steps named in `after` are complete.
  bool eligible(const step_key& aKey) const;
};

} // namespace endiveusher::scheduler
