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
