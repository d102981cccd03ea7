#include <string>

#include "endiveusher/protocol/json.h"
#include "http/platform_services.h"
#include "http/targets_service.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::standins;
using namespace std::chrono_literals;

namespace {

standin_reply post(standin_service& aService, const std::string& aPath, const std::string& aBody,
                   duration aAt = 0s)
{
  return aService.handle({ .mMethod = "POST", .mPath = aPath, .mBody = aBody }, time_point{} + aAt);
}

standin_reply get(standin_service& aService, const std::string& aPath, duration aAt = 0s)
{
  return aService.handle({ .mMethod = "GET", .mPath = aPath }, time_point{} + aAt);
}

} // namespace

TEST_GROUP(http_services){};

// Guards against reads that differ from the appends, and against faults that have no effect.
TEST(http_services, logAppendsReadsAndFails)
{
  log_service log({});
  const protocol::append_request request{ .mAppendId = "a", .mRecords = { "one", "two" } };
  const std::string body = protocol::toJson(request);
  LONGS_EQUAL(200, post(log, "/v1/streams/jobs/append", body).mStatus);
  const auto page = protocol::fromJson<protocol::read_response>(get(log, "/v1/streams/jobs").mBody);
  CHECK_TRUE(page.ok());
  LONGS_EQUAL(2, page->mEnd);
  STRCMP_EQUAL("two", page->mEntries.at(1).mRecord.c_str());

  post(log, "/faults", R"({"lose_append_answers": 1})");
  CHECK(kLostAnswerDelay == post(log, "/v1/streams/jobs/append", body).mDelay);
  post(log, "/faults", R"({"down": true})");
  LONGS_EQUAL(503, get(log, "/v1/streams/jobs").mStatus);
  LONGS_EQUAL(400, post(log, "/faults", R"({"down": 7})").mStatus);
  post(log, "/faults", "{}");
  LONGS_EQUAL(400, post(log, "/v1/streams/jobs/append", "no json").mStatus);
}

// Guards against a list that cannot be changed while a daemon reads it.
TEST(http_services, vmListChanges)
{
  vm_list_service vms(0s, { .mVms = { { .mName = "t1" }, { .mName = "t2" } } });
  const vm_list other{ .mVms = { { .mName = "t2" }, { .mName = "t3" } } };
  vms.handle({ .mMethod = "PUT", .mPath = "/v1/vms", .mBody = protocol::toJson(other) },
             time_point{} + 1s);
  LONGS_EQUAL(200, post(vms, "/v1/vms/t3/leaving", "", 2s).mStatus);
  const auto list = protocol::fromJson<vm_list>(get(vms, "/v1/vms", 3s).mBody);
  LONGS_EQUAL(2, list->mVms.size());
  STRCMP_EQUAL("t3", list->mVms.at(1).mName.c_str());
  CHECK_TRUE(list->mVms.at(1).mLeaving);
}

// Guards against double runs on two targets that the process tests would not detect.
TEST(http_services, targetsCountStartsAndDoubleRuns)
{
  targets_service targets({ { .mTarget = "t1" }, { .mTarget = "t2" } }, time_point{});
  for (std::size_t index = 0; index < 2; ++index) {
    auto& endpoint = targets.endpoint(index);
    exchange_request request{ .mDaemon = "d", .mOwnershipLease = 6s };
    const auto first = protocol::fromJson<exchange_response>(
      post(endpoint, "/v1/exchange", protocol::toJson(request)).mBody);
    request.mTargetIncarnation = first->mTargetIncarnation;
    request.mEpoch = first->mEpoch;
    request.mOrders = {
      { .mOrderId = 1, .mTask = { .mKey = { "r", 0 }, .mIdempotent = false }, .mStartBy = 1s }
    };
    post(endpoint, "/v1/exchange", protocol::toJson(request));
  }
  STRCMP_EQUAL(R"({"r/0":2})", get(targets.endpoint(0), "/starts").mBody.c_str());
  STRCMP_EQUAL(
    R"({"double_runs":1,"overcommits":0,"repeated_non_idempotent":1,"starts_on_leaving":0})",
    get(targets.endpoint(1), "/violations").mBody.c_str());
}
