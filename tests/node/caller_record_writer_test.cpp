#include "caller_record_writer.h"
#include "peer_api.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

#include <mutex>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;
using namespace endiveusher::scheduler;
using std::chrono::milliseconds;

namespace {

/// An owner that answers hellos at once, and forwarded records only after release().
class delaying_owner
{
public:
  std::string address() const { return "127.0.0.1:" + std::to_string(mServer.port()); }

  std::size_t records()
  {
    const std::lock_guard lock(mMutex);
    return mRecords;
  }
  std::size_t mostOpen()
  {
    const std::lock_guard lock(mMutex);
    return mMostOpen;
  }
  /// Answers all delayed and later calls with aResult for each of their records.
  void release(char aResult)
  {
    const std::lock_guard lock(mMutex);
    mResult = aResult;
    mDelays = false;
    for (const auto& [responder, count] : mDelayed) {
      responder.answer({ .mBody = std::string(count, aResult) });
    }
    mDelayed.clear();
  }

private:
  void serve(const edges::http_request& aRequest, const edges::responder& aResponder)
  {
    if (aRequest.mPath == kPeerHelloPath) {
      aResponder.answer({ .mBody = "0" });
      return;
    }
    const std::lock_guard lock(mMutex);
    const auto records = decodeForwardedRecords(aRequest.mBody);
    const auto count = records.ok() ? records->size() : 0;
    mRecords += count;
    if (mDelays) {
      mDelayed.emplace_back(aResponder, count);
      mMostOpen = std::max(mMostOpen, mDelayed.size());
    } else {
      aResponder.answer({ .mBody = std::string(count, mResult) });
    }
  }

  std::mutex mMutex;
  bool mDelays = true;
  char mResult = 's';
  std::size_t mRecords = 0;
  std::size_t mMostOpen = 0;
  std::vector<std::pair<edges::responder, std::size_t>> mDelayed;
  edges::http_server mServer{ {},
                              [this](edges::http_request aRequest, edges::responder aResponder) {
                                serve(aRequest, aResponder);
                              } };
};

} // namespace

TEST_GROUP(caller_record_writer)
{
  store_fixture* store = nullptr;
  delaying_owner* owner = nullptr;
  event_log* log = nullptr;
  owner_client* ownerClient = nullptr;
  journal_writer* writer = nullptr;
  caller_record_writer* recordWriter = nullptr;
  std::vector<write_outcome> outcomes;
  std::vector<std::chrono::seconds> retryAfters;

  void setup() override
  {
    store = new store_fixture;
    owner = new delaying_owner;
    log = new event_log("test");
    ownerClient = new owner_client(store->mLoop, store->mClock, { .mAddress = "127.0.0.1:1" });
    writer =
      new journal_writer(store->mStore, store->mClock, { .mTopic = "journal", .mProducer = "d" });
    recordWriter = new caller_record_writer(
      store->mClock, store->mStore, *ownerClient, *writer, *log,
      [](const journal_record&, const caller_record_writer::done_callback&) { return false; });
    ownerClient->setOwner(owner->address());
    CHECK(runUntil([this] { return ownerClient->reachable(store->mClock.now()); }));
  }
  void teardown() override
  {
    delete owner;
    delete store;
    delete recordWriter;
    delete writer;
    delete ownerClient;
    delete log;
  }

  bool runUntil(const std::function<bool()>& aReady)
  {
    return store->runUntil(aReady, [this] {
      ownerClient->tick(store->mClock.now());
      recordWriter->tick(store->mClock.now());
      writer->tick(store->mClock.now());
    });
  }
  void forward(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      recordWriter->store(job_cancelled{ .mJob = static_cast<job_id>(i + 1) },
                          [this](caller_outcome aOutcome) {
                            outcomes.push_back(aOutcome);
                            retryAfters.push_back(aOutcome.mRetryAfter);
                          });
    }
  }
  std::size_t stored()
  {
    return store->mModel.end("journal");
  }
};

// Load pattern: a burst of records arrives while the owner waits for a slow store. Guards against
// records that use all connections to the owner, so that hellos are unanswered and it counts as
// lost.
TEST(caller_record_writer, forwardsManyRecordsInFewCalls)
{
  forward(50);
  CHECK(runUntil([this] { return owner->records() == 50; }));
  CHECK(owner->mostOpen() <= 6);
  CHECK(ownerClient->reachable(store->mClock.now()));
  owner->release('s');
  CHECK(runUntil([this] { return outcomes.size() == 50; }));
  CHECK_EQUAL(50, std::ranges::count(outcomes, write_outcome::stored));
  CHECK_EQUAL(0, stored());
}

// Guards against records that are lost, or reported as stored, although the owner refused them.
TEST(caller_record_writer, appendsDirectlyWhatTheOwnerHasRefused)
{
  forward(3);
  CHECK(runUntil([this] { return owner->records() == 3; }));
  owner->release('r');
  CHECK(runUntil([this] { return outcomes.size() == 3; }));
  CHECK_EQUAL(3, std::ranges::count(outcomes, write_outcome::stored));
  CHECK_EQUAL(3, stored());
}

// Load pattern: the owner is behind and accepts no further job of a team. Guards against jobs that
// reach it all the same, through the journal.
TEST(caller_record_writer, appendsNothingThatAnOverloadedOwnerTurnsAway)
{
  forward(3);
  CHECK(runUntil([this] { return owner->records() == 3; }));
  owner->release('o');
  CHECK(runUntil([this] { return outcomes.size() == 3; }));
  CHECK_EQUAL(3, std::ranges::count(outcomes, write_outcome::overloaded));
  CHECK_EQUAL(0, stored());
}

// The same with the time after which the owner could accept it.
TEST(caller_record_writer, passesOnWhenTheOwnerCouldAcceptAJob)
{
  forward(3);
  CHECK(runUntil([this] { return owner->records() == 3; }));
  owner->release(encodeRetryAfter(std::chrono::seconds(7)));
  CHECK(runUntil([this] { return outcomes.size() == 3; }));
  CHECK_EQUAL(3, std::ranges::count(outcomes, write_outcome::overloaded));
  CHECK_EQUAL(3, std::ranges::count(retryAfters, std::chrono::seconds(7)));
  CHECK_EQUAL(0, stored());
}

// Guards against a record that is reported as refused although the owner may have stored it.
TEST(caller_record_writer, reportsNoRefusalIfTheOwnerMayHaveStored)
{
  forward(2);
  CHECK(runUntil([this] { return owner->records() == 2; }));
  store->mRefuse = 2;
  owner->release('u');
  CHECK(runUntil([this] { return outcomes.size() == 2; }));
  CHECK_EQUAL(0, std::ranges::count(outcomes, write_outcome::refused));
}

// Guards against records that wait for a former owner, which may be frozen, until their callers'
// timeouts. Load pattern: the store is slow, so that nothing is appended directly after a second.
TEST(caller_record_writer, forwardsToTheNewOwnerWhatTheFormerOneHasNotAnswered)
{
  forward(3);
  CHECK(runUntil([this] { return owner->records() == 3; }));
  delaying_owner newOwner;
  newOwner.release('s');
  ownerClient->setOwner(newOwner.address());
  const auto since = store->mClock.now();
  // The new owner's first reply may arrive before the next tick.
  CHECK(store->runUntil([this] { return ownerClient->reachable(store->mClock.now()); },
                        [this] { ownerClient->tick(store->mClock.now()); }));
  CHECK(runUntil([this] { return outcomes.size() == 3; }));
  CHECK(store->mClock.now() - since < milliseconds(900));
  CHECK_EQUAL(3, std::ranges::count(outcomes, write_outcome::stored));
  CHECK_EQUAL(3, newOwner.records());
}

// Guards against a record that is reported as refused by the new owner although the former owner
// may have stored it.
TEST(caller_record_writer, reportsNoRefusalIfTheFormerOwnerMayHaveStored)
{
  forward(2);
  CHECK(runUntil([this] { return owner->records() == 2; }));
  delaying_owner newOwner;
  newOwner.release('r');
  ownerClient->setOwner(newOwner.address());
  CHECK(store->runUntil([this] { return ownerClient->reachable(store->mClock.now()); },
                        [this] { ownerClient->tick(store->mClock.now()); }));
  store->mRefuse = 2;
  CHECK(runUntil([this] { return outcomes.size() == 2; }));
  CHECK_EQUAL(0, std::ranges::count(outcomes, write_outcome::refused));
}

// The same for a new owner that is overloaded.
TEST(caller_record_writer, reportsNoOverloadIfTheFormerOwnerMayHaveStored)
{
  forward(2);
  CHECK(runUntil([this] { return owner->records() == 2; }));
  delaying_owner newOwner;
  newOwner.release('o');
  ownerClient->setOwner(newOwner.address());
  CHECK(store->runUntil([this] { return ownerClient->reachable(store->mClock.now()); },
                        [this] { ownerClient->tick(store->mClock.now()); }));
  CHECK(runUntil([this] { return outcomes.size() == 2; }));
  CHECK_EQUAL(2, std::ranges::count(outcomes, write_outcome::unknown));
}

// Guards against a late answer of the former owner that takes back a record that the new owner has
// been sent.
TEST(caller_record_writer, acceptsOnlyAStoredResultFromAFormerOwner)
{
  forward(2);
  CHECK(runUntil([this] { return owner->records() == 2; }));
  delaying_owner newOwner;
  ownerClient->setOwner(newOwner.address());
  CHECK(store->runUntil([this] { return ownerClient->reachable(store->mClock.now()); },
                        [this] { ownerClient->tick(store->mClock.now()); }));
  CHECK(runUntil([&newOwner] { return newOwner.records() == 2; }));
  owner->release('u');
  int turns = 0;
  CHECK(runUntil([&turns] { return ++turns > 100; }));
  CHECK_EQUAL(0, outcomes.size());
  newOwner.release('s');
  CHECK(runUntil([this] { return outcomes.size() == 2; }));
  CHECK_EQUAL(2, std::ranges::count(outcomes, write_outcome::stored));
  CHECK_EQUAL(0, stored());
}
