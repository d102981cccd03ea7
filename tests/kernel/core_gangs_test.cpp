#include "tests/kernel/core_cell.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kKeyOfB = "key of b";

/// Time until all tasks of a job have been started once; aLimit if they are not by then.
duration startTime(core_cell<>& aCell, const job_spec& aJob, duration aLimit)
{
  const auto begin = aCell.now();
  while (aCell.now() - begin < aLimit && aCell.starts(aJob.mRequest, aJob.mTaskCount) == 0) {
    aCell.run(milliseconds(10));
  }
  return aCell.now() - begin;
}
job_spec gangOf(core_cell<>& aCell, const std::string& aAt, std::uint32_t aTasks,
                std::vector<zone_name> aZones = {})
{
  auto job = jobOf(aCell.ticket(aAt), job_kind::gang, aTasks);
  job.mZones = std::move(aZones);
  return job;
}

} // namespace

TEST_GROUP(core_gangs){};

// Guards against a gang that asks the same member in every round because the sum of its free
// capacity suffices, although the member refuses and another one is empty.
TEST(core_gangs, aMemberThatRefusesDoesNotStopAGangThatFitsElsewhere)
{
  core_cell cell;
  cell.add("d1", "z1");
  cell.add("d2", "z2");
  for (const auto* name : { "a1", "a2", "a3", "a4" }) {
    cell.addTarget(name, "z1");
  }
  for (const auto* name : { "b1", "b2", "b3", "b4" }) {
    cell.addTarget(name, "z2");
  }
  cell.start();
  // Leaves 12 of 32 cores on three targets of d1, so that 3 tasks of 20 cores fit into the sum.
  auto fill = jobOf(cell.ticket("d1"), job_kind::batch, 3);
  fill.mZones = { "z1" };
  fill.mPerTask.mCpuMilli = 20'000;
  fill.mCommand = "run=100000ms";
  cell.submit("d1", fill);
  cell.run(seconds(3));
  CHECK_EQUAL(3, cell.running());
  auto gang = gangOf(cell, "d1", 3);
  gang.mPerTask.mCpuMilli = 20'000;
  cell.submit("d1", gang);
  const auto waited = startTime(cell, gang, seconds(30));
  CHECK_COMPARE(waited.count(), <, duration(seconds(3)).count());
}

// Guards against queued tasks that wait for a limit on cpu and hide the free capacity from gangs.
TEST(core_gangs, tasksThatWaitForTheirLimitDoNotHideFreeCapacity)
{
  core_cell cell;
  cell.add("d1");
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.start();
  cell.publish({ set_team{ .mTeam = "b", .mLimit = { .mCpuMilli = 1'500 } },
                 grant_key{ .mTeam = "b", .mKeyDigest = internal::keyDigest(kKeyOfB) } });
  cell.run(seconds(4));
  auto waiting = jobOf(cell.ticket("d1"), job_kind::batch, 100);
  waiting.mTeam = "b";
  waiting.mCommand = "run=100000ms";
  cell.ask("d1", submit_call{ .mKey = kKeyOfB, .mJob = waiting });
  cell.run(seconds(2));
  CHECK_EQUAL(1, cell.running());
  const auto gang = gangOf(cell, "d1", 8);
  cell.submit("d1", gang);
  const auto waited = startTime(cell, gang, seconds(30));
  CHECK_COMPARE(waited.count(), <, duration(seconds(2)).count());
}

// Guards against batch tasks of the gang's own team that take each freed part of the limit.
TEST(core_gangs, batchTasksOfTheTeamDoNotTakeTheLimitFromAWaitingGang)
{
  core_cell cell;
  cell.add("d1");
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.start();
  cell.publish({ set_team{ .mTeam = "a", .mLimit = { .mTasks = 8 } } });
  cell.run(seconds(4));
  for (const auto* command : { "run=700ms", "run=900ms", "run=1100ms" }) {
    auto small = jobOf(cell.ticket("d1"), job_kind::batch, 150);
    small.mCommand = command;
    cell.submit("d1", small);
  }
  cell.run(seconds(2));
  const auto gang = gangOf(cell, "d1", 6);
  cell.submit("d1", gang);
  const auto waited = startTime(cell, gang, seconds(30));
  CHECK_COMPARE(waited.count(), <, duration(seconds(12)).count());
}

// Guards against two gangs of a team whose daemons lend each other's missing part of the limit, so
// that neither holds enough of it at once.
TEST(core_gangs, gangsOfTwoDaemonsDoNotTradeTheLimitForEver)
{
  core_cell cell;
  cell.add("d1", "z1");
  cell.add("d2", "z2");
  cell.addTarget("t1", "z1");
  cell.addTarget("t2", "z2");
  cell.start();
  cell.publish({ set_team{ .mTeam = "a", .mLimit = { .mTasks = 10 } } });
  cell.run(seconds(4));
  const auto first = gangOf(cell, "d1", 8, { "z1" });
  const auto second = gangOf(cell, "d2", 8, { "z2" });
  cell.call("d1", submit_call{ .mKey = kKey, .mJob = first });
  cell.call("d2", submit_call{ .mKey = kKey, .mJob = second });
  cell.run(seconds(20));
  CHECK_EQUAL(8, cell.starts(first.mRequest, 8));
  CHECK_EQUAL(8, cell.starts(second.mRequest, 8));
}

// Guards against a limit that is collected in halves, one lender after the other.
TEST(core_gangs, aGangCollectsTheLimitOfIdleDaemonsInTime)
{
  core_cell cell;
  for (const auto* name : { "d1", "d2", "d3", "d4", "d5", "d6" }) {
    cell.add(name, "z" + std::string(name).substr(1));
    cell.addTarget("t" + std::string(name), "z" + std::string(name).substr(1));
  }
  cell.start();
  cell.publish({ set_team{ .mTeam = "a", .mLimit = { .mCpuMilli = 24'000 } } });
  cell.run(seconds(4));
  auto gang = gangOf(cell, "d1", 8, { "z1" });
  gang.mPerTask.mCpuMilli = 3'000;
  cell.submit("d1", gang);
  const auto waited = startTime(cell, gang, seconds(60));
  CHECK_COMPARE(waited.count(), <, duration(seconds(6)).count());
}

// Guards against a slice request of a gang that is never sent because the queue of the same team
// lacks some of its limit too.
TEST(core_gangs, aGangBorrowsLimitBesideQueuedTasksOfItsTeam)
{
  core_cell cell;
  cell.add("d1", "z1");
  cell.add("d2", "z2");
  cell.addTarget("t1", "z1", 24);
  cell.addTarget("t2", "z2", 24);
  cell.start();
  cell.publish({ set_team{ .mTeam = "a", .mLimit = { .mTasks = 16 } } });
  cell.run(seconds(4));
  auto small = jobOf(cell.ticket("d1"), job_kind::batch, 400);
  small.mZones = { "z1" };
  small.mCommand = "run=900ms";
  cell.submit("d1", small);
  cell.run(seconds(2));
  const auto gang = gangOf(cell, "d1", 12, { "z1" });
  cell.submit("d1", gang);
  const auto waited = startTime(cell, gang, seconds(60));
  CHECK_COMPARE(waited.count(), <, duration(seconds(15)).count());
}

// Guards against a coordinator outside the zones of its gang that borrows the limit of the only
// daemon that may run it.
TEST(core_gangs, aCoordinatorInAnotherZoneDoesNotTakeTheLimitItsGangNeeds)
{
  core_cell cell;
  cell.add("d1", "z1");
  cell.add("d2", "z2");
  cell.addTarget("t1", "z1");
  cell.addTarget("t2", "z2");
  cell.start();
  cell.publish({ set_team{ .mTeam = "a", .mLimit = { .mTasks = 10 } } });
  cell.run(seconds(4));
  const auto gang = gangOf(cell, "d1", 8, { "z2" });
  cell.submit("d1", gang);
  const auto waited = startTime(cell, gang, seconds(60));
  CHECK_COMPARE(waited.count(), <, duration(seconds(6)).count());
}

// Guards against a gang that waits for capacity and keeps the gangs of other teams from asking for
// the limit that they lack.
TEST(core_gangs, aGangThatWaitsForCapacityDoesNotKeepOthersFromBorrowing)
{
  core_cell cell;
  cell.add("d1", "z1");
  cell.add("d2", "z2");
  for (const auto* name : { "a1", "a2", "a3", "a4" }) {
    cell.addTarget(name, "z1");
  }
  cell.addTarget("b1", "z2");
  cell.start();
  cell.publish({ set_team{ .mTeam = "b", .mLimit = { .mTasks = 10 } },
                 grant_key{ .mTeam = "b", .mKeyDigest = internal::keyDigest(kKeyOfB) } });
  cell.run(seconds(4));
  auto fill = jobOf(cell.ticket("d1"), job_kind::batch, 3);
  fill.mZones = { "z1" };
  fill.mPerTask.mCpuMilli = 20'000;
  fill.mCommand = "run=100000ms";
  cell.submit("d1", fill);
  cell.run(seconds(3));
  auto blocked = gangOf(cell, "d1", 4, { "z1" });
  blocked.mPerTask.mCpuMilli = 20'000;
  cell.submit("d1", blocked);
  cell.run(seconds(1));
  auto gang = gangOf(cell, "d1", 8, { "z1" });
  gang.mTeam = "b";
  cell.ask("d1", submit_call{ .mKey = kKeyOfB, .mJob = gang });
  const auto waited = startTime(cell, gang, seconds(60));
  CHECK_COMPARE(waited.count(), <, duration(seconds(6)).count());
}

// Guards against a gang that asks a member in every round whose answers never arrive.
TEST(core_gangs, aMemberThatDoesNotAnswerDoesNotStopAGangThatFitsElsewhere)
{
  core_cell cell;
  cell.add("d1", "z1");
  cell.add("d2", "z2");
  cell.add("d3", "z3");
  cell.addTarget("t2", "z2");
  cell.addTarget("t3", "z3");
  cell.start();
  cell.mPasses = [](const peer_message& aMessage) {
    return aMessage.mTo != "d2" || !std::holds_alternative<reserve>(aMessage.mBody);
  };
  const auto gang = gangOf(cell, "d1", 6);
  cell.submit("d1", gang);
  const auto waited = startTime(cell, gang, seconds(60));
  CHECK_COMPARE(waited.count(), <, duration(seconds(3)).count());
}

// Guards against gangs of three daemons that trade the limit, whatever the time between their
// submissions; the waits that they state then differ by less than a message takes, or by more.
TEST(core_gangs, gangsOfThreeDaemonsStartOneAfterTheOther)
{
  for (const auto apart :
       { milliseconds(0), milliseconds(10), milliseconds(300), milliseconds(2000) }) {
    core_cell cell;
    std::vector<job_spec> gangs;
    for (const auto* number : { "1", "2", "3" }) {
      cell.add(std::string("d") + number, std::string("z") + number);
      cell.addTarget(std::string("t") + number, std::string("z") + number);
    }
    cell.start();
    cell.publish({ set_team{ .mTeam = "a", .mLimit = { .mTasks = 9, .mCpuMilli = 10'000 } } });
    cell.run(seconds(4));
    for (const auto* number : { "3", "1", "2" }) {
      auto gang = gangOf(cell, std::string("d") + number, 8, { std::string("z") + number });
      gang.mRunTime = milliseconds(1500);
      gang.mCommand = "run=1500ms";
      cell.call(std::string("d") + number, submit_call{ .mKey = kKey, .mJob = gang });
      gangs.push_back(gang);
      cell.run(apart);
    }
    cell.run(seconds(25));
    for (const auto& gang : gangs) {
      CHECK_EQUAL(8, cell.starts(gang.mRequest, 8));
    }
  }
}

// Guards against a gang on two placers that hold freed capacity for it at different times, so that
// one loses it to small tasks before the other has it. An earlier gang has moved the time at which
// d2 may hold capacity again.
TEST(core_gangs, placersHoldFreedCapacityForAGangAtTheSameTime)
{
  for (const auto apart : { seconds(0), seconds(4), seconds(8), seconds(12), seconds(16) }) {
    core_cell cell;
    cell.add("d1", "z1");
    cell.add("d2", "z2");
    cell.addTarget("t1", "z1");
    cell.addTarget("t2", "z2");
    cell.start();
    for (const auto* zone : { "z1", "z2" }) {
      for (const auto* command : { "run=6000ms", "run=7000ms", "run=8000ms", "run=9000ms" }) {
        auto small = jobOf(cell.ticket("d1"), job_kind::batch, 60);
        small.mZones = { zone };
        small.mCommand = command;
        cell.submit(zone == std::string("z1") ? "d1" : "d2", small);
      }
    }
    cell.run(seconds(5));
    CHECK_EQUAL(16, cell.running());
    const auto earlier = gangOf(cell, "d2", 8, { "z2" });
    cell.submit("d2", earlier);
    cell.run(apart);
    const auto gang = gangOf(cell, "d1", 16);
    cell.submit("d1", gang);
    const auto waited = startTime(cell, gang, seconds(120));
    CHECK_EQUAL(8, cell.starts(earlier.mRequest, 8));
    CHECK_COMPARE(waited.count(), <, duration(seconds(40)).count());
  }
}
