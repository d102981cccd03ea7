#pragma once

#include "endiveusher/kernel/messages/target.h"
#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher::standins {

/// Checks by which a target rejects orders. Tests of the scheduler's own checks switch them off.
struct target_refusals
{
  /// Rejects orders of another owner or epoch, and starts after their start_by.
  bool mStale = true;
  /// Rejects starts beyond the capacity.
  bool mFull = true;
  /// Rejects starts while the target is leaving.
  bool mLeaving = true;

  static constexpr target_refusals none()
  {
    return { .mStale = false, .mFull = false, .mLeaving = false };
  }
};

struct target_faults
{
  /// Every start fails with failed_to_start.
  bool mFailsStarts = false;
  /// Tasks fail shortly after their start.
  bool mFailsTasks = false;
  /// Ratio of measured use to declared size, unless the command states the actual use.
  double mUseFactor = 1.0;
};

struct target_options
{
  target_id mTarget;
  resources mCapacity{ .mSlots = 8, .mCpuMilli = 32'000, .mMemoryMb = 64'000 };
  target_refusals mRefuses;
  target_faults mFaults;
  /// Delay until a change of use shows in the measured use.
  duration mMeasureLag = std::chrono::seconds(2);
  /// Time from the checkpoint order to the end of the attempt.
  duration mCheckpointTime = std::chrono::milliseconds(20);
  /// Run time of tasks that state none.
  std::chrono::milliseconds mDefaultRunTime{ 1000 };
  /// Rate of the target's clock relative to aNow.
  double mClockRate = 1.0;
};

/// Behaviour of a task, parsed from its command: `run=250ms exit=0 real_cpu=500 real_memory=64`
/// (thousandths of a core, MB). Other words are ignored.
struct task_script
{
  std::optional<std::chrono::milliseconds> mRunTime;
  std::int32_t mExitCode = 0;
  std::optional<std::int64_t> mActualCpuMilli;
  std::optional<std::int64_t> mActualMemoryMb;
};
task_script parseScript(const std::string& aCommand);

/// Start or end of an attempt on a target, for checkers.
struct target_observation
{
  enum class kind
  {
    started,
    ended,
    lost, ///< The target restarted and lost the attempt.
  };
  kind mKind = kind::started;
  time_point mAt{};
  target_id mTarget;
  task_attempt mTask;
  /// Set for ended.
  attempt_outcome mOutcome = attempt_outcome::succeeded;
  /// Set for ended with outcome checkpointed.
  std::string mCheckpoint;
  bool mTargetLeaving = false;
};

/// Model of a target (requirements, section 4.1): ownership lease, task table and task leases, all
/// on the target's own clock.
///
/// Usage: `auto response = target.exchange(request, now);`
class target_model
{
public:
  target_model(target_options aOptions, time_point aNow);

  exchange_response exchange(const exchange_request& aRequest, time_point aNow);
  /// Ends the tasks whose run time or lease has expired.
  void advance(time_point aNow);
  /// Restarts the target as a new incarnation without tasks or ownership.
  void restart(time_point aNow);

  void setFaults(const target_faults& aFaults) { mOptions.mFaults = aFaults; }
  void setLeaving(bool aLeaving) { mLeaving = aLeaving; }
  bool leaving() const { return mLeaving; }
  const target_options& options() const { return mOptions; }

  /// Returns the running attempts, ordered by task key.
  std::vector<task_attempt> running() const;
  /// Returns the sum of the declared sizes of the running attempts.
  resources used() const;
  /// Returns the starts and ends since the last call, oldest first.
  std::vector<target_observation> takeObservations();
  /// Number of starts by task key, over all incarnations.
  const std::map<task_key, std::uint32_t>& starts() const { return mStarts; }
  /// Number of starts that raised the sum of declared sizes above the capacity.
  std::uint64_t overcommits() const { return mOvercommits; }

  target_time clockAt(time_point aNow) const;

private:
  struct running_entry
  {
    task_attempt mTask;
    target_time mLeaseUntil{ 0 };
    target_time mStartedAt{ 0 };
    /// Work remaining at mRateSince, as run time at full rate; absent for tasks without end.
    std::optional<target_time> mRemainingWork;
    target_time mRateSince{ 0 };
    std::uint32_t mRatePercent = 100;
    /// Work done before mRateSince, including that contained in the checkpoint.
    target_time mWorkDone{ 0 };
    std::int32_t mExitCode = 0;
    resources mActualUse;
    std::optional<target_time> mCheckpointedAt;
  };
  struct task_end
  {
    target_time mAt{ 0 };
    attempt_outcome mOutcome = attempt_outcome::succeeded;
  };

  order_result_code execute(const target_order& aOrder, const exchange_request& aRequest,
                            bool aInForce, time_point aNow);
  order_result_code start(const target_order& aOrder, const exchange_request& aRequest,
                          bool aInForce, time_point aNow);
  void endTask(const task_key& aKey, const task_end& aEnd, time_point aNow);
  task_end nextEnd(const running_entry& aTask) const;
  target_time workSinceRateChange(const running_entry& aTask, target_time aAt) const;
  void setRate(running_entry& aTask, std::uint32_t aPercent, target_time aAt);
  void recordUse(time_point aNow);
  resources measuredUse(time_point aNow);

  target_options mOptions;
  time_point mIncarnationStart{};
  std::uint64_t mIncarnationNumber = 1;
  bool mLeaving = false;

  incarnation_id mOwner;
  std::uint64_t mEpoch = 0;
  target_time mOwnerUntil{ 0 };

  std::map<task_key, running_entry> mTable;
  std::uint64_t mTableVersion = 1;
  std::uint64_t mNextFinishedId = 1;
  std::map<std::uint64_t, finished_attempt> mFinished;
  /// Results of start orders by daemon and order id, with the start_by of each order.
  std::map<std::pair<incarnation_id, std::uint64_t>, std::pair<order_result_code, target_time>>
    mResults;
  std::uint64_t mNextCheckpoint = 1;
  std::deque<std::pair<time_point, resources>> mUseHistory;

  std::vector<target_observation> mObservations;
  std::map<task_key, std::uint32_t> mStarts;
  std::uint64_t mOvercommits = 0;
};

} // namespace endiveusher::standins
