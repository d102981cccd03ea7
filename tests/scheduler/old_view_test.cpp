#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

/// An owner that does not learn what other daemons, the operator and targets have stored.
TEST_GROUP(old_view)
{
  owner_fixture cell;
  step_spec step{ .mNeeds = { .mCpuMilli = 100, .mMemoryMb = 100 } };

  void setup() override
  {
    cell.addTarget("a");
    cell.startNextOwner();
    cell.run(milliseconds(500));
  }
};

// Guards against tasks of jobs that were cancelled, in zones that were closed, or above limits that
// were lowered meanwhile.
TEST(old_view, startsNothing)
{
  cell.mOwner->setViewCurrentUntil(cell.mNow - milliseconds(1));
  cell.submit(step);
  cell.run(milliseconds(3000));
  CHECK_EQUAL(0, cell.running());
  cell.mOwner->setViewCurrentUntil(time_point::max());
  cell.run(milliseconds(200));
  CHECK_EQUAL(1, cell.running());
}

// Guards against a process that was paused after it had decided a start: the start is stored, and
// its job has been cancelled through another daemon.
TEST(old_view, sendsNoStartThatWasDecidedBefore)
{
  cell.mStoreDelay = milliseconds(400);
  const auto job = cell.submit(step);
  cell.run(milliseconds(200));
  cell.mOwner->setViewCurrentUntil(cell.mNow - milliseconds(1));
  cell.run(milliseconds(3000));
  CHECK_EQUAL(0, cell.running());
  cell.cancel(job);
  cell.mOwner->setViewCurrentUntil(time_point::max());
  cell.run(milliseconds(2000));
  CHECK_EQUAL(0, cell.running());
}

// Its leases are renewed, and its ends are stored.
TEST(old_view, leavesRunningWorkAlone)
{
  const auto job = cell.submit(step);
  cell.run(milliseconds(500));
  CHECK_EQUAL(1, cell.running());
  cell.mOwner->setViewCurrentUntil(cell.mNow - milliseconds(1));
  cell.run(seconds(10));
  CHECK_EQUAL(1, cell.running());
  cell.endTask(job, reported_end::done);
  cell.run(milliseconds(500));
  CHECK(cell.find(job).mPhase == job_phase::completed);
}

// Guards against a process that is paused after it has looked at the age of its view and before it
// sends the starts that are stored, or plans others.
TEST(old_view, startsNothingAfterAPauseBehindTheLastLookAtItsAge)
{
  cell.mStoreDelay = milliseconds(400);
  cell.submit(step);
  cell.run(milliseconds(300));
  cell.mOwner->setViewCurrentUntil(cell.mNow + milliseconds(1500));
  cell.run(milliseconds(6000), milliseconds(3000));
  CHECK_EQUAL(0, cell.running());
  cell.mOwner->setViewCurrentUntil(time_point::max());
  cell.run(milliseconds(2000));
  CHECK_EQUAL(1, cell.running());
}
