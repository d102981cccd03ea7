#include "job_replica.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;
using namespace endiveusher::scheduler;

namespace {

constexpr auto kJob = static_cast<job_id>(5);
const task_key kTask{ .mStep = { .mJob = kJob } };

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
  event_log log{ "node" };
  loop_profiler profiler{ store.mClock };
  bool gap = false;
  std::unique_ptr<job_replica> jobs;

  void setup() override
  {
    jobs = std::make_unique<job_replica>(
      store.mStore, store.mClock, log, profiler,
      job_replica_options{ .mJournalTopic = "journal", .mSnapshotTopic = "snapshot" },
      job_replica::callbacks{ .mOnGap = [this] { gap = true; } });
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
      table.apply(record, store.mClock.now());
    }
    const auto records = table.snapshot(store.mClock.now());
    append("snapshot", encodeSnapshot({ .mBase = history().size(), .mRecords = records }, 1).at(0));
    const std::lock_guard lock(store.mMutex);
    store.mModel.trim("journal", history().size());
  }
  bool runUntilComplete()
  {
    return store.runUntil([this] { return jobs->complete(); },
                          [this] { jobs->tick(store.mClock.now()); });
  }
  void checkTaskIsDone()
  {
    const auto* job = jobs->table().find(kJob);
    CHECK(job != nullptr);
    CHECK(job->find(kTask.mStep)->mTasks[0].mDone);
    CHECK_EQUAL(1, job->find(kTask.mStep)->mTasks[0].mRun);
  }
};

// Guards against a second run of a task that is done: a submission that was confirmed while the
// state was being loaded took the place of the job's runs.
TEST(job_replica, aRecordThatIsConfirmedDuringALoadDoesNotEmptyItsJob)
{
  storeSnapshot();
  jobs->load();
  jobs->applyStored(submission());
  CHECK(runUntilComplete());
  checkTaskIsDone();
}

// The same, where the state is loaded again because of a gap in the journal.
TEST(job_replica, aRecordThatIsConfirmedDuringAReloadDoesNotEmptyItsJob)
{
  jobs->load();
  CHECK(runUntilComplete());
  storeSnapshot();
  append("journal", { encode(submission(static_cast<job_id>(6))) });
  jobs->load();
  jobs->applyStored(submission());
  CHECK(runUntilComplete());
  checkTaskIsDone();
  CHECK(jobs->table().find(static_cast<job_id>(6)) != nullptr);
}

// Guards against an empty job at a daemon that has ceased to follow the journal, or has not begun.
TEST(job_replica, takesNoRecordsWhileItDoesNotFollowTheJournal)
{
  jobs->applyStored(submission());
  CHECK(jobs->table().find(kJob) == nullptr);
  jobs->load();
  CHECK(runUntilComplete());
  checkTaskIsDone();
  jobs->drop();
  jobs->applyStored(submission());
  CHECK(jobs->table().find(kJob) == nullptr);
  CHECK_FALSE(jobs->complete());
}

// Guards against jobs without their earlier records: the reply to a read that was sent before the
// table was emptied arrives after it.
TEST(job_replica, ignoresAReadThatWasSentBeforeTheTableWasEmptied)
{
  jobs->load();
  CHECK(store.runUntil([this] { return store.mReads["journal"] > 0; },
                       [this] { jobs->tick(store.mClock.now()); }));
  jobs->drop();
  for (int turn = 0; turn < 100; ++turn) {
    jobs->tick(store.mClock.now());
    store.mLoop.run(std::chrono::milliseconds(1));
  }
  CHECK_EQUAL(0, jobs->table().size());
}

TEST(job_replica, takesAConfirmedRecordBeforeItIsRead)
{
  jobs->load();
  CHECK(runUntilComplete());
  jobs->applyStored(submission(static_cast<job_id>(6)));
  CHECK(jobs->table().find(static_cast<job_id>(6)) != nullptr);
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
  CHECK(store.runUntil([this] { return gap; }, [this] { jobs->tick(store.mClock.now()); }));
}
