#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// Largest number of starts that a task may have after three targets have crashed under it.
constexpr unsigned kMaxStartsAfterThirdCrash = 2;

step_spec tasks(std::uint32_t aCount, milliseconds aEstimate = milliseconds(800))
{
  return { .mCount = aCount,
           .mNeeds = { .mCpuMilli = 2000, .mMemoryMb = 100 },
           .mEstimate = aEstimate };
}

} // namespace

/// Tasks that crash the targets that start them, and tasks that run beside them.
TEST_GROUP(target_losses)
{
  owner_fixture cell;

  void setup() override
  {
    cell.mTasksEnd = true;
  }
  void addTargets(int aCount)
  {
    for (int target = 0; target < aCount; ++target) {
      cell.addTarget("t" + std::to_string(target));
    }
  }
  job_id submitDeadly(step_spec aStep)
  {
    // The id of the next job, which is deadly before it is started.
    const auto id = static_cast<job_id>(cell.submitted().size() + 1);
    cell.mDeadlyJobs.insert(id);
    return cell.submit(std::move(aStep));
  }
  void checkDeadlyStarts() const
  {
    for (const auto& [task, deadly] : cell.mDeadlyTasks) {
      CHECK(deadly.mStartsAfterThirdCrash <= kMaxStartsAfterThirdCrash);
    }
  }
};

// Guards against a task that crashes one target after the other without end.
TEST(target_losses, aTaskThatCrashesItsTargetsIsGivenUp)
{
  addTargets(4);
  cell.startNextOwner();
  cell.run(milliseconds(100));
  const auto id = submitDeadly(tasks(1));
  cell.run(seconds(30));
  CHECK(cell.find(id).mPhase == job_phase::failed);
  checkDeadlyStarts();
}

// Guards against a job that never ends because a task of another job crashes the targets it runs
// on, and against giving up that job instead.
TEST(target_losses, anInnocentTaskBesideItFinishes)
{
  addTargets(2);
  cell.startNextOwner();
  cell.run(milliseconds(100));
  const auto innocent = cell.submit(tasks(4, milliseconds(3000)));
  cell.run(milliseconds(200));
  const auto deadly = submitDeadly(tasks(1));
  cell.run(seconds(30));
  CHECK(cell.find(innocent).mPhase == job_phase::completed);
  CHECK(cell.find(deadly).mPhase == job_phase::failed);
  checkDeadlyStarts();
}

// Guards against a count that begins anew with each owner.
TEST(target_losses, theCountHoldsAcrossChangesOfTheOwner)
{
  addTargets(4);
  cell.startNextOwner();
  cell.run(milliseconds(100));
  const auto id = submitDeadly(tasks(1));
  for (int change = 0; change < 8; ++change) {
    cell.run(milliseconds(3500));
    cell.startNextOwner();
  }
  cell.run(seconds(10));
  CHECK(cell.find(id).mPhase == job_phase::failed);
  checkDeadlyStarts();
}

// Guards against a start order that is repeated at the next incarnation of its target, which
// crashes as well, uncounted.
TEST(target_losses, aStartIsNotRepeatedAtARestartedTarget)
{
  addTargets(1);
  cell.mRestartDelay = milliseconds(100);
  cell.mRestartsAreListed = false;
  cell.startNextOwner();
  cell.run(milliseconds(100));
  submitDeadly(tasks(1));
  cell.run(seconds(10));
  const auto started = std::ranges::count_if(cell.mJournal, [](const journal_record& aRecord) {
    return std::holds_alternative<run_started>(aRecord);
  });
  CHECK_EQUAL(1, cell.mDeadlyTasks.size());
  CHECK_EQUAL(started, cell.mDeadlyTasks.begin()->second.mCrashes);
}

// Load pattern: every tenth job crashes all targets that start it, for 10 s, while the cell runs
// at an eighth of its cores. Guards against deadly tasks that are started on, and against innocent
// jobs that are given up with them or never finish.
TEST(target_losses, aBurstOfDeadlyJobsSparesTheOthers)
{
  for (int target = 0; target < 48; ++target) {
    cell.addTarget("t" + std::to_string(target), 32'000, 64'000);
  }
  cell.startNextOwner();
  cell.run(milliseconds(200));
  step_spec step = tasks(2);
  step.mNeeds.mCpuMilli = 4000;
  for (int arrival = 0; arrival < 300; ++arrival) {
    if (arrival % 10 == 9) {
      submitDeadly(step);
    } else {
      cell.submit(step);
    }
    cell.run(arrival % 3 == 0 ? milliseconds(30) : milliseconds(35));
  }
  cell.run(seconds(20));
  checkDeadlyStarts();
  std::size_t unfinished = 0;
  std::size_t active = 0;
  for (const auto id : cell.submitted()) {
    if (cell.mDeadlyJobs.contains(id)) {
      active += cell.find(id).mPhase == job_phase::active ? 1 : 0;
    } else {
      unfinished += cell.find(id).mPhase == job_phase::completed ? 0 : 1;
    }
  }
  CHECK_EQUAL(0, unfinished);
  CHECK_EQUAL(0, active);
}
