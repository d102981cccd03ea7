#include "endiveusher/platform/messages.h"
#include "endiveusher/platform/node_settings.h"
#include "endiveusher/platform/store.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::platform;
using scheduler::order_outcome;

TEST_GROUP(platform_config)
{
  static constexpr const char* kConfig = R"({"version":7,
    "routes":[{"name":"r1","host":"h.example","path_prefix":"/a/","service":"s","slo_ms":250,
               "priority":1,"max_attempts":4,"stretch":2.2,
               "advice":{"decide_ms":8.5,"each_ms":0.1,"valid_ms":1500},"public":false},
              {"name":"r2","host":"h.example","path_prefix":"/a/b/","service":"s","public":true}],
    "services":[],"limits":{"max_body_bytes":1000},
    "tenants":[{"name":"t","api_keys":["k1","k2"],"weight":3,
                "upper_limit":{"cpu":5000,"mem_mb":0,"gpu":0}}]})";
};

TEST(platform_config, decodesRoutesAndTeams)
{
  const auto config = decodeConfig(kConfig);
  CHECK(config.ok());
  CHECK_EQUAL(7, config->mVersion);
  const auto& route = config->mRoutes[0];
  CHECK_EQUAL(8500, route.mAdvice->mPerCall.count());
  CHECK_EQUAL(100, route.mAdvice->mPerTarget.count());
  CHECK_EQUAL(4, route.mMaxAttempts);
  CHECK_EQUAL("t", config->teamOfKey("k2")->mName);
  CHECK(config->teamOfKey("k3") == nullptr);
}

// Guards against limits that callers without a limit of their own would reach.
TEST(platform_config, absentAndZeroLimitsKeepTheirDefaults)
{
  const auto config = decodeConfig(
    R"({"version":1,"routes":[],"limits":{"max_header_bytes":0,"max_body_bytes":1000,
        "idle_timeout_ms":700}})");
  CHECK(config.ok());
  CHECK_EQUAL(16384, config->mLimits.mMaxHeaderBytes);
  CHECK_EQUAL(1000, config->mLimits.mMaxBodyBytes);
  CHECK_EQUAL(3000, config->mLimits.mHeaderTimeout.count());
  CHECK_EQUAL(700, config->mLimits.mIdleTimeout.count());
}

TEST(platform_config, matchesTheLongestPrefix)
{
  const auto config = decodeConfig(kConfig);
  CHECK_EQUAL("r1", config->match("h.example", "/a/0123")->mName);
  CHECK_EQUAL("r2", config->match("h.example", "/a/b/0123")->mName);
  CHECK(config->match("h.example", "/c/") == nullptr);
  CHECK(config->match("other", "/a/") == nullptr);
}

TEST(platform_config, rejectsInvalidConfigurations)
{
  CHECK_FALSE(decodeConfig("{").ok());
  CHECK_FALSE(decodeConfig(R"({"routes":[{"name":5}]})").ok());
}

TEST_GROUP(platform_registry){};

// Guards against the use of targets from entries that other writers left in the registry.
TEST(platform_registry, rejectsUnreadableEntries)
{
  CHECK_FALSE(decodeTargetEntry("i", "\x01\x02").ok());
  CHECK_FALSE(decodeTargetEntry("i", "[]").ok());
  CHECK_FALSE(decodeTargetEntry("i", R"({"state":"ready"})").ok());
  CHECK_FALSE(decodeTargetEntry("i", R"({"service":"s","addr":"1:1","zone":"z","state":"resting",
                                         "capacity":{"cpu":1}})")
                .ok());
  CHECK_FALSE(decodeTargetEntry("i", R"({"service":"s","addr":7,"zone":"z","state":"ready",
                                         "capacity":{"cpu":1}})")
                .ok());
}

TEST(platform_registry, decodesAnEntry)
{
  const auto entry = decodeTargetEntry(
    "i-1", R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":8,
               "state":"draining","capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
               "labels":["a","r1-3"],"born":1768871666056,"sequence":4,
               "machine":"m-0a3f1"})");
  CHECK(entry.ok());
  CHECK_EQUAL("m-0a3f1", entry->mVm);
  CHECK(entry->mDraining);
  CHECK_EQUAL("r1-3", entry->mRack);
  CHECK_EQUAL(16000, entry->mCapacity.mCpuMilli);
  CHECK(entry->mIncarnationStart == 1768871666056);
}

TEST_GROUP(platform_jobs){};

TEST(platform_jobs, decodesSteps)
{
  const auto job = decodeJob(
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,
        "affinity":"r1"},{"count":2,"after":[0],"gang":true,"anti_affinity":1}]})");
  CHECK(job.ok());
  CHECK_EQUAL(4, job->mSteps[0].mCount);
  CHECK_EQUAL("r1", job->mSteps[0].mDataRack);
  CHECK(job->mSteps[1].mGang);
  CHECK_EQUAL(1, job->mSteps[1].mMaxPerTarget);
  CHECK_EQUAL(0, job->mSteps[1].mAfter[0]);
}

TEST(platform_jobs, rejectsMalformedJobs)
{
  CHECK_FALSE(decodeJob("").ok());
  CHECK_FALSE(decodeJob(R"({"steps":[]})").ok());
  CHECK_FALSE(decodeJob(R"({"steps":[{"count":0}]})").ok());
  CHECK_FALSE(decodeJob(R"({"steps":[{"cpu":-1}]})").ok());
  CHECK_FALSE(decodeJob(R"({"steps":[{"after":[0]}]})").ok());
  CHECK_FALSE(decodeJob(R"({"steps":[{"count":"four"}]})").ok());
}

TEST_GROUP(platform_targets){};

TEST(platform_targets, mapsStatusAndReasonToOutcome)
{
  const auto outcome = [](int aStatus, const char* aBody) {
    return decodeOutcome({ .mStatus = aStatus, .mBody = aBody });
  };
  CHECK(decodeOutcome({}) == order_outcome::unanswered);
  CHECK(outcome(200, "{}") == order_outcome::accepted);
  CHECK(outcome(409, R"({"reason":"fence"})") == order_outcome::fenced);
  CHECK(outcome(409, R"({"reason":"old"})") == order_outcome::outdated);
  CHECK(outcome(409, R"({"reason":"ticket"})") == order_outcome::bad_ticket);
  CHECK(outcome(409, R"({"reason":"late"})") == order_outcome::late);
  CHECK(outcome(409, R"({"reason":"room"})") == order_outcome::no_capacity);
  CHECK(outcome(400, "") == order_outcome::invalid);
  CHECK(outcome(421, "") == order_outcome::other_incarnation);
  CHECK(outcome(429, "") == order_outcome::unhealthy);
  CHECK(outcome(503, "") == order_outcome::unhealthy);
}

// Guards against an answer that proves nothing being taken for a rejection.
TEST(platform_targets, otherAnswersDoNotShowThatAnOrderWasRejected)
{
  for (const int status : { 201, 204, 302, 403, 404, 408, 425, 500, 502, 504 }) {
    CHECK_TEXT(decodeOutcome({ .mStatus = status }) == order_outcome::undefined,
               std::to_string(status).c_str());
  }
  for (const char* body : { "no json", "", "{}", R"({"reason":""})", R"({"reason":"other"})" }) {
    CHECK_TEXT(decodeOutcome({ .mStatus = 409, .mBody = body }) == order_outcome::undefined, body);
  }
}

TEST(platform_targets, decodesAReport)
{
  const auto report = decodeReport(
    R"({"wall_clock_ms":482113,"born":9,
        "running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,3.5]],
        "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"broken",""]]})");
  CHECK(report.ok());
  CHECK_EQUAL(482113, report->mClock.count());
  CHECK_EQUAL(17, report->mRunning[0].mTask.mIndex);
  CHECK_EQUAL(58, report->mEnded[0].mNumber);
  CHECK(report->mEnded[0].mOutcome == scheduler::reported_end::gang_broken);
  CHECK_FALSE(decodeReport(R"({"running":[["nonsense",1,"",0]]})").ok());
}

TEST_GROUP(platform_store){};

TEST(platform_store, encodesAndDecodesKeyedRecords)
{
  const auto record = decodeKeyed(encodeKeyed("config", "{}"));
  CHECK_EQUAL("config", record->mKey);
  CHECK_EQUAL("{}", record->mValue.value());
  CHECK_FALSE(decodeKeyed(encodeKeyed("gone", ""))->mValue.has_value());
  CHECK_FALSE(decodeKeyed("").has_value());
  CHECK_FALSE(decodeKeyed("\x09short").has_value());
}

TEST_GROUP(platform_settings){};

TEST(platform_settings, readsLinesAndIgnoresUnknownNames)
{
  const auto settings = parseSettings("node=n\nzone=z\nip=10.0.0.1\nlisten.front=10.0.0.1:1\n"
                                      "listen.readiness=10.0.0.1:2\nplatform.addr=10.0.0.2:3\n"
                                      "port_range=7420,7435\nbounds.revoke_ms=4000\nfuture=x\n");
  CHECK(settings.ok());
  CHECK_EQUAL(7420, settings->mPeerPort);
  CHECK_EQUAL(4000, settings->mRevokePeriod.count());
}

TEST(platform_settings, errorsNameTheSettingOrLine)
{
  const auto missing = parseSettings("node=n\n");
  CHECK(std::string(missing.status().message()).find("zone") != std::string::npos);
  const auto malformed = parseSettings("node=n\nnonsense\n");
  CHECK(std::string(malformed.status().message()).find("line 2") != std::string::npos);
}
