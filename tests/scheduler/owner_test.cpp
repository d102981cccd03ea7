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
  const auto id = cell.takeOverAndStart(tasks(2));
  CHECK_EQUAL(2, cell.running());
  cell.endTask(id, listed_end::done, 0, 0);
  cell.endTask(id, listed_end::done, 0, 1);
  cell.run(milliseconds(300));
  CHECK(cell.find(id).mPhase == job_phase::completed);
}

// An end may only be acknowledged to the target when the journal holds it.
TEST(owner_runs, acknowledgesEndsOnlyAfterTheyAreStored)
{
  auto& target = cell.addTarget("t1");
  const auto id = cell.takeOverAndStart(tasks(1));
  cell.mStoreDown = true;
  cell.endTask(id, listed_end::done);
  cell.run(milliseconds(2000));
  CHECK_EQUAL(0, target.mStoredEnds);
  cell.mStoreDown = false;
  cell.run(milliseconds(300));
  CHECK_EQUAL(1, target.mStoredEnds);
}

TEST(owner_runs, neverExceedsATarget)
{
  auto& target = cell.addTarget("t1", 5000);
  cell.takeOver();
  cell.submit(tasks(10));
  cell.run(milliseconds(500));
  CHECK_EQUAL(2, target.mRunning.size());
}

TEST(owner_runs, startsNoMoreThanTheTeamsLimit)
{
  cell.addTarget("t1", 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 5000 };
  cell.takeOver();
  cell.submit(tasks(10), "red");
  cell.submit(tasks(3), "blue");
  cell.run(milliseconds(500));
  CHECK_EQUAL(2 + 3, cell.running());
}

// Guards against a gang that starves beside the small tasks of its own team, which take every piece
// of the limit that becomes free.
TEST(owner_runs, keepsTheTeamsLimitForAWaitingGang)
{
  cell.addTarget("t1", 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 8000 };
  cell.takeOver();
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
    cell.endTask(id, listed_end::done);
    cell.run(milliseconds(300));
  }
  CHECK_EQUAL(std::string("t1"), cell.whereIs(wide));
}

// Load pattern: a burst while the store takes half a second for an append. All that comes during
// one append is decided and stored by the next, not a few jobs with each.
TEST(owner_runs, decidesDuringAnAppendWhatTheNextOneStores)
{
  cell.addTarget("t1", 100'000, 100'000);
  cell.takeOver();
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

// A gang ends as a whole, so the end of one member counts for one whose target was lost just after
// it. Guards against a job that waits for ever: one member done, the other pending, and a gang only
// starts with all of its members.
TEST(owner_runs, oneEndCompletesAGangThatHasLostAMember)
{
  auto& lost = cell.addTarget("t1", 2000);
  cell.addTarget("t2", 2000);
  auto gang = tasks(2);
  gang.mGang = true;
  const auto id = cell.takeOverAndStart(gang);
  CHECK_EQUAL(2, cell.running());
  const auto left = cell.whereIs(id, 0, 0) == "t1" ? 1U : 0U;
  lost.mRunning.clear();
  lost.mEpoch = 0;
  lost.mEntry.mBorn = 2;
  cell.mOwner->setTarget(lost.mEntry, cell.mNow);
  cell.run(milliseconds(200));
  cell.endTask(id, listed_end::done, 0, left);
  cell.run(milliseconds(300));
  CHECK(cell.find(id).mPhase == job_phase::completed);
}

// Guards against an occurrence that is counted once for each member of its gang.
TEST(owner_runs, aGangCompletesItsOccurrenceOnce)
{
  auto gang = tasks(3);
  gang.mGang = true;
  job_book book;
  const auto id = static_cast<job_id>(7);
  book.apply(job_submitted{ .mSpec = { .mId = id, .mSteps = { gang }, .mRepeat = 3 } }, {});
  for (std::uint32_t index = 0; index < 3; ++index) {
    book.apply(run_started{ .mTask = { .mStep = { .mJob = id }, .mIndex = index }, .mRun = 1 }, {});
  }
  for (std::uint32_t index = 0; index < 3; ++index) {
    book.apply(run_ended{ .mTask = { .mStep = { .mJob = id }, .mIndex = index },
                          .mRun = 1,
                          .mHow = run_end::done },
               {});
  }
  LONGS_EQUAL(1, book.find(id)->mOccurrencesDone);
  CHECK(book.find(id)->mPhase == job_phase::active);
}

// Load pattern: urgent jobs come while batch work fills the cell. Work that saves its progress
// makes room, no more of it than needed, and goes on from its checkpoint afterwards.
TEST(owner_runs, stopsSavedWorkForUrgentJobs)
{
  auto& target = cell.addTarget("t1");
  auto saved = tasks(4);
  saved.mCheckpointing = true;
  saved.mEstimate = seconds(10);
  const auto batch = cell.takeOverAndStart(saved);
  CHECK_EQUAL(4, cell.running());
  const auto urgent = cell.submitUrgent(tasks(2));
  cell.run(milliseconds(400));
  CHECK_EQUAL(std::string("t1"), cell.whereIs(urgent, 0, 0));
  CHECK_EQUAL(std::string("t1"), cell.whereIs(urgent, 0, 1));
  CHECK_EQUAL(4, target.mRunning.size());
  cell.endTask(urgent, listed_end::done, 0, 0);
  cell.endTask(urgent, listed_end::done, 0, 1);
  cell.run(milliseconds(400));
  CHECK_EQUAL(4, cell.running());
  const auto& states = cell.find(batch).mOccurrences.at(0)[0].mTasks;
  CHECK_EQUAL(2, std::ranges::count(states, "saved", &task_state::mCheckpoint));
  CHECK_EQUAL(0, std::ranges::count_if(states, [](const auto& aOne) { return aOne.mFailures; }));
}

// Load pattern: a gang finds room freed for it, but its tickets come later. Guards against batch
// work that is stopped in each planning pass.
TEST(owner_runs, stopsWorkOnceForAStepThatCannotStartYet)
{
  cell.addTarget("t1");
  cell.mGoodTargets = { "t1" };
  // Tickets that have lapsed when they arrive.
  cell.mConfig.mRoutes[1].mAdvice = advice_terms{ .mValid = milliseconds(0) };
  auto saved = tasks(4);
  saved.mCheckpointing = true;
  saved.mEstimate = seconds(10);
  cell.takeOverAndStart(saved);
  auto gang = tasks(2);
  gang.mGang = true;
  const auto urgent = cell.submitUrgent(gang);
  cell.run(milliseconds(600));
  CHECK_EQUAL(std::string(), cell.whereIs(urgent));
  CHECK_EQUAL(2, std::ranges::count(cell.mEvents, "preempt"));
}

// What does not save its progress would lose it, and gangs would lose their other members.
TEST(owner_runs, doesNotStopWorkThatWouldBeLost)
{
  cell.addTarget("t1");
  auto gang = tasks(2);
  gang.mGang = true;
  gang.mCheckpointing = true;
  cell.takeOverAndStart(tasks(2));
  cell.submit(gang);
  cell.run(milliseconds(300));
  const auto urgent = cell.submitUrgent(tasks(1));
  cell.run(milliseconds(600));
  CHECK_EQUAL(std::string(), cell.whereIs(urgent));
  CHECK_EQUAL(4, cell.running());
}

TEST(owner_runs, waitsForEarlierSteps)
{
  cell.addTarget("t1");
  cell.takeOver();
  auto second = tasks(1);
  second.mAfter = { 0 };
  const auto id = cell.submit({ tasks(1), second });
  cell.run(milliseconds(300));
  CHECK_EQUAL(std::string("t1"), cell.whereIs(id, 0));
  CHECK_EQUAL(std::string(), cell.whereIs(id, 1));
  cell.endTask(id, listed_end::done, 0);
  cell.run(milliseconds(300));
  CHECK_EQUAL(std::string("t1"), cell.whereIs(id, 1));
}

TEST(owner_runs, givesAJobUpAfterItsAttempts)
{
  cell.addTarget("t1");
  cell.takeOver();
  const auto id = cell.submit(tasks(1));
  for (int attempt = 0; attempt < 2; ++attempt) {
    cell.run(milliseconds(300));
    cell.endTask(id, listed_end::failed);
  }
  cell.run(milliseconds(300));
  CHECK(cell.find(id).mPhase == job_phase::failed);
  CHECK_EQUAL(0, cell.running());
}

TEST(owner_runs, stopsWhatIsCancelled)
{
  cell.addTarget("t1");
  const auto id = cell.takeOverAndStart(tasks(2));
  cell.cancel(id);
  cell.run(milliseconds(300));
  CHECK_EQUAL(0, cell.running());
}

// A gang starts as a whole or not at all.
TEST(owner_runs, startsAGangOnlyWhole)
{
  cell.addTarget("t1", 5000);
  cell.takeOver();
  auto gang = tasks(4);
  gang.mGang = true;
  cell.submit(gang);
  cell.run(milliseconds(500));
  CHECK_EQUAL(0, cell.running());
  cell.addTarget("t2", 5000);
  cell.run(milliseconds(500));
  CHECK_EQUAL(4, cell.running());
}

// If a member of a gang is rejected, the others are stopped before they wait in vain.
TEST(owner_runs, stopsAGangOfWhichAMemberIsRejected)
{
  cell.addTarget("t1", 4000);
  cell.addTarget("t2", 4000).mRejectStarts = order_outcome::unhealthy;
  cell.takeOver();
  auto gang = tasks(4);
  gang.mGang = true;
  cell.submit(gang);
  cell.run(milliseconds(200));
  CHECK_EQUAL(0, cell.running());
}

// One end of a gang stands for all members, and no member is started again.
TEST(owner_runs, oneEndCompletesAGang)
{
  cell.addTarget("t1");
  cell.takeOver();
  auto gang = tasks(3);
  gang.mGang = true;
  const auto id = cell.submit(gang);
  cell.run(milliseconds(300));
  cell.endTask(id, listed_end::done, 0, 1);
  cell.target("t1").mRunning.clear();
  cell.run(milliseconds(300));
  CHECK(cell.find(id).mPhase == job_phase::completed);
  CHECK_EQUAL(0, cell.running());
}

// A start without an answer may have been carried out: the task must not run elsewhere as well.
TEST(owner_runs, doesNotStartTwiceAfterALostAnswer)
{
  cell.addTarget("t1").mMute = true;
  cell.takeOver();
  cell.submit(tasks(1));
  cell.run(milliseconds(200));
  cell.addTarget("t2");
  cell.run(milliseconds(3000));
  CHECK_EQUAL(1, cell.running());
}

// What runs on a silent target goes on until its lease is over, by the slowest clock allowed.
TEST(owner_runs, startsElsewhereOnlyAfterTheLease)
{
  auto& lost = cell.addTarget("t1");
  const auto id = cell.takeOverAndStart(tasks(1));
  lost.mReachable = false;
  cell.addTarget("t2");
  cell.run(milliseconds(5500));
  CHECK_EQUAL(std::string("t1"), cell.whereIs(id));
  lost.mRunning.clear();
  cell.run(milliseconds(1500));
  CHECK_EQUAL("t2", cell.whereIs(id));
}

TEST(owner_runs, startsNothingOnLeavingTargetsAndInClosedZones)
{
  auto& leaving = cell.addTarget("t1");
  cell.addTarget("t2", 8000, 8000, "b");
  cell.takeOver();
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

TEST_GROUP(owner_take_over)
{
  owner_fixture cell;
};

TEST(owner_take_over, adoptsWhatRuns)
{
  cell.addTarget("t1");
  const auto id = cell.takeOverAndStart(tasks(2));
  cell.takeOver();
  cell.run(milliseconds(300));
  CHECK_EQUAL(2, cell.running());
  CHECK_EQUAL(1, cell.find(id).find({ .mJob = id })->mTasks[0].mRun);
}

// Guards against a start over the room of a target: the runs of a job that was cancelled just
// before the former owner was lost still take room there.
TEST(owner_take_over, countsTheRoomOfCancelledJobs)
{
  auto& target = cell.addTarget("t1", 4000);
  const auto first = cell.takeOverAndStart(tasks(2));
  cell.mJournal.emplace_back(job_cancelled{ .mJob = first });
  cell.takeOver();
  const auto second = cell.submit(tasks(2));
  for (int step = 0; step < 60; ++step) {
    cell.run(milliseconds(5));
    CHECK(target.used(cell.mBook).mCpuMilli <= 4000);
  }
  CHECK_EQUAL(std::string("t1"), cell.whereIs(second));
}

// The order of a former owner that is carried out late is rejected by its epoch, so a run that the
// first look does not list is gone.
TEST(owner_take_over, startsAgainWhatNeverBegan)
{
  auto& target = cell.addTarget("t1");
  const auto id = cell.takeOverAndStart(tasks(1));
  target.mRunning.clear();
  cell.takeOver();
  cell.run(milliseconds(300));
  CHECK_EQUAL(std::string("t1"), cell.whereIs(id));
  CHECK_EQUAL(2, cell.find(id).find({ .mJob = id })->mTasks[0].mRun);
}

// Guards against tasks of a lost target that wait anew after each change of the owner: an owner
// that never reached the target has renewed nothing there.
TEST(owner_take_over, doesNotWaitAnewForALostTarget)
{
  auto& lost = cell.addTarget("t1");
  const auto id = cell.takeOverAndStart(tasks(1));
  lost.mReachable = false;
  cell.addTarget("t2");
  for (int owners = 0; owners < 3; ++owners) {
    cell.takeOver();
    cell.run(milliseconds(5000));
  }
  lost.mRunning.clear();
  CHECK_EQUAL("t2", cell.whereIs(id));
}

// Guards against a task that starts elsewhere while a target that answered once still runs it under
// the lease of the former owner.
TEST(owner_take_over, waitsForFormerLeasesOfATargetThatFallsSilent)
{
  auto& target = cell.addTarget("t1");
  const auto id = cell.takeOverAndStart(tasks(1));
  cell.mStoreDown = true;
  cell.takeOver();
  cell.run(milliseconds(30));
  target.mReachable = false;
  cell.mStoreDown = false;
  cell.addTarget("t2");
  cell.run(milliseconds(3000));
  CHECK_EQUAL(std::string("t1"), cell.whereIs(id));
  CHECK_EQUAL(1, cell.running());
}

// Leases may only be renewed when the journal tells of it; otherwise the next owner could give up
// what still runs.
TEST(owner_take_over, renewsNoLeaseBeforeTheTakingIsStored)
{
  cell.addTarget("t1");
  cell.mStoreDown = true;
  cell.takeOver();
  cell.run(milliseconds(500));
  CHECK_EQUAL(0, cell.mRenewals);
  cell.mStoreDown = false;
  cell.run(milliseconds(200));
  CHECK(cell.mRenewals > 0);
}

TEST(owner_take_over, givesUpWhenATargetHasSeenAHigherEpoch)
{
  cell.addTarget("t1").mEpoch = 9;
  cell.takeOver();
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
                                                    .mValid = milliseconds(1500) };
  }
};

TEST(owner_advice, startsOnlyOnGoodTargets)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.mGoodTargets = { "t2" };
  const auto id = cell.takeOverAndStart(tasks(2));
  CHECK_EQUAL("t2", cell.whereIs(id, 0, 0));
  CHECK_EQUAL("t2", cell.whereIs(id, 0, 1));
}

// Tickets lapse while a step waits for room; a new one is asked for when there is some.
TEST(owner_advice, asksAgainWhenRoomComesAfterTheTicket)
{
  cell.addTarget("t1", 2000);
  cell.mGoodTargets = { "t1" };
  const auto first = cell.takeOverAndStart(tasks(1));
  const auto second = cell.submit(tasks(1));
  cell.run(milliseconds(4000));
  const auto before = cell.mAdvice.size();
  cell.endTask(first, listed_end::done);
  cell.run(milliseconds(400));
  CHECK_EQUAL(std::string("t1"), cell.whereIs(second));
  CHECK_EQUAL(before + 1, cell.mAdvice.size());
}
