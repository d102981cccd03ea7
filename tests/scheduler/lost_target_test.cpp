#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// Latest end, after the loss of a target, of the leases that were renewed there: the duration of a
/// lease on the slowest clock, with its margin.
milliseconds longestLease(const owner_options& aOptions)
{
  return std::chrono::ceil<milliseconds>(aOptions.mLease / 0.98) + milliseconds(200);
}
/// Time that an owner may take to start a task elsewhere once the leases have expired.
constexpr milliseconds kRestartTime{ 1000 };

} // namespace

/// Targets that are lost for good, with a change of the owner before their leases have expired.
TEST_GROUP(lost_targets)
{
  owner_fixture cell;
  job_id job{};
  time_point lostAt{};

  void setup() override
  {
    cell.addTarget("a");
    job = cell.startOwnerAndJob({ .mNeeds = { .mCpuMilli = 2000, .mMemoryMb = 100 } });
    cell.addTarget("b");
    cell.run(milliseconds(200));
    CHECK(cell.targetRunning(job) == "a");
    cell.target("a").mReachable = false;
    lostAt = cell.mNow;
  }
  /// The former owner ends now; the next one starts when it is noticed.
  void startNextOwnerAfterAWhile()
  {
    cell.mPaused = true;
    cell.run(milliseconds(1500));
    cell.mPaused = false;
    cell.startNextOwner();
  }
  /// Runs until the task runs on the other target; returns the time since the loss.
  duration timeUntilRestarted()
  {
    while (!cell.target("b").mRunning.contains({ .mStep = { .mJob = job } }) &&
           cell.mNow - lostAt < seconds(30)) {
      cell.run(milliseconds(5));
    }
    return cell.mNow - lostAt;
  }
};

// Guards against an accepted job that waits for leases again after each change of the owner.
TEST(lost_targets, theNextOwnerKnowsWhenTheFormerOneStoppedRenewingLeases)
{
  cell.run(milliseconds(4000));
  cell.startNextOwner();
  const auto restarted = timeUntilRestarted();
  CHECK(restarted >= cell.mOptions.mLease);
  CHECK(restarted <= longestLease(cell.mOptions) + kRestartTime);
}

// Guards against a wait that begins anew with each owner that does not reach the target.
TEST(lost_targets, severalChangesOfTheOwnerDoNotProlongTheWait)
{
  for (int change = 0; change < 3; ++change) {
    cell.run(milliseconds(1500));
    cell.startNextOwner();
  }
  const auto restarted = timeUntilRestarted();
  CHECK(restarted >= cell.mOptions.mLease);
  CHECK(restarted <= longestLease(cell.mOptions) + kRestartTime);
}

// Guards against two runs of a task at a time: the owner changes before the journal says that the
// leases at the target are not renewed.
TEST(lost_targets, theNextOwnerAssumesRenewalsWithoutARecord)
{
  cell.run(milliseconds(100));
  cell.startNextOwner();
  const auto changed = cell.mNow - lostAt;
  CHECK(timeUntilRestarted() >= changed + cell.mOptions.mMaxRenewalAge + cell.mOptions.mLease);
}

// Guards against accepted tasks that wait for renewals of a former owner that has ended, also if
// the next owner learns that only later.
TEST(lost_targets, theNextOwnerDoesNotWaitForRenewalsOfAnOwnerThatHasEnded)
{
  cell.run(milliseconds(100));
  const std::map<std::uint64_t, time_point> ended{ { 1, cell.mNow } };
  startNextOwnerAfterAWhile();
  cell.run(milliseconds(300));
  cell.mOwner->setLatestActs(ended);
  const auto restarted = timeUntilRestarted();
  CHECK(restarted >= ended.at(1) - lostAt + cell.mOptions.mLease);
  CHECK(restarted <= ended.at(1) - lostAt + longestLease(cell.mOptions) + kRestartTime);
}

// The same for an owner that is known to have ended when the next one starts.
TEST(lost_targets, theNextOwnerKnowsFromTheStartThatTheFormerOneHasEnded)
{
  cell.run(milliseconds(100));
  cell.mOptions.mLatestActs[1] = cell.mNow;
  startNextOwnerAfterAWhile();
  const auto restarted = timeUntilRestarted();
  CHECK(restarted >= cell.mOptions.mLatestActs.at(1) - lostAt + cell.mOptions.mLease);
  CHECK(restarted <=
        cell.mOptions.mLatestActs.at(1) - lostAt + longestLease(cell.mOptions) + kRestartTime);
}

// Guards against two runs of a task at a time: the target comes back, and its lease is renewed
// although the journal says that it is not.
TEST(lost_targets, leasesAreRenewedAgainOnlyAfterTheRecordIsStored)
{
  cell.run(milliseconds(2000));
  cell.mStoreDown = true;
  cell.target("a").mReachable = true;
  const auto before = cell.mRenewalsOf["a"];
  cell.run(milliseconds(500));
  CHECK_EQUAL(before, cell.mRenewalsOf["a"]);
  cell.mStoreDown = false;
  cell.run(milliseconds(500));
  CHECK(cell.mRenewalsOf["a"] > before);
  CHECK(cell.targetRunning(job) == "a");
  // The next owner assumes renewals again.
  cell.target("a").mReachable = false;
  lostAt = cell.mNow;
  cell.run(milliseconds(100));
  cell.startNextOwner();
  CHECK(timeUntilRestarted() >= cell.mOptions.mMaxRenewalAge + cell.mOptions.mLease);
}

// Guards against a store outage in which targets lose their leases because each of them would have
// to be acquired again.
TEST(lost_targets, renewalsGoOnWhileTheStoreDoesNotAnswer)
{
  cell.target("a").mReachable = true;
  cell.run(milliseconds(200));
  cell.mStoreDown = true;
  cell.submit(step_spec{ .mNeeds = { .mCpuMilli = 100, .mMemoryMb = 100 } });
  cell.run(milliseconds(1000));
  cell.target("a").mReachable = false;
  cell.run(milliseconds(1000));
  cell.target("a").mReachable = true;
  const auto before = cell.mRenewalsOf["a"];
  cell.run(milliseconds(500));
  CHECK(cell.mRenewalsOf["a"] > before);
}

// Guards against the same on a cell in which nothing is stored when the outage begins: no append of
// the owner is open then, and the store's state shows only in the renewals of the ownership.
TEST(lost_targets, renewalsGoOnWhileTheStoreOfAnIdleCellDoesNotAnswer)
{
  cell.target("a").mReachable = true;
  cell.run(milliseconds(2000));
  cell.mStoreDown = true;
  cell.run(milliseconds(1000));
  cell.target("a").mReachable = false;
  cell.run(milliseconds(1000));
  cell.target("a").mReachable = true;
  const auto before = cell.mRenewalsOf["a"];
  cell.run(milliseconds(500));
  CHECK(cell.mRenewalsOf["a"] > before);
}

// Guards against leases that lapse though their target answers: after a cut of 2.5 s its renewals
// wait for two appends of 2 s, although the store has been slow for seconds before.
TEST(lost_targets, aCutDuringSlowAppendsCostsNoLease)
{
  cell.target("a").mReachable = true;
  cell.mStoreDelay = milliseconds(2000);
  auto count = cell.mRenewalsOf["a"];
  auto renewedAt = cell.mNow;
  duration longest{ 0 };
  const auto runAndWatch = [&](milliseconds aTime) {
    for (const auto until = cell.mNow + aTime; cell.mNow < until;) {
      cell.run(milliseconds(5));
      if (cell.mRenewalsOf["a"] != count) {
        count = cell.mRenewalsOf["a"];
        longest = std::max(longest, cell.mNow - renewedAt);
        renewedAt = cell.mNow;
      }
    }
  };
  // The cuts begin at different times within an append.
  for (int cut = 0; cut < 10; ++cut) {
    for (int second = 0; second < 8; ++second) {
      cell.submit(step_spec{ .mNeeds = { .mCpuMilli = 10, .mMemoryMb = 10 } });
      runAndWatch(milliseconds(1000));
    }
    runAndWatch(milliseconds(300));
    cell.target("a").mReachable = false;
    runAndWatch(milliseconds(2500));
    cell.target("a").mReachable = true;
  }
  CHECK(longest < cell.mOptions.mLease);
}

// Guards against a wait that begins anew at a daemon that reads the state again: the former owner
// learns that it has been replaced, discards its state, loads it and becomes owner once more.
TEST(lost_targets, aDaemonThatIsElectedAgainDoesNotProlongTheWait)
{
  cell.run(milliseconds(4000));
  cell.startNextOwner();
  cell.run(milliseconds(1000));
  cell.mStoredAt.assign(cell.mJournal.size(), cell.mNow);
  cell.startNextOwner();
  const auto restarted = timeUntilRestarted();
  CHECK(restarted >= cell.mOptions.mLease);
  // A record that is repeated every second may be read a second late.
  CHECK(restarted <= longestLease(cell.mOptions) + kRestartTime + milliseconds(1000));
}

// Guards against the same after a restart of all daemons, which date the claims by the time at
// which they read them: the next owner has known when the leases end, but does not record it.
TEST(lost_targets, aRestartOfAllDaemonsDoesNotProlongTheWait)
{
  cell.run(milliseconds(100));
  cell.startNextOwner();
  const auto ends = cell.mNow - lostAt + cell.mOptions.mMaxRenewalAge + longestLease(cell.mOptions);
  cell.run(milliseconds(6000));
  cell.mStoredAt.assign(cell.mJournal.size(), cell.mNow);
  for (auto& [epoch, readAt] : cell.mOptions.mEpochs) {
    readAt = cell.mNow;
  }
  cell.startNextOwner();
  const auto restarted = timeUntilRestarted();
  CHECK(restarted >= cell.mOptions.mLease);
  CHECK(restarted <= ends + kRestartTime + milliseconds(1000));
}
