#include "endiveusher/scheduler/job_table.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;

namespace {

constexpr auto kJob = static_cast<job_id>(5);

task_key task(std::uint32_t aIndex = 0, job_id aJob = kJob)
{
  return { .mStep = { .mJob = aJob }, .mIndex = aIndex };
}

run_started started(const task_key& aTask, std::uint32_t aRun = 1)
{
  return { .mTask = aTask, .mRun = aRun, .mAt = { .mTarget = "w" } };
}

run_ended ended(const task_key& aTask, std::uint32_t aRun = 1)
{
  return { .mTask = aTask, .mRun = aRun, .mOutcome = run_end::done };
}

} // namespace

/// A table with one job of two tasks.
TEST_GROUP(job_table)
{
  job_table table;

  void setup() override
  {
    job_spec spec{ .mId = kJob, .mRoute = "r", .mTeam = "t" };
    spec.mSteps.push_back({ .mCount = 2 });
    table.apply(job_submitted{ .mSpec = std::move(spec) }, time_point{});
  }
};

// Guards against a table that lacks a record of a job and is used nevertheless.
TEST(job_table, recordsOfUnknownJobsTasksAndRunsHaveNoPlace)
{
  CHECK(table.hasPlaceFor(started(task())));
  CHECK_FALSE(table.hasPlaceFor(started(task(0, static_cast<job_id>(6)))));
  CHECK_FALSE(table.hasPlaceFor(started(task(2))));
  CHECK_FALSE(table.hasPlaceFor(job_abandoned{ .mJob = static_cast<job_id>(6) }));
  CHECK_FALSE(table.hasPlaceFor(ended(task())));

  table.apply(started(task()), time_point{});
  CHECK(table.hasPlaceFor(ended(task())));
  CHECK_FALSE(table.hasPlaceFor(ended(task(), 2)));
  CHECK_FALSE(table.hasPlaceFor(ended(task(1))));
  CHECK(table.hasPlaceFor(started(task(), 2)));
  CHECK_FALSE(table.hasPlaceFor(started(task(), 3)));
}

// Guards against a second run 1 of a task whose start the table lacks, and whose end it holds.
TEST(job_table, anEndShowsAStartThatTheTableLacks)
{
  table.apply(ended(task(), 2), time_point{});
  const auto* step = table.find(kJob)->find(task().mStep);
  CHECK(step->mTasks[0].mDone);
  CHECK_EQUAL(2, step->mTasks[0].mRun);
  CHECK_EQUAL(0, step->mOpen);
  CHECK(table.find(kJob)->mStarted);
}

TEST(job_table, recordsThatAreReadAgainHaveAPlace)
{
  table.apply(started(task()), time_point{});
  table.apply(ended(task()), time_point{});
  CHECK(table.hasPlaceFor(started(task())));
  CHECK(table.hasPlaceFor(ended(task())));
}

TEST(job_table, recordsOfEndedJobsHaveAPlaceInATableThatKeepsLessOfThem)
{
  table.apply(started(task()), time_point{});
  table.apply(ended(task()), time_point{});
  table.apply(job_abandoned{ .mJob = kJob }, time_point{});
  job_table restored;
  for (const auto& record : table.snapshot(time_point{})) {
    restored.apply(record, time_point{});
  }
  CHECK(restored.hasPlaceFor(started(task())));
  CHECK(restored.hasPlaceFor(ended(task())));
  CHECK(restored.hasPlaceFor(job_abandoned{ .mJob = kJob }));
}

// Guards against a task of a job whose cancellation was confirmed: it was stored while the owner's
// append with the submission was behind, so that it comes first in the journal.
TEST(job_table, aCancellationBeforeTheSubmissionTakesEffect)
{
  constexpr auto kOther = static_cast<job_id>(6);
  table.apply(job_cancelled{ .mJob = kOther }, time_point{});
  job_table restored;
  for (const auto& record : table.snapshot(time_point{})) {
    restored.apply(*decodeRecord(encode(record)), time_point{});
  }
  for (auto* one : { &table, &restored }) {
    job_spec spec{ .mId = kOther, .mRoute = "r", .mTeam = "t" };
    spec.mSteps.push_back({ .mCount = 1 });
    CHECK(one->apply(job_submitted{ .mSpec = spec }, time_point{}) == nullptr);
    const auto* found = one->find(kOther);
    CHECK(found->mPhase == job_phase::cancelled);
    CHECK_EQUAL("t", found->mSpec.mTeam);
    CHECK_EQUAL(1, one->waitingJobs("r"));
    one->removeEnded(time_point{} + std::chrono::seconds(1));
    CHECK(one->find(kOther) == nullptr);
  }
}

// Guards against runs that are forgotten, and their room given away: a daemon that reads the
// journal late takes a confirmed cancellation before the submission and the starts of the job.
TEST(job_table, aJobThatIsCancelledBeforeItIsKnownKeepsItsOpenRuns)
{
  constexpr auto kOther = static_cast<job_id>(6);
  table.apply(job_cancelled{ .mJob = kOther }, time_point{});
  job_spec spec{ .mId = kOther, .mRoute = "r", .mTeam = "t" };
  spec.mSteps.push_back({ .mCount = 2 });
  table.apply(job_submitted{ .mSpec = spec }, time_point{});
  table.apply(started(task(1, kOther)), time_point{});
  job_table restored;
  for (const auto& record : table.snapshot(time_point{})) {
    restored.apply(*decodeRecord(encode(record)), time_point{});
  }
  for (auto* one : { &table, &restored }) {
    const auto* step = one->find(kOther)->find(task(1, kOther).mStep);
    CHECK(step != nullptr);
    CHECK_EQUAL(1, step->mOpen);
    CHECK(step->mTasks[1].mOpen.has_value());
    CHECK(one->find(kOther)->mPhase == job_phase::cancelled);
  }
}
