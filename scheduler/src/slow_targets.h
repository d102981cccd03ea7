#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/job.h"
#include "run_times.h"
#include "waiting_step.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endiveusher::scheduler::internal {

/// A run that has taken longer than run_times::slowAfter(), at its end or so far.
struct slow_run
{
  task_key mTask;
  std::string mRoute;
  std::string mTeam;
  time_point mStart;
  /// Time at which it was known to be slow.
  time_point mAt;
  /// See run_times::evidenceWeight().
  double mWeight = 0;
  /// Its time so far over its prediction.
  double mRatio = 1;
};

/// A target that is to get no new tasks for a while.
struct slow_mark
{
  target_number mTarget = 0;
  time_point mUntil;
  duration mPeriod{ 0 };
  /// Largest ratio of a run's time to its prediction.
  double mRatio = 1;
  /// Number of slow runs that tell so.
  std::size_t mRuns = 0;
  /// Whether the last slow run has set or doubled the period.
  bool mHasChanged = false;
};

/// Decides from slow runs which targets are slow. Pure: the time is passed in. Bounded by the
/// number of targets.
///
/// Load pattern: a seventh of the targets is 5 to 7.5 times as slow as usual for 6.5 s while they
/// answer all calls; an urgent task that starts there takes 4 to 6 s instead of 0.85 s.
class slow_targets
{
public:
  /// Time in which slow runs of a target are counted together.
  static constexpr std::chrono::seconds kEvidencePeriod{ 5 };
  /// Time without new tasks, doubled while later runs are slow as well, and its upper limit.
  static constexpr std::chrono::milliseconds kMinPeriod{ 1000 };
  static constexpr std::chrono::milliseconds kMaxPeriod{ 8000 };
  /// Largest number of slow runs that are kept for a target.
  static constexpr std::size_t kMaxEvidence = 8;

  struct judgement
  {
    /// Set if the target is slow by the run.
    std::optional<slow_mark> mMark;
    /// Whether the target does not explain the run: one that was fast has begun later there.
    bool mIsOutlier = false;
  };
  /// Counts a slow run.
  judgement onSlow(target_number aTarget, slow_run aRun);
  /// Counts a run again that has been counted as slow before: it is still open, or ends now. As
  /// long as it is open, the target gets no new tasks.
  void onStillSlow(target_number aTarget, double aRatio, bool aIsOpen, time_point aNow);
  struct clearance
  {
    bool mWasMarked = false;
    /// Slow runs that the target does not explain: it was not slow by them, or the run that ended
    /// was fast beside them.
    std::vector<slow_run> mOutliers;
  };
  /// Counts a run that has ended within its predicted time.
  clearance onFast(target_number aTarget, time_point aStart, time_point aNow);
  /// Drops what is too old to count. Returns the slow runs of targets that did not turn out slow.
  std::vector<slow_run> dropOld(time_point aNow);
  /// Drops the history of a target that has restarted or is gone.
  void forget(target_number aTarget) { mTargets.erase(aTarget); }
  /// Returns the slow targets, the slowest first.
  std::vector<slow_mark> marks(time_point aNow) const;

private:
  struct history
  {
    std::vector<slow_run> mEvidence;
    /// Absent if the target has not been slow for kMaxPeriod.
    std::optional<slow_mark> mMark;
    /// Time at which the period was set: runs that have started later are later runs.
    time_point mPeriodSince{};
    /// Latest start of a run that was fast, and the time of its end.
    time_point mFastStart{};
    time_point mFastEnd{};
  };

  std::map<target_number, history> mTargets;
};

/// What is known of a run's time.
struct run_measurement
{
  const job_spec* mJob = nullptr;
  duration mEstimate{ 0 };
  duration mTime{ 0 };
  duration mPredicted{ 0 };

  double ratio() const
  {
    return static_cast<double>(mTime.count()) / static_cast<double>(mPredicted.count());
  }
};

/// What an owner with owner_options::mLearnRunTimes or mAvoidSlowTargets has learned.
struct run_time_learning
{
  run_times mTimes;
  slow_targets mSlow;
  /// Runs that were ordered before this time are not counted: the owner was paused while they ran.
  time_point mCountedFrom{};
  time_point mNextCheck{};
  /// Number of targets that get no new tasks because they are slow.
  std::size_t mExcluded = 0;
  std::uint64_t mMoved = 0;
  /// Times of the last moves, for their rate.
  std::vector<time_point> mMoves;
};

} // namespace endiveusher::scheduler::internal
