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
