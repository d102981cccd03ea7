#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <variant>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

step_spec tasks(std::uint32_t aCount, milliseconds aEstimate)
{
  return { .mCount = aCount,
           .mNeeds = { .mCpuMilli = 500, .mMemoryMb = 100 },
           .mEstimate = aEstimate };
}

} // namespace

/// A change of the owner while the store does not answer the former one.
TEST_GROUP(reported_ends)
{
  owner_fixture cell;
};

// Guards against a second run of a task that is done: the former owner has read its end and could
// not store it, and its target crashed.
TEST(reported_ends, theNextOwnerAdoptsThem)
{
  cell.addTarget("a");
  const auto job = cell.startOwnerAndJob(tasks(1, milliseconds(600)));
  const task_key task{ .mStep = { .mJob = job } };
  cell.mStoreDown = true;
  cell.endTask(job, reported_end::done);
  cell.run(milliseconds(200));
  const auto reported = cell.mOwner->unstoredEnds();
  CHECK_EQUAL(1, reported.size());
  CHECK(reported[0].mTask == task);
  cell.target("a").mReachable = false;
  cell.mStoreDown = false;
  cell.startNextOwner();
  cell.mOwner->adoptEnds(reported, cell.mNow);
  // Handed over twice, by two former owners.
  cell.mOwner->adoptEnds(reported, cell.mNow);
  CHECK(cell.find(job).mPhase == job_phase::completed);
  CHECK_EQUAL(1, cell.mOwner->unstoredEnds().size());
  cell.run(seconds(1));
  CHECK_EQUAL(0, cell.mOwner->unstoredEnds().size());
  cell.restartUnlisted("a");
  cell.run(seconds(12));
  CHECK_EQUAL(0, cell.running());
  CHECK_EQUAL(1, cell.find(job).find(task.mStep)->mTasks[0].mRun);
}

// Guards against a job that is shown as completed while its end waits behind an open append.
TEST(reported_ends, areNotStoredWhileTheyWaitForAnAppend)
{
  cell.addTarget("a");
  const auto first = cell.startOwnerAndJob(tasks(1, milliseconds(600)));
  const auto second = cell.submit(tasks(1, milliseconds(600)));
  cell.run(milliseconds(300));
  cell.mStoreDown = true;
  cell.endTask(first, reported_end::done);
  cell.run(milliseconds(200));
  cell.endTask(second, reported_end::done);
  cell.run(milliseconds(200));
  for (const auto job : { first, second }) {
    CHECK(cell.find(job).mPhase == job_phase::completed);
    CHECK_FALSE(cell.mOwner->isEndStored(job));
  }
  cell.mStoreDown = false;
  cell.run(milliseconds(200));
  CHECK(cell.mOwner->isEndStored(first));
  CHECK(cell.mOwner->isEndStored(second));
}

// Guards against a job that was shown as ended and then as running: its last run is still stopping.
TEST(reported_ends, ofRunsOfAnEndedJobDoNotHideItsEnd)
{
  cell.addTarget("a");
  const auto job = cell.startOwnerAndJob(tasks(1, milliseconds(600)));
  cell.target("a").mStopDelay = milliseconds(300);
  cell.cancel(job);
  cell.run(milliseconds(200));
  CHECK(cell.mOwner->isEndStored(job));
  cell.mStoreDown = true;
  cell.run(milliseconds(400));
  CHECK_EQUAL(0, cell.running());
  CHECK(cell.find(job).mPhase == job_phase::cancelled);
  CHECK(cell.mOwner->isEndStored(job));
}

// Guards against a cancellation that is shown to callers and lost with the owner.
TEST(reported_ends, aCancellationIsAnEnd)
{
  cell.addTarget("a");
  const auto job = cell.startOwnerAndJob(tasks(1, milliseconds(600)));
  cell.mStoreDown = true;
  cell.mOwner->accept(job_cancelled{ .mJob = job }, 1, cell.mNow, cell.wall());
  cell.run(milliseconds(100));
  CHECK(cell.find(job).mPhase == job_phase::cancelled);
  CHECK_FALSE(cell.mOwner->isEndStored(job));
  cell.mStoreDown = false;
  cell.run(milliseconds(200));
  CHECK(cell.mOwner->isEndStored(job));
}

TEST(reported_ends, thoseOfOtherRunsChangeNothing)
{
  cell.addTarget("a");
  const auto job = cell.startOwnerAndJob(tasks(1, milliseconds(600)));
  const std::vector<run_ended> ends{
    { .mTask = { .mStep = { .mJob = job } }, .mRun = 2 },
    { .mTask = { .mStep = { .mJob = job }, .mIndex = 7 }, .mRun = 1 },
    { .mTask = { .mStep = { .mJob = job, .mOccurrence = 3 } }, .mRun = 1 },
    { .mTask = { .mStep = { .mJob = static_cast<job_id>(99) } }, .mRun = 1 }
  };
  cell.mOwner->adoptEnds(ends, cell.mNow);
  CHECK(cell.find(job).mPhase == job_phase::active);
  CHECK_EQUAL(1, cell.running());
}

// Guards against an end that waits for the owner's planning pass, and is lost with all daemons
// before it is stored: its task then runs again.
TEST(reported_ends, areStoredWithoutATick)
{
  cell.addTarget("a");
  const auto job = cell.startOwnerAndJob(tasks(1, milliseconds(600)));
  const task_key task{ .mStep = { .mJob = job } };
  cell.mPaused = true; // No tick, as during a long pass.
  cell.run(milliseconds(50));
  CHECK(cell.mOwner->storeEnds(cell.mNow));
  const auto ends = [&] {
    return std::ranges::count_if(
      cell.mJournal, [](const auto& aOne) { return std::holds_alternative<run_ended>(aOne); });
  };
  const target_report report{ .mClock = cell.target("a").mClock,
                              .mIncarnationStart = 1,
                              .mEnded = { { .mNumber = 1, .mTask = task, .mRun = 1 } } };
  cell.mOwner->onHeartbeatReply("a", cell.mNow, order_outcome::accepted, report, cell.mNow);
  cell.run(milliseconds(5));
  CHECK_EQUAL(0, ends());
  CHECK(cell.mOwner->storeEnds(cell.mNow));
  // Nothing else waits.
  CHECK(cell.mOwner->storeEnds(cell.mNow));
  CHECK_EQUAL(1, cell.mOwner->unstoredEnds().size());
  cell.run(milliseconds(10));
  CHECK_EQUAL(1, ends());
  CHECK_EQUAL(0, cell.mOwner->unstoredEnds().size());
}
