#include "tests/kernel/core_cell.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct trio_cell : core_cell<>
{
  trio_cell()
  {
    add("d1");
    add("d2");
    add("d3");
    for (const auto* name : { "t1", "t2", "t3" }) {
      addTarget(name);
    }
    start();
  }
  /// A member that has not been killed.
  std::string survivor() const { return has("d1") ? "d1" : "d2"; }
};

std::size_t count(const job_status& aStatus, task_state aState)
{
  return static_cast<std::size_t>(
    std::count_if(aStatus.mTasks.begin(), aStatus.mTasks.end(),
                  [aState](const task_status& aTask) { return aTask.mState == aState; }));
}

} // namespace

TEST_GROUP(core_failover){};

// Guards against accepted jobs that are lost with their coordinator, and tasks that the successor
// starts again while they run.
TEST(core_failover, theSuccessorFinishesTheJobsOfADeadCoordinator)
{
  trio_cell cell;
  auto job = jobOf("tour-1", job_kind::batch, 24);
  job.mCommand = "run=9000ms";
  CHECK(cell.submit("d1", job).mClass == answer_class::ran);
  cell.run(seconds(2));
  const auto begun = cell.running();
  CHECK(begun > 0);
  cell.kill("d1");
  cell.run(seconds(90));
  const auto status = cell.status("d2", "tour-1");
  CHECK(status.mEnded);
  CHECK_EQUAL(24, count(status, task_state::succeeded));
}

// M8. Guards against a second run of a task whose outcome was lost with its coordinator.
TEST(core_failover, nonIdempotentTasksRunAtMostOnceAcrossAFailover)
{
  trio_cell cell;
  auto job = jobOf("reminder", job_kind::batch, 30);
  job.mIdempotent = false;
  job.mCommand = "run=3000ms";
  cell.submit("d2", job);
  cell.run(seconds(4));
  cell.kill("d2");
  cell.run(seconds(90));
  const auto status = cell.status("d1", "reminder");
  CHECK(status.mEnded);
  CHECK_EQUAL(30, count(status, task_state::succeeded) + count(status, task_state::unknown));
  for (std::uint32_t i = 0; i < 30; ++i) {
    CHECK(cell.starts({ "reminder", i }) <= 1);
  }
}

// Guards against tasks that are lost with a placer that is not their coordinator.
TEST(core_failover, tasksOfADeadPlacerRunElsewhere)
{
  core_cell cell;
  cell.add("d1", "z1");
  cell.add("d2", "z2");
  cell.add("d3", "z2");
  cell.addTarget("t2", "z2");
  cell.addTarget("t3", "z2");
  cell.start();
  auto job = jobOf(cell.ticket("d1"), job_kind::batch, 16);
  job.mCommand = "run=6000ms";
  cell.submit("d1", job);
  cell.run(seconds(3));
  cell.kill("d2");
  cell.run(seconds(90));
  const auto status = cell.status("d1", job.mRequest);
  CHECK_EQUAL(16, count(status, task_state::succeeded));
}

// Guards against a ticket that is refused permanently, or run a second time, after its issuer has
// ended.
TEST(core_failover, theSuccessorDecidesForTickets)
{
  trio_cell cell;
  const auto used = cell.ticket("d1");
  const auto unused = cell.ticket("d1");
  auto job = jobOf(used);
  job.mIdempotent = false;
  cell.submit("d1", job);
  cell.run(seconds(3));
  cell.kill("d1");
  cell.run(seconds(40));
  CHECK(cell.submit("d2", job).mClass == answer_class::ran);
  auto fresh = jobOf(unused);
  fresh.mIdempotent = false;
  const auto lost = cell.submit("d2", fresh);
  CHECK(codeOf(lost) == "issuer_lost");
  CHECK(lost.mClass == answer_class::unknown);
  CHECK(cell.submit("d2", jobOf(unused)).mClass == answer_class::ran);
  cell.run(seconds(20));
  CHECK_EQUAL(1, cell.starts(used, 1));
  CHECK(cell.status("d3", unused).mEnded);
}

// Guards against an incarnation that continues to act after another daemon has succeeded it.
TEST(core_failover, aDaemonThatHasASuccessorRejoins)
{
  trio_cell cell;
  cell.mPaused.insert("d1");
  cell.run(seconds(20));
  cell.mPaused.clear();
  cell.run(seconds(5));
  CHECK_EQUAL(1, cell.effects<rejoin_effect>("d1"));
  CHECK(cell.submit("d1", jobOf("late")).mClass == answer_class::unknown);
}
