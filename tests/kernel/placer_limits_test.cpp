#include "placer_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;

namespace {

std::vector<task_attempt> gangOf(placer_harness<>& aCell, std::uint32_t aCount)
{
  std::vector<task_attempt> tasks;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    task_attempt task = aCell.task(i);
    task.mKey.mRequest = "gang";
    task.mKind = job_kind::gang;
    tasks.push_back(task);
  }
  return tasks;
}

} // namespace

TEST_GROUP(placer_limits){};

// Guards against a daemon that does not request the slice that its queued tasks need.
TEST(placer_limits, reportsTheMissingSlice)
{
  placer_harness<> cell(1);
  cell.mView.mTeams["team"].mSlice.mTasks = 3;
  cell.setView();
  cell.enqueueMany(5);
  cell.run(1s);
  const std::vector<slice_request> shortages = cell.mPlacer.shortages(cell.mNow);
  UNSIGNED_LONGS_EQUAL(1, shortages.size());
  LONGS_EQUAL(2, shortages.at(0).mWanted.mTasks);
  LONGS_EQUAL(0, cell.mPlacer.summary().mTeams.at(0).mUnusedSlice.mTasks);
}

// Guards against tasks that stay above a lowered limit, and services stopped before batch tasks.
TEST(placer_limits, loweredLimitStopsTheYoungestBatchFirst)
{
  placer_harness<> cell(1);
  cell.run(100ms);
  for (std::uint32_t i = 0; i < 8; ++i) {
    task_attempt task = cell.task(i);
    task.mKind = i < 3 ? job_kind::service : job_kind::batch;
    cell.enqueue(task);
    cell.run(100ms);
  }
  cell.mView.mTeams["team"].mSlice.mTasks = 4;
  cell.setView();
  cell.run(1500ms);
  UNSIGNED_LONGS_EQUAL(8, cell.running());
  cell.run(1500ms);
  UNSIGNED_LONGS_EQUAL(4, cell.running());
  for (std::uint32_t i = 0; i < 4; ++i) {
    CHECK(cell.placed(i).mState == placed_state::running);
  }
}

// Guards against gangs that start only in part.
TEST(placer_limits, reservesForAllTasksOfAGangOrNone)
{
  placer_harness<> cell(2);
  cell.enqueueMany(2);
  cell.run(1s);
  CHECK_FALSE(cell.mPlacer.reserve("home", 1, gangOf(cell, 15), 0s, cell.mNow));
  LONGS_EQUAL(2, cell.mPlacer.charged("team").mTasks);
  CHECK(cell.mPlacer.reserve("home", 2, gangOf(cell, 14), 0s, cell.mNow));
  CHECK(cell.mPlacer.reserve("home", 2, gangOf(cell, 14), 0s, cell.mNow));
  LONGS_EQUAL(16, cell.mPlacer.charged("team").mTasks);
  // Other tasks must not use the reserved capacity.
  cell.enqueue(cell.task(9));
  cell.run(500ms);
  CHECK(cell.placed(9).mState == placed_state::queued);
  CHECK(cell.mPlacer.commit("home", 2, cell.mNow));
  CHECK(cell.mPlacer.commit("home", 2, cell.mNow));
  cell.run(500ms);
  UNSIGNED_LONGS_EQUAL(16, cell.running());
  CHECK_FALSE(cell.mOvercommitted);
}

// Guards against capacity that stays reserved after the coordinator has become unresponsive.
TEST(placer_limits, reservationsExpire)
{
  placer_harness<> cell(1);
  cell.run(1s);
  CHECK(cell.mPlacer.reserve("home", 1, gangOf(cell, 8), 0s, cell.mNow));
  cell.run(4s);
  LONGS_EQUAL(0, cell.mPlacer.charged("team").mTasks);
  CHECK_FALSE(cell.mPlacer.commit("home", 1, cell.mNow));
  CHECK(cell.mPlacer.reserve("home", 3, gangOf(cell, 8), 0s, cell.mNow));
  cell.mPlacer.release("home", 3);
  LONGS_EQUAL(0, cell.mPlacer.charged("team").mTasks);
}

// Guards against starvation of a gang because small tasks use all capacity as it is freed.
TEST(placer_limits, reservesFreedCapacityForTheDrainingGang)
{
  placer_harness<> cell(1);
  cell.enqueueMany(200);
  cell.run(1s);
  bool reserved = false;
  duration waited = 0s;
  std::uint32_t next = 0;
  for (; waited < 12s && !reserved; waited += 500ms) {
    reserved = cell.mPlacer.reserve("home", 1, gangOf(cell, 8), waited, cell.mNow);
    // Two tasks end every half second.
    cell.target().finish({ "job", next++ }, attempt_outcome::succeeded);
    cell.target().finish({ "job", next++ }, attempt_outcome::succeeded);
    cell.run(500ms);
  }
  CHECK(reserved);
  CHECK(waited > 5s);
}

// Guards against capacity that is reserved for a gang without a time limit.
TEST(placer_limits, drainingEndsAfterTenSeconds)
{
  placer_harness<> cell(1);
  cell.run(1s);
  for (int i = 0; i < 9; ++i) {
    CHECK_FALSE(cell.mPlacer.reserve("home", 1, gangOf(cell, 9), 5s + i * 1s, cell.mNow));
    cell.run(1s);
  }
  cell.enqueue(cell.task(0));
  cell.run(500ms);
  CHECK(cell.placed(0).mState == placed_state::queued);
  cell.run(1s);
  CHECK_FALSE(cell.mPlacer.reserve("home", 1, gangOf(cell, 9), 7s, cell.mNow));
  cell.run(1s);
  CHECK(cell.placed(0).mState == placed_state::running);
}

// Guards against a gang whose own earlier reservation takes the capacity of its next round because
// the message that releases it was lost.
TEST(placer_limits, aLaterRoundReplacesTheReservationOfAnEarlierOne)
{
  placer_harness<> cell(1);
  cell.run(1s);
  CHECK(cell.mPlacer.reserve("home", 1, gangOf(cell, 8), 0s, cell.mNow));
  CHECK(cell.mPlacer.reserve("home", 2, gangOf(cell, 8), 0s, cell.mNow));
  LONGS_EQUAL(8, cell.mPlacer.charged("team").mTasks);
  // A late copy of the earlier round doesn't replace the later one.
  CHECK_FALSE(cell.mPlacer.reserve("home", 1, gangOf(cell, 8), 0s, cell.mNow));
  CHECK_FALSE(cell.mPlacer.commit("home", 1, cell.mNow));
  CHECK(cell.mPlacer.commit("home", 2, cell.mNow));
  cell.run(500ms);
  UNSIGNED_LONGS_EQUAL(8, cell.running());
}
