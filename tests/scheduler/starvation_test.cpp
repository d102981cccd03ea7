#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// A step whose turn has come has to run within this time while there is capacity for it twice
/// over and at least half of the cell is free.
constexpr milliseconds kMaxStarvation{ 3000 };
/// The same for a task of a long-running step, from the end of its last run.
constexpr milliseconds kMaxLongRunningPause{ 6000 };
constexpr milliseconds kLimit{ 20000 };

step_spec tasks(std::uint32_t aCount, std::int64_t aCpu = 2000)
{
  return { .mCount = aCount,
           .mNeeds = { .mCpuMilli = aCpu, .mMemoryMb = 100 },
           .mEstimate = milliseconds(20000) };
}

step_spec gang(std::uint32_t aCount, std::int64_t aCpu = 2000)
{
  auto step = tasks(aCount, aCpu);
  step.mGang = true;
  return step;
}

step_spec labelled(step_spec aStep, const std::string& aLabel)
{
  aStep.mRequiredLabel = aLabel;
  return aStep;
}

step_spec longRunning(step_spec aStep)
{
  aStep.mLongRunning = true;
  return aStep;
}

} // namespace

/// Steps whose turn has come in a cell with room for them.
TEST_GROUP(starvation)
{
  owner_fixture cell;

  /// Runs until a number of tasks of the job's step run; returns the time that it took.
  milliseconds timeUntilRunning(job_id aJob, std::size_t aCount = 1, std::uint32_t aOccurrence = 0)
  {
    const step_key key{ .mJob = aJob, .mOccurrence = aOccurrence };
    milliseconds waited{ 0 };
    while (running(key) < aCount && waited < kLimit) {
      cell.run(milliseconds(5));
      waited += milliseconds(5);
    }
    return waited;
  }
  std::size_t running(const step_key& aKey) const
  {
    std::size_t count = 0;
    for (const auto& [id, target] : cell.targets()) {
      for (const auto& [task, run] : target.mRunning) {
        count += task.mStep == aKey ? 1 : 0;
      }
    }
    return count;
  }
  /// Starts the next owner and gives it time to acquire the targets.
  void changeOwner()
  {
    cell.startNextOwner();
    cell.run(milliseconds(200));
  }
  void addLabel(const std::string& aTarget, const std::string& aLabel)
  {
    auto& target = cell.target(aTarget);
    target.mEntry.mLabels.push_back(aLabel);
    cell.mOwner->setTarget(target.mEntry, cell.mNow);
  }
};

// Guards against an occurrence that never starts: the former owner has opened it, but no run of it
// is in the journal, while a later occurrence has started.
TEST(starvation, anOccurrenceStartsThatTheFormerOwnerHadOpened)
{
  cell.mConfig.mRoutes[0].mAdvice = { .mPerCall = milliseconds(10),
                                      .mPerTarget = milliseconds(1),
                                      .mTicketLifetime = milliseconds(1500) };
  cell.mAdviceService = fake_advice_service{ .mGoodPercent = { { "batch", 50 } } };
  const job_id id{ 1 };
  const auto goodFor = [this, id](std::uint32_t aOccurrence, const std::string& aTarget) {
    return cell.mAdviceService->good("batch", { .mJob = id, .mOccurrence = aOccurrence }, aTarget);
  };
  std::string first;
  std::string second;
  for (int index = 0; index < 100; ++index) {
    const auto target = "t" + std::to_string(index);
    if (goodFor(0, target)) {
      first = target;
    } else if (goodFor(1, target)) {
      second = target;
    }
  }
  cell.addTarget(second);
  cell.startNextOwner();
  cell.run(milliseconds(300));
  CHECK(cell.submitRecurring(tasks(1), milliseconds(500), 2) == id);
  CHECK(timeUntilRunning(id, 1, 1) < kMaxStarvation);
  CHECK_EQUAL(0, running({ .mJob = id }));
  cell.addTarget(first);
  changeOwner();
  CHECK(timeUntilRunning(id) < kMaxStarvation);
}

// Guards against a step that avoids the only target with its label for the whole 3 s.
TEST(starvation, aFailedTaskRestartsOnTheOnlyTargetWithItsLabel)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.startNextOwner();
  addLabel("t1", "only");
  const auto id = cell.submit(labelled(tasks(1), "only"));
  cell.run(milliseconds(300));
  cell.endTask(id, reported_end::failed);
  CHECK(timeUntilRunning(id) < kMaxStarvation);
}

// Guards against a step that avoids all targets at once, because one of its tasks has failed at
// each of them.
TEST(starvation, aStepRestartsThatHasFailedOnAllTargets)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.addTarget("t3");
  auto step = tasks(3);
  step.mMaxPerTarget = 1;
  const auto id = cell.startOwnerAndJob(step);
  for (std::uint32_t index = 0; index < 3; ++index) {
    cell.endTask(id, reported_end::failed, 0, index);
  }
  CHECK(timeUntilRunning(id) < kMaxStarvation);
}

// Guards against a pause of up to 8 s, after failures of several jobs, of the only target that can
// run a step.
TEST(starvation, theOnlyTargetWithALabelDoesNotRestAfterFailures)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.mConfig.mRoutes[0].mMaxAttempts = 10;
  cell.startNextOwner();
  addLabel("t1", "only");
  std::vector<job_id> ids;
  for (int job = 0; job < 2; ++job) {
    ids.push_back(cell.submit(labelled(tasks(1), "only")));
  }
  cell.run(milliseconds(300));
  for (int failure = 0; failure < 3; ++failure) {
    for (const auto id : ids) {
      CHECK(timeUntilRunning(id) < kMaxStarvation);
      cell.endTask(id, reported_end::failed);
      cell.run(milliseconds(100));
    }
  }
}

// The same for a target that has to take all work because the others are unreachable.
TEST(starvation, theLastReachableTargetDoesNotRestAfterFailures)
{
  cell.addTarget("t1");
  cell.addTarget("t2").mReachable = false;
  cell.mConfig.mRoutes[0].mMaxAttempts = 10;
  cell.startNextOwner();
  std::vector<job_id> ids{ cell.submit(tasks(1)), cell.submit(tasks(1)) };
  cell.run(milliseconds(300));
  for (int failure = 0; failure < 4; ++failure) {
    for (const auto id : ids) {
      CHECK(timeUntilRunning(id) < kMaxStarvation);
      cell.endTask(id, reported_end::failed);
      cell.run(milliseconds(100));
    }
  }
}

// A target that fails the tasks of several jobs rests while others can do its work, so that a
// faulty target does not use up the attempts of job after job.
TEST(starvation, aFaultyTargetRestsWhileOthersCanRunItsTasks)
{
  cell.addTarget("t1", 4000);
  cell.addTarget("t2");
  cell.startNextOwner();
  cell.run(milliseconds(300));
  for (int job = 0; job < 2; ++job) {
    const auto id = cell.submit(tasks(1));
    cell.run(milliseconds(100));
    CHECK_EQUAL(std::string("t1"), cell.targetRunning(id));
    cell.endTask(id, reported_end::failed);
    cell.run(milliseconds(100));
  }
  const auto id = cell.submit(tasks(1));
  cell.run(milliseconds(100));
  CHECK_EQUAL(std::string("t2"), cell.targetRunning(id));
}

// Guards against long-running tasks whose failures, with no end in success between them, add up to
// ever longer pauses of all targets of the pool.
TEST(starvation, longRunningTasksRestartHoweverOftenTheyFail)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.startNextOwner();
  std::vector<job_id> ids;
  for (int job = 0; job < 4; ++job) {
    ids.push_back(cell.submit(longRunning(tasks(1))));
  }
  cell.run(milliseconds(300));
  for (int failure = 0; failure < 6; ++failure) {
    for (const auto id : ids) {
      CHECK(timeUntilRunning(id) < kMaxLongRunningPause);
      cell.endTask(id, reported_end::failed);
      cell.run(milliseconds(100));
    }
  }
}

// Guards against a part of a gang that starts alone: one member cannot start any more when the
// records of the starts are stored.
TEST(starvation, noMemberStartsOfAGangThatLosesOneBeforeItsOrder)
{
  cell.addTarget("t1", 2000);
  cell.addTarget("t2", 2000);
  cell.startNextOwner();
  cell.run(milliseconds(300));
  cell.mStoreDelay = milliseconds(300);
  const auto id = cell.submit(gang(2));
  cell.run(milliseconds(100));
  cell.target("t1").mEntry.mDraining = true;
  cell.mOwner->setTarget(cell.target("t1").mEntry, cell.mNow);
  cell.run(milliseconds(600));
  CHECK_EQUAL(0, cell.running());
  cell.mStoreDelay = milliseconds(0);
  cell.addTarget("t3", 2000);
  CHECK(timeUntilRunning(id, 2) < kMaxStarvation);
}

// The same for a target that restarts while the records are stored.
TEST(starvation, noMemberStartsOfAGangWhoseTargetRestartsBeforeItsOrder)
{
  cell.addTarget("t1", 2000);
  cell.addTarget("t2", 2000);
  cell.startNextOwner();
  cell.run(milliseconds(300));
  cell.mStoreDelay = milliseconds(300);
  const auto id = cell.submit(gang(2));
  cell.run(milliseconds(100));
  cell.restartTarget("t1");
  cell.target("t1").mReachable = false;
  cell.run(milliseconds(600));
  CHECK_EQUAL(0, cell.running());
  cell.mStoreDelay = milliseconds(0);
  cell.target("t1").mReachable = true;
  CHECK(timeUntilRunning(id, 2) < kMaxStarvation);
}

// Guards against a gang that waits for members whose start orders the former owner did not get
// out: those that did start wait alone, and the gang can only start again as a whole.
TEST(starvation, aGangStartsAgainOfWhichTheFormerOwnerStartedAPart)
{
  cell.addTarget("t1", 2000);
  cell.addTarget("t2", 2000);
  cell.startNextOwner();
  cell.run(milliseconds(300));
  cell.target("t1").mReachable = false;
  const auto id = cell.submit(gang(2));
  cell.run(milliseconds(30));
  CHECK_EQUAL(1, cell.running());
  cell.target("t1").mReachable = true;
  cell.startNextOwner();
  CHECK(timeUntilRunning(id, 2) < kMaxStarvation);
}

// The same for a target that restarts between its order and the order's reply.
TEST(starvation, aGangStartsAgainWhoseTargetRestartsBeforeItsReply)
{
  cell.addTarget("t1", 2000);
  cell.addTarget("t2", 2000);
  cell.startNextOwner();
  cell.run(milliseconds(300));
  cell.target("t1").mReachable = false;
  const auto id = cell.submit(gang(2));
  cell.run(milliseconds(60));
  CHECK_EQUAL(1, cell.running());
  cell.restartTarget("t1");
  CHECK(timeUntilRunning(id, 2) < kMaxStarvation);
}

// Guards against a gang that takes a target that rejects its starts again and again, because its
// other members take longer to stop than the target is avoided.
TEST(starvation, aGangStartsBesideATargetThatRejectsStarts)
{
  for (const auto* id : { "t1", "t2", "t3" }) {
    cell.addTarget(id, 2000).mStopDelay = milliseconds(900);
  }
  cell.target("t1").mRejectStarts = order_outcome::unhealthy;
  cell.startNextOwner();
  cell.run(milliseconds(300));
  const auto id = cell.submit(gang(2));
  CHECK(timeUntilRunning(id, 2) < kMaxStarvation);
}

// Guards against pauses after rejected starts that add up to more than 3 s.
TEST(starvation, aStepStartsSoonAfterItsOnlyTargetAcceptsStartsAgain)
{
  auto& target = cell.addTarget("t1");
  target.mRejectStarts = order_outcome::unhealthy;
  cell.startNextOwner();
  const auto id = cell.submit(tasks(1));
  for (const milliseconds wait : { milliseconds(20'000), milliseconds(300) }) {
    cell.run(wait);
    target.mRejectStarts.reset();
    CHECK(timeUntilRunning(id) < kMaxStarvation);
    target.mRejectStarts = order_outcome::no_capacity;
    cell.endTask(id, reported_end::failed);
  }
}

// Guards against a gang that needs more than the rest of its team's limit and withholds all of the
// rest from the team's other jobs for as long as it can be on time.
TEST(starvation, aGangThatCannotStartDoesNotBlockItsTeam)
{
  cell.addTarget("t1", 100'000, 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 20'000 };
  cell.startNextOwner();
  cell.submit(tasks(4));
  cell.run(milliseconds(300));
  cell.submit(gang(7));
  cell.run(milliseconds(300));
  CHECK(timeUntilRunning(cell.submit(tasks(1))) < kMaxStarvation);
}

// Guards against a gang that waits behind another one of its team, which needs more than the rest
// of the team's limit.
TEST(starvation, aGangThatCannotStartDoesNotBlockAnotherOne)
{
  cell.addTarget("t1", 100'000, 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 20'000 };
  cell.startNextOwner();
  cell.submit(tasks(4));
  cell.run(milliseconds(300));
  cell.submit(gang(7));
  cell.run(milliseconds(300));
  CHECK(timeUntilRunning(cell.submit(gang(3)), 3) < kMaxStarvation);
}

// The same for a gang that its team's limit permits but that finds no capacity.
TEST(starvation, aGangWithoutCapacityDoesNotBlockItsTeam)
{
  cell.addTarget("t1", 100'000, 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 20'000 };
  cell.startNextOwner();
  addLabel("t1", "others");
  cell.run(milliseconds(300));
  cell.submit(labelled(gang(10), "none"));
  cell.run(milliseconds(300));
  CHECK(timeUntilRunning(cell.submit(tasks(1))) < kMaxStarvation);
  CHECK(timeUntilRunning(cell.submit(gang(3)), 3) < kMaxStarvation);
}

// Guards against two gangs that hold each other back in turn: each fits into the rest of the limit,
// only one can find capacity.
TEST(starvation, gangsOfATeamDoNotHoldEachOtherBack)
{
  cell.addTarget("t1", 100'000, 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 20'000 };
  cell.startNextOwner();
  cell.run(milliseconds(300));
  for (int job = 0; job < 3; ++job) {
    cell.submit(labelled(gang(10), "none"));
  }
  cell.run(milliseconds(300));
  const auto first = cell.submit(gang(6));
  const auto second = cell.submit(gang(4));
  CHECK(timeUntilRunning(first, 6) < kMaxStarvation);
  // It brings the team over half of its limit; the second one's turn comes when it ends.
  for (std::uint32_t index = 0; index < 6; ++index) {
    cell.endTask(first, reported_end::done, 0, index);
  }
  CHECK(timeUntilRunning(second, 4) < kMaxStarvation);
}

// Guards against a gang that small tasks of its team starve: more of them wait than the limit
// permits, and each that ends is followed by the next.
TEST(starvation, smallTasksDoNotStarveAGangOfTheirTeam)
{
  cell.addTarget("t1", 100'000, 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 20'000 };
  cell.startNextOwner();
  std::vector<job_id> small;
  for (int job = 0; job < 10; ++job) {
    small.push_back(cell.submit(tasks(1)));
  }
  cell.run(milliseconds(300));
  const auto id = cell.submit(gang(5));
  for (std::size_t ended = 0; ended < 5; ++ended) {
    cell.run(milliseconds(1500));
    cell.submit(tasks(1));
    cell.endTask(small[ended], reported_end::done);
  }
  cell.run(milliseconds(300));
  CHECK_EQUAL(5, running({ .mJob = id }));
}

// The same for a gang that needs nearly the whole limit: while the team uses less than half of it,
// small tasks take no more than that half.
TEST(starvation, smallTasksLeaveHalfOfTheLimitToAWaitingGang)
{
  cell.addTarget("t1", 100'000, 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 20'000 };
  cell.startNextOwner();
  const auto first = cell.submit(tasks(4));
  cell.run(milliseconds(300));
  const auto id = cell.submit(gang(9));
  cell.run(milliseconds(300));
  std::vector<job_id> small;
  for (int job = 0; job < 8; ++job) {
    small.push_back(cell.submit(tasks(1)));
  }
  cell.run(kMaxStarvation);
  CHECK_EQUAL(5, cell.running());
  for (std::uint32_t index = 0; index < 4; ++index) {
    cell.endTask(first, reported_end::done, 0, index);
  }
  cell.run(milliseconds(300));
  CHECK_EQUAL(9, running({ .mJob = id }));
}

// The same for a gang that is wider than its team's whole limit and therefore never starts.
TEST(starvation, aGangWiderThanItsTeamsLimitDoesNotBlockTheTeam)
{
  cell.addTarget("t1", 100'000, 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 20'000 };
  cell.startNextOwner();
  cell.submit(gang(11));
  cell.run(milliseconds(300));
  CHECK(timeUntilRunning(cell.submit(tasks(1))) < kMaxStarvation);
}

// Guards against capacity that is reserved for good for a gang that can never start: it needs more
// targets than there are, because only one of its tasks may run on each.
TEST(starvation, aGangThatCanNeverStartReservesNothing)
{
  for (int index = 0; index < 10; ++index) {
    cell.addTarget("t" + std::to_string(index));
  }
  cell.startNextOwner();
  for (int index = 0; index < 10; ++index) {
    addLabel("t" + std::to_string(index), index == 0 ? "only" : "others");
  }
  auto wide = gang(12, 2000);
  wide.mMaxPerTarget = 1;
  cell.submit(wide);
  cell.run(milliseconds(300));
  // t0 has the most free capacity, so capacity that is reserved for the gang is there.
  for (int index = 1; index < 10; ++index) {
    auto other = labelled(tasks(1), "others");
    other.mMaxPerTarget = 1;
    cell.submit(other);
  }
  cell.run(milliseconds(300));
  CHECK(timeUntilRunning(cell.submit(labelled(tasks(1), "only"))) < kMaxStarvation);
}

// Guards against a step that waits for its data's rack, which is full, until it would be late.
TEST(starvation, aStepStartsOutsideTheFullRackOfItsData)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.addTarget("t3");
  cell.target("t1").mEntry.mRack = "r2";
  cell.startNextOwner();
  cell.run(milliseconds(100));
  auto near = tasks(4);
  near.mDataRack = "r2";
  cell.submit(near);
  cell.run(milliseconds(300));
  CHECK(timeUntilRunning(cell.submit(near)) < kMaxStarvation);
}

// Guards against tasks that run far from their data although its rack has capacity, or has it soon.
TEST(starvation, aStepStartsInTheRackOfItsData)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.target("t2").mEntry.mRack = "r2";
  cell.startNextOwner();
  cell.run(milliseconds(100));
  auto near = tasks(4);
  near.mDataRack = "r2";
  const auto first = cell.submit(near);
  cell.run(milliseconds(300));
  near.mCount = 1;
  const auto second = cell.submit(near);
  cell.run(milliseconds(500));
  CHECK_EQUAL(4, cell.running());
  cell.endTask(first, reported_end::done);
  cell.run(milliseconds(300));
  CHECK_EQUAL(std::string("t2"), cell.targetRunning(second));
}

// The same for a step that has waited for too long to wait for the rack any more, and for which
// both racks become free at once.
TEST(starvation, aStepPrefersTheRackOfItsDataAfterALongWait)
{
  cell.addTarget("t1", 4000);
  cell.addTarget("t2");
  cell.target("t2").mEntry.mRack = "r2";
  cell.startNextOwner();
  cell.run(milliseconds(100));
  const auto first = cell.submit(tasks(6));
  cell.run(milliseconds(300));
  CHECK_EQUAL(6, cell.running());
  auto near = tasks(1);
  near.mDataRack = "r2";
  const auto second = cell.submit(near);
  cell.run(milliseconds(5000));
  CHECK_EQUAL(6, cell.running());
  for (std::uint32_t index = 0; index < 6; ++index) {
    cell.endTask(first, reported_end::done, 0, index);
  }
  cell.run(milliseconds(300));
  CHECK_EQUAL(std::string("t2"), cell.targetRunning(second));
}

// Guards against a long-running task that fails late in its life and ranks behind gangs that wait
// with time to spare, which reserve the capacity that it needs.
TEST(starvation, aLongRunningTaskRestartsBesideAWaitingGang)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.addTarget("t3");
  cell.startNextOwner();
  addLabel("t1", "only");
  const auto id = cell.submit(longRunning(labelled(tasks(1), "only")));
  cell.submit(longRunning(labelled(tasks(1, 1000), "only")));
  cell.run(milliseconds(300));
  cell.submit(longRunning(tasks(2, 7000)));
  cell.run(milliseconds(20000));
  // It fits on t1 only when the second long-running task has ended.
  cell.submit(labelled(gang(1, 8000), "only"));
  cell.run(milliseconds(100));
  cell.endTask(id, reported_end::failed);
  CHECK(timeUntilRunning(id) < kMaxLongRunningPause);
}

// The same for a gang that has to start earlier than the long-running task.
TEST(starvation, aLongRunningTaskRestartsBesideAPressingGang)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.addTarget("t3");
  cell.startNextOwner();
  addLabel("t1", "only");
  const auto id = cell.submit(longRunning(labelled(tasks(1), "only")));
  cell.submit(longRunning(labelled(tasks(1, 1000), "only")));
  cell.submit(labelled(gang(1, 8000), "only"));
  cell.run(milliseconds(16'500));
  cell.endTask(id, reported_end::failed);
  CHECK(timeUntilRunning(id) < kMaxLongRunningPause);
}

// Guards against accepted jobs that never start because their route was removed before a new owner
// took over.
TEST(starvation, aJobOfARemovedRouteStartsAfterAChangeOfOwner)
{
  cell.startNextOwner();
  const auto id = cell.submit(tasks(1));
  cell.run(milliseconds(300));
  std::erase_if(cell.mConfig.mRoutes,
                [](const route_config& aRoute) { return aRoute.mName == "batch"; });
  cell.addTarget("t1");
  changeOwner();
  CHECK(timeUntilRunning(id) < kMaxStarvation);
}

// Guards against a job that is abandoned after one failed run because its route's number of
// attempts is unknown to the new owner. After its last attempt it must not start again either.
TEST(starvation, aJobOfARemovedRouteKeepsItsAttempts)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(1));
  const auto routes = cell.mConfig.mRoutes;
  for (const auto after : { job_phase::active, job_phase::failed }) {
    std::erase_if(cell.mConfig.mRoutes,
                  [](const route_config& aRoute) { return aRoute.mName == "batch"; });
    changeOwner();
    cell.endTask(id, reported_end::failed);
    cell.run(milliseconds(300));
    CHECK(cell.find(id).mPhase == job_phase::active);
    cell.mConfig.mRoutes = routes;
    cell.mConfig.index();
    cell.mOwner->configure(std::make_shared<cell_config>(cell.mConfig));
    cell.run(kMaxStarvation);
    CHECK(cell.find(id).mPhase == after);
    CHECK_EQUAL(after == job_phase::active ? 1 : 0, cell.running());
  }
}

// Guards against a step of a started occurrence that waits for the due time by the clock of a new
// owner that is behind the former one's.
TEST(starvation, aStartedOccurrenceGoesOnAfterAStepBackOfTheClock)
{
  cell.addTarget("t1");
  cell.startNextOwner();
  cell.run(milliseconds(300));
  const auto id = cell.submitRecurring(tasks(1), milliseconds(1000), 1);
  CHECK(timeUntilRunning(id) < kMaxStarvation);
  cell.mWallOffset = milliseconds(-5000);
  changeOwner();
  cell.endTask(id, reported_end::stopped);
  cell.run(milliseconds(100));
  CHECK(timeUntilRunning(id) < kMaxStarvation);
}

// Guards against a step that waits although the steps before it are complete, also if the owner
// changes between them.
TEST(starvation, aLaterStepStartsAfterAChangeOfOwner)
{
  cell.addTarget("t1");
  cell.startNextOwner();
  auto later = tasks(1);
  later.mAfter = { 0 };
  const auto id = cell.submit({ gang(2), later });
  CHECK(timeUntilRunning(id, 2) < kMaxStarvation);
  cell.endTask(id, reported_end::done, 0, 0);
  cell.endTask(id, reported_end::done, 0, 1);
  cell.startNextOwner();
  cell.run(kMaxStarvation);
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(id, 1));
}

// Guards against a task that stays bound to a target that answers heartbeats but no start orders.
TEST(starvation, aTaskStartsElsewhereThanOnATargetThatDoesNotAnswerStarts)
{
  cell.addTarget("t1", 4000).mRejectStarts = order_outcome::unanswered;
  cell.addTarget("t2");
  cell.startNextOwner();
  cell.run(milliseconds(300));
  CHECK(timeUntilRunning(cell.submit(tasks(1))) < kMaxStarvation);
  CHECK(timeUntilRunning(cell.submit(gang(3)), 3) < kMaxStarvation);
}

// Guards against a target that stays unusable after it has left the registry and come back, with a
// run and without one.
TEST(starvation, aTargetIsUsedThatLeavesAndComesBack)
{
  auto& target = cell.addTarget("t1");
  const auto first = cell.startOwnerAndJob(tasks(1));
  for (int round = 0; round < 2; ++round) {
    cell.mOwner->removeTarget("t1", cell.mNow);
    cell.run(milliseconds(2000));
    cell.mOwner->setTarget(target.mEntry, cell.mNow);
    CHECK(timeUntilRunning(cell.submit(tasks(1))) < kMaxStarvation);
    for (const auto id : cell.submitted()) {
      if (!cell.targetRunning(id).empty()) {
        cell.endTask(id, reported_end::done);
      }
    }
    cell.run(milliseconds(300));
  }
  CHECK(cell.find(first).mPhase == job_phase::completed);
}

// Guards against a target that stays unusable after it has listed a run that the owner does not
// know.
TEST(starvation, aTargetIsUsedAfterAnUnknownRunHasEnded)
{
  auto& target = cell.addTarget("t1");
  target.mStopDelay = milliseconds(900);
  const auto id = cell.startOwnerAndJob(tasks(1));
  target.mRunning[{ .mStep = { .mJob = id }, .mIndex = 7 }] = 3;
  cell.run(milliseconds(100));
  CHECK(timeUntilRunning(cell.submit(tasks(1))) < kMaxStarvation);
}

// Guards against a task that uses idle CPU but waits for unreserved CPU.
TEST(starvation, aStepThatUsesIdleCpuStartsOnABusyTarget)
{
  cell.addTarget("t1");
  cell.startOwnerAndJob(tasks(4));
  auto step = tasks(1);
  step.mUsesIdleCpu = true;
  CHECK(timeUntilRunning(cell.submit(step)) < kMaxStarvation);
}
