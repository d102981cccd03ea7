#include "placer_fixture.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace endiveusher;

namespace {

std::size_t runningOf(const placer_harness<>& aCell, const team_name& aTeam)
{
  std::size_t count = 0;
  for (const auto& [id, target] : aCell.mTargets) {
    for (const auto& [key, entry] : target.mTable) {
      count += entry.mTask.mTeam == aTeam ? 1 : 0;
    }
  }
  return count;
}

} // namespace

TEST_GROUP(placer_queue){};

// Guards against an allocation that ignores the share weights of the teams.
TEST(placer_queue, teamsShareByWeight)
{
  placer_harness<> cell(2);
  cell.mView.mTeams["a"].mShare = 1.0;
  cell.mView.mTeams["b"].mShare = 3.0;
  cell.setView();
  cell.run(100ms);
  for (std::uint32_t i = 0; i < 40; ++i) {
    task_attempt task = cell.task(i);
    task.mTeam = i % 2 == 0 ? "a" : "b";
    cell.enqueue(task);
  }
  cell.run(100ms);
  UNSIGNED_LONGS_EQUAL(4, runningOf(cell, "a"));
  UNSIGNED_LONGS_EQUAL(12, runningOf(cell, "b"));
}

// Guards against a team that gets its full share on each daemon despite its use elsewhere.
TEST(placer_queue, useElsewhereCountsTowardsTheShare)
{
  placer_harness<> cell(1);
  cell.mView.mTeams["a"].mUsedElsewhere = { .mSlots = 8, .mCpuMilli = 8000 };
  cell.mView.mTeams["b"] = {};
  cell.mView.mTotalElsewhere = cell.target().mCapacity;
  cell.setView();
  cell.run(100ms);
  for (std::uint32_t i = 0; i < 40; ++i) {
    task_attempt task = cell.task(i);
    task.mTeam = i % 2 == 0 ? "a" : "b";
    cell.enqueue(task);
  }
  cell.run(100ms);
  UNSIGNED_LONGS_EQUAL(8, runningOf(cell, "b"));
}

// Guards against a wrong order of a team's tasks, such as urgent tasks behind other ones.
TEST(placer_queue, ordersTasksWithinATeam)
{
  placer_harness<> cell(1);
  cell.target().mCapacity.mSlots = 1;
  cell.run(100ms);
  const auto add = [&](std::uint32_t aIndex, job_kind aKind, bool aUrgent, duration aWithin) {
    task_attempt task = cell.task(aIndex);
    task.mKind = aKind;
    task.mUrgent = aUrgent;
    cell.enqueue(task, aWithin);
  };
  add(5, job_kind::batch, false, 0s);
  add(6, job_kind::batch, false, 0s);
  add(4, job_kind::gang, false, 0s);
  add(3, job_kind::service, false, 0s);
  add(2, job_kind::batch, true, 900ms);
  add(1, job_kind::batch, true, 500ms);
  for (std::uint32_t index = 1; index <= 6; ++index) {
    cell.run(2s);
    CHECK(cell.target().mTable.contains({ "job", index }));
    cell.target().finish({ "job", index }, attempt_outcome::succeeded);
  }
}

// Guards against a large task at the head of the queue that blocks all smaller ones.
TEST(placer_queue, smallTasksPassLargeOnesThatDoNotFit)
{
  placer_harness<> cell(1);
  cell.run(100ms);
  cell.enqueue(cell.task(0, { .mSlots = 1, .mCpuMilli = 9000 }));
  cell.enqueue(cell.task(1));
  cell.run(100ms);
  CHECK(cell.placed(0).mState == placed_state::queued);
  CHECK(cell.placed(1).mState == placed_state::running);
  CHECK_FALSE(cell.mPlacer.couldEverFit({ .mSlots = 1, .mCpuMilli = 9000 }));
  CHECK(cell.mPlacer.couldEverFit({ .mSlots = 1, .mCpuMilli = 8000 }));
}

// Guards against starts on capacity that is in use according to the measurements.
TEST(placer_queue, measuredUseAboveTheDeclaredSumReducesFreeCapacity)
{
  placer_harness<> cell(1);
  cell.target().mExtraUse = { .mCpuMilli = 6000 };
  cell.run(100ms);
  cell.enqueueMany(8);
  cell.run(50ms);
  UNSIGNED_LONGS_EQUAL(2, cell.running());
}

// Guards against a policy that is not registered or not used.
TEST(placer_queue, policiesSpreadOrPack)
{
  const auto targetsUsed = [](std::string aPolicy) {
    placer_harness<> cell(4, { .mPolicy = std::move(aPolicy) });
    cell.run(100ms);
    cell.enqueueMany(4);
    cell.run(100ms);
    return std::count_if(cell.mTargets.begin(), cell.mTargets.end(),
                         [](const auto& aEntry) { return !aEntry.second.mTable.empty(); });
  };
  LONGS_EQUAL(1, targetsUsed("best_fit"));
  LONGS_EQUAL(4, targetsUsed("least_outstanding"));
  LONGS_EQUAL(4, targetsUsed("round_robin"));
  UNSIGNED_LONGS_EQUAL(4, internal::policyNames().size());
}

// Guards against a target that fails every task and gets more because it appears idle.
TEST(placer_queue, ejectsATargetThatFailsEverything)
{
  placer_harness<> cell(4);
  cell.target(0).mFailsStarts = true;
  cell.target(1).mFailsStarts = true;
  cell.run(100ms);
  cell.enqueueMany(32);
  cell.run(100ms);
  UNSIGNED_LONGS_EQUAL(16, cell.running());
  const auto dump = nlohmann::json::parse(cell.mPlacer.dump(cell.mNow));
  int ejected = 0;
  for (const auto& target : dump["targets"]) {
    ejected += target["ejected"] ? 1 : 0;
  }
  // 30% of four targets is one; the other failing target is chosen last.
  LONGS_EQUAL(1, ejected);
  for (std::uint32_t i = 0; i < 32; ++i) {
    cell.target(2).finish({ "job", i }, attempt_outcome::succeeded);
    cell.target(3).finish({ "job", i }, attempt_outcome::succeeded);
  }
  cell.run(4s);
  for (std::uint32_t i = 100; i < 116; ++i) {
    cell.enqueue(cell.task(i));
  }
  cell.run(1s);
  UNSIGNED_LONGS_EQUAL(16, cell.running());
}

// Guards against a recovered target that stays ejected, and many tasks started on one to probe it.
TEST(placer_queue, oneProbeTaskEndsAnEjection)
{
  internal::target_health health;
  const time_point start{ 1000s };
  CHECK_FALSE(health.failed(start));
  CHECK_FALSE(health.failed(start));
  CHECK(health.failed(start));
  health.eject(start, 0.0);
  CHECK_FALSE(health.admits(start + 4s));
  CHECK(health.admits(start + 5s));
  health.started();
  CHECK_FALSE(health.admits(start + 5s));
  CHECK(health.failed(start + 6s));
  health.eject(start + 6s, 0.0);
  CHECK_FALSE(health.admits(start + 15s));
  CHECK(health.admits(start + 16s));
  health.succeeded(start + 17s);
  CHECK(health.admits(start + 17s));
}

// Guards against a queue that grows beyond its limit.
TEST(placer_queue, returnsTasksBeyondTheQueueLimit)
{
  placer_harness<> cell(0, { .mQueueLimit = 2 });
  cell.enqueueMany(3);
  UNSIGNED_LONGS_EQUAL(1, cell.count(placed_state::returned));
  STRCMP_EQUAL("home", cell.mPlacer.takeChangedCoordinators().at(0).c_str());
  CHECK(cell.mPlacer.takeChangedCoordinators().empty());
}
