#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

/// What a planning pass of the owner costs, counted in visits of targets for steps: thousands of
/// steps wait in a full cell of a thousand targets.
TEST_GROUP(planning_pass)
{
  static constexpr std::size_t kTargets = 1100;
  static constexpr std::size_t kSteps = 5000;
  /// Each target may be visited for a few kinds of steps and each step may visit a few targets, but
  /// not each step all targets: that would be 5.5 million.
  static constexpr std::uint64_t kMaxVisits = 3 * (kTargets + kSteps);
  static constexpr std::int64_t kCore = 1000;

  owner_fixture cell;

  static step_spec step(std::int64_t aCores, std::uint32_t aCount = 1)
  {
    return { .mCount = aCount,
             .mNeeds = { .mCpuMilli = aCores * kCore, .mMemoryMb = 100 },
             .mEstimate = milliseconds(1000) };
  }
  /// Starts the owner of targets with one free core each.
  void startOwner()
  {
    for (std::size_t index = 0; index < kTargets; ++index) {
      cell.addTarget("t" + std::to_string(index), kCore);
    }
    cell.startNextOwner();
    cell.run(milliseconds(200));
  }
  void addAdvice()
  {
    cell.mConfig.mRoutes[0].mAdvice = { .mPerCall = milliseconds(11),
                                        .mPerTarget = std::chrono::microseconds(160),
                                        .mTicketLifetime = milliseconds(1500) };
    cell.mAdviceService = fake_advice_service{ .mGoodPercent = { { "batch", 100 } } };
  }
  void submitSteps(std::size_t aCount, const step_spec& aStep)
  {
    for (std::size_t each = 0; each < aCount; ++each) {
      cell.submit(aStep);
    }
  }
  /// Runs the cell and returns the largest number of visits of a pass.
  std::uint64_t mostVisits(milliseconds aTime)
  {
    constexpr milliseconds interval{ 5 };
    std::uint64_t most = 0;
    for (auto at = milliseconds(0); at < aTime; at += interval) {
      cell.run(interval);
      most = std::max(most, cell.mOwner->counts(cell.mNow).mLastPass.mVisits);
    }
    return most;
  }
};

TEST(planning_pass, aPassInWhichNothingChangesDoesNotVisitEachTargetForEachStep)
{
  startOwner();
  submitSteps(kSteps, step(2));
  const auto most = mostVisits(milliseconds(200));
  CHECK_EQUAL(kSteps, cell.mOwner->counts(cell.mNow).mLastPass.mSteps);
  CHECK_EQUAL(0, cell.running());
  CHECK_COMPARE(most, <=, kMaxVisits);
}

TEST(planning_pass, aPassInWhichNothingChangesIsAsCheapWithAdvice)
{
  addAdvice();
  startOwner();
  submitSteps(kSteps, step(2));
  const auto most = mostVisits(milliseconds(200));
  CHECK_EQUAL(0, cell.running());
  CHECK_COMPARE(most, <=, kMaxVisits);
}

TEST(planning_pass, stepsOfManySizesShareWhatOneOfThemFindsOut)
{
  startOwner();
  for (std::size_t each = 0; each < kSteps; ++each) {
    auto spec = step(2);
    spec.mNeeds.mCpuMilli += static_cast<std::int64_t>((each * 7919) % 3000);
    spec.mNeeds.mMemoryMb += static_cast<std::int64_t>((each * 104729) % 3000);
    cell.submit(spec);
  }
  const auto most = mostVisits(milliseconds(200));
  CHECK_EQUAL(0, cell.running());
  CHECK_COMPARE(most, <=, kMaxVisits);
}

TEST(planning_pass, wideGangsThatCannotStartDoNotVisitAllTargetsEach)
{
  startOwner();
  auto gang = step(2, 40);
  gang.mGang = true;
  submitSteps(kSteps, gang);
  const auto most = mostVisits(milliseconds(200));
  CHECK_EQUAL(0, cell.running());
  CHECK_COMPARE(most, <=, kMaxVisits);
}

TEST(planning_pass, stepsThatFindNothingToPreemptDoNotVisitAllTargetsEach)
{
  startOwner();
  for (std::size_t each = 0; each < kSteps; ++each) {
    cell.submitUrgent(step(2));
  }
  const auto most = mostVisits(milliseconds(1200));
  CHECK_EQUAL(0, cell.running());
  CHECK_COMPARE(most, <=, kMaxVisits);
}

TEST(planning_pass, aFreedTargetCostsOneTargetAndStartsAStep)
{
  startOwner();
  submitSteps(kSteps, step(2));
  cell.run(milliseconds(100));
  CHECK_EQUAL(0, cell.running());
  cell.setCapacity("t500", { .mCpuMilli = 2 * kCore, .mMemoryMb = 8000 });
  const auto most = mostVisits(milliseconds(100));
  CHECK_EQUAL(1, cell.running());
  CHECK_COMPARE(most, <=, kMaxVisits);
}

TEST(planning_pass, stepsThatArePlacedStopLookingWhenTheyHaveRoom)
{
  startOwner();
  submitSteps(kTargets, step(1));
  const auto most = mostVisits(milliseconds(100));
  CHECK_EQUAL(kTargets, cell.running());
  CHECK_COMPARE(most, <=, kMaxVisits);
}

TEST(planning_pass, theFirstAdviceCallOfAStepDoesNotVisitAllTargets)
{
  constexpr int helpers = 34;
  addAdvice();
  startOwner();
  std::vector<std::string> names;
  for (int index = 0; index < helpers; ++index) {
    names.push_back("10.0.0." + std::to_string(index) + ":1");
  }
  cell.mOwner->setAdviceHelpers(names);
  submitSteps(kSteps, step(1));
  const auto most = mostVisits(milliseconds(15));
  CHECK_COMPARE(cell.mAdvice.size(), >, helpers / 2U);
  // A call asks for at most 100 targets.
  CHECK_COMPARE(most, <=, kMaxVisits + cell.mAdvice.size() * 100);
}

// Guards against steps whose reason for waiting is not logged because many others wait too.
TEST(planning_pass, theReasonForWaitingIsLoggedForEachOfManySteps)
{
  constexpr std::ptrdiff_t steps = 400;
  cell.addTarget("a", kCore);
  cell.startNextOwner();
  cell.run(milliseconds(200));
  submitSteps(steps, step(2));
  cell.run(milliseconds(3500));
  CHECK_EQUAL(steps, std::ranges::count(cell.mEvents, "step_waiting"));
}

// Guards against capacity that a gang holds back and that later steps do not get once it is gone.
TEST(planning_pass, aStepStartsWhereAGangThatWasCancelledHeldCapacity)
{
  for (const auto* id : { "a", "b", "c", "d" }) {
    cell.addTarget(id, 4 * kCore);
  }
  cell.startNextOwner();
  cell.run(milliseconds(200));
  submitSteps(4, step(3));
  cell.run(milliseconds(100));
  CHECK_EQUAL(4, cell.running());
  auto gang = step(2, 3);
  gang.mGang = true;
  const auto waiting = cell.submit(gang);
  cell.run(milliseconds(100));
  cell.endTask(job_id{ 1 }, reported_end::done);
  cell.submit(step(3));
  cell.run(milliseconds(100));
  CHECK_EQUAL(3, cell.running());
  cell.cancel(waiting);
  cell.run(milliseconds(100));
  CHECK_EQUAL(4, cell.running());
}
