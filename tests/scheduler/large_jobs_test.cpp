#include "endiveusher/scheduler/job_limits.h"
#include "endiveusher/scheduler/job_table.h"
#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

#include <malloc.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using endiveusher::scheduler::testing::owner_fixture;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1 } << 20U;

job_id id(std::uint64_t aNumber)
{
  return static_cast<job_id>(aNumber);
}

/// The largest job that is valid: each step waits for the one before.
job_spec largestJob(std::uint64_t aNumber, const std::string& aTeam = "red")
{
  job_spec spec{ .mId = id(aNumber), .mRoute = "batch", .mTeam = aTeam };
  for (std::uint32_t index = 0; index < kMaxStepsPerJob; ++index) {
    step_spec step{ .mCount = kMaxTasksPerStep };
    if (index > 0) {
      step.mAfter = { index - 1 };
    }
    spec.mSteps.push_back(step);
  }
  return spec;
}

task_key taskOf(std::uint32_t aIndex, std::uint32_t aOccurrence = 0)
{
  return { .mStep = { .mJob = id(1), .mOccurrence = aOccurrence }, .mIndex = aIndex };
}

std::size_t allocatedBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Starts a cell of one target with a job of short tasks, an occurrence each second.
job_id startRecurring(owner_fixture& aCell, std::uint32_t aOccurrences)
{
  aCell.mTasksEnd = true;
  aCell.addTarget("t1");
  aCell.startNextOwner();
  return aCell.submitRecurring({ .mEstimate = milliseconds(100) }, seconds(1), aOccurrences);
}

} // namespace

TEST_GROUP(large_jobs)
{
  job_table table;

  void start(std::uint32_t aIndex, std::uint32_t aRun = 1, std::uint32_t aOccurrence = 0)
  {
    table.apply(run_started{ .mTask = taskOf(aIndex, aOccurrence),
                             .mRun = aRun,
                             .mAt = { .mTarget = "w", .mIncarnationStart = 7 } },
                time_point{});
  }
  void end(std::uint32_t aIndex, run_end aOutcome, std::uint32_t aRun = 1,
           const std::string& aCheckpoint = {}, std::uint32_t aOccurrence = 0)
  {
    table.apply(run_ended{ .mTask = taskOf(aIndex, aOccurrence),
                           .mRun = aRun,
                           .mOutcome = aOutcome,
                           .mCheckpoint = aCheckpoint },
                time_point{});
  }
  job_table restored() const
  {
    job_table other;
    for (const auto& record : table.snapshot(time_point{})) {
      other.apply(*decodeRecord(encode(record)), time_point{});
    }
    return other;
  }
};

// Guards against accepted jobs that end all daemons for memory, after each restart too: the states
// of a million tasks were made when the job was submitted, 130 MB.
TEST(large_jobs, takeLittleMemoryUntilTheirTasksAreStarted)
{
  const auto before = allocatedBytes();
  for (std::uint64_t number = 1; number <= 3; ++number) {
    table.apply(job_submitted{ .mSpec = largestJob(number) }, time_point{});
  }
  CHECK(allocatedBytes() - before < 3 * kMegabyte);
  std::size_t encoded = 0;
  for (const auto& record : table.snapshot(time_point{})) {
    encoded += encode(record).size();
  }
  CHECK(encoded < kMegabyte);
  const auto other = restored();
  CHECK(allocatedBytes() - before < 6 * kMegabyte);
  CHECK_EQUAL(kMaxTasksPerStep, other.find(id(3))->find({ .mJob = id(3) })->mTasks.size());
}

// Guards against a done task that keeps its whole state: a job of a million tasks ends with as much
// memory as it would have begun with.
TEST(large_jobs, doneTasksTakeAByte)
{
  table.apply(job_submitted{ .mSpec = largestJob(1) }, time_point{});
  const auto counted = table.bytes();
  const auto before = allocatedBytes();
  for (std::uint32_t index = 0; index < kMaxTasksPerStep; ++index) {
    start(index);
    end(index, run_end::done);
  }
  CHECK(table.find(id(1))->find({ .mJob = id(1) })->complete());
  CHECK(table.find(id(1))->eligible({ .mJob = id(1), .mStep = 1 }));
  CHECK(allocatedBytes() - before < 2 * kMaxTasksPerStep);
  CHECK_EQUAL(counted, table.bytes());
}

TEST(large_jobs, snapshotsKeepTheStatesOfAllTasks)
{
  table.apply(job_submitted{ .mSpec = largestJob(1) }, time_point{});
  for (const std::uint32_t index : { 0U, 1U, 2U, 3U, 4095U }) {
    start(index);
  }
  end(0, run_end::done);
  end(1, run_end::failed);
  end(2, run_end::interrupted, 1, "half");
  end(4095, run_end::target_lost);
  start(1, 2);
  end(1, run_end::done, 2);
  const auto other = restored();
  const auto* step = other.find(id(1))->find({ .mJob = id(1) });
  CHECK_EQUAL(2, step->mDone);
  CHECK_EQUAL(1, step->mOpen);
  CHECK(step->mTasks[0].mDone && step->mTasks[1].mDone);
  CHECK_EQUAL(2, step->mTasks[1].mRun);
  CHECK_EQUAL(1, step->mTasks[1].mFailures);
  CHECK_EQUAL("half", step->checkpointOf(2));
  CHECK_EQUAL("w", step->mTasks[3].mOpen->mTarget);
  CHECK_EQUAL(7, step->mTasks[3].mOpen->mIncarnationStart);
  CHECK_EQUAL(1, step->mTasks[4095].mTargetLosses);
  CHECK_EQUAL(kMaxTasksPerStep - 3, step->mTasks.waiting().size());
  CHECK_EQUAL(table.bytes(), other.bytes());
}

// Guards against accepted jobs that are lost with an upgrade: earlier versions have stored a row
// for each task.
TEST(large_jobs, rowsOfEarlierVersionsAreRead)
{
  constexpr std::uint32_t kTasks = 100;
  job_spec spec{ .mId = id(1), .mTeam = "red" };
  spec.mSteps = { { .mCount = kTasks } };
  table.apply(job_submitted{ .mSpec = spec }, time_point{});
  auto stored = nlohmann::json::from_msgpack(encode(table.snapshot(time_point{}).front()));
  auto rows = nlohmann::json::array();
  for (std::uint32_t index = 0; index < kTasks; ++index) {
    rows.push_back(nlohmann::json::array({ index == 7 ? 2 : 0, 0, index == 7, "" }));
  }
  rows[8] = nlohmann::json::array({ 1, 0, false, "half", "w", 7 });
  stored[1][4][0][1][0][1] = rows;
  std::string bytes;
  nlohmann::json::to_msgpack(stored, bytes);
  job_table other;
  other.apply(*decodeRecord(bytes), time_point{});
  const auto* step = other.find(id(1))->find({ .mJob = id(1) });
  CHECK_EQUAL(1, step->mDone);
  CHECK_EQUAL(1, step->mOpen);
  CHECK_EQUAL(2, step->mTasks[7].mRun);
  CHECK_EQUAL("half", step->checkpointOf(8));
  CHECK_EQUAL(1, step->mTasks.full().size());
  rows.erase(rows.begin());
  stored[1][4][0][1][0][1] = rows;
  bytes.clear();
  nlohmann::json::to_msgpack(stored, bytes);
  CHECK_FALSE(decodeRecord(bytes).ok());
}

// Guards against one checkpoint of a gang that is kept once for each of its members.
TEST(large_jobs, membersOfAGangShareTheirCheckpoint)
{
  for (const std::uint32_t members : { 3U, 1000U }) {
    table.clear();
    const step_spec gang{ .mCount = members, .mCheckpointing = true, .mGang = true };
    table.apply(job_submitted{ .mSpec = { .mId = id(1), .mSteps = { gang } } }, time_point{});
    const auto counted = table.bytes();
    for (std::uint32_t index = 0; index < members; ++index) {
      start(index);
    }
    end(1, run_end::interrupted, 1, std::string(kMaxCheckpointBytes, 'x'));
    CHECK(table.bytes() - counted < kMaxCheckpointBytes + members * std::size_t{ 300 });
    auto other = restored();
    for (auto* one : { &table, &other }) {
      const auto* step = one->find(id(1))->find({ .mJob = id(1) });
      CHECK_EQUAL(kMaxCheckpointBytes, step->checkpointOf(0).size());
      CHECK_EQUAL(kMaxCheckpointBytes, step->checkpointOf(members - 1).size());
      CHECK_EQUAL(members - 1, step->mOpen);
    }
  }
}

// Guards against a team whose jobs fill the table, so that those of others are rejected.
TEST(large_jobs, aTeamLeavesRoomForOthers)
{
  table.setLimit(40 * kMegabyte);
  std::uint64_t accepted = 0;
  while (table.hasRoomFor(largestJob(accepted + 1))) {
    ++accepted;
    table.apply(job_submitted{ .mSpec = largestJob(accepted) }, time_point{});
  }
  CHECK(accepted >= 1 && accepted <= 3);
  CHECK(table.hasRoomFor(largestJob(100, "blue")));
  CHECK(table.bytes() <= 16 * kMegabyte);
  // Of the waiting room of the others, a small job takes next to nothing.
  CHECK(table.hasRoomFor({ .mId = id(101), .mTeam = "blue", .mSteps = { {} } }));
  for (std::uint64_t number = 1; number <= accepted; ++number) {
    table.apply(job_cancelled{ .mJob = id(number) }, time_point{});
  }
  CHECK(table.hasRoomFor(largestJob(102)));
}

// Guards against bytes that stay counted for good, so that in the end every job is rejected.
TEST(large_jobs, nothingIsCountedForJobsThatAreGone)
{
  table.apply(job_cancelled{ .mJob = id(1) }, time_point{});
  table.apply(job_submitted{ .mSpec = largestJob(1) }, time_point{});
  table.apply(job_submitted{ .mSpec = largestJob(2) }, time_point{});
  job_spec gang{ .mId = id(3), .mTeam = "blue" };
  gang.mSteps = { { .mCount = 3, .mGang = true } };
  table.apply(job_submitted{ .mSpec = gang }, time_point{});
  for (std::uint32_t index = 0; index < 3; ++index) {
    table.apply(run_started{ .mTask = { .mStep = { .mJob = id(3) }, .mIndex = index }, .mRun = 1 },
                time_point{});
  }
  const auto waiting = table.bytes();
  table.apply(run_ended{ .mTask = { .mStep = { .mJob = id(3) } },
                         .mRun = 1,
                         .mOutcome = run_end::interrupted,
                         .mCheckpoint = "half" },
              time_point{});
  table.apply(job_cancelled{ .mJob = id(2) }, time_point{});
  CHECK(table.bytes() < waiting / 2);
  for (std::uint32_t index = 1; index < 3; ++index) {
    table.apply(run_ended{ .mTask = { .mStep = { .mJob = id(3) }, .mIndex = index },
                           .mRun = 1,
                           .mOutcome = run_end::done },
                time_point{});
  }
  table.apply(job_abandoned{ .mJob = id(3) }, time_point{});
  table.removeEnded(time_point{} + seconds(1));
  CHECK_EQUAL(0, table.size());
  CHECK_EQUAL(0, table.bytes());
}

// Guards against a recurring job whose complete occurrences fill the memory, and against one of
// them that is run once more because its states were dropped.
TEST(large_jobs, completeOccurrencesAreDroppedAndNotRunAgain)
{
  job_spec recurring{ .mId = id(1), .mTeam = "red", .mInterval = seconds(1), .mRepeat = 1000 };
  recurring.mSteps = { { .mCount = 2 } };
  table.apply(job_submitted{ .mSpec = recurring }, time_point{});
  const auto bytes = table.bytes();
  for (std::uint32_t occurrence = 0; occurrence < 900; ++occurrence) {
    for (std::uint32_t index = 0; index < 2; ++index) {
      start(index, 1, occurrence);
      end(index, run_end::done, 1, {}, occurrence);
    }
  }
  start(0, 1, 950);
  table.dropCompleted();
  auto other = restored();
  for (auto* one : { &table, &other }) {
    job& found = *one->find(id(1));
    CHECK_EQUAL(900, found.mOccurrencesDone);
    CHECK_EQUAL(1, found.mOccurrences.size());
    CHECK(one->openOccurrence(found, 17) == nullptr);
    CHECK(one->openOccurrence(found, 900) != nullptr);
    CHECK(one->hasPlaceFor(run_started{ .mTask = taskOf(0, 17), .mRun = 1 }));
    CHECK(one->hasPlaceFor(run_ended{ .mTask = taskOf(0, 17), .mRun = 1 }));
    CHECK(one->apply(run_started{ .mTask = taskOf(0, 17), .mRun = 2 }, time_point{}) == nullptr);
    CHECK(one->bytes() < bytes + 8000);
  }
}

// Guards against states that are dropped while a run of the occurrence may still be executing.
TEST(large_jobs, occurrencesWithOpenRunsAreKept)
{
  job_spec recurring{ .mId = id(1), .mInterval = seconds(1), .mRepeat = 3 };
  recurring.mSteps = { { .mCount = 2, .mGang = true } };
  table.apply(job_submitted{ .mSpec = recurring }, time_point{});
  start(0);
  start(1);
  end(0, run_end::done);
  table.dropCompleted();
  CHECK(table.find(id(1))->find({ .mJob = id(1) }) != nullptr);
  end(1, run_end::done);
  table.dropCompleted();
  CHECK(table.find(id(1))->find({ .mJob = id(1) }) == nullptr);
}

// Guards against an owner that runs occurrences again, or none, after their states were dropped.
TEST(large_jobs, theOwnerGoesOnAfterDroppedOccurrences)
{
  owner_fixture cell;
  const auto job = startRecurring(cell, 6);
  cell.run(milliseconds(3500));
  cell.mJobTable.dropCompleted();
  CHECK_FALSE(cell.find(job).mDropped.empty());
  cell.run(seconds(8));
  CHECK(cell.find(job).mPhase == job_phase::completed);
  CHECK_EQUAL(6, cell.mDoneTasks.size());
  CHECK_EQUAL(0, cell.mStartsAfterDone.size());
}

// Guards against a recurring job that fills the memory with occurrences that overlap, and against
// one that does not go on when there is room again.
TEST(large_jobs, anOccurrenceIsOpenedWhenThereIsRoom)
{
  owner_fixture cell;
  const auto job = startRecurring(cell, 3);
  cell.run(milliseconds(500));
  CHECK_EQUAL(1, cell.find(job).mOccurrencesDone);
  cell.mJobTable.setLimit(cell.mJobTable.bytes());
  cell.run(seconds(5));
  CHECK_EQUAL(1, cell.find(job).mOccurrencesDone);
  CHECK(cell.find(job).mPhase == job_phase::active);
  cell.mJobTable.setLimit(kMegabyte);
  cell.run(seconds(5));
  CHECK(cell.find(job).mPhase == job_phase::completed);
}

// Guards against a job that is accepted by an owner without room for it, and against a caller who
// is not told when to come back.
TEST(large_jobs, theOwnerRejectsAJobWithoutRoom)
{
  owner_fixture cell;
  cell.startNextOwner();
  cell.mJobTable.setLimit(16 * kMegabyte);
  CHECK_FALSE(cell.mOwner->rejection(largestJob(1), cell.mNow).has_value());
  cell.mJobTable.apply(job_submitted{ .mSpec = largestJob(1) }, cell.mNow);
  CHECK_EQUAL(10, cell.mOwner->rejection(largestJob(2), cell.mNow).value().count());
}
