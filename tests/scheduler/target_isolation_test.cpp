#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// Time after which a suspect step starts beside other jobs.
constexpr milliseconds kIsolationWait{ 1000 };
/// Time of a run up to which nothing of other jobs starts beside it.
constexpr milliseconds kIsolationPeriod{ 5000 };
/// Time that a start takes when nothing holds it up.
constexpr milliseconds kStartTime{ 200 };

step_spec tasks(std::uint32_t aCount, milliseconds aEstimate = seconds(20))
{
  return { .mCount = aCount,
           .mNeeds = { .mCpuMilli = 2000, .mMemoryMb = 100 },
           .mEstimate = aEstimate };
}

} // namespace

/// Steps with a task under which two targets were lost, and the jobs beside them.
TEST_GROUP(target_isolation)
{
  owner_fixture cell;

  void setup() override
  {
    cell.mTasksEnd = true;
  }
  /// Submits a job before the first owner starts, with two lost targets under its last task.
  job_id submitSuspect(step_spec aStep, const std::string& aRoute = "batch")
  {
    const auto last = aStep.mCount - 1;
    const auto id = cell.submit(std::vector<step_spec>{ std::move(aStep) }, "red", aRoute);
    const task_key task{ .mStep = { .mJob = id }, .mIndex = last };
    for (std::uint32_t run = 1; run <= 2; ++run) {
      cell.mJournal.emplace_back(run_started{
        .mTask = task, .mRun = run, .mAt = { .mTarget = "former", .mIncarnationStart = 1 } });
      cell.mJournal.emplace_back(
        run_ended{ .mTask = task, .mRun = run, .mOutcome = run_end::target_lost_at_start });
    }
    return id;
  }
  duration timeUntilRunning(job_id aJob, std::uint32_t aIndex = 0)
  {
    const auto since = cell.mNow;
    while (cell.targetRunning(aJob, 0, aIndex).empty() && cell.mNow - since < seconds(30)) {
      cell.run(milliseconds(5));
    }
    return cell.mNow - since;
  }
};

// Guards against targets whose loss does not tell which of several tasks crashed them.
TEST(target_isolation, aSuspectTaskHasATargetOfItsOwn)
{
  cell.addTarget("t0");
  cell.addTarget("t1");
  const auto other = cell.submit(tasks(1));
  const auto suspect = submitSuspect(tasks(1));
  cell.startNextOwner();
  cell.run(milliseconds(500));
  CHECK_FALSE(cell.targetRunning(suspect).empty());
  CHECK(cell.targetRunning(suspect) != cell.targetRunning(other));
  // t0 has room for three further tasks.
  const auto later = cell.submit(tasks(4));
  cell.run(milliseconds(500));
  CHECK_EQUAL(3, cell.target(cell.targetRunning(other)).mRunning.size() - 1);
  CHECK_EQUAL(1, cell.target(cell.targetRunning(suspect)).mRunning.size());
  cell.endTask(suspect, reported_end::done);
  cell.run(milliseconds(500));
  CHECK_FALSE(cell.targetRunning(later, 0, 3).empty());
}

// Guards against a job that never starts again because its tasks are not permitted beside each
// other.
TEST(target_isolation, tasksOfOneJobShareATarget)
{
  cell.addTarget("t0");
  const auto suspect = submitSuspect(tasks(4));
  cell.startNextOwner();
  cell.run(milliseconds(500));
  CHECK_EQUAL(4, cell.target("t0").mRunning.size());
  CHECK_FALSE(cell.targetRunning(suspect, 0, 3).empty());
}

// Guards against a suspect step that starves in a cell without free targets.
TEST(target_isolation, aSuspectStepDoesNotWaitLongForATargetOfItsOwn)
{
  cell.addTarget("t0");
  const auto other = cell.submit(tasks(1));
  const auto suspect = submitSuspect(tasks(1));
  cell.startNextOwner();
  cell.run(milliseconds(300));
  CHECK_FALSE(cell.targetRunning(other).empty());
  const auto waited = timeUntilRunning(suspect);
  CHECK(waited >= kIsolationWait - milliseconds(300));
  CHECK(waited <= kIsolationWait + kStartTime);
}

// Guards against services that hold a whole target each because they were beside a task that
// crashed it.
TEST(target_isolation, isolationOfALongRunEnds)
{
  cell.addTarget("t0");
  step_spec service = tasks(1);
  service.mLongRunning = true;
  submitSuspect(service);
  cell.startNextOwner();
  cell.run(milliseconds(500));
  const auto other = cell.submit(tasks(1));
  const auto waited = timeUntilRunning(other);
  CHECK(waited >= kIsolationPeriod - milliseconds(500));
  CHECK(waited <= kIsolationPeriod + kStartTime);
  // The log names the reason of a wait of 3 s.
  CHECK(std::ranges::any_of(cell.mLog, [](const std::string& aLine) {
    return aLine.starts_with("step_waiting") && aLine.find("reason=isolation") != aLine.npos;
  }));
}

// Guards against isolation that is forgotten when the owner changes.
TEST(target_isolation, theNextOwnerKeepsTheRunIsolated)
{
  cell.addTarget("t0");
  submitSuspect(tasks(1));
  cell.startNextOwner();
  cell.run(milliseconds(500));
  cell.startNextOwner();
  const auto other = cell.submit(tasks(1));
  CHECK(timeUntilRunning(other) >= kIsolationPeriod - milliseconds(500));
}

// Guards against a gang that starts partly, or beside other jobs. While it waits, nothing starts
// where it will run.
TEST(target_isolation, aSuspectGangWaitsForTargetsOfItsOwn)
{
  cell.addTarget("t0");
  cell.addTarget("t1");
  const auto blocking = cell.submit(tasks(1, milliseconds(800)));
  step_spec gang = tasks(2, seconds(2));
  gang.mGang = true;
  gang.mMaxPerTarget = 1;
  const auto suspect = submitSuspect(gang);
  cell.startNextOwner();
  cell.run(milliseconds(300));
  CHECK_FALSE(cell.targetRunning(blocking).empty());
  CHECK(cell.targetRunning(suspect).empty());
  const auto small = cell.submit(tasks(5, seconds(3)));
  CHECK(timeUntilRunning(suspect) < kIsolationWait - milliseconds(300));
  for (std::uint32_t index = 0; index < 2; ++index) {
    const auto at = cell.targetRunning(suspect, 0, index);
    CHECK_FALSE(at.empty());
    CHECK_EQUAL(1, cell.target(at).mRunning.size());
  }
  cell.run(seconds(6));
  CHECK(cell.find(small).mPhase == job_phase::completed);
}

// Guards against advice calls for targets on which a suspect step may not start, and against a
// step that gets no tickets because it may start nowhere.
TEST(target_isolation, adviceIsRequestedWhereIsolationPermits)
{
  cell.mConfig.mRoutes[0].mAdvice = advice_terms{ .mPerCall = milliseconds(400),
                                                  .mPerTarget = milliseconds(1),
                                                  .mTicketLifetime = seconds(2) };
  cell.addTarget("t0");
  cell.addTarget("t1");
  cell.mAdviceService = fake_advice_service{ .mGoodPercent = { { "batch", 100U } } };
  const auto other = cell.submit(tasks(1));
  cell.startNextOwner();
  cell.run(milliseconds(700));
  const auto busy = cell.targetRunning(other);
  CHECK_FALSE(busy.empty());
  const auto suspect = submitSuspect(tasks(1));
  cell.startNextOwner();
  cell.run(milliseconds(700));
  CHECK_FALSE(cell.targetRunning(suspect).empty());
  CHECK(cell.targetRunning(suspect) != busy);
  for (const auto& request : cell.mAdvice) {
    CHECK(request.mStep.mJob == other ||
          std::ranges::find(request.mTargets, busy) == request.mTargets.end());
  }
  // Both targets are in use by other jobs now.
  const auto second = submitSuspect(tasks(1));
  cell.startNextOwner();
  CHECK(timeUntilRunning(second) <= kIsolationWait + kStartTime);
}
