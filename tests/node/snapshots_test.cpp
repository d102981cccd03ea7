#include "snapshots.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

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
    encodeSnapshot({ .mBase = 17, .mRecords = tableWithOneRun().snapshot(time_point{}) }, 1).at(0));
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

// Guards against use of teams that is lost with the journal before a snapshot, that a snapshot
// without it invents, or that a record from before the snapshot replaces.
TEST(snapshots, keepTheUseOfTeamsIfThereIsAny)
{
  const auto restoredFrom = [](const job_table& aTable) {
    const auto found =
      lastSnapshot(encodeSnapshot({ .mRecords = aTable.snapshot(time_point{}) }, 1).at(0));
    CHECK(found.has_value());
    job_table restored;
    for (const auto& record : found->mRecords) {
      restored.apply(record, time_point{});
    }
    CHECK(restored.find(static_cast<job_id>(5)) != nullptr);
    return restored;
  };
  auto table = tableWithOneRun();
  CHECK(restoredFrom(table).teamUse() == nullptr);
  table.apply(team_use{ .mAt = wall_time(7), .mTeams = { { "old", 1 } } }, time_point{});
  table.apply(team_use{ .mAt = wall_time(5), .mTeams = { { "red", 2 }, { "blue", 0.5F } } },
              time_point{});
  const auto restored = restoredFrom(table);
  CHECK(restored.teamUse() != nullptr);
  CHECK(encode(*restored.teamUse()) == encode(*table.teamUse()));
  CHECK(restored.teamUse()->mAt == wall_time(5));
}

// Guards against jobs that are lost with a damaged record of the teams' use: the snapshot before is
// taken, and the journal after it.
TEST(snapshots, oneWithADamagedUseOfTeamsIsPassedOver)
{
  auto table = tableWithOneRun();
  auto records = encodeSnapshot({ .mBase = 1, .mRecords = table.snapshot(time_point{}) }, 1).at(0);
  table.apply(team_use{ .mAt = wall_time(5), .mTeams = { { "red", 2 } } }, time_point{});
  const auto second =
    encodeSnapshot({ .mBase = 2, .mRecords = table.snapshot(time_point{}) }, 1).at(0);
  records.insert(records.end(), second.begin(), second.end());
  CHECK_EQUAL(2, lastSnapshot(records)->mBase);
  const auto valid = encode(*table.teamUse());
  const auto at = std::ranges::find(records, valid);
  CHECK(at != records.end());
  for (std::size_t size = 0; size < valid.size(); ++size) {
    *at = valid.substr(0, size);
    CHECK_EQUAL(1, lastSnapshot(records)->mBase);
  }
  *at = encode(team_use{ .mAt = wall_time(5), .mTeams = { { "red", -1 } } });
  CHECK_EQUAL(1, lastSnapshot(records)->mBase);
}

TEST(snapshots, incompleteSnapshotsAreIgnored)
{
  const auto snapshotAt = [](std::uint64_t aBase) {
    return encodeSnapshot({ .mBase = aBase, .mRecords = tableWithOneRun().snapshot(time_point{}) },
                          1)
      .at(0);
  };
  auto records = snapshotAt(1);
  auto second = snapshotAt(2);
  second.pop_back();
  records.insert(records.end(), second.begin(), second.end());
  CHECK_EQUAL(1, lastSnapshot(records)->mBase);
  CHECK_FALSE(lastSnapshot({}).has_value());
}

// Load pattern: 6,000 jobs, more than the store takes in one append. Guards against a snapshot that
// is refused for ever, so that the next owner reads the whole journal, or finds that it has
// expired.
TEST(snapshots, largeOnesAreWrittenInPartsThatTheStoreTakes)
{
  constexpr std::size_t kMaxAppendBytes = 2'097'152;
  constexpr std::uint64_t kJobs = 6000;
  job_table table;
  for (std::uint64_t id = 1; id <= kJobs; ++id) {
    job_spec spec{ .mId = static_cast<job_id>(id), .mPayload = std::string(1200, 'x') };
    spec.mSteps.push_back({});
    table.apply(job_submitted{ .mSpec = spec }, time_point{});
  }
  const auto parts = encodeSnapshot({ .mBase = 9, .mRecords = table.snapshot(time_point{}) }, 1);
  std::vector<std::string> records;
  for (const auto& part : parts) {
    std::size_t bytes = 0;
    for (const auto& record : part) {
      bytes += record.size() + 4;
    }
    CHECK(bytes < kMaxAppendBytes);
    records.insert(records.end(), part.begin(), part.end());
  }
  CHECK_EQUAL(kJobs, lastSnapshot(records)->mRecords.size());
}

// Guards against parts of different writers that are taken for one snapshot: the owner may choose
// another writer while one is writing.
TEST(snapshots, partsOfTwoWritersAreToldApart)
{
  const auto snapshotOf = [](std::uint64_t aWriter, std::uint64_t aBase, std::uint64_t aJobs) {
    job_table table;
    for (std::uint64_t id = 1; id <= aJobs; ++id) {
      job_spec spec{ .mId = static_cast<job_id>(id), .mPayload = std::string(100'000, 'x') };
      spec.mSteps.push_back({});
      table.apply(job_submitted{ .mSpec = spec }, time_point{});
    }
    return encodeSnapshot({ .mBase = aBase, .mRecords = table.snapshot(time_point{}) }, aWriter);
  };
  const auto one = snapshotOf(1, 5, 10);
  const auto two = snapshotOf(2, 7, 20);
  CHECK_EQUAL(2, one.size());
  std::vector<std::string> records;
  for (const auto* part : { &one[0], &two[0], &one[1] }) {
    records.insert(records.end(), part->begin(), part->end());
  }
  CHECK_EQUAL(5, lastSnapshot(records)->mBase);
  CHECK_EQUAL(10, lastSnapshot(records)->mRecords.size());
  for (std::size_t part = 1; part < two.size(); ++part) {
    records.insert(records.end(), two[part].begin(), two[part].end());
  }
  CHECK_EQUAL(7, lastSnapshot(records)->mBase);
}

// Guards against a snapshot that lacks jobs: a writer that got no answer to its last part starts
// again at the same base, and the order of the jobs in its table has changed since.
TEST(snapshots, partsOfTwoTriesAreToldApart)
{
  const auto partsOf = [](std::vector<int> aJobs) {
    snapshot made{ .mBase = 17 };
    for (const int job : aJobs) {
      job_spec spec{ .mId = static_cast<job_id>(job), .mRoute = "r", .mTeam = "t" };
      spec.mPayload = std::string(600'000, 'x');
      spec.mSteps.push_back({ .mCount = 1 });
      made.mRecords.emplace_back(job_submitted{ .mSpec = spec });
    }
    return encodeSnapshot(made, 1);
  };
  const auto jobsOf = [](const std::vector<std::string>& aTopic) {
    std::set<int> jobs;
    if (const auto found = lastSnapshot(aTopic)) {
      for (const auto& record : found->mRecords) {
        jobs.insert(static_cast<int>(std::get<job_submitted>(record).mSpec.mId));
      }
    }
    return jobs;
  };
  const auto first = partsOf({ 1, 2 });
  const auto second = partsOf({ 2, 1 });
  CHECK_EQUAL(2, first.size());
  auto topic = first[0];
  topic.insert(topic.end(), first[1].begin(), first[1].end());
  topic.insert(topic.end(), second[0].begin(), second[0].end());
  CHECK(jobsOf(topic) == std::set({ 1, 2 }));
  topic.insert(topic.end(), second[1].begin(), second[1].end());
  CHECK(jobsOf(topic) == std::set({ 1, 2 }));
  // The first try has ended before its last part, and the second one is smaller.
  const auto larger = partsOf({ 1, 2, 3 });
  snapshot_index index;
  index.add(larger[0]);
  index.add(larger[1]);
  index.add(second[0]);
  CHECK_EQUAL(0, index.newestBase());
  index.add(second[1]);
  CHECK_EQUAL(17, index.newestBase());
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

// Guards against a loop that is held up: a standby encoded 25,000 jobs in one tick, while orders
// that it makes as a relay and the results of these waited.
TEST(snapshots, areEncodedInSteps)
{
  scheduler::job_table table;
  for (std::uint64_t job = 1; job <= 2500; ++job) {
    scheduler::job_spec spec{ .mId = static_cast<scheduler::job_id>(job), .mRoute = "r" };
    spec.mPayload.assign(400, 'p');
    spec.mSteps.push_back({ .mNeeds = { .mCpuMilli = 100 } });
    table.apply(scheduler::job_submitted{ .mSpec = spec }, time_point{});
  }
  const snapshot whole{ .mBase = 9, .mRecords = table.snapshot(time_point{}) };
  snapshot_encoder encoder(whole, 1);
  CHECK_FALSE(encoder.step(1000));
  CHECK_FALSE(encoder.step(1000));
  CHECK(encoder.step(1000));
  const auto parts = encoder.takeParts();
  CHECK(parts.size() > 1);
  CHECK(parts == encodeSnapshot(whole, 1));
}

// Load pattern: a job of 13 steps of 4,096 tasks, all of which are open. Guards against a snapshot
// that the store refuses each time, so that the journal expires before there is another one.
TEST(snapshots, aJobThatIsTooLargeForOneRecordIsWrittenInPieces)
{
  constexpr std::uint32_t kSteps = 13;
  constexpr std::uint32_t kTasks = 4096;
  auto table = tableWithOneRun();
  job_spec spec{ .mId = static_cast<job_id>(6), .mRoute = "r", .mTeam = "t" };
  spec.mSteps.resize(kSteps, { .mCount = kTasks });
  table.apply(job_submitted{ .mSpec = spec }, time_point{});
  for (std::uint32_t step = 0; step < kSteps; ++step) {
    for (std::uint32_t index = 0; index < kTasks; ++index) {
      table.apply(
        run_started{ .mTask = { .mStep = { .mJob = spec.mId, .mStep = step }, .mIndex = index },
                     .mRun = 1 + index,
                     .mAt = { .mTarget = "i-85fbebe574", .mIncarnationStart = 3 } },
        time_point{});
    }
  }
  const snapshot made{ .mBase = 9, .mRecords = table.snapshot(time_point{}) };
  std::vector<std::string> topic;
  snapshot_index index;
  for (const auto& part : encodeSnapshot(made, 1)) {
    std::size_t bytes = 0;
    for (const auto& record : part) {
      CHECK(record.size() <= platform::kMaxRecordBytes);
      bytes += record.size() + 4;
    }
    CHECK(bytes <= platform::kMaxAppendBytes);
    topic.insert(topic.end(), part.begin(), part.end());
    index.add(part);
  }
  CHECK_EQUAL(9, index.newestBase());
  const auto found = lastSnapshot(topic);
  CHECK(found.has_value());
  CHECK_EQUAL(made.mRecords.size(), found->mRecords.size());
  for (std::size_t record = 0; record < made.mRecords.size(); ++record) {
    CHECK(encode(made.mRecords[record]) == encode(found->mRecords[record]));
  }
}
