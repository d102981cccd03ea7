#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// A step whose turn has come has to run within this time while there is capacity for it.
constexpr milliseconds kMaxStarvation{ 3000 };
/// Time in which the registry is read.
constexpr milliseconds kReadDelay{ 250 };

step_spec tasks(std::uint32_t aCount, std::int64_t aCpu = 2000)
{
  return { .mCount = aCount,
           .mNeeds = { .mCpuMilli = aCpu, .mMemoryMb = 100 },
           .mEstimate = seconds(20) };
}

} // namespace

/// Targets that drain and leave, and others whose entries are dropped while they execute tasks.
TEST_GROUP(left_targets)
{
  owner_fixture cell;
  job_id job{};

  void setup() override
  {
    cell.addTarget("a", 4000);
    cell.startNextOwner();
    cell.run(milliseconds(300));
  }
  void startOnA(step_spec aStep)
  {
    job = cell.submit(std::move(aStep));
    cell.run(milliseconds(300));
    CHECK(cell.targetRunning(job) == "a");
    cell.addTarget("b");
    cell.run(milliseconds(200));
  }
  /// Runs until the task runs on the other target; returns the time that it took.
  milliseconds timeUntilOnB()
  {
    milliseconds waited{ 0 };
    while (!cell.target("b").mRunning.contains({ .mStep = { .mJob = job } }) &&
           waited < seconds(30)) {
      cell.run(milliseconds(5));
      waited += milliseconds(5);
    }
    return waited;
  }
};

// Guards against accepted tasks that wait for the end of leases at a target that has left as
// planned.
TEST(left_targets, aTaskStartsElsewhereSoonAfterItsTargetHasLeft)
{
  startOnA(tasks(1));
  cell.drainTarget("a");
  cell.run(milliseconds(5000));
  cell.leaveTarget("a");
  cell.run(kReadDelay);
  cell.unlistTarget("a");
  CHECK(timeUntilOnB() < kMaxStarvation);
}

// The same for a gang, of which only some members were there.
TEST(left_targets, aGangStartsAgainSoonAfterTheTargetOfAMemberHasLeft)
{
  cell.addTarget("b", 2000);
  auto gang = tasks(2, 2000);
  gang.mGang = true;
  gang.mMaxPerTarget = 1;
  job = cell.submit(gang);
  cell.run(milliseconds(300));
  CHECK_EQUAL(2, cell.running());
  cell.drainTarget("a");
  cell.addTarget("c", 2000);
  cell.run(milliseconds(5000));
  cell.leaveTarget("a");
  cell.run(kReadDelay);
  cell.unlistTarget("a");
  cell.run(kMaxStarvation);
  CHECK_EQUAL(2, cell.running());
}

// Guards against two runs of a task at a time: a draining target that is cut off goes on executing
// its tasks until their leases end, though its entry lapses. Its last write may have been well
// before the cut, because it came late or was lost.
TEST(left_targets, aDrainingTargetThatIsCutOffKeepsItsRunsUntilTheirLeasesEnd)
{
  for (const milliseconds silent : { milliseconds(0), milliseconds(1800), milliseconds(3000) }) {
    owner_fixture other;
    other.addTarget("a", 4000);
    other.startNextOwner();
    other.run(milliseconds(5000));
    const auto id = other.submit(tasks(1));
    other.run(milliseconds(300));
    other.addTarget("b");
    other.drainTarget("a");
    other.run(milliseconds(1500));
    other.target("a").mReachesStore = false;
    other.run(silent);
    const auto cutAt = other.mNow;
    other.target("a").mReachable = false;
    other.lapseTarget("a");
    while (other.target("b").mRunning.empty() && other.mNow - cutAt < seconds(30)) {
      other.run(milliseconds(5));
    }
    CHECK(other.targetRunning(id) == "a");
    CHECK(other.mNow - cutAt >= other.mOptions.mLease - milliseconds(1500));
  }
}

// The same for a target that only the store does not hear, and whose next heartbeat is lost.
TEST(left_targets, aDrainingTargetThatOnlyTheStoreDoesNotHearKeepsItsRuns)
{
  cell.run(milliseconds(5000));
  startOnA(tasks(1));
  cell.drainTarget("a");
  cell.target("a").mReachesStore = false;
  cell.lapseTarget("a");
  cell.target("a").mReachable = false;
  cell.run(milliseconds(300));
  cell.target("a").mReachable = true;
  cell.run(milliseconds(3000));
  CHECK(cell.targetRunning(job) == "a");
  CHECK(cell.target("b").mRunning.empty());
}

// The same for a target whose entry could not be read: it is not listed, but was not removed.
TEST(left_targets, aDrainingTargetWithAnUnreadableEntryHasNotLeft)
{
  cell.run(milliseconds(5000));
  startOnA(tasks(1));
  cell.drainTarget("a");
  cell.run(milliseconds(1000));
  cell.target("a").mListed = false;
  cell.mOwner->removeTarget("a", cell.mNow);
  cell.target("a").mReachable = false;
  CHECK(timeUntilOnB() >= cell.mOptions.mLease - milliseconds(1500));
}

// The same for an entry that lapses during an outage of the store: its last write and its removal
// are read soon after each other, and the target is cut off when the outage ends.
TEST(left_targets, aDrainingTargetWhoseEntryLapsedInAnOutageKeepsItsRuns)
{
  cell.run(milliseconds(5000));
  startOnA(tasks(1));
  cell.drainTarget("a");
  cell.mStoreDown = true;
  cell.run(seconds(5));
  cell.mStoreDown = false;
  cell.run(kReadDelay);
  cell.mOwner->onEntryWritten("a", cell.mNow);
  cell.unlistTarget("a");
  cell.target("a").mReachable = false;
  CHECK(timeUntilOnB() >= cell.mOptions.mLease - milliseconds(1500));
}

// The same for an outage of the registry's partition alone, while the owner's other calls to the
// store are answered: the last write and the removal are read together.
TEST(left_targets, aDrainingTargetKeepsItsRunsIfOnlyTheRegistryWasReadLate)
{
  cell.run(milliseconds(5000));
  startOnA(tasks(1));
  cell.drainTarget("a");
  cell.mReadsRegistry = false;
  cell.run(milliseconds(1000));
  cell.target("a").mReachesStore = false;
  cell.run(milliseconds(3000));
  cell.mReadsRegistry = true;
  cell.run(milliseconds(5));
  cell.unlistTarget("a");
  cell.target("a").mReachable = false;
  CHECK(timeUntilOnB() >= cell.mOptions.mLease - milliseconds(1500));
}

// The same for an owner that was paused and reads both at once, before its next tick.
TEST(left_targets, aDrainingTargetKeepsItsRunsIfItsRemovalIsReadAfterAPause)
{
  cell.run(milliseconds(5000));
  startOnA(tasks(1));
  cell.drainTarget("a");
  cell.target("a").mReachesStore = false;
  cell.mNow += seconds(3);
  cell.mOwner->onEntryWritten("a", cell.mNow);
  cell.unlistTarget("a");
  cell.target("a").mReachable = false;
  CHECK(timeUntilOnB() >= cell.mOptions.mLease - milliseconds(1500) - seconds(3));
}

// The same for a target that answers after its entry was removed, and is cut off later.
TEST(left_targets, aDrainingTargetThatStillAnswersHasNotLeft)
{
  cell.run(milliseconds(5000));
  startOnA(tasks(1));
  cell.drainTarget("a");
  cell.run(milliseconds(1000));
  cell.unlistTarget("a");
  cell.run(milliseconds(2000));
  CHECK(cell.targetRunning(job) == "a");
  cell.target("a").mReachable = false;
  CHECK(timeUntilOnB() >= cell.mOptions.mLease - milliseconds(1500));
}

// The same for a target that does not drain: it may only be cut off from the store.
TEST(left_targets, aTargetThatDoesNotDrainKeepsItsRunsUntilTheirLeasesEnd)
{
  cell.run(milliseconds(5000));
  startOnA(tasks(1));
  cell.target("a").mReachable = false;
  cell.unlistTarget("a");
  CHECK(timeUntilOnB() >= cell.mOptions.mLease - milliseconds(1500));
}

// Guards against two runs of a task at a time: a start order without an answer may be executed by
// the target's next incarnation, which has the same id.
TEST(left_targets, aRunWhoseOrderHadNoAnswerIsNotStartedElsewhereAtOnce)
{
  cell.run(milliseconds(5000));
  cell.target("a").mLosesReplies = true;
  job = cell.submit(tasks(1));
  cell.run(milliseconds(30));
  CHECK(cell.targetRunning(job) == "a");
  cell.addTarget("b");
  cell.drainTarget("a");
  cell.leaveTarget("a");
  cell.unlistTarget("a");
  CHECK(timeUntilOnB() >= kMaxStarvation);
}

// Guards against a task that is kept at a target that has left because its stop had no answer.
TEST(left_targets, aRunThatWasBeingStoppedDoesNotHoldBackItsGang)
{
  cell.addTarget("b", 2000);
  cell.run(milliseconds(5000));
  auto gang = tasks(2, 2000);
  gang.mGang = true;
  gang.mMaxPerTarget = 1;
  job = cell.submit(gang);
  cell.run(milliseconds(300));
  cell.drainTarget("a");
  cell.addTarget("c", 2000);
  cell.run(milliseconds(5000));
  // The member at b fails, and the stop of the other one finds no target.
  cell.target("a").mRunning.clear();
  cell.target("a").mReachable = false;
  cell.endTask(job, reported_end::gang_incomplete, 0, cell.targetRunning(job, 0, 0) == "b" ? 0 : 1);
  cell.run(kReadDelay);
  cell.unlistTarget("a");
  cell.run(kMaxStarvation);
  CHECK_EQUAL(2, cell.running());
}
