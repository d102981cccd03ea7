#include "endiveusher/edges/http_client.h"
#include "endiveusher/edges/http_server.h"
#include "endiveusher/edges/url.h"
#include "tests/clients/scripted_server.h"

#include <atomic>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace endiveusher::edges;
using namespace endiveusher::testing;

namespace {

std::string addressOf(const http_server& aServer)
{
  return "127.0.0.1:" + std::to_string(aServer.port());
}

} // namespace

TEST_GROUP(http_client){};

// Guards against truncated requests and responses.
TEST(http_client, transfersCompleteBodies)
{
  http_server server({}, [](const http_request& aRequest, const responder& aResponder) {
    aResponder.answer(
      { .mStatus = 202,
        .mBody = aRequest.mMethod + aRequest.mPath + aRequest.mBearer + aRequest.mBody });
  });
  http_client client;
  const std::string body(300'000, 'b');
  for (int i = 0; i < 3; ++i) {
    const auto response = client.perform({ .mMethod = "POST",
                                           .mAddress = addressOf(server),
                                           .mPath = "/p",
                                           .mBody = body,
                                           .mBearer = "k" });
    CHECK_TEXT(response.ok(), response.status().ToString().c_str());
    LONGS_EQUAL(202, response->mStatus);
    CHECK(response->mBody == "POST/pk" + body);
  }
}

// Guards against UNAVAILABLE ("not sent") for a request that the server may have processed.
TEST(http_client, distinguishesUnsentFromUnknownOutcome)
{
  http_client client;
  std::string address;
  {
    http_server server({},
                       [](const http_request& /*aRequest*/, const responder& /*aResponder*/) {});
    address = addressOf(server);
    std::vector<responder> held;
    http_server silent({}, [&held](const http_request& /*aRequest*/, const responder& aResponder) {
      held.push_back(aResponder);
    });
    const auto late = client.perform(
      { .mAddress = addressOf(silent), .mPath = "/", .mTimeout = std::chrono::milliseconds(200) });
    CHECK_TEXT(absl::IsDeadlineExceeded(late.status()), late.status().ToString().c_str());
    silent.stop();
  }
  const auto refused = client.perform({ .mAddress = address, .mPath = "/" });
  CHECK_TEXT(absl::IsUnavailable(refused.status()), refused.status().ToString().c_str());
  CHECK(std::string(refused.status().message()).find(address) != std::string::npos);
}

// Guards against ids with reserved characters that change the path.
// Guards against a request that was carried out and is reported with the answer to a second copy.
TEST(http_client, sendsOneCopyOfARequestWithEffects)
{
  std::atomic<int> received = 0;
  scripted_server server([&received](const received_request& /*aRequest*/) {
    ++received;
    return scripted_answer{ .mReaction = received == 2 ? reaction::close : reaction::answer,
                            .mStatus = received == 1 ? 200 : 503 };
  });
  http_client client;
  CHECK(client.perform({ .mAddress = server.address(), .mPath = "/first" }).ok());
  const auto response = client.perform(
    { .mMethod = "POST", .mAddress = server.address(), .mPath = "/job", .mBody = "job" });
  CHECK_TEXT(absl::IsUnknown(response.status()), response.status().ToString().c_str());
  LONGS_EQUAL(2, received);
}

TEST(http_client, percentEncodingIsReversible)
{
  std::string all;
  for (int byte = 0; byte < 256; ++byte) {
    all += static_cast<char>(byte);
  }
  CHECK(percentDecode(percentEncode(all)) == all);
  STRCMP_EQUAL("a%2Fb%3F", percentEncode("a/b?").c_str());
  CHECK_FALSE(percentDecode("%4").has_value());
  CHECK_FALSE(percentDecode("%").has_value());
  CHECK_FALSE(percentDecode("%G1").has_value());
}
