#include "election.h"
#include "peer_api.h"
#include "snapshots.h"

#include "endiveusher/scheduler/job_limits.h"
#include "endiveusher/scheduler/journal.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>

using namespace endiveusher;
using namespace endiveusher::node;

namespace {

/// MessagePack of arrays nested so deeply that recursive functions overflow the stack.
std::string nested()
{
  return std::string(1'000'000, '\x91') + '\x01';
}

} // namespace

/// Records of the store and bodies of other daemons that are nested without bounds.
TEST_GROUP(nested_records){};

// Guards against the end of the process by a record of the journal that another writer left.
TEST(nested_records, aJournalRecordIsMalformed)
{
  CHECK_FALSE(scheduler::decodeRecord(nested()).ok());
  CHECK(scheduler::decodeRecord(encode(scheduler::job_cancelled{ .mJob = scheduler::job_id{ 5 } }))
          .ok());
}

// Guards against the end of the process by a record of the owner's topic.
TEST(nested_records, anOwnerRecordIsMalformed)
{
  CHECK_FALSE(decodeOwnerRecord(nested()).ok());
}

// Guards against the end of the process by a record among those of snapshots.
TEST(nested_records, aSnapshotIsSkipped)
{
  auto records = encodeSnapshot({ .mBase = 7 }, 1).at(0);
  records.push_back(nested());
  // A header whose numbers have other types.
  records.emplace_back("\x93\x64\xa1x\xa1y");
  CHECK_EQUAL(7, lastSnapshot(records)->mBase);
}

// Guards against the end of the process by a request to the port for daemons.
TEST(nested_records, aRequestOfADaemonIsMalformed)
{
  CHECK_FALSE(decodeForwardedRecords(nested()).ok());
  CHECK_FALSE(decodePeerAdvice(std::string(1'000'000, '[') + std::string(1'000'000, ']')).ok());
  const auto records =
    decodeForwardedRecords(encodeForwardedRecords(std::vector<std::string>{ "a" }));
  CHECK(records.ok() && records->size() == 1 && records->front() == "a");
}

/// Records of the journal that no daemon writes.
TEST_GROUP(impossible_records){ static bool isAccepted(const scheduler::job_spec& aSpec){
  return scheduler::decodeRecord(encode(scheduler::job_submitted{ .mSpec = aSpec })).ok();
}
static scheduler::job_spec specOf(scheduler::step_spec aStep)
{
  scheduler::job_spec spec{ .mId = scheduler::job_id{ 5 } };
  spec.mSteps.push_back({});
  spec.mSteps.push_back(std::move(aStep));
  return spec;
}
}
;

// Guards against the end of the process, and of each that reads the journal later, by a job with
// more tasks than fit into memory.
TEST(impossible_records, aJobHasABoundedNumberOfTasks)
{
  CHECK(isAccepted(specOf({ .mCount = scheduler::kMaxTasksPerStep })));
  CHECK_FALSE(isAccepted(specOf({ .mCount = scheduler::kMaxTasksPerStep + 1 })));
  CHECK_FALSE(isAccepted(specOf({ .mCount = 4'000'000'000 })));
  CHECK_FALSE(isAccepted(specOf({ .mCount = 0 })));
  scheduler::job_spec many{ .mId = scheduler::job_id{ 5 } };
  many.mSteps.resize(scheduler::kMaxStepsPerJob + 1);
  CHECK_FALSE(isAccepted(many));
}

// Guards against a read beyond the steps of a job.
TEST(impossible_records, aStepWaitsForEarlierStepsOnly)
{
  CHECK(isAccepted(specOf({ .mAfter = { 0 } })));
  CHECK_FALSE(isAccepted(specOf({ .mAfter = { 1 } })));
  CHECK_FALSE(isAccepted(specOf({ .mAfter = { 7 } })));
}
