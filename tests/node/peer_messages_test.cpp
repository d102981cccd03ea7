#include "endiveusher/platform/messages.h"
#include "order_batch.h"
#include "peer_api.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <variant>

using namespace endiveusher;
using namespace endiveusher::node;
using nlohmann::json;

namespace {

std::string msgpack(const json& aValue)
{
  std::string bytes;
  json::to_msgpack(aValue, bytes);
  return bytes;
}

std::string batchOf(const json& aEpoch, const json& aSentAt = 1)
{
  return msgpack(json::array({ aEpoch, "10.0.0.1:1", aSentAt, json::array() }));
}

std::string helloOf(const json& aAddress, const json& aCores)
{
  return json::array({ aAddress, aCores, false }).dump();
}

std::string adviceOf(const json& aTimeout)
{
  return json::array({ 5, 0, 0, json::array({ "t" }), aTimeout }).dump();
}

constexpr auto kMin = std::numeric_limits<std::int64_t>::min();

} // namespace

/// Requests of other daemons whose numbers are out of range.
TEST_GROUP(peer_messages){};

// Guards against an owner that steps down on the word of a malformed request: a negative epoch
// became the highest one of all.
TEST(peer_messages, anEpochIsInRange)
{
  CHECK_EQUAL(5, decodeEpoch("[5]").value());
  CHECK_FALSE(decodeEpoch("[-1]").ok());
  CHECK_FALSE(decodeEpoch("[1.5]").ok());
  CHECK_FALSE(decodeEpoch("[1e300]").ok());
  CHECK_FALSE(decodeEpoch("[18446744073709551615]").ok());
}

// Guards against a cell without an owner: a relay that had received a malformed batch refused those
// of all owners, which stepped down.
TEST(peer_messages, theEpochOfOrdersAndResultsIsInRange)
{
  CHECK(decodeOrderBatch(batchOf(5)).ok());
  CHECK_FALSE(decodeOrderBatch(batchOf(-1)).ok());
  CHECK_FALSE(decodeOrderBatch(batchOf(1e300)).ok());
  CHECK_FALSE(decodeOrderBatch(batchOf(std::numeric_limits<std::uint64_t>::max())).ok());
  CHECK(decodeOrderResults(msgpack(json::array({ 5, json::array() }))).ok());
  CHECK_FALSE(decodeOrderResults(msgpack(json::array({ -1, json::array() }))).ok());
}

// Guards against a batch of any age that counts as new, because its age overflows.
TEST(peer_messages, theTimeOfABatchIsInRange)
{
  CHECK_FALSE(decodeOrderBatch(batchOf(5, kMin)).ok());
  CHECK_FALSE(decodeOrderBatch(batchOf(5, -1)).ok());
}

// Guards against a call for advice that never ends: libcurl takes 0 for no timeout.
TEST(peer_messages, aCallForAdviceHasATimeout)
{
  CHECK(decodePeerAdvice(adviceOf(1000)).value().mTimeout == std::chrono::milliseconds(1000));
  CHECK_FALSE(decodePeerAdvice(adviceOf(0)).ok());
  CHECK_FALSE(decodePeerAdvice(adviceOf(-5)).ok());
  CHECK_FALSE(decodePeerAdvice(adviceOf(kMin)).ok());
}

// Guards against a relay or helper with any address and size, which gets the orders of all targets.
TEST(peer_messages, aHelloNamesAnAddressAndASize)
{
  CHECK(decodeHello(helloOf("10.0.0.1:80", 0.5)).ok());
  CHECK(decodeHello(helloOf("", 0.0)).ok());
  CHECK_FALSE(decodeHello(helloOf("evil host/path", 0.5)).ok());
  CHECK_FALSE(decodeHello(helloOf("10.0.0.1:80", -1.0)).ok());
  CHECK_FALSE(decodeHello(helloOf("10.0.0.1:80", 1e300)).ok());
}

// Guards against the end of a relay by an order whose texts are no valid UTF-8, and of an owner by
// such a job of the journal.
TEST(peer_messages, ordersWithAnyBytesAreSent)
{
  const order_batch batch{ .mEpoch = 5,
                           .mOwner = "10.0.0.1:1",
                           .mOrders = {
                             { .mNumber = 1,
                               .mOrder = scheduler::start_order{ .mTarget = "t",
                                                                 .mAddress = "10.0.0.2:1",
                                                                 .mRun = 1,
                                                                 .mPayload = "a\xff",
                                                                 .mCheckpoint = "\xc3",
                                                                 .mTicket = "\x80" } } } };
  const auto decoded = decodeOrderBatch(encode(batch));
  CHECK(decoded.ok());
  const auto call =
    platform::encodeStart(std::get<scheduler::start_order>(decoded->mOrders[0].mOrder));
  STRCMP_EQUAL("a\xef\xbf\xbd", json::parse(call.mBody).at("spec").get<std::string>().c_str());
}
