#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// Time in which tasks start that fit: one append, one order and the pause after a rejection.
constexpr milliseconds kStartTime{ 300 };

step_spec task()
{
  return { .mNeeds = { .mCpuMilli = 2000, .mMemoryMb = 1000 }, .mEstimate = seconds(10) };
}

/// A task that needs a label, which all targets have at first.
step_spec labelled()
{
  auto step = task();
  step.mRequiredLabel = "k";
  return step;
}

} // namespace

/// Targets whose pool, labels, zone, rack or address change while they run.
TEST_GROUP(entry_changes)
{
  owner_fixture cell;

  /// Submits the step while the store is slow, so that its starts wait to be stored.
  job_id submitToSlowStore(const step_spec& aStep)
  {
    cell.mStoreDelay = milliseconds(400);
    const auto id = cell.submit(aStep);
    cell.run(milliseconds(100));
    return id;
  }
  void change(const std::string& aPool, const std::vector<std::string>& aLabels)
  {
    auto& entry = cell.target("t1").mEntry;
    entry.mPool = aPool;
    entry.mLabels = aLabels;
    cell.mOwner->setTarget(entry, cell.mNow);
  }
};

// Guards against a stored start that is sent to a target that has left the route's pool.
TEST(entry_changes, storedStartsAreNotSentToTargetsOfAnotherPool)
{
  cell.addTarget("t1");
  cell.startNextOwner();
  cell.run(kStartTime);
  const auto id = submitToSlowStore(task());
  change("other", { "k", "r1" });
  cell.run(milliseconds(1500));
  CHECK_EQUAL(0, cell.running());
  change("pool", { "k", "r1" });
  cell.run(milliseconds(1500));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(id));
}

// Guards against a stored start that is sent to a target that has lost the required label.
TEST(entry_changes, storedStartsAreNotSentToTargetsWithoutTheLabel)
{
  cell.addTarget("t1");
  cell.startNextOwner();
  cell.run(kStartTime);
  const auto id = submitToSlowStore(labelled());
  change("pool", { "r1" });
  cell.run(milliseconds(1500));
  CHECK_EQUAL(0, cell.running());
  change("pool", { "k", "r1" });
  cell.run(milliseconds(1500));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(id));
}

// Guards against a repeated start order that is executed at a target without the required label.
TEST(entry_changes, startsAreNotRepeatedAtTargetsWithoutTheLabel)
{
  auto& target = cell.addTarget("t1");
  cell.startNextOwner();
  cell.run(kStartTime);
  target.mLosesStarts = true;
  cell.submit(labelled());
  cell.run(milliseconds(60));
  CHECK_EQUAL(1, std::ranges::count(cell.mEvents, "start_rejected"));
  change("pool", { "r1" });
  target.mLosesStarts = false;
  cell.run(milliseconds(1000));
  CHECK_EQUAL(0, cell.running());
}

// Guards against a stored start that is sent to a target that the registry does not list any more,
// whose capacity is therefore unknown.
TEST(entry_changes, storedStartsAreNotSentToUnlistedTargets)
{
  cell.addTarget("t1");
  cell.startNextOwner();
  cell.run(kStartTime);
  const auto id = submitToSlowStore(task());
  cell.mOwner->removeTarget("t1", cell.mNow);
  cell.run(milliseconds(1500));
  CHECK_EQUAL(0, cell.running());
  change("pool", { "k", "r1" });
  cell.run(milliseconds(1500));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(id));
}

// Guards against a repeated start order that is executed at a target that is leaving.
TEST(entry_changes, startsAreNotRepeatedAtDrainingTargets)
{
  auto& target = cell.addTarget("t1");
  cell.startNextOwner();
  cell.run(kStartTime);
  target.mLosesStarts = true;
  cell.submit(task());
  cell.run(milliseconds(60));
  CHECK_EQUAL(1, std::ranges::count(cell.mEvents, "start_rejected"));
  target.mEntry.mDraining = true;
  change("pool", { "k", "r1" });
  target.mLosesStarts = false;
  cell.run(milliseconds(1000));
  CHECK_EQUAL(0, cell.running());
}

// Guards against a repeated start order that is executed in a closed zone.
TEST(entry_changes, startsAreNotRepeatedInClosedZones)
{
  auto& target = cell.addTarget("t1");
  cell.startNextOwner();
  cell.run(kStartTime);
  target.mLosesStarts = true;
  cell.submit(task());
  cell.run(milliseconds(60));
  CHECK_EQUAL(1, std::ranges::count(cell.mEvents, "start_rejected"));
  cell.mOwner->setClosedZones({ "a" });
  target.mLosesStarts = false;
  cell.run(milliseconds(1000));
  CHECK_EQUAL(0, cell.running());
}

// Guards against runs that end, or stop counting, because their target changes its entry.
TEST(entry_changes, runsGoOnAndStillCount)
{
  auto& target = cell.addTarget("t1");
  auto step = labelled();
  step.mCount = 3;
  cell.startOwnerAndJob(step);
  target.mEntry.mZone = "b";
  target.mEntry.mRack = "r2";
  target.mEntry.mAddress = "10.0.0.2:1";
  change("other", { "r2" });
  cell.run(seconds(2));
  CHECK_EQUAL(3, target.mRunning.size());
  change("pool", { "k", "r2" });
  cell.submit(step);
  cell.run(kStartTime);
  CHECK_EQUAL(4, target.mRunning.size());
  CHECK(cell.mStartsOverCapacity.empty());
}
