#include "election.h"
#include "endiveusher/platform/messages.h"
#include "endiveusher/platform/store.h"
#include "endiveusher/scheduler/job_table.h"
#include "endiveusher/scheduler/journal.h"
#include "order_batch.h"
#include "peer_api.h"
#include "snapshots.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::scheduler;
using nlohmann::json;

namespace {

constexpr std::uint32_t kSeed = 47;
/// Mutated copies of each message.
constexpr int kCopies = 2000;
constexpr auto kJob = static_cast<job_id>(5);

using random_source = std::mt19937;

std::size_t below(random_source& aRandom, std::size_t aEnd)
{
  return std::uniform_int_distribution<std::size_t>(0, aEnd - 1)(aRandom);
}

json hostileValue(random_source& aRandom)
{
  static const std::array<json, 16> kValues{
    json(),      json(true),      json(-1),      json(0),
    json(1),     json(2),         json(300),     json(1U << 31),
    json(~0ULL), json(INT64_MIN), json(1e30),    json(-0.5),
    json(""),    json("\xff\0"),  json::array(), json::array({ json::array() })
  };
  return kValues[below(aRandom, kValues.size())];
}

/// Replaces, removes or repeats one value somewhere in aValue.
void mutate(json& aValue, random_source& aRandom)
{
  if (!aValue.is_structured() || aValue.empty() || below(aRandom, 8) == 0) {
    aValue = hostileValue(aRandom);
    return;
  }
  const auto index = below(aRandom, aValue.size());
  auto at = std::next(aValue.begin(), static_cast<std::ptrdiff_t>(index));
  const auto choice = below(aRandom, 8);
  if (choice == 0) {
    aValue.erase(at);
  } else if (choice == 1 && aValue.is_array()) {
    aValue.push_back(json(aValue[index]));
  } else {
    mutate(*at, aRandom);
  }
}

std::string mutateBytes(std::string aBytes, random_source& aRandom)
{
  for (auto left = 1 + below(aRandom, 3); left > 0 && !aBytes.empty(); --left) {
    const auto at = below(aRandom, aBytes.size());
    switch (below(aRandom, 4)) {
      case 0:
        aBytes.resize(at);
        break;
      case 1:
        aBytes.insert(at, 1, static_cast<char>(below(aRandom, 256)));
        break;
      default:
        aBytes[at] = static_cast<char>(below(aRandom, 256));
    }
  }
  return aBytes;
}

/// Passes mutated copies of a message to aUse, which must neither throw nor crash.
void feed(const std::string& aMessage, bool aIsMsgpack,
          const std::function<void(const std::string&)>& aUse)
{
  random_source random(kSeed);
  const auto valid = aIsMsgpack ? json::from_msgpack(aMessage) : json::parse(aMessage);
  aUse(aMessage);
  for (int copy = 0; copy < kCopies; ++copy) {
    std::string bytes;
    if (copy % 2 == 0) {
      bytes = mutateBytes(aMessage, random);
    } else {
      auto value = valid;
      mutate(value, random);
      bytes =
        aIsMsgpack ? std::string() : value.dump(-1, ' ', false, json::error_handler_t::replace);
      if (aIsMsgpack) {
        json::to_msgpack(value, bytes);
      }
    }
    aUse(bytes);
  }
}

team_use useOfTeams()
{
  return { .mAt = wall_time(1'700'000'000'000), .mTeams = { { "t", 2.5F }, { "u", 0.25F } } };
}

/// A job of two steps, the second one a gang with a run that has failed and one that is open, and
/// the past use of two teams.
job_table tableWithRuns()
{
  job_table table;
  job_spec spec{ .mId = kJob, .mRoute = "r", .mTeam = "t", .mPayload = "x" };
  spec.mSteps.push_back({ .mCount = 2, .mNeeds = { .mCpuMilli = 100 } });
  spec.mSteps.push_back({ .mCount = 2, .mNeeds = { .mCpuMilli = 100 }, .mGang = true });
  table.apply(job_submitted{ .mSpec = spec }, time_point{});
  const task_key task{ .mStep = { .mJob = kJob, .mStep = 1 }, .mIndex = 1 };
  table.apply(run_started{ .mTask = task, .mRun = 1, .mAt = { .mTarget = "w" } }, time_point{});
  table.apply(run_ended{ .mTask = task, .mRun = 1, .mOutcome = run_end::target_lost },
              time_point{});
  table.apply(run_started{ .mTask = task, .mRun = 2, .mAt = { .mTarget = "w" } }, time_point{});
  table.apply(useOfTeams(), time_point{});
  return table;
}

journal_record snapshotOfJob()
{
  for (auto& record : tableWithRuns().snapshot(time_point{})) {
    if (std::holds_alternative<job_snapshot>(record)) {
      return record;
    }
  }
  return {};
}

std::string snapshotRecord()
{
  return encode(snapshotOfJob());
}

/// Applies starts and ends to all tasks that the job may have.
void useTable(job_table& aTable)
{
  for (std::uint32_t step = 0; step < 4; ++step) {
    for (std::uint32_t index = 0; index < 4; ++index) {
      const task_key task{ .mStep = { .mJob = kJob, .mStep = step }, .mIndex = index };
      const run_started started{ .mTask = task, .mRun = 3, .mAt = { .mTarget = "w" } };
      const run_ended ended{
        .mTask = task, .mRun = 3, .mOutcome = run_end::done, .mCheckpoint = "c"
      };
      aTable.hasPlaceFor(started);
      aTable.apply(started, time_point{});
      aTable.hasPlaceFor(ended);
      aTable.apply(ended, time_point{});
    }
  }
  for (const auto& record : aTable.snapshot(time_point{})) {
    encode(record);
  }
  aTable.removeEnded(time_point{} + std::chrono::hours(1));
}

} // namespace

/// Malformed messages and records, most of them valid but for one value.
TEST_GROUP(malformed_bytes){};

// Guards against a daemon that reads beyond the steps of a job: a snapshot's states of steps and
// tasks were not compared with those that the job has.
TEST(malformed_bytes, aSnapshotHasTheStatesOfItsJob)
{
  const auto valid = json::from_msgpack(snapshotRecord());
  const auto isOk = [](const json& aValue) {
    std::string bytes;
    json::to_msgpack(aValue, bytes);
    return decodeRecord(bytes).ok();
  };
  CHECK(isOk(valid));
  // The kind, then the job: its specification, and as the fifth element its occurrences. Each is
  // its index and the states of its steps, and each of these has its tasks as the second element.
  const auto without = [&valid](const char* aPath) {
    auto value = valid;
    value.at(json::json_pointer(aPath)).erase(0);
    return value;
  };
  CHECK_FALSE(isOk(without("/1/4/0/1")));
  CHECK_FALSE(isOk(without("/1/4/0/1/1/1")));
  CHECK_FALSE(isOk(without("/1/0/4")));
  auto moreTasks = valid;
  auto& tasks = moreTasks.at(json::json_pointer("/1/4/0/1/1/1"));
  tasks.push_back(json(tasks[0]));
  CHECK_FALSE(isOk(moreTasks));
  auto otherOccurrence = valid;
  otherOccurrence.at(json::json_pointer("/1/4/0/0")) = 7;
  CHECK_FALSE(isOk(otherOccurrence));
}

// Guards against an owner, and then the next one, that ends when it asks for advice on a target
// whose key in the registry is not UTF-8.
TEST(malformed_bytes, adviceOnTargetsWhoseIdsAreNotText)
{
  const advice_request request{ .mDaemon = "10.0.0.1:80",
                                .mStep = { .mJob = kJob },
                                .mTargets = { "good", "\xff\xfe" },
                                .mTimeout = std::chrono::milliseconds(400) };
  const auto row = json::parse(platform::encodeAdvice("10.0.0.1:81", request).mBody).at("workers");
  CHECK_EQUAL(2, row.size());
  CHECK_EQUAL("good", row[0].get<std::string>());
  const auto relayed = decodePeerAdvice(encodePeerAdvice(request).mBody);
  CHECK(relayed.ok());
  CHECK_EQUAL(2, relayed->mTargets.size());
}

// Guards against a process, and then the next owner's, that ends because of one record.
TEST(malformed_bytes, recordsOfTheJournal)
{
  const auto table = tableWithRuns();
  const task_key task{ .mStep = { .mJob = kJob, .mStep = 1 }, .mIndex = 1 };
  const std::vector<journal_record> records{
    job_submitted{ .mSpec = table.find(kJob)->mSpec },
    job_cancelled{ .mJob = kJob },
    run_started{ .mTask = task, .mRun = 3, .mAt = { .mTarget = "w", .mIncarnationStart = 3 } },
    run_ended{ .mTask = task, .mRun = 2, .mOutcome = run_end::failed, .mCheckpoint = "c" },
    job_abandoned{ .mJob = kJob },
    snapshotOfJob(),
    target_acquired{ .mTarget = "w", .mEpoch = 4, .mVm = "vm" },
    renewals_stopped{ .mTarget = "w", .mEpoch = 4, .mLeaseLeft = std::chrono::seconds(1) },
    useOfTeams(),
  };
  for (const auto& record : records) {
    feed(encode(record), true, [&table, &record](const std::string& aBytes) {
      const auto decoded = decodeRecord(aBytes);
      if (!decoded.ok()) {
        return;
      }
      auto changed = std::holds_alternative<job_submitted>(record) ||
                         std::holds_alternative<job_snapshot>(record)
                       ? job_table{}
                       : table;
      describe(*decoded);
      if (changed.hasPlaceFor(*decoded)) {
        changed.apply(*decoded, time_point{});
      }
      useTable(changed);
    });
  }
}

// Guards against a record of the teams' use that a daemon reads though a value of it cannot be, so
// that ranks are computed from it.
TEST(malformed_bytes, useOfTeamsHasValuesInRange)
{
  const auto valid = json::from_msgpack(encode(useOfTeams()));
  const auto isOkWith = [&valid](const char* aPath, const json& aValue) {
    auto changed = valid;
    changed.at(json::json_pointer(aPath)) = aValue;
    std::string bytes;
    json::to_msgpack(changed, bytes);
    return decodeRecord(bytes).ok();
  };
  // The kind, the time, and for each team its name and use.
  CHECK(isOkWith("/1", 0));
  for (const auto& time :
       { json(-1), json(INT64_MIN), json(~0ULL), json("0"), json(), json::array() }) {
    CHECK_FALSE(isOkWith("/1", time));
  }
  for (const auto& teams :
       { json(), json(1), json("t"), json::object(), json::array({ 1 }),
         json::array({ json::array() }), json::array({ json::array({ "t" }) }) }) {
    CHECK_FALSE(isOkWith("/2", teams));
  }
  CHECK(isOkWith("/2", json::array()));
  CHECK_FALSE(isOkWith("/2/1/0", 7));
  for (const auto& use : { json(-1), json(-0.5), json(1e300), json(std::nan("")), json("1") }) {
    CHECK_FALSE(isOkWith("/2/1/1", use));
  }
}

TEST(malformed_bytes, recordsOfSnapshotsAndOwners)
{
  const auto parts =
    encodeSnapshot({ .mBase = 17, .mRecords = tableWithRuns().snapshot(time_point{}) }, 1);
  for (std::size_t index = 0; index < parts.at(0).size(); ++index) {
    feed(parts[0][index], true, [&parts, index](const std::string& aBytes) {
      auto records = parts[0];
      records[index] = aBytes;
      lastSnapshot(records);
      snapshot_index().add(records);
    });
  }
  feed(encode(owner_record{ .mKind = owner_record::kind::claim,
                            .mNode = "n",
                            .mIncarnation = 3,
                            .mPeerAddress = "10.0.0.1:80" }),
       true, [](const std::string& aBytes) {
         election one({ .mNode = "m", .mIncarnation = 4, .mPeerAddress = "10.0.0.2:80" });
         if (const auto record = decodeOwnerRecord(aBytes); record.ok()) {
           one.onRecordRead(*record, 5, time_point{});
           one.onEndRead(6, time_point{});
           one.next(time_point{} + std::chrono::hours(1), true, false);
         }
       });
}

TEST(malformed_bytes, messagesOfPeers)
{
  feed(R"(["10.0.0.1:80",0.5,true])", false, [](const auto& aBytes) { decodeHello(aBytes); });
  hello_reply reply{ .mStandby = true };
  reply.mCapacity.mPools["p"].push_back({ .mCpuMilli = 5 });
  feed(encodeHelloReply(reply), false, [](const auto& aBytes) { decodeHelloReply(aBytes); });
  feed(encodeEpoch(5), false, [](const auto& aBytes) { decodeEpoch(aBytes); });
  const std::array ends{ run_ended{ .mTask = { .mStep = { .mJob = kJob } }, .mRun = 2 } };
  feed(encodeEnds(ends), true, [](const auto& aBytes) {
    decodeForwardedRecords(aBytes);
    decodeEnds(aBytes);
  });
  feed(encode(order_batch{ .mEpoch = 4, .mOwner = "10.0.0.1:80", .mOrders = { {} } }), true,
       [](const auto& aBytes) { decodeOrderBatch(aBytes); });
  feed(encode(order_results{ .mEpoch = 4, .mResults = { { .mReport = target_report{} } } }), true,
       [](const auto& aBytes) { decodeOrderResults(aBytes); });
  feed("[5,0,0,[\"t\"],400]", false, [](const auto& aBytes) { decodePeerAdvice(aBytes); });
}

TEST(malformed_bytes, messagesOfThePlatform)
{
  feed(R"({"version":3,"routes":[{"name":"r","prefix":"/b/","service":"s"}],"tenants":[]})", false,
       [](const auto& aBytes) { platform::decodeConfig(aBytes); });
  feed(R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"cpu":1}})",
       false, [](const auto& aBytes) { platform::decodeTargetEntry("i", aBytes); });
  feed(R"({"spec":"x","steps":[{"count":1,"cpu":1},{"count":2,"cpu":1,"after":[0]}]})", false,
       [](const auto& aBytes) { platform::decodeJob(aBytes); });
  feed(R"({"tasks":[{"id":"a.0.0.0","run":1,"state":"done"}],"capacity":{"cpu":1}})", false,
       [](const auto& aBytes) {
         platform::decodeReport(aBytes);
         platform::decodeAdvice(aBytes);
         platform::decodeKeyed(aBytes);
         platform::decodeOutcome({ .mStatus = 409, .mBody = aBytes });
       });
}
