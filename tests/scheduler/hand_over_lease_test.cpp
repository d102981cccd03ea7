#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// Time that an owner may take to start a task elsewhere once the leases have expired.
constexpr milliseconds kRestartTime{ 1000 };

/// Latest end of a lease on the slowest clock, with its margin.
milliseconds onSlowClock(milliseconds aLease)
{
  return std::chrono::ceil<milliseconds>(aLease / 0.98) + milliseconds(200);
}

} // namespace

/// Targets that restart under their id, hold the longest lease by an order to their former
/// incarnation, and are cut off about when the owner changes.
TEST_GROUP(hand_over_leases)
{
  owner_fixture cell;
  job_id job{};

  void setup() override
  {
    cell.mLeasesEnd = true;
    cell.addTarget("a");
    cell.startNextOwner();
    cell.run(seconds(20));
  }
  /// Target a restarts, executes a heartbeat to its former incarnation, is acquired and runs a
  /// task.
  void restartAndRun()
  {
    cell.restartTarget("a");
    holdLongestLease();
    cell.run(milliseconds(300));
    startTask();
  }
  /// An order to the former incarnation states a time that is far ahead on the new clock.
  void holdLongestLease()
  {
    auto& target = cell.target("a");
    target.mLeaseUntil = target.mClock + cell.mOptions.mMaxLease;
  }
  void startTask()
  {
    job =
      cell.submit({ .mNeeds = { .mCpuMilli = 500, .mMemoryMb = 100 }, .mEstimate = seconds(600) });
    cell.run(milliseconds(200));
    CHECK_EQUAL("a", cell.targetRunning(job));
    cell.addTarget("b");
    cell.run(milliseconds(100));
  }
  /// Target a takes the start of a task without an answer and restarts before it has executed it.
  fake_target& restartBeforeStart()
  {
    cell.target("a").mDelaysStarts = true;
    job =
      cell.submit({ .mNeeds = { .mCpuMilli = 500, .mMemoryMb = 100 }, .mEstimate = seconds(600) });
    cell.run(milliseconds(70));
    cell.addTarget("b");
    return cell.restartUnlisted("a");
  }
  /// The present incarnation executes it.
  void executeLateStart()
  {
    cell.target("a").mReachable = true;
    cell.deliverLateOrders();
    CHECK_EQUAL("a", cell.targetRunning(job));
  }
  /// The former owner has ended for certain.
  void changeOwner()
  {
    cell.mOptions.mLatestActs[cell.mOptions.mEpochs.rbegin()->first] = cell.mNow;
    cell.startNextOwner();
  }
  void cutOff()
  {
    cell.target("a").mReachable = false;
  }
  /// Runs until the task runs on the other target; returns the time that it took.
  duration timeUntilRestarted()
  {
    const auto from = cell.mNow;
    while (!cell.target("b").mRunning.contains({ .mStep = { .mJob = job } }) &&
           cell.mNow - from < seconds(30)) {
      cell.run(milliseconds(5));
    }
    CHECK_EQUAL(0, cell.mConcurrentStarts.size());
    CHECK(cell.mNow - from < seconds(30));
    return cell.mNow - from;
  }
};

// Guards against two runs of a task at a time: the next owner assumes its own lease at a target
// whose restart only the former one has seen.
TEST(hand_over_leases, theNextOwnerWaitsForTheLongestLeaseAfterARestart)
{
  restartAndRun();
  changeOwner();
  cell.run(milliseconds(300));
  cutOff();
  timeUntilRestarted();
}

// The same for an owner that never reaches the target.
TEST(hand_over_leases, anOwnerThatDoesNotReachTheTargetWaitsForTheLongestLeaseAfterARestart)
{
  restartAndRun();
  cutOff();
  changeOwner();
  timeUntilRestarted();
}

// The same through two changes of the owner, and a snapshot between them.
TEST(hand_over_leases, aSnapshotKeepsWhenTheTargetHasRestarted)
{
  restartAndRun();
  changeOwner();
  cell.run(milliseconds(300));
  std::vector<journal_record> snapshot;
  for (const auto& record : cell.mJobTable.snapshot(cell.mNow)) {
    snapshot.push_back(*decodeRecord(encode(record)));
  }
  cell.run(milliseconds(300));
  cell.mJournal = snapshot;
  cell.mStoredAt.assign(snapshot.size(), cell.mNow);
  changeOwner();
  cell.run(milliseconds(300));
  cutOff();
  timeUntilRestarted();
}

// The same for the second of two restarts.
TEST(hand_over_leases, theNextOwnerWaitsForTheLongestLeaseAfterASecondRestart)
{
  cell.restartTarget("a");
  cell.run(seconds(8));
  restartAndRun();
  changeOwner();
  cell.run(milliseconds(300));
  cutOff();
  timeUntilRestarted();
}

// The same for a restart that the former owner has not seen: a start of it is executed afterwards.
TEST(hand_over_leases, theNextOwnerWaitsForTheLongestLeaseAfterARestartThatNobodyHasSeen)
{
  startTask();
  auto& target = cell.restartUnlisted("a");
  target.mRunning[{ .mStep = { .mJob = job } }] = 1;
  holdLongestLease();
  changeOwner();
  cell.run(milliseconds(100));
  CHECK_EQUAL("a", cell.targetRunning(job));
  cutOff();
  timeUntilRestarted();
}

// The same for an owner that knows of it from the registry alone.
TEST(hand_over_leases, anOwnerThatDoesNotReachARestartedTargetWaitsForTheLongestLease)
{
  startTask();
  auto& target = cell.restartUnlisted("a");
  target.mRunning[{ .mStep = { .mJob = job } }] = 1;
  holdLongestLease();
  cutOff();
  changeOwner();
  timeUntilRestarted();
}

// The same for the owner that has ordered the start.
TEST(hand_over_leases, theOwnerWaitsForTheLongestLeaseAfterARestartThatIsOnlyListed)
{
  startTask();
  auto& target = cell.restartUnlisted("a");
  target.mRunning[{ .mStep = { .mJob = job } }] = 1;
  holdLongestLease();
  cutOff();
  cell.mOwner->setTarget(target.mEntry, cell.mNow);
  timeUntilRestarted();
}

// Guards against tasks that wait longer than the lease after an ordinary change of the owner.
TEST(hand_over_leases, aRestartThatIsLongAgoDoesNotProlongTheWait)
{
  cell.restartTarget("a");
  cell.run(onSlowClock(cell.mOptions.mMaxLease) + kRestartTime);
  startTask();
  for (int change = 0; change < 3; ++change) {
    changeOwner();
    cell.run(milliseconds(300));
  }
  cutOff();
  CHECK(timeUntilRestarted() <= onSlowClock(cell.mOptions.mLease) + kRestartTime);
}

// The same for a target that is new.
TEST(hand_over_leases, aTargetThatHasNotRestartedDoesNotProlongTheWait)
{
  startTask();
  changeOwner();
  cell.run(milliseconds(300));
  cutOff();
  CHECK(timeUntilRestarted() <= onSlowClock(cell.mOptions.mLease) + kRestartTime);
}

// Guards against two runs of a task at a time: an owner that knows of a restart from the registry
// alone has recorded the longer lease, and the next one, which finds no entry, takes its own.
TEST(hand_over_leases, aLongerLeaseThatAFormerOwnerHasRecordedHolds)
{
  restartBeforeStart();
  executeLateStart();
  cutOff();
  changeOwner();
  cell.run(owner_fixture::kEntryLapse);
  cell.unlistTarget("a");
  changeOwner();
  timeUntilRestarted();
}

// The same if the former owner has recorded a shorter lease before it knew of the restart.
TEST(hand_over_leases, aLongerLeaseThatIsRecordedAfterAShorterOneHolds)
{
  auto& target = restartBeforeStart();
  cutOff();
  cell.run(seconds(2));
  executeLateStart();
  cutOff();
  cell.mOwner->setTarget(target.mEntry, cell.mNow);
  cell.run(seconds(2));
  cell.unlistTarget("a");
  changeOwner();
  timeUntilRestarted();
}

// The same if the former owner has acquired the new incarnation and could not store that: the
// registry has the entry of the former one.
TEST(hand_over_leases, aRestartThatOnlyTheFormerOwnerHasHeardOfProlongsTheWait)
{
  const auto formerEntry = cell.target("a").mEntry;
  auto& target = restartBeforeStart();
  cell.mStoreDown = true;
  executeLateStart();
  cell.run(milliseconds(300));
  CHECK_EQUAL("a", cell.targetRunning(job));
  CHECK(std::ranges::find(cell.mEvents, "target_restarted") != cell.mEvents.end());
  cutOff();
  target.mListed = false;
  changeOwner();
  cell.mOwner->setTarget(formerEntry, cell.mNow);
  cell.mStoreDown = false;
  timeUntilRestarted();
}

// The same for the owner that has ordered the start, if it hears of the restart in no way: the
// target is cut off before it has written its entry.
TEST(hand_over_leases, theOwnerWaitsForTheLongestLeaseAfterARestartThatNobodyHasSeen)
{
  restartBeforeStart();
  executeLateStart();
  cutOff();
  timeUntilRestarted();
}

// The same for the next owner.
TEST(hand_over_leases, theNextOwnerWaitsForTheLongestLeaseIfItReadsTheFormerEntry)
{
  const auto formerEntry = cell.target("a").mEntry;
  auto& target = restartBeforeStart();
  executeLateStart();
  cutOff();
  target.mListed = false;
  changeOwner();
  cell.mOwner->setTarget(formerEntry, cell.mNow);
  timeUntilRestarted();
}

// The same for a start that is executed a second after the registry has listed the restart.
TEST(hand_over_leases, theOwnerWaitsForTheLeaseOfAnOrderThatIsExecutedAfterTheRestartIsListed)
{
  auto& target = restartBeforeStart();
  cutOff();
  cell.mOwner->setTarget(target.mEntry, cell.mNow);
  cell.run(seconds(1));
  executeLateStart();
  cutOff();
  timeUntilRestarted();
}

// The same for a second restart that is listed before the target has answered after the first.
TEST(hand_over_leases, theOwnerWaitsForTheLongestLeaseAfterTheSecondOfTwoListedRestarts)
{
  const auto& first = restartBeforeStart();
  cutOff();
  cell.mOwner->setTarget(first.mEntry, cell.mNow);
  cell.run(seconds(3));
  const auto& second = cell.restartUnlisted("a");
  executeLateStart();
  cutOff();
  cell.mOwner->setTarget(second.mEntry, cell.mNow);
  timeUntilRestarted();
}

// The same for a start that is executed a second after its owner has ended.
TEST(hand_over_leases, theNextOwnerWaitsForTheLeaseOfAnOrderThatIsExecutedAfterTheFormerOwnersEnd)
{
  restartBeforeStart();
  cutOff();
  changeOwner();
  cell.run(seconds(1));
  executeLateStart();
  cutOff();
  timeUntilRestarted();
}
