#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

/// An owner whose event loop is out of processor time.
TEST_GROUP(owner_overload)
{
  owner_fixture cell;

  /// Returns the number of heartbeats to a target in 5 s, with ticks at the interval.
  int heartbeats(milliseconds aInterval)
  {
    cell.run(milliseconds(1000), aInterval);
    const auto before = cell.mRenewalsOf["a"];
    cell.run(milliseconds(5000), aInterval);
    return cell.mRenewalsOf["a"] - before;
  }
};

// Guards against heartbeats that take the processor time that orders need: the fixture's target
// answers at once, so that the pause alone decides their number.
TEST(owner_overload, heartbeatsAreFewerWhileTheLoopIsBehind)
{
  cell.addTarget("a");
  cell.startNextOwner();
  const int usual = heartbeats(milliseconds(5));
  const int behind = heartbeats(milliseconds(50));
  // 100 ticks fit into the period, so that without a longer pause there is one heartbeat in two.
  CHECK(behind <= 5000 / 150);
  CHECK(heartbeats(milliseconds(5)) >= usual * 9 / 10);
}

// Guards against a pause that keeps a target without renewal, or its ends unread, for long.
TEST(owner_overload, theLongestPauseIsBounded)
{
  cell.addTarget("a");
  cell.startNextOwner();
  CHECK(heartbeats(milliseconds(100)) >= 5000 / 400);
  const auto job = cell.submit(step_spec{ .mNeeds = { .mCpuMilli = 100, .mMemoryMb = 100 } });
  cell.run(milliseconds(600), milliseconds(100));
  cell.endTask(job, reported_end::done);
  cell.run(milliseconds(600), milliseconds(100));
  CHECK(cell.find(job).mPhase == job_phase::completed);
}
