#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <random>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// Time in which tasks start that fit: one append, one order and the pause after a rejection.
constexpr milliseconds kStartTime{ 300 };

step_spec tasks(std::uint32_t aCount)
{
  return { .mCount = aCount,
           .mNeeds = { .mCpuMilli = 2000, .mMemoryMb = 1000 },
           .mEstimate = seconds(10) };
}

/// A task that is late if it does not start soon, so that it preempts others.
step_spec pressingTask()
{
  auto step = tasks(1);
  step.mEstimate = milliseconds(0);
  return step;
}

step_spec gangOf(std::uint32_t aCount)
{
  auto gang = tasks(aCount);
  gang.mGang = true;
  return gang;
}

} // namespace

/// Targets whose capacity shrinks and grows while they run.
TEST_GROUP(capacity_changes)
{
  owner_fixture cell;
  const resources full{ .mCpuMilli = 8000, .mMemoryMb = 8000 };
  const resources half{ .mCpuMilli = 4000, .mMemoryMb = 4000 };

  void checkNoStartOverCapacity() const
  {
    const auto& starts = cell.mStartsOverCapacity;
    STRCMP_EQUAL("", starts.empty() ? "" : starts.front().c_str());
  }
  /// Submits the step while the store is slow, so that its starts wait to be stored.
  job_id submitToSlowStore(const step_spec& aStep)
  {
    cell.mStoreDelay = milliseconds(400);
    const auto id = cell.submit(aStep);
    cell.run(milliseconds(100));
    return id;
  }
  std::size_t eventCount(std::string_view aEvent) const
  {
    return static_cast<std::size_t>(std::ranges::count(cell.mEvents, aEvent));
  }
};

// Guards against a start, a stopped run or a wait that lasts because free capacity is negative.
TEST(capacity_changes, nothingStartsUntilItFitsAgain)
{
  const std::array<resources, 3> shrunk{
    resources{ .mCpuMilli = 3000, .mMemoryMb = 8000, .mAccelerators = 4 },
    resources{ .mCpuMilli = 8000, .mMemoryMb = 1500, .mAccelerators = 4 },
    resources{ .mCpuMilli = 8000, .mMemoryMb = 8000, .mAccelerators = 1 }
  };
  for (std::size_t at = 0; at < shrunk.size(); ++at) {
    const auto id = "t" + std::to_string(at);
    auto& target = cell.addTarget(id);
    target.mEntry.mCapacity.mAccelerators = 4;
    auto step = tasks(3);
    step.mNeeds.mAccelerators = 1;
    const auto first = cell.startOwnerAndJob(step);
    CHECK_EQUAL(3, target.mRunning.size());
    cell.setCapacity(id, shrunk[at]);
    step.mCount = 1;
    const auto second = cell.submit(step);
    cell.run(milliseconds(2000));
    CHECK_EQUAL(3, target.mRunning.size());
    cell.endTask(first, reported_end::done, 0, 0);
    cell.run(kStartTime);
    CHECK_EQUAL(std::string(), cell.targetRunning(second));
    cell.endTask(first, reported_end::done, 0, 1);
    cell.endTask(first, reported_end::done, 0, 2);
    cell.run(kStartTime);
    CHECK_EQUAL(id, cell.targetRunning(second));
    cell.endTask(second, reported_end::done);
    cell.run(kStartTime);
    target.mListed = false;
    cell.mOwner->removeTarget(id, cell.mNow);
  }
  checkNoStartOverCapacity();
}

// Guards against a start beside a run that its target is still stopping.
TEST(capacity_changes, runsThatAreBeingStoppedStillCount)
{
  auto& target = cell.addTarget("t1");
  target.mStopDelay = milliseconds(2000);
  const auto first = cell.startOwnerAndJob(tasks(3));
  cell.setCapacity("t1", half);
  cell.cancel(first);
  const auto second = cell.submit(tasks(1));
  cell.run(milliseconds(1900));
  CHECK_EQUAL(3, target.mRunning.size());
  cell.run(milliseconds(500));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(second));
  checkNoStartOverCapacity();
}

// Guards against stored starts that are sent to a target that has shrunk meanwhile, and against
// withdrawing more of them than necessary.
TEST(capacity_changes, storedStartsThatNoLongerFitAreNotSent)
{
  auto& target = cell.addTarget("t1");
  cell.startNextOwner();
  cell.run(kStartTime);
  submitToSlowStore(tasks(4));
  cell.setCapacity("t1", half);
  cell.run(milliseconds(1500));
  checkNoStartOverCapacity();
  CHECK_EQUAL(2, target.mRunning.size());
  cell.mStoreDelay = milliseconds(0);
  cell.setCapacity("t1", full);
  cell.run(milliseconds(1000));
  CHECK_EQUAL(4, target.mRunning.size());
}

// Guards against a part of a gang that starts.
TEST(capacity_changes, aStoredGangThatNoLongerFitsIsWithdrawnWhole)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.startNextOwner();
  cell.run(kStartTime);
  const auto gang = submitToSlowStore(gangOf(6));
  cell.setCapacity("t2", {});
  cell.run(milliseconds(2000));
  CHECK_EQUAL(0, cell.running());
  checkNoStartOverCapacity();
  cell.mStoreDelay = milliseconds(0);
  cell.setCapacity("t2", full);
  cell.run(milliseconds(1500));
  CHECK(!cell.targetRunning(gang, 0, 5).empty());
  CHECK_EQUAL(6, cell.running());
}

// Guards against other starts of a batch that are withdrawn for a gang that does not start.
TEST(capacity_changes, aWithdrawnGangLeavesItsCapacityToOtherStoredStarts)
{
  cell.addTarget("t1");
  cell.startNextOwner();
  cell.run(kStartTime);
  cell.mStoreDelay = milliseconds(400);
  cell.submitUrgent(gangOf(3));
  const auto single = cell.submit(tasks(1));
  cell.run(milliseconds(100));
  CHECK_EQUAL(4, eventCount("start"));
  cell.setCapacity("t1", { .mCpuMilli = 2000, .mMemoryMb = 8000 });
  // The store completes the append after 400 ms, and no other one.
  cell.run(milliseconds(350));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(single));
  CHECK_EQUAL(1, cell.running());
  checkNoStartOverCapacity();
}

// Guards against a repeated start order that is executed, although the first one was not, after the
// target has shrunk.
TEST(capacity_changes, startsAreNotRepeatedAtATargetThatHasShrunk)
{
  auto& target = cell.addTarget("t1");
  cell.startNextOwner();
  cell.run(kStartTime);
  target.mLosesStarts = true;
  const auto id = cell.submit(tasks(1));
  cell.run(milliseconds(60));
  CHECK_EQUAL(1, eventCount("start"));
  CHECK_EQUAL(1, eventCount("start_rejected"));
  cell.setCapacity("t1", {});
  target.mLosesStarts = false;
  cell.run(milliseconds(1000));
  checkNoStartOverCapacity();
  CHECK_EQUAL(0, cell.running());
  cell.setCapacity("t1", full);
  cell.run(milliseconds(1000));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(id));
}

// Guards against repetitions that end because of starts that are only being stored: these are
// withdrawn instead.
TEST(capacity_changes, startsThatStillFitAreRepeated)
{
  auto& target = cell.addTarget("t1");
  cell.startNextOwner();
  cell.run(kStartTime);
  target.mLosesStarts = true;
  const auto first = cell.submit(tasks(2));
  cell.run(milliseconds(60));
  CHECK_EQUAL(2, eventCount("start_rejected"));
  cell.setCapacity("t1", half);
  target.mLosesStarts = false;
  cell.run(milliseconds(100));
  CHECK_EQUAL(2, target.mRunning.size());
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(first));
}

// Guards against starts by a new owner beside adopted runs that exceed the target's capacity.
TEST(capacity_changes, aNewOwnerAdoptsMoreRunsThanFit)
{
  auto& target = cell.addTarget("t1");
  const auto first = cell.startOwnerAndJob(tasks(4));
  cell.setCapacity("t1", half);
  cell.startNextOwner();
  const auto second = cell.submit(tasks(1));
  cell.run(milliseconds(2000));
  CHECK_EQUAL(4, target.mRunning.size());
  for (std::uint32_t index = 0; index < 3; ++index) {
    cell.endTask(first, reported_end::done, 0, index);
  }
  cell.run(milliseconds(500));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(second));
  checkNoStartOverCapacity();
}

// Guards against a step that still waits once the only target has grown from nothing, with and
// without advice.
TEST(capacity_changes, waitingStepsStartOnceATargetHasGrown)
{
  auto& target = cell.addTarget("t1");
  cell.mGoodTargets = { "t1" };
  cell.mConfig.mRoutes[1].mAdvice = advice_terms{ .mTicketLifetime = milliseconds(300) };
  cell.startNextOwner();
  cell.run(kStartTime);
  cell.setCapacity("t1", {});
  const auto plain = cell.submit(tasks(1));
  const auto gang = cell.submit(gangOf(2));
  const auto advised = cell.submitUrgent(tasks(1));
  cell.run(seconds(5));
  CHECK_EQUAL(0, cell.running());
  cell.setCapacity("t1", full);
  cell.run(milliseconds(500));
  CHECK_EQUAL(4, target.mRunning.size());
  CHECK(!cell.targetRunning(plain).empty() && !cell.targetRunning(gang, 0, 1).empty() &&
        !cell.targetRunning(advised).empty());
  checkNoStartOverCapacity();
}

// Guards against a gang that holds on to reserved capacity and tickets of a target that has shrunk
// while there is capacity elsewhere.
TEST(capacity_changes, aGangUsesOtherTargetsThanTheShrunkOne)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.addTarget("t3");
  cell.mGoodTargets = { "t1", "t2", "t3" };
  cell.mConfig.mRoutes[0].mAdvice =
    advice_terms{ .mPerCall = milliseconds(50), .mTicketLifetime = milliseconds(2000) };
  cell.startNextOwner();
  cell.run(kStartTime);
  const auto first = cell.submit(tasks(6));
  cell.run(kStartTime);
  CHECK_EQUAL(6, cell.running());
  const auto gang = cell.submit(gangOf(8));
  cell.run(kStartTime);
  cell.setCapacity("t1", {});
  for (std::uint32_t index = 0; index < 6; ++index) {
    cell.endTask(first, reported_end::done, 0, index);
  }
  cell.run(milliseconds(1000));
  CHECK(!cell.targetRunning(gang, 0, 7).empty());
  CHECK(cell.target("t1").mRunning.empty());
  checkNoStartOverCapacity();
}

// Guards against stopping all runs of a shrunk target, whose deficit comes first, for a task that
// one stopped run makes room for elsewhere.
TEST(capacity_changes, preemptionPrefersTargetsThatHoldTheirRuns)
{
  cell.addTarget("t1");
  cell.addTarget("t2");
  auto saved = tasks(8);
  saved.mCheckpointing = true;
  cell.startOwnerAndJob(saved);
  CHECK_EQUAL(8, cell.running());
  cell.setCapacity("t1", half);
  const auto urgent = cell.submitUrgent(pressingTask());
  cell.run(milliseconds(600));
  CHECK_EQUAL(std::string("t2"), cell.targetRunning(urgent));
  CHECK_EQUAL(1, eventCount("preempt"));
  checkNoStartOverCapacity();
}

// Guards against preemption that counts on capacity that is gone.
TEST(capacity_changes, preemptionAtAShrunkTargetStopsEnoughRuns)
{
  auto& target = cell.addTarget("t1");
  auto saved = tasks(4);
  saved.mCheckpointing = true;
  cell.startOwnerAndJob(saved);
  cell.setCapacity("t1", half);
  const auto urgent = cell.submitUrgent(pressingTask());
  cell.run(milliseconds(600));
  CHECK_EQUAL(std::string("t1"), cell.targetRunning(urgent));
  CHECK_EQUAL(3, eventCount("preempt"));
  CHECK_EQUAL(2, target.mRunning.size());
  checkNoStartOverCapacity();
}

// Guards against pausing the only target that can run a step because another one, which has no
// capacity at present, counts as its replacement.
TEST(capacity_changes, anEmptyTargetReplacesNoOther)
{
  cell.mConfig.mRoutes[0].mMaxAttempts = 10;
  cell.addTarget("t1");
  cell.addTarget("t2");
  cell.startNextOwner();
  cell.run(kStartTime);
  cell.setCapacity("t2", {});
  for (int failure = 0; failure < 4; ++failure) {
    const auto id = cell.submit(tasks(1));
    cell.run(kStartTime);
    CHECK_EQUAL(std::string("t1"), cell.targetRunning(id));
    cell.endTask(id, reported_end::failed);
    cell.run(kStartTime);
    CHECK_EQUAL(std::string("t1"), cell.targetRunning(id));
    cell.cancel(id);
    cell.run(kStartTime);
  }
}

/// Random changes of capacity with lost orders and replies, a store that is slow or down, slow
/// stops and changes of the owner.
TEST_GROUP(capacity_days)
{
  static constexpr int kTargets = 6;
  /// A target writes its entry each second, and the owner reads the registry every 250 ms.
  static constexpr int kMaxReadDelayMs = 1250;

  std::mt19937 random;

  int draw(int aLowest, int aHighest)
  {
    return std::uniform_int_distribution(aLowest, aHighest)(random);
  }
  bool chance(int aPercent)
  {
    return draw(1, 100) <= aPercent;
  }
  void submit(owner_fixture & aCell)
  {
    step_spec step{ .mCount = static_cast<std::uint32_t>(draw(1, 5)),
                    .mNeeds = { .mCpuMilli = 500 * draw(1, 6), .mMemoryMb = 500 * draw(1, 6) },
                    .mEstimate = milliseconds(draw(100, 2000)),
                    .mCheckpointing = chance(50),
                    .mGang = chance(20),
                    .mUsesIdleCpu = chance(10) };
    if (chance(30)) {
      aCell.submitUrgent(step);
    } else {
      aCell.submit(step);
    }
  }
  void disturb(owner_fixture & aCell)
  {
    const auto id = "t" + std::to_string(draw(0, kTargets - 1));
    auto& target = aCell.target(id);
    if (chance(25)) {
      aCell.setCapacity(id, { .mCpuMilli = 2000 * draw(0, 4), .mMemoryMb = 2000 * draw(0, 4) },
                        milliseconds(draw(0, kMaxReadDelayMs)));
    }
    if (chance(10)) {
      target.mLosesStarts = !target.mLosesStarts;
      target.mLosesReplies = chance(30);
      target.mStopDelay = milliseconds(draw(0, 800));
    }
    if (chance(5)) {
      aCell.mStoreDelay = milliseconds(draw(0, 1) * draw(0, 500));
    }
    aCell.mStoreDown = aCell.mStoreDown ? chance(90) : chance(2);
    if (chance(2)) {
      aCell.startNextOwner();
    }
  }
  void heal(owner_fixture & aCell)
  {
    aCell.mStoreDown = false;
    aCell.mStoreDelay = milliseconds(0);
    for (int at = 0; at < kTargets; ++at) {
      const auto id = "t" + std::to_string(at);
      auto& target = aCell.target(id);
      target.mLosesStarts = target.mLosesReplies = false;
      target.mStopDelay = milliseconds(0);
      aCell.setCapacity(id, { .mCpuMilli = 8000, .mMemoryMb = 8000 });
    }
  }
  static bool allEnded(const owner_fixture& aCell)
  {
    return std::ranges::all_of(aCell.submitted(), [&aCell](job_id aJob) {
      return aCell.find(aJob).mPhase == job_phase::completed;
    });
  }

  /// Plays 15 s of disturbances, then waits until all jobs have ended.
  void play(unsigned aSeed, bool aWithAdvice)
  {
    random.seed(aSeed);
    owner_fixture cell;
    cell.mTasksEnd = true;
    if (aWithAdvice) {
      cell.mAdviceService.emplace();
      for (auto& route : cell.mConfig.mRoutes) {
        route.mAdvice =
          advice_terms{ .mPerCall = milliseconds(80), .mTicketLifetime = milliseconds(600) };
        cell.mAdviceService->mGoodPercent[route.mName] = 100;
      }
    }
    for (int at = 0; at < kTargets; ++at) {
      cell.addTarget("t" + std::to_string(at));
    }
    cell.startNextOwner();
    cell.run(milliseconds(300));
    for (int step = 0; step < 300; ++step) {
      if (chance(20)) {
        submit(cell);
      }
      disturb(cell);
      cell.run(milliseconds(50));
    }
    heal(cell);
    for (int second = 0; second < 60 && !allEnded(cell); ++second) {
      cell.run(seconds(1));
    }
    const auto text = "seed " + std::to_string(aSeed);
    const auto& starts = cell.mStartsOverCapacity;
    CHECK_TEXT(starts.empty(), (text + ": " + (starts.empty() ? "" : starts.front())).c_str());
    CHECK_TEXT(allEnded(cell), (text + ": jobs have not ended").c_str());
  }
};

// Guards against a start over the capacity of a target, and against jobs that wait for good once
// the capacity is back.
TEST(capacity_days, noStartExceedsTheCapacityAndAllJobsEnd)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    play(seed, false);
  }
}

// Guards against the same, with tickets that expire while targets are small.
TEST(capacity_days, noStartExceedsTheCapacityWithAdvice)
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    play(seed, true);
  }
}
