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

/// Asserts M1 to M11 over what really happens on the targets, in the log and at the callers.
/// It has its own reading of the configuration, so that a fault in control_state shows.
class soak_checker
{
public:
  /// Requirement: "a few seconds" (M3, M4, M5, M9).
  static constexpr duration kFewSeconds = std::chrono::seconds(4);
  /// Requirement: configuration in force within 3 s (M11).
  static constexpr duration kInForceWithin = std::chrono::seconds(3);
  /// Graceful shutdown deadline of section 4.9, and a tick (M10).
  static constexpr duration kShutdownWithin = std::chrono::milliseconds(10'100);
  /// A lowered limit of a calm cell: in force within a few seconds, then the stops (M4).
  static constexpr duration kLoweredWithin = std::chrono::seconds(8);
  /// Time without faults after which the cell counts as calm.
  static constexpr duration kCalmAfter = std::chrono::seconds(30);

  explicit soak_checker(simulation& aSim) : mSim(&aSim) {}

  /// A start, end or loss on a target of aZone. aUsed: sum of declared sizes there now.
  void onTarget(const target_observation& aObservation, const zone_name& aZone,
                const resources& aUsed, const resources& aCapacity);
  void onLeaving(const target_id& aTarget) { mLeavingSince[aTarget] = mSim->now(); }
  void onControlRecord(log_offset aOffset, const control_record& aRecord);

  /// A caller makes up a request. aTasks and aTeam are what it asks for.
  void onRequest(const job_spec& aSpec);
  /// A daemon handles the submission.
  void onSubmit(const request_id& aRequest, const std::string& aKeyDigest);
  /// A caller receives an answer.
  void onAnswer(const call& aCall, const answer& aAnswer);
  void onUnanswered(const std::string& aCallText);
  /// Regular look at a daemon. aConnected: since when it runs and reaches the log undisturbed.
  void onDaemon(const incarnation_id& aIncarnation, const control_state& aControl,
                std::optional<time_point> aConnected);
  void onStopped(const std::string& aVm, duration aTook, std::size_t aOpenCalls, bool aCalm);
  /// Regular look at the limits. aCalmSince: absent during faults.
  void checkLimits(std::optional<time_point> aCalmSince);

  void fail(const std::string& aInvariant, const std::string& aText);

  const std::vector<violation>& violations() const { return mViolations; }
  std::uint64_t started() const { return mStarted; }
  std::uint64_t finished() const { return mFinished; }
  log_offset lastChange(const std::string& aEntry) const;

private:
  struct task_history
  {
    std::set<target_id> mRunningOn;
    std::uint32_t mFreshStarts = 0;
    std::set<std::string> mMade;
    std::set<std::string> mResumed;
    bool mSucceeded = false;
    bool mEndedWithError = false;
  };
  struct request_history
  {
    job_spec mSpec;
    std::string mCommandRun;
    /// A submission with a key of the team was handled.
    bool mMayStart = false;
    bool mStarted = false;
    bool mRefused = false;
    std::map<std::uint32_t, task_history> mTasks;
  };

  void onStart(const target_observation& aObservation, const zone_name& aZone);
  void onJobStatus(const request_id& aRequest, const job_status& aStatus);
  void onPublished(const publish_call& aCall, const answer& aAnswer);
  std::string configText() const;
  static std::string configText(const config_view& aView);
  /// Largest limits in force during the last kFewSeconds, or aWithin.
  limit_vector allowed(const team_name& aTeam, duration aWithin) const;

  simulation* mSim;
  std::vector<violation> mViolations;
  std::set<std::string> mReported;
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
  /// Operation to the offset that decided it, and whether it was applied.
  std::map<std::string, std::pair<log_offset, bool>> mOperations;
  std::set<std::string> mRefusedOperations;
  /// Text of the configuration after each offset at which it changed.
  std::map<log_offset, std::string> mConfigAt;
  std::deque<std::pair<time_point, log_offset>> mConfigTimes;
  std::map<incarnation_id, log_offset> mSeenOffset;
  std::set<request_id> mTickets;
};

} // namespace endiveusher::standins
