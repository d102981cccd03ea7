#include "endiveusher/edges/exchange_client.h"
#include "endiveusher/protocol/json.h"
#include "tests/clients/result_queue.h"
#include "tests/clients/scripted_server.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::testing;

namespace {

/// Exceeds the response time on a busy machine.
constexpr auto kTimeout = std::chrono::seconds(2);

std::string responseOf(const std::string& aTarget)
{
  return protocol::toJson(exchange_response{ .mTarget = aTarget, .mTargetIncarnation = "i1" });
}

exchange_effect exchangeWith(const scripted_server& aServer, std::uint64_t aId)
{
  return { .mExchangeId = aId, .mAddress = aServer.address(), .mRequest = { .mTarget = "t1" } };
}

} // namespace

TEST_GROUP(exchange_client)
{
  result_queue<edges::exchange_result> mResults;
  edges::exchange_client mClient{ { .mTimeout = kTimeout,
                                    .mQueueLimit = 4,
                                    .mOnResult = [this](edges::exchange_result&& aResult) {
                                      mResults.add(std::move(aResult));
                                    } } };
};

// Guards against exchanges that reuse a permanently unresponsive connection.
TEST(exchange_client, unresponsiveConnectionIsReplacedAfterTheDeadline)
{
  scripted_server server([](const received_request& aRequest) {
    const bool isUnresponsive = aRequest.mConnection == 1 && aRequest.mNumber == 2;
    return scripted_answer{ .mReaction = isUnresponsive ? reaction::silent : reaction::answer,
                            .mBody = responseOf("t1") };
  });
  for (std::uint64_t id = 1; id <= 3; ++id) {
    CHECK(mClient.send(exchangeWith(server, id), 7));
    const auto result = mResults.next();
    CHECK(result.has_value());
    CHECK_EQUAL(id, result->mEvent.mExchangeId);
    CHECK_EQUAL(7, result->mTag);
    CHECK_EQUAL(id != 2, result->mEvent.mResponse.has_value());
  }
  CHECK_EQUAL(2, server.connections());
}

// Guards against several connections to one target: a worker accepts only a few.
TEST(exchange_client, exchangesWithOneTargetShareOneConnection)
{
  scripted_server server(
    [](const received_request&) { return scripted_answer{ .mBody = responseOf("t1") }; });
  for (std::uint64_t id = 1; id <= 4; ++id) {
    CHECK(mClient.send(exchangeWith(server, id), 0));
  }
  for (std::uint64_t id = 1; id <= 4; ++id) {
    const auto result = mResults.next();
    CHECK(result.has_value());
    CHECK_EQUAL(id, result->mEvent.mExchangeId);
    CHECK(result->mEvent.mResponse.has_value());
  }
  CHECK_EQUAL(1, server.connections());
}

// Guards against the table of a new VM at a reused address being mistaken for that of the old VM.
TEST(exchange_client, responseOfAnotherTargetIsDiscarded)
{
  scripted_server server(
    [](const received_request&) { return scripted_answer{ .mBody = responseOf("t2") }; });
  CHECK(mClient.send(exchangeWith(server, 1), 0));
  const auto result = mResults.next();
  CHECK(result.has_value());
  CHECK_FALSE(result->mEvent.mResponse.has_value());
}

// Guards against unbounded memory while a target is unresponsive, and against lost results.
TEST(exchange_client, fullQueueRejectsAndEveryAcceptedExchangeEnds)
{
  scripted_server server(
    [](const received_request&) { return scripted_answer{ .mReaction = reaction::silent }; });
  for (std::uint64_t id = 1; id <= 4; ++id) {
    CHECK(mClient.send(exchangeWith(server, id), 0));
  }
  CHECK_FALSE(mClient.send(exchangeWith(server, 5), 0));
  for (std::uint64_t id = 1; id <= 4; ++id) {
    const auto result = mResults.next();
    CHECK(result.has_value());
    CHECK_FALSE(result->mEvent.mResponse.has_value());
  }
  CHECK_EQUAL(1, mClient.counters().mDropped.load());
}
