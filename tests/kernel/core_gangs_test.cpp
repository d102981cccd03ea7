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
