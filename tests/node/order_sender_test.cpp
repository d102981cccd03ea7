#include "order_sender.h"
#include "tests/clients/scripted_server.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::testing;
using scheduler::order_outcome;
using std::chrono::milliseconds;

namespace {

constexpr int kMaxPasses = 2000;

} // namespace

/// A target that answers its first request, and closes the connection of the next ones.
TEST_GROUP(order_sender)
{
  std::vector<std::string> received;
  /// Number of requests after the first one whose connection is closed.
  std::size_t closed = 1;
  scripted_server target{ [this](const received_request& aRequest) {
    received.push_back(aRequest.mBody);
    if (received.size() > 1 && received.size() <= 1 + closed) {
      return scripted_answer{ .mReaction = reaction::close };
    }
    return scripted_answer{ .mBody = R"({"wall_clock_ms":5,"born":1,"running":[],"ended":[]})" };
  } };
  edges::http_loop loop;
  event_log log{ "test" };
  order_sender sender{ loop, log };
  std::optional<order_outcome> outcome;

  void heartbeat()
  {
    outcome.reset();
    sender.sendHeartbeat(
      { .mTarget = "t",
        .mAddress = target.address(),
        .mEpoch = 3,
        .mFence = 5,
        .mLeaseUntil = target_time(7000),
        .mStoredEndNumber = 4 },
      [this](order_outcome aOutcome, const scheduler::target_report&) { outcome = aOutcome; });
    for (int pass = 0; pass < kMaxPasses && !outcome; ++pass) {
      loop.run(milliseconds(10));
    }
    CHECK(outcome.has_value());
  }
  void start(const std::string& aAddress)
  {
    outcome.reset();
    sender.sendStart({ .mTarget = "t", .mAddress = aAddress, .mRun = 1 },
                     [this](order_outcome aOutcome) { outcome = aOutcome; });
    for (int pass = 0; pass < kMaxPasses && !outcome; ++pass) {
      loop.run(milliseconds(10));
    }
    CHECK(outcome.has_value());
  }
};

// Guards against a target that is taken for silent because one of its connections has ended, and
// against ends that its next incarnation forgets although nobody has read them.
TEST(order_sender, queriesATargetWhoseConnectionHasEnded)
{
  heartbeat();
  heartbeat();
  CHECK(outcome == order_outcome::accepted);
  LONGS_EQUAL(3, received.size());
  const auto query = nlohmann::json::parse(received[2]);
  LONGS_EQUAL(5, query.at("fence").get<int>());
  LONGS_EQUAL(0, query.at("acked_upto").get<int>());
  CHECK_FALSE(query.contains("deadline_ms"));
  CHECK_FALSE(query.contains("wait_ms"));
}

// Guards against queries that are repeated for as long as a target closes its connections.
TEST(order_sender, queriesOnce)
{
  closed = 10;
  heartbeat();
  heartbeat();
  CHECK(outcome == order_outcome::unanswered);
  LONGS_EQUAL(3, received.size());
}

// Guards against a task that waits for the lease of a run that cannot have begun: no connection to
// its target came about. Once bytes have left, the run may have begun.
TEST(order_sender, tellsAnOrderThatHasNotLeftFromOneWithoutAnAnswer)
{
  const auto address = target.address();
  start(address);
  CHECK(outcome == order_outcome::accepted);
  start(address);
  CHECK(outcome == order_outcome::unanswered);
  const std::string closedPort = [] {
    const scripted_server other([](const received_request&) { return scripted_answer{}; });
    return other.address();
  }();
  start(closedPort);
  CHECK(outcome == order_outcome::unreachable);
}
