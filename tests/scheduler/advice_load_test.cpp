#include "owner_fixture.h"
#include "route_load.h"
#include "starvation_meter.h"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// A job has to have something running within this time while at least half of the cell is free and
/// there is capacity for it twice over.
constexpr milliseconds kMaxStarvation{ 3000 };

/// Wide gangs, wide batch steps and small urgent jobs, at 70% of the capacity of 350 targets.
const std::vector<route_load> kMixedLoad{
  { .mRoute = "gang",
    .mPerSecond = 3.1,
    .mGangFraction = 1,
    .mTasks = { 20, 0.8, 120 },
    .mCpuMilli = { 18000, 0.4, 30000 },
    .mMemoryMb = { 18000, 0.5, 37000 },
    .mWorkMs = { 6200, 0.5, 16000 } },
  { .mRoute = "batch",
    .mPerSecond = 7.2,
    .mTasks = { 25, 0.8, 150 },
    .mCpuMilli = { 6300, 0.45, 19000 },
    .mMemoryMb = { 12000, 0.6, 35000 },
    .mWorkMs = { 3400, 0.5, 8400 } },
  { .mRoute = "urgent",
    .mPerSecond = 80,
    .mGangFraction = 0.3,
    .mTasks = { 3.2, 0.8, 19 },
    .mCpuMilli = { 9000, 0.45, 27000 },
    .mMemoryMb = { 17000, 0.6, 50000 },
    .mWorkMs = { 1000, 0.5, 2500 } },
};

} // namespace

/// A cell of 350 targets and 35 daemons whose routes need advice.
TEST_GROUP(advice_load)
{
  owner_fixture cell;
  load_random random;

  void setup() override
  {
    auto& routes = cell.mConfig.mRoutes;
    routes.push_back(routes[0]);
    routes[2].mName = "gang";
    routes[2].mPriority = 1;
    routes[2].mStretch = 2.2;
    routes[0].mStretch = 4.0;
    addAdvice("gang", milliseconds(600), std::chrono::microseconds(8600));
    addAdvice("batch", milliseconds(120), std::chrono::microseconds(1800));
    addAdvice("urgent", milliseconds(11), std::chrono::microseconds(160));
    cell.mAdviceService =
      fake_advice_service{ .mGoodPercent = { { "gang", 25 }, { "batch", 45 }, { "urgent", 70 } } };
    cell.mTasksEnd = true;
    for (int index = 0; index < 350; ++index) {
      cell.addTarget("t" + std::to_string(1000 + index), 64000, 131072);
    }
  }

  void addAdvice(std::string_view aRoute, std::chrono::microseconds aPerCall,
                 std::chrono::microseconds aPerTarget)
  {
    std::ranges::find(cell.mConfig.mRoutes, aRoute, &route_config::mName)->mAdvice = {
      .mPerCall = aPerCall, .mPerTarget = aPerTarget, .mTicketLifetime = milliseconds(1500)
    };
  }

  static std::string daemonAddress(int aIndex)
  {
    return "10.0.0." + std::to_string(aIndex) + ":1";
  }

  static step_spec wideGang(std::uint32_t aCount)
  {
    return { .mCount = aCount,
             .mNeeds = { .mCpuMilli = 18000, .mMemoryMb = 18000 },
             .mEstimate = milliseconds(6200),
             .mGang = true };
  }

  void startOwner()
  {
    cell.startNextOwner();
    std::vector<std::string> helpers;
    for (int index = 0; index < 34; ++index) {
      helpers.push_back(daemonAddress(index));
    }
    cell.mOwner->setAdviceHelpers(helpers);
  }

  step_spec drawStep(const route_load& aLoad)
  {
    return { .mCount = static_cast<std::uint32_t>(std::lround(random.draw(aLoad.mTasks))),
             .mNeeds = { .mCpuMilli = std::lround(random.draw(aLoad.mCpuMilli)),
                         .mMemoryMb = std::lround(random.draw(aLoad.mMemoryMb)) },
             .mEstimate = milliseconds(std::lround(random.draw(aLoad.mWorkMs))),
             .mGang = random.chance(aLoad.mGangFraction) };
  }

  /// Runs for aTime while the loads arrive, each at aFactor times its rate.
  void runLoad(milliseconds aTime, const std::vector<route_load>& aLoads, double aFactor = 1.0)
  {
    constexpr milliseconds step{ 5 };
    for (auto at = milliseconds(0); at < aTime; at += step) {
      for (const auto& load : aLoads) {
        if (random.chance(load.mPerSecond * aFactor * 0.005)) {
          cell.submit({ drawStep(load) }, "red", load.mRoute);
        }
      }
      cell.run(step);
    }
  }

  /// Runs for aTime without new jobs; returns the longest time for which a job starves.
  milliseconds longestStarvation(milliseconds aTime)
  {
    constexpr milliseconds step{ 50 };
    starvation_meter meter(cell);
    for (auto at = milliseconds(0); at < aTime; at += step) {
      cell.run(step);
      meter.sample();
    }
    return meter.longest();
  }

  /// Loses a fifth of the targets for five seconds and then the owner together with the connection
  /// to a quarter of the daemons, while the load goes on until the owner is lost.
  void loseTargetsAndOwner()
  {
    std::vector<std::string> lost;
    for (const auto& [id, target] : cell.targets()) {
      if (random.chance(0.2)) {
        lost.push_back(id);
      }
    }
    for (const auto& id : lost) {
      cell.restartTarget(id);
      cell.target(id).mReachable = false;
    }
    runLoad(milliseconds(5000), kMixedLoad);
    for (const auto& id : lost) {
      cell.target(id).mReachable = true;
    }
    runLoad(milliseconds(3000), kMixedLoad);
    for (int index = 0; index < 9; ++index) {
      cell.mAdviceService->mUnreachable.insert(daemonAddress(index));
    }
    startOwner();
    cell.run(milliseconds(4000));
    cell.mAdviceService->mUnreachable.clear();
  }

  milliseconds starvationAfterLosses(unsigned aSeed)
  {
    random.seed(aSeed);
    startOwner();
    runLoad(milliseconds(25000), kMixedLoad);
    loseTargetsAndOwner();
    return longestStarvation(milliseconds(15000));
  }
};

// Guards against a gang whose tickets expire one part after the other, so that they are never valid
// together although the cell is empty.
TEST(advice_load, aGangStartsWhoseTicketsComeFromSeveralCalls)
{
  startOwner();
  cell.run(milliseconds(100));
  cell.submit({ wideGang(120) }, "red", "gang");
  CHECK(longestStarvation(milliseconds(10000)) < kMaxStarvation);
}

// Guards against gangs that starve after the loss of an owner, whose successor has no advice.
TEST(advice_load, gangsStartAfterTheLossOfTargetsAndOwnerSeed3)
{
  CHECK(starvationAfterLosses(3) < kMaxStarvation);
}

TEST(advice_load, gangsStartAfterTheLossOfTargetsAndOwnerSeed4)
{
  CHECK(starvationAfterLosses(4) < kMaxStarvation);
}
