#pragma once

#include "endiveusher/kernel/control_state.h"
#include "soak/simulation.h"
#include "soak/soak_options.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher::standins {

/// Checks the invariants M1 to M11 against what happens on the targets, in the log and at the
/// callers. Applies the configuration records itself, so that faults in control_state are found.
class soak_checker
{
public:
  /// Upper limit for the requirement "a few seconds" (M3, M4, M5, M9).
  static constexpr duration kEnforcementDelay = std::chrono::seconds(4);
  /// Time within which a configuration must be in force (M11: 3 s).
  static constexpr duration kConfigDeadline = std::chrono::seconds(3);
  /// Deadline of a graceful shutdown (requirements, section 4.9) plus the time of a tick (M10).
  static constexpr duration kShutdownDeadline = std::chrono::milliseconds(10'100);
  /// Time within which usage must be below a lowered limit in a cell without faults: a few seconds
  /// until the limit is in force, then the stops of tasks (M4).
  static constexpr duration kLoweredLimitDeadline = std::chrono::seconds(8);
  /// Time without faults after which the usage is checked against the limits.
  static constexpr duration kSettlingTime = std::chrono::seconds(30);

  explicit soak_checker(simulation& aSim) : mSim(&aSim) {}

  /// Handles a start, end or loss on a target in aZone. aUsed is the sum of the declared sizes on
  /// the target.
  void onTarget(const target_observation& aObservation, const zone_name& aZone,
                const resources& aUsed, const resources& aCapacity);
  void onLeaving(const target_id& aTarget) { mLeavingSince[aTarget] = mSim->now(); }
  void onControlRecord(log_offset aOffset, const control_record& aRecord);

  /// Registers a request before its first submission.
  void onRequest(const job_spec& aSpec);
  /// Called when a daemon handles a submission.
  void onSubmit(const request_id& aRequest, const std::string& aKeyDigest);
  /// Called when a caller receives an answer.
  void onAnswer(const call& aCall, const answer& aAnswer);
  void onUnanswered(const std::string& aCallText);
  /// Checks the configuration of a daemon; called periodically. aConnected is the start of the time
  /// in which it runs and reaches the log without faults.
  void onDaemon(const incarnation_id& aIncarnation, const control_state& aControl,
                std::optional<time_point> aConnected);
  void onStopped(const std::string& aVm, duration aTook, std::size_t aOpenCalls, bool aFaultFree);
  /// Checks usage against the limits; called periodically. aFaultFreeSince is absent while faults
  /// are active.
  void checkLimits(std::optional<time_point> aFaultFreeSince);

  void reportViolation(const std::string& aInvariant, const std::string& aText);

  const std::vector<violation>& violations() const { return mViolations; }
  std::uint64_t started() const { return mStarted; }
  std::uint64_t finished() const { return mFinished; }
  log_offset lastChange(const std::string& aEntry) const;

private:
  struct task_history
  {
    std::set<target_id> mRunningOn;
    std::uint32_t mFreshStarts = 0;
    std::set<std::string> mCheckpoints;
    std::set<std::string> mResumedFrom;
    bool mSucceeded = false;
    bool mEndedWithError = false;
  };
  struct request_history
  {
    job_spec mSpec;
    std::string mStartedCommand;
    /// Whether a submission with a key of the team was handled.
    bool mAuthorized = false;
    bool mStarted = false;
    bool mAnsweredNotRun = false;
    std::map<std::uint32_t, task_history> mTasks;
  };

  void onStart(const target_observation& aObservation, const zone_name& aZone);
  void onJobStatus(const request_id& aRequest, const job_status& aStatus);
  void onPublished(const publish_call& aCall, const answer& aAnswer);
  std::string configText() const;
  static std::string configText(const config_view& aView);
  /// Returns, by resource, the largest limit in force during the last aWithin.
  limit_vector largestLimit(const team_name& aTeam, duration aWithin) const;

  simulation* mSim;
  std::vector<violation> mViolations;
  std::set<std::string> mReportedObjects;
  std::map<request_id, request_history> mRequests;
  std::map<target_id, time_point> mLeavingSince;
  std::map<team_name, resources> mRunning;
  std::uint64_t mStarted = 0;
  std::uint64_t mFinished = 0;

  std::map<team_name, set_team> mTeams;
  std::map<team_name, std::deque<std::pair<time_point, limit_vector>>> mLimits;
  std::map<std::string, team_name> mKeys;
  std::map<std::string, std::pair<team_name, time_point>> mWithdrawn;
  std::map<zone_name, time_point> mOutSince;
  std::map<std::string, log_offset> mLastChange;
  /// Offset of the record that decided each operation, and whether the operation was applied.
  std::map<std::string, std::pair<log_offset, bool>> mOperations;
  std::set<std::string> mRefusedOperations;
  /// Text of the configuration by the offset after the record that changed it.
  std::map<log_offset, std::string> mConfigAt;
  std::deque<std::pair<time_point, log_offset>> mConfigTimes;
  std::map<incarnation_id, log_offset> mSeenOffset;
  std::set<request_id> mTickets;
};

} // namespace endiveusher::standins
