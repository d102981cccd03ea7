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
  /// A member that is alive.
  std::string survivor() const { return has("d1") ? "d1" : "d2"; }
};

std::size_t count(const job_status& aStatus, task_state aState)
{
  return static_cast<std::size_t>(
    std::count_if(aStatus.mTasks.begin(), aStatus.mTasks.end(),
                  [aState](const task_status& aTask) { return aTask.mState == aState; }));
}

} // namespace

TEST_GROUP(core_takeover){};

// Guards against accepted jobs that die with their home, and tasks that the successor repeats while
// they run.
TEST(core_takeover, theSuccessorFinishesTheJobsOfADeadHome)
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

// M8. Guards against a second run of a task whose outcome died with its home.
TEST(core_takeover, nonIdempotentTasksRunAtMostOnceThroughATakeover)
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

// Guards against tasks that are lost with a placer that is not their home.
TEST(core_takeover, tasksOfADeadPlacerAreDoneElsewhere)
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

// Guards against a ticket whose issuer has ended being refused for ever or run a second time.
TEST(core_takeover, theSuccessorDecidesForTickets)
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

// Guards against an incarnation that acts on after it was taken over.
TEST(core_takeover, aDaemonThatWasTakenOverRejoins)
{
  trio_cell cell;
  cell.mPaused.insert("d1");
  cell.run(seconds(20));
  cell.mPaused.clear();
  cell.run(seconds(5));
  CHECK_EQUAL(1, cell.effects<rejoin_effect>("d1"));
  CHECK(cell.submit("d1", jobOf("late")).mClass == answer_class::unknown);
}
