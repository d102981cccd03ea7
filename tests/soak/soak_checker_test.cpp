#include <string>

#include "soak/soak_cell.h"
#include "soak/soak_checker.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::standins;
using namespace std::chrono_literals;

// Each test guards against a checker that misses a violation, or that reports one for behaviour
// which the requirement allows.
TEST_GROUP(soak_checker)
{
  simulation mSim{ 1, 10 };
  soak_checker mChecker{ mSim };
  const std::string mKey = soak_cell::digestOf("k");
  const resources mCapacity{ 8, 32'000, 64'000, 0 };
  log_offset mOffset = 0;

  void setup() override
  {
    publish(set_team{ .mTeam = "a", .mLimit = { .mTasks = 2 } });
    publish(grant_key{ .mTeam = "a", .mKeyDigest = mKey });
  }
  void publish(const config_change& aChange)
  {
    mChecker.onControlRecord(
      mOffset, { .mBody = config_record{ .mOperationId = "o" + std::to_string(mOffset),
                                         .mChanges = { aChange } } });
    ++mOffset;
  }
  void request(const request_id& aRequest, bool aIdempotent = true)
  {
    mChecker.onRequest({ .mRequest = aRequest, .mTeam = "a", .mIdempotent = aIdempotent });
    mChecker.onSubmit(aRequest, mKey);
  }
  void observe(target_observation::kind aKind, const request_id& aRequest, const target_id& aTarget,
               const std::string& aCheckpoint = "", const resources& aUsed = {})
  {
    target_observation seen{ .mKind = aKind,
                             .mTarget = aTarget,
                             .mTask = { .mKey = { aRequest, 0 }, .mTeam = "a" } };
    if (aKind == target_observation::kind::started) {
      seen.mTask.mCheckpoint = aCheckpoint;
    } else {
      seen.mCheckpoint = aCheckpoint;
      seen.mOutcome = attempt_outcome::succeeded;
    }
    mChecker.onTarget(seen, "z1", aUsed, mCapacity);
  }
  void start(const request_id& aRequest, const target_id& aTarget,
             const std::string& aCheckpoint = "", const resources& aUsed = {})
  {
    observe(target_observation::kind::started, aRequest, aTarget, aCheckpoint, aUsed);
  }
  void end(const request_id& aRequest, const target_id& aTarget,
           const std::string& aCheckpoint = "")
  {
    observe(target_observation::kind::ended, aRequest, aTarget, aCheckpoint);
  }
  void advance(duration aTime)
  {
    mSim.runUntil(mSim.now() + aTime);
  }
  /// Returns the names of the violations found, such as `M1 M2 `.
  std::string found() const
  {
    std::string names;
    for (const auto& violation : mChecker.violations()) {
      names += violation.mInvariant + " ";
    }
    return names;
  }
};

TEST(soak_checker, noticesOvercommit)
{
  request("r");
  start("r", "t1", "", { .mSlots = 9 });
  STRCMP_EQUAL("M1 ", found().c_str());
}

TEST(soak_checker, noticesATaskOnTwoTargets)
{
  request("r");
  start("r", "t1");
  end("r", "t1");
  start("r", "t1");
  STRCMP_EQUAL("", found().c_str());
  start("r", "t2");
  STRCMP_EQUAL("M2 ", found().c_str());
}

TEST(soak_checker, noticesWorkWithoutKey)
{
  publish(withdraw_key{ .mKeyDigest = mKey });
  advance(3s);
  request("early");
  start("early", "t1");
  STRCMP_EQUAL("", found().c_str());
  advance(2s);
  request("late");
  start("late", "t1");
  STRCMP_EQUAL("M3 ", found().c_str());
}

TEST(soak_checker, noticesStartsAboveTheLimit)
{
  for (const char* name : { "r1", "r2", "r3" }) {
    request(name);
  }
  start("r1", "t1");
  publish(set_team{ .mTeam = "a", .mLimit = { .mTasks = 1 } });
  advance(3s);
  start("r2", "t1");
  STRCMP_EQUAL("", found().c_str());
  advance(2s);
  start("r3", "t1");
  STRCMP_EQUAL("M4 ", found().c_str());
}

TEST(soak_checker, noticesUsageAboveALoweredLimit)
{
  request("r1");
  start("r1", "t1");
  publish(set_team{ .mTeam = "a", .mLimit = { .mTasks = 0 } });
  advance(31s);
  mChecker.checkLimits(std::nullopt);
  STRCMP_EQUAL("", found().c_str());
  mChecker.checkLimits(time_point{});
  STRCMP_EQUAL("M4 ", found().c_str());
}

TEST(soak_checker, noticesStartsInAZoneOutAndOnLeavingTargets)
{
  request("r1");
  request("r2");
  publish(set_zone_state{ .mZone = "z1", .mState = zone_state::out });
  mChecker.onLeaving("t1");
  advance(3s);
  start("r1", "t1");
  STRCMP_EQUAL("", found().c_str());
  advance(2s);
  start("r2", "t1");
  STRCMP_EQUAL("M5 M9 ", found().c_str());
}

TEST(soak_checker, noticesAnswersForAnotherRequest)
{
  request("r1");
  const answer other{ .mClass = answer_class::ran,
                      .mBody = job_status{ .mRequest = "r2", .mTaskCount = 0 } };
  mChecker.onAnswer(wait_call{ .mRequest = "r1" }, other);
  STRCMP_EQUAL("M6 ", found().c_str());
}

TEST(soak_checker, noticesIncompleteAndFalseAnswers)
{
  request("r1");
  answer claim{ .mClass = answer_class::ran,
                .mBody = job_status{ .mRequest = "r1", .mTaskCount = 1 } };
  mChecker.onAnswer(wait_call{ .mRequest = "r1" }, claim);
  STRCMP_EQUAL("M6 ", found().c_str());
  std::get<job_status>(claim.mBody).mTasks = { { .mState = task_state::succeeded,
                                                 .mOutput = "ran r1/0" } };
  mChecker.onAnswer(wait_call{ .mRequest = "r1" }, claim);
  STRCMP_EQUAL("M6 M6 ", found().c_str());
}

TEST(soak_checker, noticesFalseNotRunAnswers)
{
  request("r1");
  request("r2");
  const answer refusal{ .mClass = answer_class::not_run, .mBody = call_error{ .mStatus = 503 } };
  mChecker.onAnswer(submit_call{ .mJob = { .mRequest = "r1" } }, refusal);
  STRCMP_EQUAL("", found().c_str());
  start("r1", "t1");
  STRCMP_EQUAL("M7 ", found().c_str());
  start("r2", "t1");
  mChecker.onAnswer(submit_call{ .mJob = { .mRequest = "r2" } }, refusal);
  STRCMP_EQUAL("M7 M7 ", found().c_str());
}

TEST(soak_checker, noticesSecondRunsButAllowsOneResume)
{
  request("r1", false);
  start("r1", "t1");
  end("r1", "t1", "c1");
  start("r1", "t2", "c1");
  end("r1", "t2");
  STRCMP_EQUAL("", found().c_str());
  start("r1", "t3", "c1");
  end("r1", "t3");
  STRCMP_EQUAL("M8 ", found().c_str());
  request("r2", false);
  start("r2", "t1");
  end("r2", "t1");
  start("r2", "t1");
  STRCMP_EQUAL("M8 M8 ", found().c_str());
}

TEST(soak_checker, noticesUnansweredAndSlowShutdowns)
{
  mChecker.onStopped("e1", 9s, 0, true);
  mChecker.onStopped("e2", 9s, 1, false);
  STRCMP_EQUAL("", found().c_str());
  mChecker.onStopped("e3", 9s, 1, true);
  mChecker.onStopped("e4", 11s, 0, false);
  STRCMP_EQUAL("M10 M10 ", found().c_str());
}

TEST(soak_checker, noticesConfigurationThatIsNotInForce)
{
  control_state state;
  mChecker.onDaemon("e1.1", state, mSim.now());
  STRCMP_EQUAL("", found().c_str());
  advance(4s);
  mChecker.onDaemon("e1.1", state, std::nullopt);
  STRCMP_EQUAL("", found().c_str());
  mChecker.onDaemon("e1.1", state, time_point{});
  STRCMP_EQUAL("M11 ", found().c_str());
}
