#include "job_replica.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <stdexcept>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;
using namespace endiveusher::scheduler;

namespace {

constexpr auto kJob = static_cast<job_id>(5);
const task_key kTask{ .mStep = { .mJob = kJob } };

/// The clock of the process, and time that the test adds.
struct adjustable_clock final : endiveusher::clock
{
  time_point now() const override { return mClock.now() + mAhead; }
  boot_clock mClock;
  duration mAhead{ 0 };
};

run_ended endWithoutStart()
{
  return { .mTask = { .mStep = kTask.mStep, .mIndex = 1 },
           .mRun = 1,
           .mOutcome = run_end::interrupted };
}

job_submitted submission(job_id aJob = kJob)
{
  job_spec spec{ .mId = aJob, .mRoute = "r", .mTeam = "t" };
  spec.mSteps.push_back({ .mCount = 2, .mNeeds = { .mCpuMilli = 100 } });
  return { .mSpec = std::move(spec) };
}

} // namespace

/// A copy of a cell whose only job has a task that is done.
TEST_GROUP(job_replica)
{
  store_fixture store;
  adjustable_clock clock;
  event_log log{ "node" };
  loop_profiler profiler{ clock };
  bool isIncomplete = false;
  /// Whether the owner cannot follow the change of a job.
  bool changesFail = false;
  std::unique_ptr<job_replica> jobs;

  void setup() override
  {
    jobs = std::make_unique<job_replica>(
      store.mStore, clock, log, profiler,
      job_replica_options{ .mJournalTopic = "journal", .mSnapshotTopic = "snapshot" },
      job_replica::callbacks{ .mOnChanged =
                                [this](job& /*aJob*/) {
                                  if (changesFail) {
                                    throw std::out_of_range("no such step");
                                  }
                                },
                              .mOnIncomplete = [this](std::string_view) { isIncomplete = true; } });
    for (const journal_record& record : history()) {
      append("journal", { encode(record) });
    }
  }
  static std::vector<journal_record> history()
  {
    return { submission(), run_started{ .mTask = kTask, .mRun = 1, .mAt = { .mTarget = "w" } },
             run_ended{ .mTask = kTask, .mRun = 1, .mOutcome = run_end::done } };
  }
  void append(const std::string& aTopic, const std::vector<std::string>& aRecords)
  {
    const std::lock_guard lock(store.mMutex);
    store.mModel.append({ .mTopic = aTopic, .mRecords = aRecords });
  }
  /// Stores a snapshot of the whole journal, and deletes the journal's records.
  void storeSnapshot()
  {
    job_table table;
    for (const auto& record : history()) {
      table.apply(record, clock.now());
    }
    const auto records = table.snapshot(clock.now());
    append("snapshot", encodeSnapshot({ .mBase = history().size(), .mRecords = records }, 1).at(0));
    const std::lock_guard lock(store.mMutex);
    store.mModel.trim("journal", history().size());
  }
  bool runUntil(const std::function<bool()>& aReady)
  {
    return store.runUntil(aReady, [this] { jobs->tick(clock.now()); });
  }
  bool runUntilComplete()
  {
    return runUntil([this] { return jobs->complete(); });
  }
  void checkTaskIsDone()
  {
    const auto* job = jobs->table().find(kJob);
    CHECK(job != nullptr);
    CHECK(job->find(kTask.mStep)->mTasks[0].mDone);
    CHECK_EQUAL(1, job->find(kTask.mStep)->mTasks[0].mRun);
  }
};

// Guards against a second run of a task that is done: a submission that was stored again while the
// state was being loaded took the place of the job's runs.
TEST(job_replica, aRecordThatIsStoredDuringALoadDoesNotEmptyItsJob)
{
  storeSnapshot();
  jobs->load();
  append("journal", { encode(submission()) });
  CHECK(runUntilComplete());
  checkTaskIsDone();
}

// Guards against a table that lacks the records behind one that the owner could not follow, all of
// which had been read.
TEST(job_replica, readsOnBehindAChangeThatIsNotFollowed)
{
  jobs->load();
  changesFail = true;
  CHECK_THROWS(std::out_of_range, runUntilComplete());
  changesFail = false;
  CHECK(runUntilComplete());
  checkTaskIsDone();
}

// The same, where the state is loaded again because of a gap in the journal.
TEST(job_replica, aRecordThatIsStoredDuringAReloadDoesNotEmptyItsJob)
{
  jobs->load();
  CHECK(runUntilComplete());
  storeSnapshot();
  append("journal", { encode(submission(static_cast<job_id>(6))) });
  jobs->load();
  append("journal", { encode(submission()) });
  CHECK(runUntilComplete());
  checkTaskIsDone();
  CHECK(jobs->table().find(static_cast<job_id>(6)) != nullptr);
}

// Guards against an empty job at a daemon that has ceased to follow the journal, or has not begun.
TEST(job_replica, takesNoRecordsWhileItDoesNotFollowTheJournal)
{
  const auto tick = [this] {
    for (int turn = 0; turn < 100; ++turn) {
      jobs->tick(clock.now());
      store.mLoop.run(std::chrono::milliseconds(1));
    }
  };
  tick();
  CHECK(jobs->table().find(kJob) == nullptr);
  jobs->load();
  CHECK(runUntilComplete());
  checkTaskIsDone();
  jobs->drop();
  append("journal", { encode(submission(static_cast<job_id>(6))) });
  tick();
  CHECK_EQUAL(0, jobs->table().size());
  CHECK_FALSE(jobs->complete());
}

// Guards against jobs without their earlier records: the reply to a read that was sent before the
// table was emptied arrives after it.
TEST(job_replica, ignoresAReadThatWasSentBeforeTheTableWasEmptied)
{
  jobs->load();
  CHECK(runUntil([this] { return store.mReads["journal"] > 0; }));
  jobs->drop();
  for (int turn = 0; turn < 100; ++turn) {
    jobs->tick(clock.now());
    store.mLoop.run(std::chrono::milliseconds(1));
  }
  CHECK_EQUAL(0, jobs->table().size());
}

TEST(job_replica, reportsRecordsThatWereDeletedBeforeTheyWereRead)
{
  jobs->load();
  CHECK(runUntilComplete());
  {
    const std::lock_guard lock(store.mMutex);
    store.mModel.append({ .mTopic = "journal", .mRecords = std::vector<std::string>(4) });
    store.mModel.trim("journal", 5);
  }
  CHECK(runUntil([this] { return isIncomplete; }));
}

// Guards against records that vanish without a trace: one that cannot be decoded, and an end whose
// start the table lacks.
TEST(job_replica, countsRecordsThatFindNoPlace)
{
  jobs->load();
  CHECK(runUntilComplete());
  CHECK_EQUAL(0, jobs->passedOver());
  append("journal", { "?", encode(endWithoutStart()) });
  CHECK(runUntil([this] { return jobs->passedOver() == 2; }));
}

// Guards against a table that lacks a record and is used for answers, snapshots and decisions. If
// the store lacks it as well, the cell goes on without it.
TEST(job_replica, isNotCompleteAfterARecordThatRefersToWhatItLacks)
{
  append("journal", { encode(endWithoutStart()), encode(submission(static_cast<job_id>(6))) });
  jobs->load();
  CHECK(runUntil([this] { return isIncomplete; }));
  CHECK_FALSE(jobs->complete());
  CHECK(jobs->table().find(static_cast<job_id>(6)) == nullptr);
  isIncomplete = false;
  jobs->load();
  CHECK(runUntilComplete());
  CHECK_FALSE(isIncomplete);
  CHECK(jobs->table().find(static_cast<job_id>(6)) != nullptr);
}

// Guards against loads without end: the journal is read for longer than the pause between them, or
// the owner goes on to write about a job that others lack.
TEST(job_replica, isNotLoadedAgainAndAgainForTheSameRecords)
{
  append("journal", { encode(endWithoutStart()) });
  jobs->load();
  CHECK(runUntil([this] { return isIncomplete; }));
  clock.mAhead = 2 * kMinReloadInterval;
  isIncomplete = false;
  jobs->load();
  CHECK(runUntilComplete());
  CHECK_FALSE(isIncomplete);
  const auto lost = [](std::uint32_t aRun) {
    return encode(
      run_started{ .mTask = { .mStep = kTask.mStep, .mIndex = 1 }, .mRun = aRun, .mAt = {} });
  };
  append("journal", { lost(7) });
  CHECK(runUntil([this] { return isIncomplete; }));
  isIncomplete = false;
  jobs->load();
  CHECK(runUntilComplete());
  append("journal", { lost(9) });
  const auto before = jobs->passedOver();
  CHECK(runUntil([&] { return jobs->passedOver() > before; }));
  CHECK_FALSE(isIncomplete);
  CHECK(jobs->complete());
}

// Guards against a cell that never works again: all its daemons were off for longer than the store
// keeps records, and each load finds the same gap.
TEST(job_replica, beginsAnewAfterTheStoreHasLostTheJournal)
{
  {
    const std::lock_guard lock(store.mMutex);
    store.mModel.trim("journal", history().size());
  }
  append("journal", { encode(submission(static_cast<job_id>(6))) });
  jobs->load();
  CHECK(runUntil([this] { return isIncomplete; }));
  CHECK_FALSE(jobs->complete());
  isIncomplete = false;
  jobs->load();
  CHECK(runUntilComplete());
  CHECK_FALSE(isIncomplete);
  CHECK(jobs->hasLost());
  CHECK(jobs->table().find(kJob) == nullptr);
  CHECK(jobs->table().find(static_cast<job_id>(6)) != nullptr);
}

// Guards against a second run of a task that is done, because the journal behind an older snapshot
// is gone and nobody knows what it said.
TEST(job_replica, keepsNoJobOfASnapshotBehindWhichTheJournalIsLost)
{
  job_table table;
  table.apply(submission(), clock.now());
  append("snapshot",
         encodeSnapshot({ .mBase = 1, .mRecords = table.snapshot(clock.now()) }, 1).at(0));
  {
    const std::lock_guard lock(store.mMutex);
    store.mModel.trim("journal", history().size());
  }
  append("journal", { encode(submission(static_cast<job_id>(6))) });
  jobs->load();
  CHECK(runUntil([this] { return isIncomplete; }));
  jobs->load();
  CHECK(runUntilComplete());
  CHECK(jobs->table().find(kJob) == nullptr);
  CHECK(jobs->table().find(static_cast<job_id>(6)) != nullptr);
}

// Guards against a cell that drops its jobs because the newest snapshot cannot be decoded.
TEST(job_replica, doesNotTakeTheJournalForLostBehindASnapshotThatCannotBeRead)
{
  append("snapshot", encodeSnapshot({ .mBase = 1 }, 1).at(0));
  auto unreadable = encodeSnapshot({ .mBase = 2, .mRecords = { submission() } }, 1).at(0);
  unreadable.back() = "?";
  append("snapshot", unreadable);
  {
    const std::lock_guard lock(store.mMutex);
    store.mModel.trim("journal", 2);
  }
  for (int load = 0; load < 3; ++load) {
    isIncomplete = false;
    jobs->load();
    CHECK(runUntil([this] { return isIncomplete; }));
    CHECK_FALSE(jobs->hasLost());
  }
}

// Guards against jobs that are dropped because the journal was deleted while it was being loaded,
// behind a newer snapshot.
TEST(job_replica, loadsTheNewerSnapshotBehindWhichTheJournalWasDeleted)
{
  jobs->load();
  CHECK(runUntilComplete());
  {
    const std::lock_guard lock(store.mMutex);
    store.mModel.trim("journal", 1);
  }
  jobs->load();
  CHECK(runUntil([this] { return isIncomplete; }));
  storeSnapshot();
  jobs->load();
  CHECK(runUntilComplete());
  checkTaskIsDone();
}
