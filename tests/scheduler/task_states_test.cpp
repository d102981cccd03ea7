#include "endiveusher/scheduler/index_set.h"
#include "endiveusher/scheduler/task_states.h"

#include <CppUTest/TestHarness.h>

#include <stdexcept>

using namespace endiveusher::scheduler;

TEST_GROUP(task_states)
{
  task_states states{ 100 };

  void endTask(std::uint32_t aIndex, std::uint32_t aRun, std::uint32_t aFailures = 0)
  {
    states.edit(aIndex) = { .mRun = aRun, .mFailures = aFailures, .mDone = true };
    states.compact(aIndex);
  }
};

// Guards against a done task whose number of runs or failures is lost, so that a repeated record of
// an earlier run opens it again.
TEST(task_states, reducedStatesKeepTheirNumbers)
{
  endTask(3, 1);
  endTask(4, 31, 7);
  CHECK(states.full().empty());
  CHECK(states[3].mDone);
  CHECK_EQUAL(1, states[3].mRun);
  CHECK_EQUAL(0, states[3].mFailures);
  CHECK_EQUAL(31, states[4].mRun);
  CHECK_EQUAL(7, states[4].mFailures);
  CHECK_EQUAL(2, states.countDone());
  CHECK_FALSE(states[5].mDone);
  states.edit(4).mRun = 32;
  CHECK_EQUAL(7, states[4].mFailures);
  CHECK_EQUAL(2, states.countDone());
}

TEST(task_states, statesThatDoNotFitAreKeptInFull)
{
  endTask(1, 32);
  endTask(2, 1, 8);
  states.edit(3) = { .mRun = 1, .mDone = true, .mOpen = open_run{ .mTarget = "w" } };
  states.edit(4) = { .mRun = 1, .mFailures = 1 };
  states.compactAll();
  CHECK_EQUAL(4, states.full().size());
  CHECK_EQUAL(32, states[1].mRun);
  CHECK_EQUAL(8, states[2].mFailures);
  CHECK(states[3].mOpen.has_value());
  CHECK_EQUAL(1, states[4].mFailures);
  CHECK_EQUAL(3, states.countDone());
}

// Guards against tasks that are started twice, or never.
TEST(task_states, tasksThatAreNeitherDoneNorOpenWait)
{
  CHECK_EQUAL(100, states.waiting().size());
  CHECK_FALSE(states.anyStarted());
  endTask(0, 1);
  endTask(99, 40);
  states.edit(50) = { .mRun = 1, .mOpen = open_run{ .mTarget = "w" } };
  states.edit(51) = { .mRun = 1, .mFailures = 1 };
  const auto waiting = states.waiting();
  CHECK_EQUAL(97, waiting.size());
  CHECK_EQUAL(1, waiting.front());
  CHECK_EQUAL(98, waiting.back());
  CHECK(std::ranges::find(waiting, 50U) == waiting.end());
  CHECK(std::ranges::find(waiting, 51U) != waiting.end());
  CHECK(states.anyStarted());
}

TEST(task_states, thereAreNoFurtherTasks)
{
  CHECK_THROWS(std::out_of_range, states.edit(100));
  CHECK_THROWS(std::out_of_range, states.setReduced(std::vector<std::uint8_t>(101)));
}

TEST_GROUP(index_set){};

// Guards against a set of a million occurrences that takes a million entries.
TEST(index_set, adjoiningRangesAreJoined)
{
  index_set set;
  CHECK_EQUAL(0, set.firstMissing());
  for (const std::uint32_t index : { 5U, 3U, 0U, 4U, 1U, 9U }) {
    set.insert(index);
  }
  CHECK_EQUAL(3, set.ranges().size());
  CHECK_EQUAL(2, set.firstMissing());
  CHECK_FALSE(set.contains(2));
  set.insert(2, 8);
  CHECK_EQUAL(1, set.ranges().size());
  CHECK_EQUAL(10, set.firstMissing());
  CHECK(set.contains(0) && set.contains(9));
  CHECK_FALSE(set.contains(10));
  set.insert(4);
  CHECK_EQUAL(1, set.ranges().size());
  set.insert(20, UINT32_MAX);
  CHECK(set.contains(UINT32_MAX));
  CHECK_FALSE(set.contains(19));
}
