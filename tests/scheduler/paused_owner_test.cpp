#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

/// An owner without an accepted renewal for 5 s, which is not ticked. It still gets the replies to
/// calls that it made before.
TEST_GROUP(paused_owner)
{
  owner_fixture cell;
};

// Guards against two runs of a task at a time: the next owner assumes that a former one has sent no
// lease later than 5 s after the claim, and a start carries one.
TEST(paused_owner, ordersNoStartWhenItsRecordIsStored)
{
  cell.addTarget("a");
  cell.startNextOwner();
  cell.run(milliseconds(500));
  cell.mStoreDelay = milliseconds(1000);
  cell.submit(step_spec{ .mNeeds = { .mCpuMilli = 100, .mMemoryMb = 100 } });
  cell.run(milliseconds(500));
  cell.mPaused = true;
  cell.run(milliseconds(2000));
  CHECK_EQUAL(0, cell.running());
  cell.mPaused = false;
  cell.run(milliseconds(500));
  CHECK_EQUAL(1, cell.running());
}
