#include "endiveusher/edges/call_api.h"
#include "endiveusher/edges/http_client.h"
#include "endiveusher/protocol/json.h"
#include "raw_client.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::edges;

namespace {

const std::string kDigest(64, 'a');

/// Server that answers every call with mAnswer.
struct fixture
{
  fixture()
    : mServer({ .mMaxRequestBytes = 200'000 },
              call_api({ .mSubmit =
                           [this](call aCall, const answer_sink& aSink) {
                             mCalls.push_back(std::move(aCall));
                             aSink(mAnswer);
                           },
                         .mMetrics = [] { return std::string("a 1\n"); } })
                .handler())
  {
  }

  client_response send(const std::string& aMethod, const std::string& aPath,
                       const std::string& aBody = "", const std::string& aKey = "")
  {
    http_client client;
    const auto response =
      client.perform({ .mMethod = aMethod,
                       .mAddress = "127.0.0.1:" + std::to_string(mServer.port()),
                       .mPath = aPath,
                       .mBody = aBody,
                       .mBearer = aKey,
                       .mTimeout = std::chrono::seconds(20) });
    CHECK_TEXT(response.ok(), response.status().ToString().c_str());
    return response.value_or(client_response{});
  }
  /// Sends a request and checks that it is rejected without being passed to the kernel.
  void checkRejected(int aStatus, const std::string& aMethod, const std::string& aPath,
                     const std::string& aBody = "", const std::string& aKey = "")
  {
    const auto response = send(aMethod, aPath, aBody, aKey);
    const auto text = aMethod + " " + aPath + " " + aBody.substr(0, 200) + ": " + response.mBody;
    LONGS_EQUAL_TEXT(aStatus, response.mStatus, text.c_str());
    const auto read = protocol::fromJson<answer>(response.mBody);
    CHECK_TEXT(read.ok(), text.c_str());
    CHECK_TEXT(read->mClass == answer_class::not_run, text.c_str());
    const auto& error = std::get<call_error>(read->mBody);
    CHECK_TEXT(!error.mCode.empty() && !error.mMessage.empty() && !error.mStep.empty(),
               text.c_str());
    LONGS_EQUAL_TEXT(0, mCalls.size(), text.c_str());
  }

  answer mAnswer{ .mClass = answer_class::ran, .mBody = job_status{ .mRequest = "r" } };
  std::vector<call> mCalls;
  http_server mServer;
};

} // namespace

TEST_GROUP(call_api)
{
  fixture mFixture;

  template<typename Call>
  const Call& received()
  {
    LONGS_EQUAL(1, mFixture.mCalls.size());
    return std::get<Call>(mFixture.mCalls.at(0));
  }
};

// Guards against a submission that is passed to the kernel incomplete or without its key.
TEST(call_api, submitCarriesJobAndKey)
{
  const auto response = mFixture.send(
    "POST", "/v1/submit",
    R"({"job":{"request":"r","team":"t","kind":"gang","taskCount":3,"urgent":true,)"
    R"("perTask":{"cpuMilli":500,"memoryMb":"64"},"idempotent":false,"zones":["z"]}})",
    "secret");
  LONGS_EQUAL(200, response.mStatus);
  STRCMP_EQUAL(protocol::toJson(mFixture.mAnswer).c_str(), response.mBody.c_str());
  const auto& call = received<submit_call>();
  STRCMP_EQUAL("secret", call.mKey.c_str());
  const job_spec wanted{ .mRequest = "r",
                         .mTeam = "t",
                         .mKind = job_kind::gang,
                         .mTaskCount = 3,
                         .mPerTask = { .mSlots = 1, .mCpuMilli = 500, .mMemoryMb = 64 },
                         .mUrgent = true,
                         .mIdempotent = false,
                         .mZones = { "z" } };
  CHECK(call.mJob == wanted);
}

// Guards against a ticket call that requires a body.
TEST(call_api, ticketsMayHaveNoBody)
{
  mFixture.mAnswer = { .mClass = answer_class::ran, .mBody = tickets_result{ { "t.a.1" } } };
  const auto response = mFixture.send("POST", "/v1/tickets");
  STRCMP_EQUAL(R"({"class":"ran","tickets":{"tickets":["t.a.1"]}})", response.mBody.c_str());
  LONGS_EQUAL(1, received<ticket_call>().mCount);
}

// Guards against ids with reserved characters that select another request.
TEST(call_api, statusDecodesTheId)
{
  mFixture.send("GET", "/v1/status/a%2Fb%3Fc", "", "k");
  STRCMP_EQUAL("a/b?c", received<status_call>().mRequest.c_str());
  STRCMP_EQUAL("k", received<status_call>().mKey.c_str());
}

// Guards against waits longer than the idle timeout of the load balancer.
TEST(call_api, longWaitsAreLimited)
{
  mFixture.send("POST", "/v1/wait", R"({"request":"r","timeoutMs":3600000})", "k");
  LONGS_EQUAL(50'000, received<wait_call>().mTimeout.count());
  STRCMP_EQUAL("k", received<wait_call>().mKey.c_str());
}

// Guards against the cancellation of another request.
TEST(call_api, cancelCarriesRequestAndKey)
{
  mFixture.send("POST", "/v1/cancel", R"({"request":"r"})", "k");
  STRCMP_EQUAL("r", received<cancel_call>().mRequest.c_str());
  STRCMP_EQUAL("k", received<cancel_call>().mKey.c_str());
}

// Guards against configuration changes that are incomplete or lack the operator's key.
TEST(call_api, publishCarriesChangesAndKey)
{
  mFixture.mAnswer = { .mClass = answer_class::ran, .mBody = publish_result{ .mOffset = 7 } };
  const auto response = mFixture.send(
    "POST", "/v1/publish",
    R"({"operationId":"o","expectedOffset":6,"changes":[{"setTeam":{"team":"t","share":2}},)"
    R"({"grantKey":{"team":"t","keyDigest":")" +
      kDigest + R"("}},{"setZoneState":{"zone":"z","state":"out"}}]})",
    "op");
  STRCMP_EQUAL(R"({"class":"ran","published":{"offset":"7","inForceEverywhere":false}})",
               response.mBody.c_str());
  const auto& call = received<publish_call>();
  STRCMP_EQUAL("op", call.mOperatorKey.c_str());
  LONGS_EQUAL(6, call.mExpectedOffset.value_or(0));
  LONGS_EQUAL(3, call.mChanges.size());
  CHECK(std::get<set_zone_state>(call.mChanges[2]).mState == zone_state::out);
}

// Guards against operators' read calls that lose their key or content.
TEST(call_api, showDumpMetricsAndHealthAreAnswered)
{
  mFixture.mAnswer = { .mClass = answer_class::ran, .mBody = config_view{ .mOffset = 9 } };
  CHECK(protocol::fromJson<answer>(mFixture.send("GET", "/v1/show", "", "op").mBody).ok());
  mFixture.mAnswer = { .mClass = answer_class::ran, .mBody = dump_result{ R"({"a":1})" } };
  STRCMP_EQUAL(R"({"a":1})", mFixture.send("GET", "/v1/dump", "", "op").mBody.c_str());
  STRCMP_EQUAL("op", std::get<show_call>(mFixture.mCalls.at(0)).mOperatorKey.c_str());
  STRCMP_EQUAL("op", std::get<dump_call>(mFixture.mCalls.at(1)).mOperatorKey.c_str());
  STRCMP_EQUAL("a 1\n", mFixture.send("GET", "/v1/metrics").mBody.c_str());
  LONGS_EQUAL(200, mFixture.send("GET", "/healthz").mStatus);
}

// Guards against kernel errors that lose their class, status, step or peer.
TEST(call_api, errorsKeepClassStatusStepAndPeer)
{
  mFixture.mAnswer = { .mClass = answer_class::unknown,
                       .mBody = call_error{ .mStatus = 409,
                                            .mCode = "conflict",
                                            .mMessage = "m",
                                            .mStep = "append",
                                            .mPeer = "log" } };
  const auto response = mFixture.send("POST", "/v1/cancel", R"({"request":"r"})");
  LONGS_EQUAL(409, response.mStatus);
  STRCMP_EQUAL(R"({"class":"unknown","error":{"status":409,"code":"conflict","message":"m",)"
               R"("step":"append","peer":"log"}})",
               response.mBody.c_str());
  std::get<call_error>(mFixture.mAnswer.mBody).mStatus = 200;
  LONGS_EQUAL(500, mFixture.send("POST", "/v1/cancel", R"({"request":"r"})").mStatus);
}

// Guards against paths and methods that are mistaken for another call.
TEST(call_api, wrongPathsAndMethodsAreRejected)
{
  mFixture.checkRejected(404, "GET", "/");
  mFixture.checkRejected(404, "GET", "/v1/status");
  mFixture.checkRejected(404, "POST", "/v1/submit/");
  mFixture.checkRejected(405, "GET", "/v1/submit");
  mFixture.checkRejected(405, "PUT", "/v1/submit", "{}");
  mFixture.checkRejected(405, "POST", "/v1/status/r");
  mFixture.checkRejected(405, "POST", "/v1/dump");
  mFixture.checkRejected(400, "GET", "/v1/status/");
  mFixture.checkRejected(400, "GET", "/v1/status/%zz");
  mFixture.checkRejected(400, "GET", "/v1/status/" + std::string(300, 'x'));
  mFixture.checkRejected(400, "GET", "/v1/show", "", std::string(600, 'k'));
}

// Guards against malformed bodies that are accepted and misinterpreted.
TEST(call_api, malformedBodiesAreRejected)
{
  const std::string paths[] = { "/v1/tickets", "/v1/submit", "/v1/wait", "/v1/cancel",
                                "/v1/publish" };
  for (const auto& path : paths) {
    for (const std::string body :
         { "x", "[]", "null", "7", "{\"unknownField\":1}", "{\"a\"", "\"\"", "{}{}" }) {
      mFixture.checkRejected(400, "POST", path, body);
    }
    mFixture.checkRejected(400, "POST", path, std::string(100'000, '['));
    mFixture.checkRejected(413, "POST", path, std::string(200'001, ' '));
  }
  for (const auto& path : { "/v1/submit", "/v1/wait", "/v1/cancel", "/v1/publish" }) {
    mFixture.checkRejected(400, "POST", path, "");
    mFixture.checkRejected(400, "POST", path, "{}");
  }
}

// Guards against values that are invalid in every call.
TEST(call_api, valuesOutOfRangeAreRejected)
{
  for (const std::string count : { "0", "-1", "1001", "1e300", "\"many\"", "1.5" }) {
    mFixture.checkRejected(400, "POST", "/v1/tickets", R"({"count":)" + count + "}");
  }
  const auto submit = [this](const std::string& aFields) {
    mFixture.checkRejected(400, "POST", "/v1/submit", R"({"job":{"request":"r",)" + aFields + "}}");
  };
  submit(R"("taskCount":0)");
  submit(R"("taskCount":-1)");
  submit(R"("taskCount":100001)");
  submit(R"("taskCount":4294967297)");
  submit(R"("runTimeMs":-5)");
  submit(R"("startWithinMs":1e18)");
  submit(R"("perTask":{"memoryMb":-1})");
  submit(R"("perTask":{"cpuMilli":"99999999999999999999"})");
  submit(R"("perTask":{"slots":2})");
  submit(R"("kind":"cron")");
  submit(R"("team":"a b")");
  submit(R"("zones":[""])");
  submit(R"("command":")" + std::string(65'537, 'c') + "\"");
  mFixture.checkRejected(400, "POST", "/v1/submit", R"({"job":{"request":"a\nb"}})");
  mFixture.checkRejected(400, "POST", "/v1/wait", R"({"request":"r","timeoutMs":-1})");
  const auto publish = [this](const std::string& aChange) {
    mFixture.checkRejected(400, "POST", "/v1/publish",
                           R"({"operationId":"o","changes":[)" + aChange + "]}");
  };
  publish("");
  publish("{}");
  publish(R"({"setTeam":{"team":"t","share":0}})");
  publish(R"({"setTeam":{"team":"t","share":"inf"}})");
  publish(R"({"setTeam":{"team":"","share":1}})");
  publish(R"({"setTeam":{"team":"t","limit":{"tasks":-1}}})");
  publish(R"({"grantKey":{"team":"t","keyDigest":"secret"}})");
  publish(R"({"withdrawKey":{"keyDigest":"A"}})");
  publish(R"({"setZoneState":{"zone":"z","state":"half"}})");
  publish(R"({"removeTeam":{"team":"t"},"setTeam":{"team":"t"}})");
}

// Guards against a kernel that keeps calls of disconnected callers indefinitely.
TEST(call_api, disconnectOfCallerIsReported)
{
  std::mutex mutex;
  std::condition_variable changed;
  std::optional<answer_sink> kept;
  bool disconnected = false;
  const auto submit = [&](const call& /*aCall*/, const answer_sink& aSink) {
    aSink.onDisconnect([&] {
      const std::lock_guard lock(mutex);
      disconnected = true;
      changed.notify_all();
    });
    const std::lock_guard lock(mutex);
    kept = aSink;
    changed.notify_all();
  };
  http_server server({}, call_api({ .mSubmit = submit }).handler());
  raw_client client(server.port());
  client.send(getRequest("/v1/show"));
  std::unique_lock lock(mutex);
  changed.wait(lock, [&] { return kept.has_value(); });
  client.disconnect();
  changed.wait(lock, [&] { return disconnected; });
}
