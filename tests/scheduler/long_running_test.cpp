#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// Time for which a task of a long-running step may be down while there is capacity for it twice
/// over: 6 s after its last run, and less than 3 s more.
constexpr milliseconds kMaxPause{ 9000 };
constexpr milliseconds kStep{ 50 };

} // namespace

/// A cell whose long-running tasks fail at random beside batch work, gangs and changes of owner.
TEST_GROUP(long_running)
{
  owner_fixture cell;
  std::mt19937_64 random{ 1 };
  std::vector<job_id> services;
  std::map<task_key, time_point> downSince;

  bool chance(double aProbability)
  {
    return std::uniform_real_distribution<double>(0, 1)(random) < aProbability;
  }
  std::int64_t draw(std::int64_t aLeast, std::int64_t aMost)
  {
    return std::uniform_int_distribution<std::int64_t>(aLeast, aMost)(random);
  }

  void addTargets(int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      auto& target = cell.addTarget("t" + std::to_string(100 + index), 16'000, 16'000);
      target.mEntry.mLabels = { index % 3 == 0 ? "large" : "small" };
      target.mStopDelay = milliseconds(400);
    }
  }
  step_spec drawStep()
  {
    return { .mCount = static_cast<std::uint32_t>(draw(1, 6)),
             .mNeeds = { .mCpuMilli = draw(500, 8000), .mMemoryMb = draw(100, 4000) },
             .mEstimate = milliseconds(draw(300, 8000)),
             .mGang = chance(0.4) };
  }
  void submitServices()
  {
    for (int job = 0; job < 4; ++job) {
      auto step = drawStep();
      step.mNeeds.mCpuMilli = draw(500, 2000);
      step.mNeeds.mMemoryMb = 200;
      step.mGang = false;
      step.mLongRunning = true;
      step.mRequiredLabel = job == 0 ? "large" : "";
      step.mMaxPerTarget = job == 1 ? 2 : 0;
      services.push_back(cell.submit(step));
    }
  }
  /// Ends random tasks as failed: often those of services, rarely others.
  void failTasks()
  {
    for (const auto& [id, target] : cell.targets()) {
      const auto running = target.mRunning;
      for (const auto& [task, run] : running) {
        const bool isService = std::ranges::find(services, task.mStep.mJob) != services.end();
        if (chance(isService ? 0.01 : 0.0005)) {
          cell.target(id).end(task, reported_end::failed);
        }
      }
    }
  }
  /// Whether two tasks of the step fit now on targets that may run it.
  bool fitsTwice(const step_spec& aStep) const
  {
    std::int64_t slots = 0;
    for (const auto& [id, target] : cell.targets()) {
      const auto free = target.mEntry.mCapacity - target.used(cell.mJobTable);
      if (target.mReachable && !target.mEntry.mDraining && !free.anyNegative() &&
          (aStep.mRequiredLabel.empty() || target.mEntry.hasLabel(aStep.mRequiredLabel))) {
        slots += std::min(free.mCpuMilli / aStep.mNeeds.mCpuMilli,
                          free.mMemoryMb / aStep.mNeeds.mMemoryMb);
      }
    }
    return slots >= 2;
  }
  /// Returns the longest time so far for which a service's task has been down with room for it
  /// twice over.
  milliseconds longestPause()
  {
    duration longest{ 0 };
    for (const auto id : services) {
      const auto& spec = cell.find(id).mSpec.mSteps[0];
      const bool fits = fitsTwice(spec);
      for (std::uint32_t index = 0; index < spec.mCount; ++index) {
        const task_key task{ .mStep = { .mJob = id }, .mIndex = index };
        if (!fits || !cell.targetRunning(id, 0, index).empty()) {
          downSince.erase(task);
          continue;
        }
        const auto since = downSince.try_emplace(task, cell.mNow).first->second;
        longest = std::max<duration>(longest, cell.mNow - since);
      }
    }
    return std::chrono::duration_cast<milliseconds>(longest);
  }
  /// Runs a minute of load; the owner changes in each aOwnerPeriod, if that is not 0. Returns the
  /// longest pause of a service's task.
  milliseconds longestPauseOfDay(unsigned aSeed, double aJobsPerSecond, milliseconds aOwnerPeriod)
  {
    random.seed(aSeed);
    addTargets(12);
    cell.startNextOwner();
    submitServices();
    cell.run(milliseconds(500));
    cell.mTasksEnd = true;
    milliseconds longest{ 0 };
    for (auto at = milliseconds(0); at < seconds(60); at += kStep) {
      if (chance(aJobsPerSecond * std::chrono::duration<double>(kStep).count())) {
        auto step = drawStep();
        if (chance(0.3)) {
          step.mRequiredLabel = "large";
        }
        cell.submit(step);
      }
      if (aOwnerPeriod.count() > 0 && at.count() > 0 && at % aOwnerPeriod == milliseconds(0)) {
        cell.startNextOwner();
      }
      failTasks();
      cell.run(kStep);
      longest = std::max(longest, longestPause());
    }
    return longest;
  }
};

// Guards against a service that stays down because its task has ended as done.
TEST(long_running, aTaskThatEndsAsDoneIsRestarted)
{
  addTargets(2);
  step_spec step{ .mNeeds = { .mCpuMilli = 1000, .mMemoryMb = 100 }, .mLongRunning = true };
  const auto id = cell.startOwnerAndJob(step);
  for (int end = 0; end < 3; ++end) {
    CHECK_FALSE(cell.targetRunning(id).empty());
    cell.endTask(id, reported_end::done);
    cell.run(seconds(1));
    CHECK(cell.find(id).mPhase == job_phase::active);
  }
  CHECK_FALSE(cell.targetRunning(id).empty());
}

// Guards against long-running tasks that stay down in a cell whose load needs about all of its CPU,
// while the owner changes every 15 s.
TEST(long_running, restartsInABusyCellWithChangesOfOwner)
{
  CHECK(longestPauseOfDay(2, 3, milliseconds(15'000)) < kMaxPause);
}

// Guards against long-running tasks that rank behind batch work and its reserved capacity. Load
// pattern: jobs arrive that need twice the cell's CPU; small gaps remain that gangs cannot use.
TEST(long_running, restartsInAnOverloadedCellSeed2)
{
  CHECK(longestPauseOfDay(2, 6, milliseconds(0)) < kMaxPause);
}

TEST(long_running, restartsInAnOverloadedCellSeed6)
{
  CHECK(longestPauseOfDay(6, 6, milliseconds(0)) < kMaxPause);
}

TEST(long_running, restartsInAnOverloadedCellWithChangesOfOwner)
{
  CHECK(longestPauseOfDay(4, 6, milliseconds(15'000)) < kMaxPause);
}
