#include "placer_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;

TEST_GROUP(placer_attempts){};

// Guards against results that the target drops before the coordinator has acknowledged them.
TEST(placer_attempts, acknowledgesFinishedEntriesAfterTheCoordinator)
{
  placer_harness<> cell(1);
  cell.enqueue(cell.task(0));
  cell.run(1s);
  cell.target().finish({ "job", 0 }, attempt_outcome::succeeded);
  cell.run(5s);
  CHECK(cell.placed(0).mState == placed_state::ended);
  UNSIGNED_LONGS_EQUAL(1, cell.target().mFinished.size());
  const std::vector<placed_task> done = cell.mPlacer.reportFor("home").mTasks;
  cell.mPlacer.acknowledge("home", done, cell.mNow);
  cell.run(5s);
  UNSIGNED_LONGS_EQUAL(0, cell.target().mFinished.size());
  CHECK(cell.mPlacer.coordinators().empty());
}

// Guards against reporting a non-idempotent task as ended although its outcome is lost (M8).
TEST(placer_attempts, restartOfATargetLosesItsAttempts)
{
  placer_harness<> cell(1);
  cell.enqueue(cell.task(0));
  task_attempt once = cell.task(1);
  once.mIdempotent = false;
  cell.enqueue(once);
  cell.run(1s);
  cell.target().restart();
  cell.run(5s);
  CHECK(cell.placed(0).mState == placed_state::ended);
  CHECK(cell.placed(0).mOutcome == attempt_outcome::lease_expired);
  CHECK(cell.placed(1).mState == placed_state::unknown);
  LONGS_EQUAL(0, cell.mPlacer.charged("team").mTasks);
}

// Guards against starting a task twice after a repeated delegation.
TEST(placer_attempts, repeatedDelegationStartsOnce)
{
  placer_harness<> cell(2);
  cell.run(100ms);
  for (int i = 0; i < 5; ++i) {
    cell.enqueue(cell.task(0));
    cell.run(100ms);
  }
  UNSIGNED_LONGS_EQUAL(1, cell.running());
  // A later attempt is ignored as long as the earlier one is running.
  task_attempt later = cell.task(0);
  later.mAttempt = 2;
  cell.enqueue(later);
  cell.run(100ms);
  UNSIGNED_LONGS_EQUAL(1, cell.running());
  UNSIGNED_LONGS_EQUAL(1, cell.placed(0).mAttempt);
}

// Guards against recalled tasks that start later, and cancelled tasks that keep running.
TEST(placer_attempts, recallReturnsQueuedAndStopsRunningTasks)
{
  placer_harness<> cell(1);
  cell.target().mCapacity.mSlots = 1;
  cell.enqueueMany(2);
  cell.run(1s);
  const std::vector<task_key> keys{ { "job", 0 }, { "job", 1 } };
  cell.mPlacer.recall("home", keys, false, cell.mNow);
  CHECK(cell.placed(0).mState == placed_state::running);
  CHECK(cell.placed(1).mState == placed_state::returned);
  cell.mPlacer.recall("home", keys, true, cell.mNow);
  cell.run(1s);
  CHECK(cell.placed(0).mOutcome == attempt_outcome::stopped);
  UNSIGNED_LONGS_EQUAL(0, cell.running());
}

// Guards against a stopping daemon that keeps queued tasks or does not release its targets (M10).
TEST(placer_attempts, shutdownReturnsQueuedTasksAndReleasesTargets)
{
  placer_harness<> cell(2);
  cell.enqueueMany(20);
  cell.run(1s);
  cell.mPlacer.beginShutdown(cell.mNow);
  CHECK_FALSE(cell.mPlacer.released());
  cell.run(100ms);
  CHECK(cell.mPlacer.released());
  UNSIGNED_LONGS_EQUAL(4, cell.count(placed_state::returned));
  UNSIGNED_LONGS_EQUAL(16, cell.running());
  STRCMP_EQUAL("", cell.target(0).mOwner.c_str());
}

// Guards against the loss of tasks that run on a leaving VM.
TEST(placer_attempts, movesWorkOffLeavingTargets)
{
  placer_harness<> cell(1);
  cell.enqueue(cell.task(0));
  task_attempt service = cell.task(1);
  service.mKind = job_kind::service;
  cell.enqueue(service);
  task_attempt once = cell.task(2);
  once.mIdempotent = false;
  cell.enqueue(once);
  cell.run(1s);
  cell.target().mLeaving = true;
  cell.run(5s);
  CHECK(cell.placed(0).mOutcome == attempt_outcome::checkpointed);
  CHECK(cell.placed(1).mOutcome == attempt_outcome::stopped);
  CHECK(cell.placed(2).mOutcome == attempt_outcome::checkpointed);
}

// Guards against urgent tasks that wait for long batch tasks to end.
TEST(placer_attempts, urgentWorkPreemptsIdempotentBatchTasks)
{
  placer_harness<> cell(1);
  cell.mView.mTeams["small"] = {};
  cell.setView();
  cell.enqueueMany(8);
  cell.run(1s);
  for (std::uint32_t i = 20; i < 23; ++i) {
    task_attempt urgent = cell.task(i);
    urgent.mTeam = "small";
    urgent.mUrgent = true;
    cell.enqueue(urgent, 1s);
  }
  // Queued batch tasks must not use the freed capacity.
  cell.enqueue(cell.task(30));
  cell.run(150ms);
  UNSIGNED_LONGS_EQUAL(0, cell.count(placed_state::ended));
  cell.run(850ms);
  for (std::uint32_t i = 20; i < 23; ++i) {
    CHECK(cell.placed(i).mState == placed_state::running);
  }
  UNSIGNED_LONGS_EQUAL(3, cell.count(placed_state::ended));
  CHECK(cell.placed(30).mState == placed_state::queued);
}

// Guards against preemption of non-idempotent tasks, which must not be stopped.
TEST(placer_attempts, nonIdempotentTasksAreNotPreempted)
{
  placer_harness<> cell(1);
  for (std::uint32_t i = 0; i < 8; ++i) {
    task_attempt once = cell.task(i);
    once.mIdempotent = false;
    cell.enqueue(once);
  }
  cell.run(1s);
  task_attempt urgent = cell.task(20);
  urgent.mUrgent = true;
  cell.enqueue(urgent, 1s);
  cell.run(3s);
  UNSIGNED_LONGS_EQUAL(8, cell.count(placed_state::running));
}
