#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

step_spec tasks(std::uint32_t aCount, std::int64_t aCpu = 2000)
{
  return { .mCount = aCount,
           .mNeeds = { .mCpuMilli = aCpu, .mMemoryMb = 100 },
           .mEstimate = milliseconds(1000) };
}

} // namespace

TEST_GROUP(owner_runs)
{
  owner_fixture cell;
};

TEST(owner_runs, startsAndCompletesAJob)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(2));
  CHECK_EQUAL(2, cell.running());
  cell.endTask(id, reported_end::done, 0, 0);
  cell.endTask(id, reported_end::done, 0, 1);
  cell.run(milliseconds(300));
  CHECK(cell.find(id).mPhase == job_phase::completed);
}

// Guards against a lost end: it may only be acknowledged to the target when it is in the journal.
TEST(owner_runs, acknowledgesEndsOnlyAfterTheyAreStored)
{
  auto& target = cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(1));
  cell.mStoreDown = true;
  cell.endTask(id, reported_end::done);
  cell.run(milliseconds(2000));
  CHECK_EQUAL(0, target.mStoredEndNumber);
  cell.mStoreDown = false;
  cell.run(milliseconds(300));
  CHECK_EQUAL(1, target.mStoredEndNumber);
}

TEST(owner_runs, neverExceedsTheCapacityOfATarget)
{
  auto& target = cell.addTarget("t1", 5000);
  cell.startNextOwner();
  cell.submit(tasks(10));
  cell.run(milliseconds(500));
  CHECK_EQUAL(2, target.mRunning.size());
}

TEST(owner_runs, staysWithinTheTeamsUpperLimit)
{
  cell.addTarget("t1", 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 5000 };
  cell.startNextOwner();
  cell.submit(tasks(10), "red");
  cell.submit(tasks(3), "blue");
  cell.run(milliseconds(500));
  CHECK_EQUAL(2 + 3, cell.running());
}

// Guards against the starvation of a gang by small tasks of its own team, which take every part of
// the limit that becomes free.
TEST(owner_runs, reservesTheTeamsLimitForAWaitingGang)
{
  cell.addTarget("t1", 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 8000 };
  cell.startNextOwner();
  std::vector<job_id> small;
  for (int job = 0; job < 4; ++job) {
    small.push_back(cell.submit(tasks(1)));
  }
  cell.run(milliseconds(300));
  auto gang = tasks(4);
  gang.mGang = true;
  const auto wide = cell.submit(gang);
  cell.run(milliseconds(300));
  for (const auto id : small) {
    cell.submit(tasks(1));
    cell.endTask(id, reported_end::done);
    cell.run(milliseconds(300));
  }
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(wide));
}

// Load pattern: a burst arrives while an append takes half a second. All jobs that arrive during
// one append are decided and stored by the next one, instead of a few jobs by each.
TEST(owner_runs, storesDecisionsMadeDuringAnAppendWithTheNextOne)
{
  cell.addTarget("t1", 100'000, 100'000);
  cell.startNextOwner();
  cell.run(milliseconds(300));
  cell.mStoreDelay = milliseconds(500);
  cell.submit(tasks(1));
  for (int i = 0; i < 10; ++i) {
    cell.run(milliseconds(45));
    cell.submit(tasks(1));
  }
  // The first append is stored after 520 ms, the second one half a second later.
  cell.run(milliseconds(650));
  CHECK_EQUAL(11, cell.running());
}

// A gang ends as a whole, so the end of one member also completes one whose target was lost just
// after it. Guards against a job that never ends: with one member done and the other pending, the
// gang cannot start again, because that takes all of its members.
TEST(owner_runs, oneEndCompletesAGangThatHasLostAMember)
{
  auto& lost = cell.addTarget("t1", 2000);
  cell.addTarget("t2", 2000);
  auto gang = tasks(2);
  gang.mGang = true;
  const auto id = cell.startOwnerAndJob(gang);
  CHECK_EQUAL(2, cell.running());
  const auto left = cell.targetRunning(id, 0, 0) == "t1" ? 1U : 0U;
  lost.mRunning.clear();
  lost.mFence = 0;
  lost.mEntry.mIncarnationStart = 2;
  cell.mOwner->setTarget(lost.mEntry, cell.mNow);
  cell.run(milliseconds(200));
  cell.endTask(id, reported_end::done, 0, left);
  cell.run(milliseconds(300));
  CHECK(cell.find(id).mPhase == job_phase::completed);
}

// Guards against an occurrence that is counted once for each member of its gang.
TEST(owner_runs, aGangCompletesItsOccurrenceOnce)
{
  auto gang = tasks(3);
  gang.mGang = true;
  job_table table;
  const auto id = static_cast<job_id>(7);
  table.apply(job_submitted{ .mSpec = { .mId = id, .mSteps = { gang }, .mRepeat = 3 } }, {});
  for (std::uint32_t index = 0; index < 3; ++index) {
    table.apply(run_started{ .mTask = { .mStep = { .mJob = id }, .mIndex = index }, .mRun = 1 },
                {});
  }
  for (std::uint32_t index = 0; index < 3; ++index) {
    table.apply(run_ended{ .mTask = { .mStep = { .mJob = id }, .mIndex = index },
                           .mRun = 1,
                           .mOutcome = run_end::done },
                {});
  }
  LONGS_EQUAL(1, table.find(id)->mOccurrencesDone);
  CHECK(table.find(id)->mPhase == job_phase::active);
}

// Load pattern: urgent jobs arrive while batch work fills the cell. Only as many checkpointing
// tasks as needed are preempted; they resume from their checkpoints afterwards.
TEST(owner_runs, preemptsCheckpointingTasksForUrgentJobs)
{
  auto& target = cell.addTarget("t1");
  auto saved = tasks(4);
  saved.mCheckpointing = true;
  saved.mEstimate = seconds(10);
  const auto batch = cell.startOwnerAndJob(saved);
  CHECK_EQUAL(4, cell.running());
  const auto urgent = cell.submitUrgent(tasks(2));
  cell.run(milliseconds(400));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(urgent, 0, 0));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(urgent, 0, 1));
  CHECK_EQUAL(4, target.mRunning.size());
  cell.endTask(urgent, reported_end::done, 0, 0);
  cell.endTask(urgent, reported_end::done, 0, 1);
  cell.run(milliseconds(400));
  CHECK_EQUAL(4, cell.running());
  const auto& states = cell.find(batch).mOccurrences.at(0)[0].mTasks.full();
  CHECK_EQUAL(2, std::ranges::count_if(
                   states, [](const auto& aOne) { return aOne.second.mCheckpoint == "saved"; }));
  CHECK_EQUAL(
    0, std::ranges::count_if(states, [](const auto& aOne) { return aOne.second.mFailures; }));
}

// Load pattern: capacity is freed for a gang before it has tickets. Guards against preempting batch
// work again in each planning pass.
TEST(owner_runs, preemptsOnceForAStepThatCannotStartYet)
{
  cell.addTarget("t1");
  cell.mGoodTargets = { "t1" };
  // Tickets have expired when they arrive.
  cell.mConfig.mRoutes[1].mAdvice = advice_terms{ .mTicketLifetime = milliseconds(0) };
  auto saved = tasks(4);
  saved.mCheckpointing = true;
  saved.mEstimate = seconds(10);
  cell.startOwnerAndJob(saved);
  auto gang = tasks(2);
  gang.mGang = true;
  const auto urgent = cell.submitUrgent(gang);
  cell.run(milliseconds(600));
  CHECK_EQUAL(std::string(), cell.targetRunning(urgent));
  CHECK_EQUAL(2, std::ranges::count(cell.mEvents, "preempt"));
}

// Tasks without checkpointing would lose their progress, and a gang would lose its other members.
TEST(owner_runs, doesNotPreemptTasksThatWouldLoseProgress)
{
  cell.addTarget("t1");
  auto gang = tasks(2);
  gang.mGang = true;
  gang.mCheckpointing = true;
  cell.startOwnerAndJob(tasks(2));
  cell.submit(gang);
  cell.run(milliseconds(300));
  const auto urgent = cell.submitUrgent(tasks(1));
  cell.run(milliseconds(600));
  CHECK_EQUAL(std::string(), cell.targetRunning(urgent));
  CHECK_EQUAL(4, cell.running());
}

TEST(owner_runs, waitsForEarlierSteps)
{
  cell.addTarget("t1");
  cell.startNextOwner();
  auto second = tasks(1);
  second.mAfter = { 0 };
  const auto id = cell.submit({ tasks(1), second });
  cell.run(milliseconds(300));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(id, 0));
  CHECK_EQUAL(std::string(), cell.targetRunning(id, 1));
  cell.endTask(id, reported_end::done, 0);
  cell.run(milliseconds(300));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(id, 1));
}

TEST(owner_runs, abandonsAJobAfterItsLastAttempt)
{
  cell.addTarget("t1");
  cell.startNextOwner();
  const auto id = cell.submit(tasks(1));
  for (int attempt = 0; attempt < 2; ++attempt) {
    cell.run(milliseconds(300));
    cell.endTask(id, reported_end::failed);
  }
  cell.run(milliseconds(300));
  CHECK(cell.find(id).mPhase == job_phase::failed);
  CHECK_EQUAL(0, cell.running());
}

TEST(owner_runs, stopsTheRunsOfACancelledJob)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(2));
  cell.cancel(id);
  cell.run(milliseconds(300));
  CHECK_EQUAL(0, cell.running());
}

TEST(owner_runs, startsAGangOnlyAsAWhole)
{
  cell.addTarget("t1", 5000);
  cell.startNextOwner();
  auto gang = tasks(4);
  gang.mGang = true;
  cell.submit(gang);
  cell.run(milliseconds(500));
  CHECK_EQUAL(0, cell.running());
  cell.addTarget("t2", 5000);
  cell.run(milliseconds(500));
  CHECK_EQUAL(4, cell.running());
}

// If the start of one member is rejected, the gang cannot run, and the other members are stopped.
TEST(owner_runs, stopsAGangOfWhichAMemberIsRejected)
{
  cell.addTarget("t1", 4000);
  cell.addTarget("t2", 4000).mRejectStarts = order_outcome::unhealthy;
  cell.startNextOwner();
  auto gang = tasks(4);
  gang.mGang = true;
  cell.submit(gang);
  cell.run(milliseconds(200));
  CHECK_EQUAL(0, cell.running());
}

// The end of one member completes the gang, and no member is started again.
TEST(owner_runs, oneEndCompletesAGang)
{
  cell.addTarget("t1");
  cell.startNextOwner();
  auto gang = tasks(3);
  gang.mGang = true;
  const auto id = cell.submit(gang);
  cell.run(milliseconds(300));
  cell.endTask(id, reported_end::done, 0, 1);
  cell.target("t1").mRunning.clear();
  cell.run(milliseconds(300));
  CHECK(cell.find(id).mPhase == job_phase::completed);
  CHECK_EQUAL(0, cell.running());
}

// Guards against a task that waits for the end of leases at a target that cannot have begun its
// run, and counts as begun meanwhile.
TEST(owner_runs, startsElsewhereAtOnceIfTheOrderHasNotLeft)
{
  cell.addTarget("t1").mRejectStarts = order_outcome::unreachable;
  const auto id = cell.startOwnerAndJob(tasks(1));
  CHECK_EQUAL(0, cell.running());
  CHECK_EQUAL(1, cell.mJobTable.waitingJobs("batch"));
  cell.addTarget("t2");
  cell.run(milliseconds(300));
  CHECK_EQUAL(std::string("t2"), cell.targetRunning(id));
}

// Guards against two runs of a task at a time: an earlier copy of the order has left.
TEST(owner_runs, doesNotStartElsewhereIfOnlyTheLastCopyOfAnOrderHasNotLeft)
{
  auto& first = cell.addTarget("t1");
  first.mLosesReplies = true;
  cell.startNextOwner();
  const auto id = cell.submit(tasks(1));
  while (cell.running() == 0) {
    cell.run(milliseconds(5));
  }
  first.mRejectStarts = order_outcome::unreachable;
  first.mIsSilent = true;
  cell.addTarget("t2");
  for (int step = 0; step < 200; ++step) {
    cell.run(milliseconds(5));
    CHECK(cell.running() <= 1);
  }
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(id));
}

// An unanswered start order may have been executed, so the task must not start elsewhere as well.
TEST(owner_runs, doesNotStartTwiceAfterALostReply)
{
  cell.addTarget("t1").mLosesReplies = true;
  cell.startNextOwner();
  cell.submit(tasks(1));
  cell.run(milliseconds(200));
  cell.addTarget("t2");
  cell.run(milliseconds(3000));
  CHECK_EQUAL(1, cell.running());
}

// Guards against a start of a task that is done: the start of one member had no answer when another
// one reported the end of the gang.
TEST(owner_runs, doesNotRepeatTheStartOfAMemberThatHasEndedWithItsGang)
{
  cell.addTarget("t1", 3000);
  auto& second = cell.addTarget("t2", 3000);
  second.mLosesStarts = true;
  cell.startNextOwner();
  auto gang = tasks(2);
  gang.mGang = true;
  const auto id = cell.submit(gang);
  auto left = milliseconds(1000);
  for (; cell.running() == 0 && left.count() > 0; left -= milliseconds(5)) {
    cell.run(milliseconds(5));
  }
  auto& first = cell.target("t1");
  CHECK_EQUAL(1, first.mRunning.size());
  first.end(first.mRunning.begin()->first, reported_end::done);
  second.mLosesStarts = false;
  cell.run(milliseconds(1000));
  CHECK(cell.find(id).mPhase == job_phase::completed);
  CHECK_EQUAL(0, second.mRunning.size() + second.mEnded.size() + second.mLastEndNumber);
}

// Guards against a status that says nothing of the order being taken for a rejection.
TEST(owner_runs, doesNotStartTwiceAfterAnUndefinedReply)
{
  auto& target = cell.addTarget("t1");
  target.mLosesReplies = true;
  target.mLostReply = order_outcome::undefined;
  cell.startNextOwner();
  cell.submit(tasks(1));
  cell.run(milliseconds(200));
  cell.addTarget("t2");
  cell.run(milliseconds(3000));
  CHECK_EQUAL(1, cell.running());
}

// Runs on an unresponsive target may continue until their lease expires by the slowest permitted
// clock.
TEST(owner_runs, startsElsewhereOnlyAfterTheLeaseExpires)
{
  auto& lost = cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(1));
  lost.mReachable = false;
  cell.addTarget("t2");
  cell.run(milliseconds(5500));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(id));
  lost.mRunning.clear();
  cell.run(milliseconds(1500));
  CHECK_EQUAL("t2", cell.targetRunning(id));
}

// Guards against tasks that wait for the lease of a target whose VM has restarted as another one.
TEST(owner_runs, startsElsewhereOnceTheVmHasRestarted)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(1));
  cell.restartVm("t1", "t2");
  cell.run(milliseconds(500));
  CHECK_EQUAL("t2", cell.targetRunning(id));
}

TEST(owner_runs, startsNothingOnDrainingTargetsOrInClosedZones)
{
  auto& leaving = cell.addTarget("t1");
  cell.addTarget("t2", 8000, 8000, "b");
  cell.startNextOwner();
  cell.run(milliseconds(100));
  leaving.mEntry.mDraining = true;
  cell.mOwner->setTarget(leaving.mEntry, cell.mNow);
  cell.mOwner->setClosedZones({ "b" });
  cell.submit(tasks(1));
  cell.run(milliseconds(300));
  CHECK_EQUAL(0, cell.running());
  cell.mOwner->setClosedZones({});
  cell.run(milliseconds(300));
  CHECK_EQUAL(1, cell.running());
}

TEST_GROUP(owner_failover)
{
  owner_fixture cell;
};

TEST(owner_failover, adoptsRunningTasks)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(2));
  cell.startNextOwner();
  cell.run(milliseconds(300));
  CHECK_EQUAL(2, cell.running());
  CHECK_EQUAL(1, cell.find(id).find({ .mJob = id })->mTasks[0].mRun);
}

// Guards against exceeding a target's capacity: the runs of a job that was cancelled just before
// the former owner was lost still occupy capacity.
TEST(owner_failover, countsTheRunsOfCancelledJobs)
{
  auto& target = cell.addTarget("t1", 4000);
  const auto first = cell.startOwnerAndJob(tasks(2));
  cell.mJournal.emplace_back(job_cancelled{ .mJob = first });
  cell.startNextOwner();
  const auto second = cell.submit(tasks(2));
  for (int step = 0; step < 60; ++step) {
    cell.run(milliseconds(5));
    CHECK(target.used(cell.mJobTable).mCpuMilli <= 4000);
  }
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(second));
}

// A late order of a former owner is rejected by its epoch, so a run that the reply to the first
// heartbeat does not list has not started and never will.
TEST(owner_failover, restartsATaskThatNeverStarted)
{
  auto& target = cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(1));
  target.mRunning.clear();
  cell.startNextOwner();
  cell.run(milliseconds(300));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(id));
  CHECK_EQUAL(2, cell.find(id).find({ .mJob = id })->mTasks[0].mRun);
}

// Guards against tasks of a lost target that wait for the full lease again after each change of
// owner: an owner that never reached the target has renewed no lease there.
TEST(owner_failover, doesNotRestartTheLeaseWaitForALostTarget)
{
  auto& lost = cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(1));
  lost.mReachable = false;
  cell.addTarget("t2");
  for (int owners = 0; owners < 3; ++owners) {
    cell.startNextOwner();
    cell.run(milliseconds(5000));
  }
  lost.mRunning.clear();
  CHECK_EQUAL("t2", cell.targetRunning(id));
}

// Guards against tasks that wait for former leases of a target that only the journal knows,
// although its VM has restarted before the change of owner.
TEST(owner_failover, knowsTheVmsOfTargetsThatAreNoLongerListed)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(1));
  cell.restartVm("t1", "t2");
  cell.startNextOwner();
  cell.run(milliseconds(500));
  CHECK_EQUAL("t2", cell.targetRunning(id));
}

// Guards against starting a task elsewhere while a target that replied only once still runs it
// under the lease of the former owner.
TEST(owner_failover, waitsForFormerLeasesOfATargetThatBecomesUnresponsive)
{
  auto& target = cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(1));
  cell.mStoreDown = true;
  cell.startNextOwner();
  cell.run(milliseconds(30));
  target.mReachable = false;
  cell.mStoreDown = false;
  cell.addTarget("t2");
  cell.run(milliseconds(3000));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(id));
  CHECK_EQUAL(1, cell.running());
}

// Leases may only be renewed after the journal records the acquisition of the target; otherwise the
// next owner could declare lost what still runs.
TEST(owner_failover, renewsNoLeaseBeforeTheAcquisitionIsStored)
{
  cell.addTarget("t1");
  cell.mStoreDown = true;
  cell.startNextOwner();
  cell.run(milliseconds(500));
  CHECK_EQUAL(0, cell.mRenewals);
  cell.mStoreDown = false;
  cell.run(milliseconds(200));
  CHECK(cell.mRenewals > 0);
}

TEST(owner_failover, isFencedWhenATargetHasSeenAHigherEpoch)
{
  cell.addTarget("t1").mFence = 9;
  cell.startNextOwner();
  cell.run(milliseconds(100));
  CHECK(cell.mOwner->fenced());
}

TEST_GROUP(owner_advice)
{
  owner_fixture cell;

  void setup() override
  {
    cell.mConfig.mRoutes[0].mAdvice = advice_terms{ .mPerCall = milliseconds(10),
                                                    .mPerTarget = std::chrono::microseconds(100),
                                                    .mTicketLifetime = milliseconds(1500) };
  }
};

TEST(owner_advice, startsOnlyOnGoodTargets)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.mGoodTargets = { "t2" };
  const auto id = cell.startOwnerAndJob(tasks(2));
  CHECK_EQUAL("t2", cell.targetRunning(id, 0, 0));
  CHECK_EQUAL("t2", cell.targetRunning(id, 0, 1));
}

// Tickets expire while a step waits for capacity; a new one is requested once there is some.
TEST(owner_advice, requestsANewTicketWhenCapacityIsFreedAfterExpiry)
{
  cell.addTarget("t1", 2000);
  cell.mGoodTargets = { "t1" };
  const auto first = cell.startOwnerAndJob(tasks(1));
  const auto second = cell.submit(tasks(1));
  cell.run(milliseconds(4000));
  const auto before = cell.mAdvice.size();
  cell.endTask(first, reported_end::done);
  cell.run(milliseconds(400));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(second));
  CHECK_EQUAL(before + 1, cell.mAdvice.size());
}

// Guards against two runs of a task at a time: a target restarts under its id, and the new
// incarnation executes a start before the owner learns of the restart.
TEST(owner_runs, keepsARunThatTheNewIncarnationOfItsTargetHasStarted)
{
  std::size_t most = 0;
  for (milliseconds restartedAfter{ 0 }; restartedAfter < milliseconds(100);
       restartedAfter += milliseconds(5)) {
    owner_fixture restarting;
    restarting.addTarget("a");
    restarting.startNextOwner();
    restarting.run(milliseconds(300));
    restarting.submit(step_spec{ .mNeeds = { .mCpuMilli = 100, .mMemoryMb = 100 } });
    restarting.addTarget("b");
    restarting.run(restartedAfter);
    auto& target = restarting.target("a");
    target = { .mEntry = target.mEntry };
    ++target.mEntry.mIncarnationStart;
    target.mStopDelay = milliseconds(400);
    for (int turn = 0; turn < 200; ++turn) {
      restarting.run(milliseconds(5));
      most = std::max(most, restarting.running());
    }
    CHECK_EQUAL(1, restarting.running());
  }
  CHECK_EQUAL(1, most);
}
