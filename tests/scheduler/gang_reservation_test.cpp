#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// Time in which a gang has verdicts on enough targets, frees them and has tickets for them.
constexpr milliseconds kStartLimit{ 4000 };

} // namespace

/// A cell of twelve targets that batch tasks with checkpoints fill. A gang needs four of its
/// targets as a whole, and small tasks take whatever becomes free.
TEST_GROUP(gang_reservation)
{
  owner_fixture cell;

  void setup() override
  {
    auto& routes = cell.mConfig.mRoutes;
    routes.push_back(routes[0]);
    routes[2].mName = "gang";
    routes[2].mPriority = 1;
    routes[2].mStretch = 4;
    routes[0].mPriority = 2;
    routes[0].mStretch = 20;
    routes[2].mAdvice = { .mPerCall = milliseconds(200),
                          .mPerTarget = milliseconds(2),
                          .mTicketLifetime = milliseconds(1500) };
    routes[0].mAdvice = { .mPerCall = milliseconds(10),
                          .mPerTarget = std::chrono::microseconds(100),
                          .mTicketLifetime = milliseconds(1500) };
    cell.mAdviceService =
      fake_advice_service{ .mGoodPercent = { { "gang", 100 }, { "batch", 100 } } };
    cell.mTasksEnd = true;
    for (int index = 0; index < 12; ++index) {
      cell.addTarget("t" + std::to_string(index), 8000, 64000).mStopDelay = milliseconds(300);
    }
    cell.startNextOwner();
    cell.run(milliseconds(200));
  }

  job_id submitBatch(std::uint32_t aTasks)
  {
    return cell.submit({ .mCount = aTasks,
                         .mNeeds = { .mCpuMilli = 2000, .mMemoryMb = 1000 },
                         .mEstimate = milliseconds(20000),
                         .mCheckpointing = true });
  }
  job_id submitGang()
  {
    const step_spec step{ .mCount = 8,
                          .mNeeds = { .mCpuMilli = 4000, .mMemoryMb = 1000 },
                          .mEstimate = milliseconds(3000),
                          .mGang = true };
    return cell.submit(std::vector<step_spec>{ step }, "blue", "gang");
  }
  bool started(job_id aJob) const
  {
    return !cell.targetRunning(aJob).empty();
  }
  /// Runs until the gang has started, for aLimit at most.
  bool startsWithin(job_id aJob, milliseconds aLimit)
  {
    for (milliseconds spent{ 0 }; spent < aLimit && !started(aJob); spent += milliseconds(10)) {
      cell.run(milliseconds(10));
    }
    return started(aJob);
  }
  /// Runs until the owner has made a reservation for a gang.
  bool untilReserved()
  {
    for (int turn = 0; turn < 400; ++turn) {
      cell.run(milliseconds(10));
      if (std::ranges::count(cell.mEvents, "gang_reserved") > 0) {
        return true;
      }
    }
    return false;
  }
  std::string reservedTarget() const
  {
    for (const auto& [id, target] : cell.targets()) {
      if (!target.mStopping.empty()) {
        return id;
      }
    }
    return {};
  }
};

// Guards against gangs whose reservations hold all memory, or all of a small pool: the limit was of
// the CPU of the whole cell.
TEST(gang_reservation, reservationsAreLimitedByTheDominantResourceOfThePool)
{
  submitBatch(90);
  cell.run(milliseconds(500));
  const step_spec wideInMemory{ .mCount = 7,
                                .mNeeds = { .mCpuMilli = 100, .mMemoryMb = 50000 },
                                .mEstimate = milliseconds(3000),
                                .mGang = true };
  cell.submit(std::vector<step_spec>{ wideInMemory }, "blue", "gang");
  CHECK(!untilReserved());
}

// Guards against gangs that start only when they are about to be late: until then small tasks take
// each part that becomes free.
TEST(gang_reservation, aGangStartsInAFullCellLongBeforeItIsLate)
{
  submitBatch(90);
  cell.run(milliseconds(500));
  const auto gang = submitGang();
  CHECK(startsWithin(gang, kStartLimit));
}

// Guards against reserved capacity that other steps take while the gang waits for its tickets.
TEST(gang_reservation, otherStepsDoNotTakeWhatIsBeingFreed)
{
  submitBatch(90);
  cell.run(milliseconds(500));
  const auto gang = submitGang();
  CHECK(untilReserved());
  const auto before = cell.mLog.size();
  CHECK(startsWithin(gang, kStartLimit));
  // The gang's tasks, and batch tasks on the targets that are not reserved.
  std::set<std::string> gangTargets;
  for (std::uint32_t index = 0; index < 8; ++index) {
    gangTargets.insert(cell.targetRunning(gang, 0, index));
  }
  CHECK(!gangTargets.contains(""));
  for (auto at = before; at < cell.mLog.size(); ++at) {
    const auto& line = cell.mLog[at];
    if (line.starts_with("start ") && line.find("task=" + toText(gang)) == std::string::npos) {
      for (const auto& target : gangTargets) {
        CHECK(line.find("target=" + target + " ") == std::string::npos);
      }
    }
  }
}

// Guards against a gang that holds its reservation while one of the targets is gone.
TEST(gang_reservation, aLostTargetIsReplaced)
{
  submitBatch(90);
  cell.run(milliseconds(500));
  const auto gang = submitGang();
  CHECK(untilReserved());
  cell.run(milliseconds(100));
  const auto lost = reservedTarget();
  CHECK(!lost.empty());
  cell.leaveTarget(lost);
  cell.unlistTarget(lost);
  CHECK(startsWithin(gang, 2 * kStartLimit));
}

// Guards against capacity that stays withheld while the advice service does not answer: batch tasks
// that were stopped for the gang run again.
TEST(gang_reservation, reservationsExpireWithoutAdvice)
{
  submitBatch(90);
  cell.run(milliseconds(500));
  const auto full = cell.running();
  // The tickets of the call that brings the verdicts expire before the capacity is free.
  cell.mConfig.mRoutes[2].mAdvice->mTicketLifetime = milliseconds(400);
  cell.mOwner->configure(std::make_shared<cell_config>(cell.mConfig));
  const auto gang = submitGang();
  cell.run(milliseconds(350));
  cell.mAdviceService->mUnreachable = { "" };
  CHECK(untilReserved());
  cell.run(milliseconds(400));
  CHECK(cell.running() < full);
  cell.cancel(gang);
  CHECK(!started(gang));
  cell.mAdviceService->mUnreachable.clear();
  cell.run(milliseconds(5000));
  CHECK_EQUAL(full, cell.running());
}

// Guards against a next owner that does not place a gang for which the former one had reserved
// capacity: reservations are not stored.
TEST(gang_reservation, theNextOwnerStartsTheGang)
{
  submitBatch(90);
  cell.run(milliseconds(500));
  const auto gang = submitGang();
  CHECK(untilReserved());
  cell.startNextOwner();
  CHECK(startsWithin(gang, 4 * kStartLimit));
}

// Guards against an outage of the advice service in which each gang keeps reserving capacity that
// it cannot use, for as long as it can be on time: batch tasks are stopped again and again.
TEST(gang_reservation, anOutageOfAdviceMakesAGangReserveOnce)
{
  submitBatch(90);
  cell.run(milliseconds(500));
  cell.mConfig.mRoutes[2].mStretch = 20;
  cell.mConfig.mRoutes[2].mAdvice->mTicketLifetime = milliseconds(400);
  cell.mOwner->configure(std::make_shared<cell_config>(cell.mConfig));
  const auto gang = submitGang();
  cell.run(milliseconds(350));
  cell.mAdviceService->mUnreachable = { "" };
  CHECK(untilReserved());
  cell.run(milliseconds(10000));
  CHECK_EQUAL(1, std::ranges::count(cell.mEvents, "gang_reserved"));
  cell.mAdviceService->mUnreachable.clear();
  CHECK(startsWithin(gang, 3 * kStartLimit));
}

// Guards against runs that are stopped without need: capacity that a gang has reserved in the same
// planning pass was subtracted twice for the gang behind it.
TEST(gang_reservation, twoGangsInOnePassStopNoMoreThanTheyNeed)
{
  cell.mConfig.mRoutes[2].mAdvice->mPerCall = milliseconds(20);
  cell.mOwner->configure(std::make_shared<cell_config>(cell.mConfig));
  const step_spec small{ .mCount = 120,
                         .mNeeds = { .mCpuMilli = 1000, .mMemoryMb = 1000 },
                         .mEstimate = milliseconds(20000),
                         .mCheckpointing = true };
  cell.submit(std::vector<step_spec>{ small });
  cell.run(milliseconds(500));
  CHECK_EQUAL(96, cell.running());
  const step_spec gang{ .mCount = 12,
                        .mNeeds = { .mCpuMilli = 1600, .mMemoryMb = 1000 },
                        .mEstimate = milliseconds(3000),
                        .mGang = true,
                        .mMaxPerTarget = 1 };
  cell.submit(std::vector<step_spec>{ gang }, "blue", "gang");
  cell.submit(std::vector<step_spec>{ gang }, "blue", "gang");
  for (int turn = 0; turn < 200 && std::ranges::count(cell.mEvents, "gang_reserved") < 2; ++turn) {
    cell.run(milliseconds(10));
  }
  CHECK_EQUAL(2, std::ranges::count(cell.mEvents, "gang_reserved"));
  // Two tasks of the batch job at each target for each gang.
  CHECK_EQUAL(48, std::ranges::count(cell.mEvents, "preempt"));
}
