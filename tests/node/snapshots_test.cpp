#include "snapshots.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::scheduler;

namespace {

job_table tableWithOneRun()
{
  job_table table;
  const time_point now{};
  job_spec spec{ .mId = static_cast<job_id>(5), .mRoute = "r", .mTeam = "t", .mPayload = "x" };
  spec.mSteps.push_back({ .mCount = 2, .mNeeds = { .mCpuMilli = 100 } });
  table.apply(job_submitted{ .mSpec = spec }, now);
  const task_key task{ .mStep = { .mJob = spec.mId }, .mIndex = 1 };
  table.apply(
    run_started{ .mTask = task, .mRun = 1, .mAt = { .mTarget = "w", .mIncarnationStart = 3 } },
    now);
  table.apply(target_acquired{ .mTarget = "w", .mEpoch = 4, .mVm = "vm" }, now);
  return table;
}

} // namespace

TEST_GROUP(snapshots){};

TEST(snapshots, restoreTheJobTable)
{
  const auto found = lastSnapshot(
    encodeSnapshot({ .mBase = 17, .mRecords = tableWithOneRun().snapshot(time_point{}) }));
  CHECK(found.has_value());
  CHECK_EQUAL(17, found->mBase);
  job_table restored;
  for (const auto& record : found->mRecords) {
    restored.apply(record, time_point{});
  }
  const auto* one = restored.find(static_cast<job_id>(5));
  CHECK(one != nullptr);
  const auto& tasks = one->find({ .mJob = one->mSpec.mId })->mTasks;
  CHECK_EQUAL("w", tasks[1].mOpen->mTarget);
  CHECK_FALSE(tasks[0].mOpen.has_value());
  CHECK_EQUAL(4, restored.lastEpochAt("w"));
  CHECK_EQUAL("vm", restored.vmOf("w"));
  CHECK_EQUAL("x", one->mSpec.mPayload);
}

// Guards against journal records that are applied twice: records after the base may be part of the
// snapshot.
TEST(snapshots, repeatedRecordsChangeNothing)
{
  auto table = tableWithOneRun();
  const task_key task{ .mStep = { .mJob = static_cast<job_id>(5) }, .mIndex = 1 };
  table.apply(run_ended{ .mTask = task, .mRun = 1, .mOutcome = run_end::failed }, time_point{});
  job_table restored;
  for (const auto& record : table.snapshot(time_point{})) {
    restored.apply(record, time_point{});
  }
  restored.apply(
    run_started{ .mTask = task, .mRun = 1, .mAt = { .mTarget = "w", .mIncarnationStart = 3 } },
    time_point{});
  restored.apply(run_ended{ .mTask = task, .mRun = 1, .mOutcome = run_end::failed }, time_point{});
  const auto& state = restored.find(static_cast<job_id>(5))->find(task.mStep)->mTasks[1];
  CHECK_EQUAL(1, state.mFailures);
  CHECK_FALSE(state.mOpen.has_value());
}

// Guards against a lease that begins anew with each snapshot, and against one that ends too soon at
// a daemon whose clock shows another time.
TEST(snapshots, keepTheTimeLeftOfLeases)
{
  auto table = tableWithOneRun();
  const time_point stopped{ std::chrono::seconds(100) };
  table.apply(
    renewals_stopped{ .mTarget = "w", .mEpoch = 4, .mLeaseLeft = std::chrono::milliseconds(6000) },
    stopped);
  const auto records = table.snapshot(stopped + std::chrono::milliseconds(2000));
  job_table restored;
  const time_point restoredAt{ std::chrono::seconds(7) };
  for (const auto& record : records) {
    restored.apply(*decodeRecord(encode(record)), restoredAt);
  }
  CHECK(restored.leaseExpiryAt("w") == restoredAt + std::chrono::milliseconds(4000));
  restored.apply(target_acquired{ .mTarget = "w", .mEpoch = 5, .mVm = "vm" }, restoredAt);
  CHECK_FALSE(restored.leaseExpiryAt("w").has_value());
}

TEST(snapshots, incompleteSnapshotsAreIgnored)
{
  auto records =
    encodeSnapshot({ .mBase = 1, .mRecords = tableWithOneRun().snapshot(time_point{}) });
  auto second =
    encodeSnapshot({ .mBase = 2, .mRecords = tableWithOneRun().snapshot(time_point{}) });
  second.pop_back();
  records.insert(records.end(), second.begin(), second.end());
  CHECK_EQUAL(1, lastSnapshot(records)->mBase);
  CHECK_FALSE(lastSnapshot({}).has_value());
}

TEST(snapshots, endedJobsKeepTheirState)
{
  auto table = tableWithOneRun();
  const task_key task{ .mStep = { .mJob = static_cast<job_id>(5) }, .mIndex = 1 };
  table.apply(run_ended{ .mTask = task, .mRun = 1, .mOutcome = run_end::interrupted },
              time_point{});
  table.apply(job_cancelled{ .mJob = static_cast<job_id>(5) }, time_point{});
  job_table restored;
  for (const auto& record : table.snapshot(time_point{})) {
    restored.apply(*decodeRecord(encode(record)), time_point{});
  }
  CHECK(restored.find(static_cast<job_id>(5))->mPhase == job_phase::cancelled);
  CHECK_EQUAL("t", restored.find(static_cast<job_id>(5))->mSpec.mTeam);
}

// Load pattern: 1,500 records a second. Guards against a new owner that has to read a long journal,
// and against snapshots that are written continuously.
TEST(snapshots, areWrittenAsTheJournalGrows)
{
  const time_point start{ std::chrono::seconds(10) };
  snapshot_schedule schedule(std::chrono::seconds(300), start);
  CHECK_FALSE(schedule.due(10'000, start + std::chrono::seconds(5)));
  CHECK(schedule.due(12'000, start + std::chrono::seconds(9)));
  CHECK_FALSE(schedule.due(100, start + std::chrono::seconds(60)));
  schedule.onWriteStarted(start + std::chrono::seconds(9));
  CHECK_FALSE(schedule.due(10'000, start + std::chrono::seconds(14)));
}

// Guards against a snapshot that the store deletes, after its retention, while few records arrive.
TEST(snapshots, areWrittenBeforeTheStoreDeletesTheLastOne)
{
  const time_point start{ std::chrono::seconds(10) };
  const snapshot_schedule schedule(std::chrono::seconds(20), start);
  CHECK_FALSE(schedule.due(1, start + std::chrono::seconds(4)));
  CHECK(schedule.due(1, start + std::chrono::seconds(6)));
}
