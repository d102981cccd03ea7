#pragma once

#include "endiveusher/kernel/resources.h"
#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/job.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::scheduler {

/// Why a target takes no tasks of a step, or that it does. A target with several reasons counts for
/// the first of them.
enum class target_fit : std::uint8_t
{
  other_pool,
  label,
  /// Not listed, not acquired, silent or restarting.
  not_usable,
  draining,
  /// Excluded for a while after failures that are attributed to the target.
  avoided,
  /// Excluded for a while because runs there are slow.
  slow,
  closed_zone,
  no_room,
  isolation,
  fits,
};
inline constexpr std::size_t kTargetFits = 10;

std::string_view toText(target_fit aFit);

/// Maximum numbers of steps, and of targets and runs of each step, that an explanation lists.
inline constexpr std::size_t kMaxExplainedSteps = 8;
inline constexpr std::size_t kMaxExplainedTargets = 8;

/// Why a new job is rejected.
struct job_rejection
{
  std::chrono::seconds mRetryAfter{ 0 };
  std::string mReason;
};

struct explained_target
{
  std::string mId;
  std::string mZone;
  /// Tasks of the step that would start there; 0 for a target that would be queried.
  std::uint32_t mTasks = 0;
};

struct explained_stop
{
  task_key mTask;
  std::string mTarget;
};

/// Explains the placement of a step that waits for no other.
struct step_explanation
{
  std::uint32_t mStep = 0;
  std::uint32_t mTasks = 0;
  /// See internal::step_rank.
  int mBand = 0;
  /// Time from now until the latest start that meets the deadline; negative for a late step.
  duration mLatestStart{ 0 };
  /// Waiting steps of other jobs with a smaller rank, and their tasks.
  std::size_t mStepsBefore = 0;
  std::size_t mTasksBefore = 0;

  /// Components of 0 are unlimited.
  resources mTeamLimit;
  resources mTeamUsed;
  /// Reserved for gangs of the team that wait and have a smaller rank.
  resources mTeamReserved;
  /// Tasks of the step that fit into the limit.
  std::uint32_t mTeamSlots = 0;

  /// Number of targets by target_fit.
  std::array<std::size_t, kTargetFits> mTargets{};
  /// Tasks that would start at once, and on how many targets; of these, at most
  /// kMaxExplainedTargets.
  std::size_t mStarts = 0;
  std::size_t mTakenTargets = 0;
  std::vector<explained_target> mTaken;
  /// Why the other tasks would wait, as in the log line `step_waiting`; empty if all start.
  std::string mWaitReason;

  bool mNeedsAdvice = false;
  /// Targets that the step would query, the total cost of the calls, and some of the targets.
  std::size_t mQueriedTargets = 0;
  duration mAdviceCost{ 0 };
  std::vector<explained_target> mQueried;

  /// Runs that the step would preempt if it still waited after mPreemptsAfter from now; absent if
  /// it may preempt none.
  std::optional<duration> mPreemptsAfter;
  std::size_t mStoppedRuns = 0;
  std::vector<explained_stop> mStops;
};

/// Explains where a job would be placed if it were submitted now.
struct placement_explanation
{
  /// Absent if the job is admitted.
  std::optional<job_rejection> mRejection;
  /// Number of steps that wait for no other; the first of them by rank are explained.
  std::size_t mFirstSteps = 0;
  std::vector<step_explanation> mSteps;
  /// Waiting steps with a smaller rank that were not taken into account, to bound the time.
  std::size_t mIgnoredSteps = 0;
  /// Time since the oldest last report of the usable targets in the route's pool; absent if there
  /// is no such target.
  std::optional<duration> mOldestReport;
  /// Ages of what the owner has read of journal and registry; set by its daemon.
  std::optional<duration> mJournalAge;
  std::optional<duration> mRegistryAge;
};

} // namespace endiveusher::scheduler
