#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

/// The number of jobs that callers are told to wait.
TEST_GROUP(waiting_jobs)
{
  owner_fixture cell;

  std::uint32_t waiting() const
  {
    return cell.mJobTable.waitingJobs("batch");
  }
};

// Guards against jobs that are not counted as waiting although their starts never reached a target.
TEST(waiting_jobs, aJobWhoseStartWasRejectedWaits)
{
  cell.addTarget("a").mRejectStarts = order_outcome::unhealthy;
  cell.startOwnerAndJob(step_spec{ .mNeeds = { .mCpuMilli = 100, .mMemoryMb = 100 } });
  CHECK_EQUAL(1, waiting());
  cell.target("a").mRejectStarts.reset();
  cell.run(milliseconds(3000));
  CHECK_EQUAL(1, cell.running());
  CHECK_EQUAL(0, waiting());
}

// Guards against the same if the targets are lost as they start the job.
TEST(waiting_jobs, aJobWhoseTargetWasLostAtItsStartWaits)
{
  cell.addTarget("a");
  cell.startNextOwner();
  cell.run(milliseconds(300));
  cell.mRestartDelay = seconds(20);
  cell.mDeadlyJobs.insert(job_id{ 1 });
  cell.submit(step_spec{ .mNeeds = { .mCpuMilli = 100, .mMemoryMb = 100 } });
  cell.run(milliseconds(300));
  CHECK_EQUAL(0, waiting());
  // Until the leases have expired the run counts as open.
  cell.run(seconds(10));
  CHECK_EQUAL(1, waiting());
}

// Guards against a job that waits again after a run of it has worked.
TEST(waiting_jobs, aJobThatHasFailedOnceDoesNotWait)
{
  cell.addTarget("a");
  const auto job = cell.startOwnerAndJob({ .mNeeds = { .mCpuMilli = 100, .mMemoryMb = 100 } });
  cell.endTask(job, reported_end::failed);
  cell.target("a").mRejectStarts = order_outcome::unhealthy;
  cell.run(milliseconds(500));
  CHECK_EQUAL(0, cell.running());
  CHECK_EQUAL(0, waiting());
}
