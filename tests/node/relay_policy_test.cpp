#include "relay_policy.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace endiveusher;
using namespace endiveusher::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(relay_policy)
{
  static constexpr std::size_t kTargets = 350;
  static constexpr double kCores = 0.5;
  relay_policy policy;
  time_point now{ seconds(100) };
  int switches = 0;

  /// Has the loop spend its time so for aTime.
  void run(milliseconds aTime, const loop_load& aLoad, std::size_t aTargets = kTargets)
  {
    for (auto at = milliseconds(0); at < aTime; at += milliseconds(50)) {
      now += milliseconds(50);
      const bool before = policy.relays();
      switches += policy.update(aLoad, aTargets, kCores, now) != before ? 1 : 0;
    }
  }
  /// Has starts, ends and heartbeats take a part of the loop's time if all calls are direct; relays
  /// leave a third of the calls' part.
  void runDemand(milliseconds aTime, double aDirectCalls, double aOther)
  {
    for (auto at = milliseconds(0); at < aTime; at += milliseconds(50)) {
      const auto calls =
        policy.relays() ? aDirectCalls / relay_policy::kDirectCostFactor : aDirectCalls;
      const auto whole = std::max(1.0, calls + aOther);
      run(milliseconds(50), { .mIdle = 1 - (calls + aOther) / whole, .mCalls = calls / whole });
    }
  }
};

// Guards against an owner that has no time left for decisions, because it makes all calls of a
// burst itself. Load: calls take 0.6 and decisions 0.35 of its time.
TEST(relay_policy, aBurstOfCallsEnablesRelaysWithinASecond)
{
  runDemand(seconds(5), 0.2, 0.1);
  CHECK_FALSE(policy.relays());
  runDemand(milliseconds(1000), 0.6, 0.35);
  CHECK(policy.relays());
}

// Guards against orders that wait for a batch and a second hop without need.
TEST(relay_policy, aLoopWithTimeLeftMakesItsCallsItself)
{
  runDemand(seconds(60), 0.25, 0.25);
  CHECK_FALSE(policy.relays());
  CHECK_EQUAL(0, switches);
}

// Guards against relays that take nothing over: decisions alone keep the loop busy.
TEST(relay_policy, decisionsAloneEnableNoRelays)
{
  runDemand(seconds(10), 0.05, 0.9);
  CHECK_FALSE(policy.relays());
}

// Guards against connections to all targets that are opened at each change of a load near the
// limit. Load: it goes up and down around the limit every second.
TEST(relay_policy, aLoadNearTheLimitDoesNotSwitchBackAndForth)
{
  for (int turn = 0; turn < 60; ++turn) {
    runDemand(seconds(1), turn % 2 == 0 ? 0.45 : 0.3, 0.25);
  }
  CHECK(switches <= 1);
}

TEST(relay_policy, relaysAreDisabledAfterTheBurst)
{
  runDemand(seconds(5), 0.6, 0.35);
  runDemand(seconds(20), 0.15, 0.1);
  CHECK_FALSE(policy.relays());
  CHECK_EQUAL(2, switches);
}

// The sizes of a cell that an owner cannot serve alone, and of one where relays take over little.
TEST(relay_policy, theNumberOfTargetsBoundsTheDecision)
{
  run(milliseconds(100), { .mIdle = 0.9, .mCalls = 0.05 }, 1100);
  CHECK(policy.relays());
  policy.reset();
  run(seconds(5), { .mIdle = 0, .mCalls = 0.6 }, 48);
  CHECK_FALSE(policy.relays());
}
