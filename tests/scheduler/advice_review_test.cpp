#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

#include <ctime>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// A job with room that starts later than this may break the callers' rules.
constexpr milliseconds kMaxWait{ 3000 };

/// Costs of the advice of the grown cell's gang route.
constexpr advice_terms kLongCalls{ .mPerCall = milliseconds(600),
                                   .mPerTarget = std::chrono::microseconds(8600),
                                   .mTicketLifetime = milliseconds(1500) };
constexpr advice_terms kShortCalls{ .mPerCall = milliseconds(11),
                                    .mPerTarget = std::chrono::microseconds(160),
                                    .mTicketLifetime = milliseconds(1500) };

} // namespace

/// Cells of other sizes and advice terms than those of advice_load.
TEST_GROUP(advice_review)
{
  owner_fixture cell;

  /// Starts an owner that makes calls through aDaemons daemons, the local one included. Each target
  /// has room for one task of aGang().
  void start(int aTargets, int aDaemons, unsigned aGoodPercent, const advice_terms& aTerms)
  {
    cell.mConfig.mRoutes[0].mAdvice = aTerms;
    cell.mConfig.mRoutes[1].mAdvice = kShortCalls;
    cell.mAdviceService =
      fake_advice_service{ .mGoodPercent = { { "batch", aGoodPercent }, { "urgent", 70 } } };
    cell.mTasksEnd = true;
    for (int index = 0; index < aTargets; ++index) {
      cell.addTarget("t" + std::to_string(1000 + index), 30000, 64000);
    }
    startOwner(aDaemons);
    cell.run(milliseconds(200));
  }
  void startOwner(int aDaemons)
  {
    cell.startNextOwner();
    setDaemons(aDaemons);
  }
  void setDaemons(int aDaemons)
  {
    std::vector<std::string> helpers;
    for (int index = 1; index < aDaemons; ++index) {
      helpers.push_back(daemonAddress(index));
    }
    cell.mOwner->setAdviceHelpers(helpers);
  }
  /// Address of a daemon; 0 is the local one.
  static std::string daemonAddress(int aIndex)
  {
    return aIndex == 0 ? std::string() : "10.0.0." + std::to_string(aIndex) + ":1";
  }

  static step_spec wide(std::uint32_t aCount, bool aGang = true)
  {
    return { .mCount = aCount,
             .mNeeds = { .mCpuMilli = 18000, .mMemoryMb = 18000 },
             .mEstimate = milliseconds(2000),
             .mGang = aGang };
  }
  static step_spec small()
  {
    return { .mCount = 1,
             .mNeeds = { .mCpuMilli = 1000, .mMemoryMb = 1000 },
             .mEstimate = milliseconds(500) };
  }

  std::vector<job_id> submitAll(std::size_t aJobs, const step_spec& aStep)
  {
    std::vector<job_id> jobs(aJobs);
    std::ranges::generate(jobs, [this, &aStep] { return cell.submit(aStep); });
    return jobs;
  }

  /// Runs until all the jobs have started, for aLimit at most; returns the time that it took.
  milliseconds untilStarted(const std::vector<job_id>& aJobs, milliseconds aLimit)
  {
    milliseconds spent{ 0 };
    while (spent < aLimit && !std::ranges::all_of(aJobs, [this](job_id aId) {
             const auto& one = cell.find(aId);
             return one.mPhase != job_phase::active || !cell.targetRunning(aId).empty();
           })) {
      cell.run(milliseconds(10));
      spent += milliseconds(10);
    }
    return spent;
  }
  void checkStartsWithin(const std::vector<job_id>& aJobs, milliseconds aLimit)
  {
    const auto spent = untilStarted(aJobs, milliseconds(20000));
    UT_PRINT(("all started after " + std::to_string(spent.count()) + " ms").c_str());
    CHECK(spent < aLimit);
  }

  /// Has calls through both of two daemons fail, meanwhile drops daemon 1 from the list for a
  /// moment if aAbsent, and returns whether daemon 1 gets calls once it is reachable again.
  bool getsCallsAfterFailures(bool aAbsent)
  {
    start(60, 2, 50, kLongCalls);
    cell.mAdviceService->mUnreachable = { daemonAddress(0), daemonAddress(1) };
    for (int index = 0; index < 4; ++index) {
      cell.submitUrgent(small());
    }
    cell.run(milliseconds(50));
    if (aAbsent) {
      setDaemons(1);
      setDaemons(2);
    }
    cell.run(milliseconds(1000));
    cell.mAdviceService->mUnreachable.erase(daemonAddress(1));
    cell.run(milliseconds(8500));
    const auto before = cell.mAdvice.size();
    for (int index = 0; index < 4; ++index) {
      cell.submitUrgent(small());
    }
    cell.run(milliseconds(2000));
    return std::any_of(cell.mAdvice.begin() + static_cast<std::ptrdiff_t>(before),
                       cell.mAdvice.end(),
                       [](const advice_request& aOne) { return aOne.mDaemon == daemonAddress(1); });
  }

  /// Cuts off a target, which stays alive, and waits until the owner misses its heartbeats.
  void cutOff(const std::string& aId)
  {
    cell.target(aId).mReachable = false;
    cell.run(milliseconds(100));
  }
  /// Adds a target on the VM of another one.
  fake_target& addOnVmOf(const std::string& aOther, const std::string& aId, std::int64_t aStart)
  {
    const auto vm = cell.target(aOther).mEntry.mVm;
    auto& target = cell.addTarget(aId);
    target.mEntry.mVm = vm;
    target.mEntry.mIncarnationStart = aStart;
    cell.mOwner->setTarget(target.mEntry, cell.mNow);
    return target;
  }
};

// Guards against a gang that never starts because only the first of its calls finds a daemon, each
// time anew. One of two daemons may make long calls; tickets outlive four calls.
TEST(advice_review, gangStartsWhoseCallsNeedMoreDaemonsThanThereAre)
{
  start(350, 2, 50,
        { .mPerCall = milliseconds(300),
          .mPerTarget = milliseconds(1),
          .mTicketLifetime = seconds(10) });
  checkStartsWithin({ cell.submit(wide(120)) }, milliseconds(10000));
}

// Guards against the same with six daemons, of which three may make long calls.
TEST(advice_review, severalWideGangsStartWithSixDaemons)
{
  start(350, 6, 90, kLongCalls);
  const auto jobs = submitAll(3, wide(90));
  checkStartsWithin(jobs, milliseconds(10000));
}

// Guards against gangs that wait for each other's reserved capacity: two fit at a time.
TEST(advice_review, gangsDoNotWaitForEachOthersReservations)
{
  start(100, 35, 60, kLongCalls);
  const auto jobs = submitAll(6, wide(35));
  checkStartsWithin(jobs, milliseconds(15000));
}

// Guards against a gang that needs nearly all good targets and does not find them all.
TEST(advice_review, gangStartsOnNearlyAllGoodTargets)
{
  start(200, 35, 30, kLongCalls);
  int good = 0;
  const job_id next{ 1 };
  for (const auto& [id, target] : cell.targets()) {
    good += cell.mAdviceService->good("batch", { .mJob = next }, id) ? 1 : 0;
  }
  checkStartsWithin({ cell.submit(wide(static_cast<std::uint32_t>(good) - 1)) },
                    milliseconds(10000));
}

// Guards against a gang that starves when one of its parallel calls fails.
TEST(advice_review, gangStartsAlthoughSomeOfItsCallsFail)
{
  start(350, 35, 25, kLongCalls);
  for (int index = 1; index < 13; ++index) {
    cell.mAdviceService->mUnreachable.insert(daemonAddress(index));
  }
  checkStartsWithin({ cell.submit(wide(60)) }, milliseconds(10000));
}

// Guards against tickets that expire while the start is stored.
TEST(advice_review, gangStartsWhileAppendsAreSlow)
{
  start(350, 35, 50, kLongCalls);
  cell.mStoreDelay = milliseconds(400);
  checkStartsWithin({ cell.submit(wide(120)) }, milliseconds(10000));
}

// Guards against tickets whose lifetime is shorter than the call that brings them.
TEST(advice_review, gangStartsWithTicketsShorterThanACall)
{
  auto terms = kLongCalls;
  terms.mTicketLifetime = milliseconds(400);
  start(350, 35, 50, terms);
  checkStartsWithin({ cell.submit(wide(120)) }, milliseconds(10000));
}

// Guards against a division by zero and a needless limit if targets cost nothing.
TEST(advice_review, gangStartsIfTargetsCostNothing)
{
  auto terms = kLongCalls;
  terms.mPerTarget = std::chrono::microseconds(0);
  start(350, 6, 50, terms);
  checkStartsWithin({ cell.submit(wide(120)) }, milliseconds(5000));
}

// Guards against wide steps that are no gangs and trickle while room is free.
TEST(advice_review, allTasksOfAWideStepStart)
{
  start(350, 35, 50, kLongCalls);
  auto step = wide(120, false);
  step.mEstimate = seconds(60);
  cell.submit(step);
  milliseconds spent{ 0 };
  for (; spent < milliseconds(20000) && cell.running() < 120; spent += milliseconds(10)) {
    cell.run(milliseconds(10));
  }
  UT_PRINT(("120 tasks run after " + std::to_string(spent.count()) + " ms").c_str());
  CHECK(spent < milliseconds(10000));
}

// Guards against an estimate of the good targets that grows because good targets are queried again.
// A step of many short tasks renews its tickets for ten seconds; then a gang has to start as soon
// as without it.
TEST(advice_review, renewalsDoNotChangeTheExpectedFractionOfGoodTargets)
{
  start(350, 35, 25, kLongCalls);
  const auto alone = untilStarted({ cell.submit(wide(40)) }, milliseconds(20000));
  cell.run(milliseconds(5000));
  auto step = wide(800, false);
  step.mEstimate = milliseconds(1200);
  const auto filler = cell.submit(step);
  cell.run(milliseconds(10000));
  cell.cancel(filler);
  cell.run(milliseconds(3000));
  const auto calls = cell.mAdvice.size();
  const auto afterwards = untilStarted({ cell.submit(wide(40)) }, milliseconds(20000));
  std::size_t queried = 0;
  for (auto at = calls; at < cell.mAdvice.size(); ++at) {
    queried += cell.mAdvice[at].mTargets.size();
  }
  UT_PRINT(("alone " + std::to_string(alone.count()) + " ms, afterwards " +
            std::to_string(afterwards.count()) + " ms, " +
            std::to_string(cell.mAdvice.size() - calls) + " calls for " + std::to_string(queried) +
            " targets")
             .c_str());
  CHECK(afterwards <= alone + milliseconds(600));
}

// Guards against one reset connection that counts as several failures in a row: three short calls
// are open on it, and their daemon would be avoided for 4 s instead of 1 s.
TEST(advice_review, callsThatFailTogetherCountAsOneFailure)
{
  start(20, 1, 50, kLongCalls);
  cell.mAdviceService->mUnreachable.insert(daemonAddress(0));
  std::vector<job_id> jobs(3);
  std::ranges::generate(jobs, [this] { return cell.submitUrgent(small()); });
  cell.run(milliseconds(700));
  cell.mAdviceService->mUnreachable.clear();
  checkStartsWithin(jobs, milliseconds(2000));
}

// Guards against daemons that are avoided for long after none of them reached the advice service
// for six seconds.
TEST(advice_review, adviceResumesSoonAfterTheServiceWasUnreachable)
{
  start(60, 6, 50, kLongCalls);
  for (int index = 0; index < 6; ++index) {
    cell.mAdviceService->mUnreachable.insert(daemonAddress(index));
  }
  std::vector<job_id> jobs;
  jobs.reserve(60);
  for (int index = 0; index < 60; ++index) {
    jobs.push_back(cell.submitUrgent(small()));
    cell.run(milliseconds(100));
  }
  cell.mAdviceService->mUnreachable.clear();
  checkStartsWithin(jobs, kMaxWait);
}

// Guards against a daemon that gets no calls any more after it has been absent while one was open.
// Daemons leave the list after a second without a hello call; calls may stay open for longer.
TEST(advice_review, daemonThatReturnsWhileItsCallIsOpenGetsCalls)
{
  CHECK(getsCallsAfterFailures(true));
}

// The same without the absence: shows that the daemon would be chosen.
TEST(advice_review, daemonGetsCallsAfterFailures)
{
  CHECK(getsCallsAfterFailures(false));
}

// Guards against calls of a new owner that time out behind those of the former owner, which the
// service still handles.
TEST(advice_review, newOwnersGangsStartBehindTheCallsOfTheFormerOwner)
{
  start(350, 6, 50, kLongCalls);
  cell.mAdviceService->mCallsTimeOut = true;
  const auto jobs = submitAll(4, wide(20));
  cell.run(milliseconds(100));
  for (int index = 0; index < 3; ++index) {
    cell.mAdviceService->mBusyUntil[daemonAddress(index)] = cell.mNow + milliseconds(1450);
  }
  startOwner(6);
  checkStartsWithin(jobs, milliseconds(6000));
}

// Guards against planning passes that take much processor time while 200 gangs wait for room.
TEST(advice_review, waitingGangsCostLittleProcessorTime)
{
  start(350, 35, 50, kLongCalls);
  auto filler = wide(350, false);
  filler.mEstimate = seconds(600);
  cell.mConfig.mRoutes[1].mAdvice.reset();
  startOwner(35);
  cell.run(milliseconds(200));
  cell.submitUrgent(filler);
  cell.run(milliseconds(2000));
  const auto cost = [this] {
    const auto before = std::clock();
    cell.run(milliseconds(4000));
    return 1000.0 * static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC / 200;
  };
  const auto idle = cost();
  for (int index = 0; index < 200; ++index) {
    cell.submit(wide(30));
  }
  cell.run(milliseconds(60000));
  const auto busy = cost();
  UT_PRINT(("per 20 ms: idle " + std::to_string(idle) + " ms, with 200 gangs " +
            std::to_string(busy) + " ms, calls " + std::to_string(cell.mAdvice.size()))
             .c_str());
  CHECK(busy - idle < 5.0);
}

// Guards against a second start of a task whose target is cut off but alive, if the entry that
// names its VM is no later than its own.
TEST(advice_review, entryOfTheSameAgeDoesNotEndRuns)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob({ .mNeeds = { .mCpuMilli = 1000 } });
  cutOff("t1");
  addOnVmOf("t1", "t2", 1);
  cell.run(milliseconds(2000));
  CHECK(!cell.target("t2").mRunning.contains({ .mStep = { .mJob = id } }));
}

// Guards against the same if the later entry names no VM or has no start.
TEST(advice_review, entryWithoutVmOrStartDoesNotEndRuns)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob({ .mNeeds = { .mCpuMilli = 1000 } });
  cutOff("t1");
  addOnVmOf("t1", "t2", 0);
  auto& other = cell.addTarget("t3");
  other.mEntry.mVm.clear();
  other.mEntry.mIncarnationStart = 5;
  cell.mOwner->setTarget(other.mEntry, cell.mNow);
  cell.run(milliseconds(2000));
  CHECK_EQUAL("t1", cell.targetRunning(id));
  CHECK_EQUAL(std::size_t(1), cell.running());
}

// Guards against an unknown start that is taken for the earliest: it does not show which of two
// targets on a VM is the former one.
TEST(advice_review, targetWithUnknownStartIsNotFormer)
{
  cell.addTarget("t1");
  cell.target("t1").mEntry.mIncarnationStart = 0;
  const auto id = cell.startOwnerAndJob({ .mNeeds = { .mCpuMilli = 1000 } });
  CHECK_EQUAL("t1", cell.targetRunning(id));
  cutOff("t1");
  addOnVmOf("t1", "t2", 1);
  cell.run(milliseconds(2000));
  CHECK_EQUAL("t1", cell.targetRunning(id));
  CHECK_EQUAL(std::size_t(1), cell.running());
}

// Guards against records of earlier versions, which name no VM, ending runs.
TEST(advice_review, recordsWithoutVmEndNoRuns)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob({ .mNeeds = { .mCpuMilli = 1000 } });
  for (auto& record : cell.mJournal) {
    if (auto* acquired = std::get_if<target_acquired>(&record)) {
      acquired->mVm.clear();
    }
  }
  cell.target("t1").mReachable = false;
  cell.target("t1").mListed = false;
  auto& other = cell.addTarget("t2");
  other.mEntry.mVm.clear();
  other.mEntry.mIncarnationStart = 2;
  cell.startNextOwner();
  cell.run(milliseconds(2000));
  CHECK_EQUAL("t1", cell.targetRunning(id));
  CHECK_EQUAL(std::size_t(1), cell.running());
}

// Guards against a run that stays open because its VM has moved to another pool.
TEST(advice_review, startsElsewhereOnceTheVmHasMovedToAnotherPool)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob({ .mNeeds = { .mCpuMilli = 1000 } });
  cutOff("t1");
  cell.target("t1").mRunning.clear();
  cell.addTarget("t3");
  auto& moved = addOnVmOf("t1", "t2", 2);
  moved.mEntry.mPool = "other";
  cell.mOwner->setTarget(moved.mEntry, cell.mNow);
  cell.run(milliseconds(500));
  CHECK_EQUAL("t3", cell.targetRunning(id));
}

// Guards against new starts on a target after a later one on its VM has answered. The heartbeat of
// the former target may still be held open, so that it does not count as unresponsive yet, and runs
// that are placed there wait for their lease.
TEST(advice_review, nothingStartsOnTheFormerTargetOfAVm)
{
  cell.addTarget("t1");
  cell.startOwnerAndJob({ .mNeeds = { .mCpuMilli = 1000 } });
  cell.target("t1").mIsSilent = true;
  cell.target("t1").mRunning.clear();
  auto& later = addOnVmOf("t1", "t2", 2);
  later.mEntry.mCapacity = {};
  cell.mOwner->setTarget(later.mEntry, cell.mNow);
  cell.run(milliseconds(1000));
  CHECK_EQUAL(1, std::ranges::count_if(cell.mJournal, [](const journal_record& aOne) {
                const auto* started = std::get_if<run_started>(&aOne);
                return started != nullptr && started->mAt.mTarget == "t1";
              }));
}

// Guards against a gang that starts twice when one member's VM restarts while the ends of the
// others are not read yet: one end `done` completes all members.
TEST(advice_review, gangThatEndedDoesNotStartAgainAfterARestart)
{
  cell.addTarget("t1", 1000);
  cell.addTarget("t2", 1000);
  const auto id =
    cell.startOwnerAndJob({ .mCount = 2, .mNeeds = { .mCpuMilli = 1000 }, .mGang = true });
  CHECK_EQUAL(2, cell.running());
  cell.endTask(id, reported_end::done, 0, cell.targetRunning(id, 0, 0) == "t2" ? 0 : 1);
  cell.target("t2").mIsSilent = true;
  cell.restartVm("t1", "t3");
  cell.run(milliseconds(300));
  CHECK_EQUAL(0, cell.running());
  cell.target("t2").mIsSilent = false;
  cell.run(milliseconds(500));
  CHECK(cell.find(id).mPhase == job_phase::completed);
  CHECK_EQUAL(0, cell.running());
}

// Guards against gangs of a new owner that need more than 3 s for their advice though there is room
// for them twice over, with other fractions of good targets than the assumed one.
TEST(advice_review, firstGangStartsInTimeIfNinetyPercentAreGood)
{
  start(350, 35, 90, kLongCalls);
  checkStartsWithin({ cell.submit(wide(150)) }, kMaxWait);
}

TEST(advice_review, firstGangStartsInTimeIfHalfAreGood)
{
  start(350, 35, 50, kLongCalls);
  checkStartsWithin({ cell.submit(wide(80)) }, kMaxWait);
}

TEST(advice_review, firstGangStartsInTimeIfATenthIsGood)
{
  start(350, 35, 10, kLongCalls);
  checkStartsWithin({ cell.submit(wide(15)) }, kMaxWait);
}
