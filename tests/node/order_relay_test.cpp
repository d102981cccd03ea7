#include "order_relay.h"

#include "endiveusher/edges/http_server.h"
#include "manual_clock.h"
#include "order_router.h"
#include "peer_api.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;
using std::chrono::milliseconds;

namespace {

/// An HTTP server that counts the requests for each path and answers them with a status.
class counting_server
{
public:
  std::string address() const { return "127.0.0.1:" + std::to_string(mServer.port()); }
  int count(const std::string& aPath)
  {
    const std::lock_guard lock(mMutex);
    return mCounts[aPath];
  }
  void setStatus(std::uint16_t aStatus)
  {
    const std::lock_guard lock(mMutex);
    mStatus = aStatus;
  }

private:
  std::mutex mMutex;
  std::map<std::string, int> mCounts;
  std::uint16_t mStatus = 200;
  edges::http_server mServer{
    {},
    [this](const edges::http_request& aRequest, const edges::responder& aResponder) {
      const std::lock_guard lock(mMutex);
      ++mCounts[aRequest.mPath];
      aResponder.answer({ .mStatus = mStatus, .mBody = R"({"wall_clock_ms":1})" });
    }
  };
};

constexpr const char* kStartPath = "/run-start";

} // namespace

/// A relay, an owner that receives its results, and a target.
TEST_GROUP(order_relay)
{
  manual_clock time;
  edges::http_loop loop;
  event_log log{ "test" };
  order_sender sender{ loop, log };
  counting_server target;
  counting_server owner;
  order_relay* relay = nullptr;

  void setup() override
  {
    relay = new order_relay(loop, time, sender, log);
  }
  void teardown() override
  {
    delete relay;
  }

  milliseconds ownTime() const
  {
    return std::chrono::duration_cast<milliseconds>(time.mNow.time_since_epoch());
  }
  order_batch batch(std::uint64_t aEpoch, milliseconds aSentAt)
  {
    return { .mEpoch = aEpoch,
             .mOwner = owner.address(),
             .mSentAt = aSentAt,
             .mOrders = { { .mNumber = 1,
                            .mOrder = scheduler::start_order{ .mTarget = "t",
                                                              .mAddress = target.address(),
                                                              .mRun = 1,
                                                              .mEpoch = aEpoch } } } };
  }
  bool runUntil(const std::function<bool()>& aDone)
  {
    for (int turn = 0; turn < 2000 && !aDone(); ++turn) {
      relay->tick(time.mNow);
      loop.run(milliseconds(1));
    }
    return aDone();
  }
};

TEST(order_relay, sendsOrdersAndReportsTheirResults)
{
  relay->setOwnerClock(owner.address(), ownTime(), time.mNow);
  CHECK(relay->onBatch(batch(3, ownTime())) == order_relay::reception::accepted);
  CHECK(runUntil([this] { return owner.count(std::string(kPeerResultsPath)) == 1; }));
  CHECK_EQUAL(1, target.count(kStartPath));
}

// Guards against a relay that was paused and then carries out orders that the owner has given up:
// the tasks may run elsewhere by then. The batch waited in its connection, so that only the clocks
// show its age.
TEST(order_relay, dropsABatchThatItReceivesAfterAPause)
{
  relay->setOwnerClock(owner.address(), ownTime(), time.mNow);
  auto late = batch(3, ownTime());
  time.mNow += order_relay::kMaxBatchAge + milliseconds(1);
  CHECK(relay->onBatch(std::move(late)) == order_relay::reception::outdated);
  CHECK(relay->onBatch(batch(3, ownTime())) == order_relay::reception::accepted);
}

// The same for a pause between the acceptance of the batch and the calls to the targets.
TEST(order_relay, sendsNoStartOfABatchThatHasBecomeTooOld)
{
  relay->setOwnerClock(owner.address(), ownTime(), time.mNow);
  CHECK(relay->onBatch(batch(3, ownTime())) == order_relay::reception::accepted);
  time.mNow += order_relay::kMaxBatchAge + milliseconds(1);
  CHECK(runUntil([this] { return owner.count(std::string(kPeerResultsPath)) == 1; }));
  CHECK_EQUAL(0, target.count(kStartPath));
}

TEST(order_relay, sendsNoStartOfAnEpochThatHasEnded)
{
  relay->setOwnerClock(owner.address(), ownTime(), time.mNow);
  CHECK(relay->onBatch(batch(3, ownTime())) == order_relay::reception::accepted);
  relay->setEpoch(4);
  CHECK_FALSE(runUntil([this] { return target.count(kStartPath) > 0; }));
}

// Guards against a batch whose age is not known: the owner's clock has another origin.
TEST(order_relay, dropsABatchOfAnOwnerWhoseClockItDoesNotKnow)
{
  CHECK(relay->onBatch(batch(3, ownTime())) == order_relay::reception::outdated);
  relay->setOwnerClock("10.0.0.9:1", ownTime(), time.mNow);
  CHECK(relay->onBatch(batch(3, ownTime())) == order_relay::reception::outdated);
}

// Guards against orders that go out twice around a change of the owner: the former one, which does
// not know of it yet, still sends batches.
TEST(order_relay, dropsBatchesOfALowerEpoch)
{
  relay->setOwnerClock(owner.address(), ownTime(), time.mNow);
  relay->setEpoch(4);
  CHECK(relay->onBatch(batch(3, ownTime())) == order_relay::reception::superseded);
  CHECK(relay->onBatch(batch(4, ownTime())) == order_relay::reception::accepted);
}

// Guards against results that are lost with the answer of the owner; it ignores those that it has.
TEST(order_relay, repeatsResultsThatTheOwnerDoesNotConfirm)
{
  relay->setOwnerClock(owner.address(), ownTime(), time.mNow);
  owner.setStatus(503);
  CHECK(relay->onBatch(batch(3, ownTime())) == order_relay::reception::accepted);
  CHECK(runUntil([this] {
    time.mNow += milliseconds(1);
    return owner.count(std::string(kPeerResultsPath)) >= 2;
  }));
  CHECK_EQUAL(1, target.count(kStartPath));
}

/// An owner of more targets than it calls itself, with one relay.
TEST_GROUP(order_router)
{
  manual_clock time;
  edges::http_loop loop;
  event_log log{ "test" };
  order_sender sender{ loop, log };
  counting_server target;
  counting_server relay;
  order_router* router = nullptr;
  std::vector<scheduler::order_outcome> outcomes;

  void setup() override
  {
    router =
      new order_router(loop, time, sender, log, { .mAddress = "127.0.0.1:1", .mCores = 0.5 });
    router->begin(3);
    setTargets(1100);
  }
  void teardown() override
  {
    delete router;
  }

  void setTargets(std::size_t aTargets)
  {
    router->setCell({}, aTargets, { { .mAddress = relay.address(), .mCores = 0.5 } }, time.mNow);
  }
  void start()
  {
    router->sendStart({ .mTarget = "t", .mAddress = target.address(), .mRun = 1, .mEpoch = 3 },
                      [this](scheduler::order_outcome aOutcome) { outcomes.push_back(aOutcome); });
  }
  bool runUntil(const std::function<bool()>& aDone, bool aMayAct = true)
  {
    for (int turn = 0; turn < 2000 && !aDone(); ++turn) {
      router->tick(time.mNow, aMayAct);
      loop.run(milliseconds(1));
    }
    return aDone();
  }
  int batches()
  {
    return relay.count(std::string(kPeerOrdersPath));
  }
};

TEST(order_router, sendsOrdersThroughARelayAndReportsResultsOnce)
{
  start();
  CHECK(runUntil([this] { return batches() == 1; }));
  CHECK_EQUAL(0, target.count(kStartPath));
  const order_results results{
    .mEpoch = 3, .mResults = { { .mNumber = 1, .mOutcome = scheduler::order_outcome::accepted } }
  };
  router->onResults(results);
  router->onResults(results);
  CHECK_EQUAL(1, outcomes.size());
}

TEST(order_router, ordersOfASmallCellAreSentDirectly)
{
  setTargets(48);
  start();
  CHECK(runUntil([this] { return target.count(kStartPath) == 1; }));
  CHECK_EQUAL(0, batches());
}

// Guards against orders that the owner decided before it was paused: its ownership may have ended
// meanwhile.
TEST(order_router, keepsOrdersWhileTheOwnerMayNotAct)
{
  start();
  CHECK_FALSE(runUntil([this] { return batches() > 0; }, false));
  time.mNow += std::chrono::seconds(5);
  CHECK_FALSE(runUntil([this] { return batches() > 0; }));
  CHECK_EQUAL(1, outcomes.size());
  CHECK(outcomes[0] == scheduler::order_outcome::unanswered);
}

// The same where the owner calls the targets itself: a reply that waited through the pause makes it
// send orders before it checks its ownership.
TEST(order_router, keepsDirectOrdersWhileTheOwnerMayNotAct)
{
  bool mayAct = false;
  router->setPermission([&mayAct] { return mayAct; });
  setTargets(48);
  start();
  CHECK_FALSE(runUntil([this] { return target.count(kStartPath) > 0; }, false));
  time.mNow += std::chrono::seconds(5);
  CHECK(runUntil([this] { return outcomes.size() == 1; }, false));
  CHECK(outcomes[0] == scheduler::order_outcome::unanswered);
  mayAct = true;
  CHECK_FALSE(runUntil([this] { return target.count(kStartPath) > 0; }));
}

TEST(order_router, sendsDirectOrdersOnceTheOwnerMayActAgain)
{
  bool mayAct = false;
  router->setPermission([&mayAct] { return mayAct; });
  setTargets(48);
  start();
  router->tick(time.mNow, false);
  mayAct = true;
  CHECK(runUntil([this] { return outcomes.size() == 1; }));
  CHECK_EQUAL(1, target.count(kStartPath));
  CHECK(outcomes[0] == scheduler::order_outcome::accepted);
}

// Guards against starts that are sent only to be rejected: their tickets have expired in the queue.
TEST(order_router, returnsAStartWhoseTicketHasExpiredInTheQueue)
{
  const auto expiry = time.mNow + milliseconds(100);
  router->sendStart(
    { .mTarget = "t", .mAddress = target.address(), .mEpoch = 3, .mTicketExpiry = expiry },
    [this](scheduler::order_outcome aOutcome) { outcomes.push_back(aOutcome); });
  time.mNow = expiry;
  CHECK(runUntil([this] { return outcomes.size() == 1; }));
  CHECK(outcomes[0] == scheduler::order_outcome::not_sent);
  CHECK_EQUAL(0, batches());
  CHECK_EQUAL(0, router->openOrders());
}

// Guards against starts of jobs that were cancelled while the owner was paused, or while it did not
// read: they were decided before.
TEST(order_router, returnsQueuedStartsThatAreNotPermittedAnyMore)
{
  start();
  router->setStartPermission([] { return false; });
  CHECK(runUntil([this] { return outcomes.size() == 1; }));
  CHECK(outcomes[0] == scheduler::order_outcome::not_sent);
  CHECK_EQUAL(0, batches());
}

TEST(order_router, returnsKeptStartsThatAreNotPermittedAnyMore)
{
  bool mayAct = false;
  router->setPermission([&mayAct] { return mayAct; });
  router->setStartPermission([] { return false; });
  setTargets(48);
  start();
  router->tick(time.mNow, false);
  CHECK_EQUAL(0, outcomes.size());
  mayAct = true;
  CHECK(runUntil([this] { return outcomes.size() == 1; }));
  CHECK(outcomes[0] == scheduler::order_outcome::not_sent);
  CHECK_EQUAL(0, target.count(kStartPath));
}

// Guards against a pause between the decision and the call: the owner plans in between.
TEST(order_router, sendsNoStartThatIsNotPermittedAnyMoreWhenItIsSent)
{
  bool mayStart = true;
  router->setStartPermission([&mayStart] { return mayStart; });
  setTargets(48);
  start();
  mayStart = false;
  CHECK(runUntil([this] { return outcomes.size() == 1; }));
  CHECK(outcomes[0] == scheduler::order_outcome::not_sent);
  CHECK_EQUAL(0, target.count(kStartPath));
}

// Guards against an owner that acts on beside its successor until a target rejects its epoch.
TEST(order_router, learnsFromARelayThatItIsSuperseded)
{
  relay.setStatus(kSupersededStatus);
  start();
  CHECK(runUntil([this] { return router->superseded(); }));
  CHECK(outcomes[0] == scheduler::order_outcome::unanswered);
}

// Guards against targets whose heartbeats depend on a relay that has ended.
TEST(order_router, sendsDirectlyIfTheOnlyRelayIsLost)
{
  relay.setStatus(500);
  start();
  CHECK(runUntil([this] { return outcomes.size() == 1; }));
  start();
  CHECK(runUntil([this] { return target.count(kStartPath) == 1; }));
}

// Guards against work that is taken for lost although its target lives: a relay or an owner that is
// behind delays the reply to a heartbeat beyond its time.
TEST(order_router, aTargetsReportIsPassedOnAlsoWhenItIsLate)
{
  std::vector<std::uint64_t> ends;
  router->sendHeartbeat(
    { .mTarget = "t", .mAddress = target.address(), .mEpoch = 3 },
    [&](scheduler::order_outcome aOutcome, const scheduler::target_report& aReport) {
      outcomes.push_back(aOutcome);
      ends.push_back(aReport.mEnded.empty() ? 0 : aReport.mEnded[0].mNumber);
    });
  CHECK(runUntil([this] { return batches() == 1; }));
  time.mNow += std::chrono::seconds(5);
  CHECK(runUntil([this] { return outcomes.size() == 1; }));
  CHECK_EQUAL(0, router->openOrders());
  const order_results results{
    .mEpoch = 3,
    .mResults = { { .mNumber = 1,
                    .mOutcome = scheduler::order_outcome::accepted,
                    .mReport = scheduler::target_report{ .mEnded = { { .mNumber = 9 } } } } }
  };
  router->onResults(results);
  router->onResults(results);
  CHECK_EQUAL(2, outcomes.size());
  CHECK(outcomes[0] == scheduler::order_outcome::unreported);
  CHECK(outcomes[1] == scheduler::order_outcome::accepted);
  CHECK_EQUAL(9, ends[1]);
}

TEST(order_router, forgetsAHeartbeatWhoseReportDoesNotCome)
{
  router->sendHeartbeat({ .mTarget = "t", .mAddress = target.address(), .mEpoch = 3 },
                        [this](scheduler::order_outcome aOutcome, const scheduler::target_report&) {
                          outcomes.push_back(aOutcome);
                        });
  CHECK(runUntil([this] { return batches() == 1; }));
  time.mNow += std::chrono::seconds(5);
  router->tick(time.mNow, true);
  time.mNow += std::chrono::seconds(60);
  router->tick(time.mNow, true);
  router->onResults(
    { .mEpoch = 3,
      .mResults = { { .mNumber = 1, .mOutcome = scheduler::order_outcome::accepted } } });
  CHECK_EQUAL(1, outcomes.size());
}

TEST_GROUP(relay_set){ static std::vector<relay_candidate> candidates(int aCount, double aCores){
  std::vector<relay_candidate> found;
for (int index = 0; index < aCount; ++index) {
  found.push_back({ .mAddress = "r" + std::to_string(index), .mCores = aCores });
}
return found;
}
static std::map<std::string, std::string> assignments(const relay_set& aRelays)
{
  std::map<std::string, std::string> found;
  for (int index = 0; index < 1100; ++index) {
    const auto id = "t" + std::to_string(index);
    found[id] = *aRelays.relayOf(id);
  }
  return found;
}
}
;

// Guards against a relay that gets most of the targets.
TEST(relay_set, spreadsTheTargetsOverAsManyRelaysAsTheyNeed)
{
  relay_set relays;
  relays.set(1100, candidates(14, 0.5), {});
  std::map<std::string, int> counts;
  for (const auto& [id, relay] : assignments(relays)) {
    ++counts[relay];
  }
  CHECK(counts.size() > 4 && counts.size() < 14);
  for (const auto& [relay, count] : counts) {
    CHECK(count < 2 * 1100 / static_cast<int>(counts.size()));
  }
}

// Guards against connections of all targets that are opened anew when one relay is lost.
TEST(relay_set, theLossOfARelayMovesOnlyItsTargets)
{
  relay_set relays;
  relays.set(1100, candidates(7, 0.5), {});
  const auto before = assignments(relays);
  relays.exclude("r3", {});
  relays.set(1100, candidates(7, 0.5), time_point(std::chrono::seconds(1)));
  for (const auto& [id, relay] : assignments(relays)) {
    CHECK(relay == before.at(id) || before.at(id) == "r3");
    CHECK(relay != "r3");
  }
}

// Guards against a large cell whose owner has only small VMs to help it.
TEST(relay_set, usesMoreOfSmallerRelays)
{
  relay_set large;
  large.set(1100, candidates(100, 0.5), {});
  relay_set small;
  small.set(1100, candidates(100, 0.12), {});
  CHECK(small.size() > 3 * large.size());
}

TEST_GROUP(order_batch){};

TEST(order_batch, restoresOrders)
{
  const scheduler::task_key task{
    .mStep = { .mJob = static_cast<scheduler::job_id>(7), .mOccurrence = 1, .mStep = 2 },
    .mIndex = 3
  };
  const scheduler::start_order start{ .mTarget = "t",
                                      .mAddress = "a:1",
                                      .mTask = task,
                                      .mRun = 4,
                                      .mPayload = std::string("x\0\xff", 3),
                                      .mLeaseUntil = target_time(5000),
                                      .mEpoch = 9,
                                      .mFence = 14,
                                      .mCheckpoint = "c",
                                      .mTicket = "k" };
  order_batch batch{ .mEpoch = 9, .mOwner = "o:1", .mSentAt = milliseconds(77) };
  batch.mOrders.push_back({ .mNumber = 1, .mOrder = start });
  batch.mOrders.push_back({ .mNumber = 2, .mOrder = start });
  batch.mOrders.push_back({ .mNumber = 3,
                            .mOrder = scheduler::heartbeat_order{ .mTarget = "t",
                                                                  .mAddress = "a:1",
                                                                  .mEpoch = 9,
                                                                  .mFence = 15,
                                                                  .mLeaseUntil = target_time(8),
                                                                  .mStoredEndNumber = 12,
                                                                  .mWait = milliseconds(1000) } });
  batch.mOrders.push_back(
    { .mNumber = 4,
      .mOrder = scheduler::stop_order{
        .mTarget = "t", .mAddress = "a:1", .mTask = task, .mRun = 4, .mFence = 16 } });
  const auto decoded = decodeOrderBatch(encode(batch));
  CHECK(decoded.ok());
  CHECK(decoded->mSentAt == batch.mSentAt);
  CHECK_EQUAL(4, decoded->mOrders.size());
  const auto& second = std::get<scheduler::start_order>(decoded->mOrders[1].mOrder);
  CHECK(second.mPayload == start.mPayload);
  CHECK(second.mTask == task);
  CHECK(second.mLeaseUntil == start.mLeaseUntil);
  CHECK_EQUAL("k", second.mTicket);
  CHECK_EQUAL(9, second.mEpoch);
  CHECK_EQUAL(14, second.mFence);
  const auto& heartbeat = std::get<scheduler::heartbeat_order>(decoded->mOrders[2].mOrder);
  CHECK(heartbeat.mLeaseUntil == target_time(8));
  CHECK_EQUAL(12, heartbeat.mStoredEndNumber);
  CHECK_EQUAL(15, heartbeat.mFence);
  const auto& stop = std::get<scheduler::stop_order>(decoded->mOrders[3].mOrder);
  CHECK(stop.mTask == task);
  CHECK_EQUAL(16, stop.mFence);
}

TEST(order_batch, restoresResults)
{
  const scheduler::target_report report{
    .mClock = target_time(5),
    .mIncarnationStart = 6,
    .mRunning = { { .mRun = 2, .mCheckpoint = "c" } },
    .mEnded = { { .mNumber = 8, .mRun = 3, .mOutcome = scheduler::reported_end::gang_incomplete } }
  };
  const auto decoded = decodeOrderResults(encode(order_results{
    .mEpoch = 3,
    .mResults = {
      { .mNumber = 4, .mOutcome = scheduler::order_outcome::accepted, .mReport = report },
      { .mNumber = 5 } } }));
  CHECK(decoded.ok());
  CHECK_EQUAL(2, decoded->mResults.size());
  CHECK(decoded->mResults[0].mReport->mEnded[0].mOutcome ==
        scheduler::reported_end::gang_incomplete);
  CHECK_EQUAL("c", decoded->mResults[0].mReport->mRunning[0].mCheckpoint);
  CHECK_FALSE(decoded->mResults[1].mReport.has_value());
  CHECK(decoded->mResults[1].mOutcome == scheduler::order_outcome::unanswered);
}

// Guards against numbers that wrap around, so that a message names another run or epoch.
TEST(order_batch, numbersOutOfRangeAreRejected)
{
  using nlohmann::json;
  const auto toBytes = [](const json& aValue) {
    std::string bytes;
    json::to_msgpack(aValue, bytes);
    return bytes;
  };
  const auto stop = [&](const json& aTask, const json& aRun, const json& aNumber = 1,
                        const json& aFence = 3) {
    const auto order = json::array({ 2, "t", "a:1", aTask, aRun, aFence });
    return toBytes(json::array({ 3, "o:1", 77, json::array({ json::array({ aNumber, order }) }) }));
  };
  CHECK(decodeOrderBatch(stop({ 7, 0, 1, 2 }, 1)).ok());
  CHECK_FALSE(decodeOrderBatch(stop({ 7, 0, 1, 0x100000002 }, 1)).ok());
  CHECK_FALSE(decodeOrderBatch(stop({ 7, 0, 1, 2 }, -1)).ok());
  CHECK_FALSE(decodeOrderBatch(stop({ 7, 0, 1, 2 }, 1.5)).ok());
  CHECK_FALSE(decodeOrderBatch(stop({ 7, 0, 1, 2 }, 1, -1)).ok());
  CHECK_FALSE(decodeOrderBatch(stop({ 7, 0, 1, 2 }, true)).ok());
  CHECK_FALSE(decodeOrderBatch(stop({ 7, 0, 1, 2 }, 1, 1, -1)).ok());
  CHECK_FALSE(decodeOrderBatch(stop({ 7, 0, 1, 2 }, 1, 1, 0x80000000)).ok());
  const auto result = [&](const json& aClock, const json& aBorn, const json& aEnd) {
    const auto ended = json::array({ json::array({ aEnd, { 7, 0, 1, 2 }, 1, 0, "" }) });
    const auto report = json::array({ aClock, aBorn, json::array(), ended });
    return toBytes(json::array({ 3, json::array({ json::array({ 4, 0, report }) }) }));
  };
  CHECK(decodeOrderResults(result(5, 6, 8)).ok());
  CHECK_FALSE(decodeOrderResults(result(0x7fffffffffffffff, 6, 8)).ok());
  CHECK_FALSE(decodeOrderResults(result(5, -6, 8)).ok());
  CHECK_FALSE(decodeOrderResults(result(5, 6, 0xffffffffffffffff)).ok());
  CHECK_FALSE(
    decodeOrderResults(toBytes(json::array({ 3, json::array({ json::array({ 4, 2.5 }) }) }))).ok());
}

// Guards against a daemon that ends because of a malformed message on its port.
TEST(order_batch, malformedOnesAreRejected)
{
  const std::string deep = std::string(100'000, '\x91') + '\x01';
  for (const auto& bytes : { std::string(), std::string("\x93\x01\x02\x03"), deep }) {
    CHECK_FALSE(decodeOrderBatch(bytes).ok());
    CHECK_FALSE(decodeOrderResults(bytes).ok());
  }
  CHECK_FALSE(decodeHello(std::string(100'000, '[')).ok());
  CHECK_FALSE(decodeHelloReply("0").ok());
  // An outcome that does not exist.
  CHECK_FALSE(decodeOrderResults("\x92\x01\x91\x92\x01\x63").ok());
}
