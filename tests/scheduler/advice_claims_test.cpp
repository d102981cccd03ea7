#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

/// Steps that wait for room whose use needs advice.
TEST_GROUP(advice_claims)
{
  static constexpr milliseconds kCallTime{ 200 };

  owner_fixture cell;

  static step_spec task()
  {
    return { .mNeeds = { .mCpuMilli = 1000, .mMemoryMb = 10 }, .mEstimate = milliseconds(300) };
  }
  /// Starts the owner of a target with room for aTasks tasks, and of one without memory for any.
  void startOwner(int aTasks)
  {
    cell.addTarget("a", 1000 * aTasks);
    cell.addTarget("b", 8000, 1);
    for (auto& route : cell.mConfig.mRoutes) {
      route.mAdvice = { .mPerCall = kCallTime,
                        .mPerTarget = std::chrono::microseconds(1),
                        .mTicketLifetime = milliseconds(1500) };
    }
    cell.mAdviceService =
      fake_advice_service{ .mGoodPercent = { { "batch", 100 }, { "urgent", 0 } } };
    cell.mTasksEnd = true;
    cell.startNextOwner();
    std::vector<std::string> helpers;
    for (int helper = 0; helper < 40; ++helper) {
      helpers.push_back("10.0.0." + std::to_string(helper) + ":1");
    }
    cell.mOwner->setAdviceHelpers(helpers);
    cell.run(milliseconds(200));
  }
};

// Guards against a call for each step that waits, whatever room there is.
TEST(advice_claims, asManyStepsAskForAdviceAsThereIsRoomFor)
{
  startOwner(2);
  for (int step = 0; step < 20; ++step) {
    cell.submit(task());
  }
  cell.run(kCallTime / 2);
  CHECK_EQUAL(2, cell.mAdvice.size());
}

// Guards against steps that never ask because others claim the room again and again.
TEST(advice_claims, theStepsBehindAskOnceTheRoomIsFree)
{
  startOwner(2);
  for (int step = 0; step < 20; ++step) {
    cell.submit(task());
  }
  // Ten rounds of a call and a task, with the pauses between calls and between heartbeats.
  cell.run(10 * (kCallTime + milliseconds(300) + milliseconds(200)));
  for (const auto id : cell.submitted()) {
    CHECK(cell.find(id).mPhase == job_phase::completed);
  }
}

// Guards against room that is lost to a step for which the service permits no target.
TEST(advice_claims, aStepWithoutGoodTargetsDoesNotKeepTheRoomFromOthers)
{
  startOwner(1);
  cell.submitUrgent(task());
  cell.run(kCallTime / 2);
  const auto other = cell.submit(task());
  cell.run(3 * kCallTime);
  CHECK(cell.find(other).mStarted);
}
