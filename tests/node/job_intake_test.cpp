#include "job_intake.h"
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

/// An owner that answers hello calls and keeps what is handed over until release().
class holding_owner
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
  /// Answers all calls; aResults gives one letter for each record of a call.
  void release(char aResult)
  {
    const std::lock_guard lock(mMutex);
    mResult = aResult;
    mHolds = false;
    for (const auto& [responder, count] : mHeld) {
      responder.answer({ .mBody = std::string(count, aResult) });
    }
    mHeld.clear();
  }

private:
  void serve(const edges::http_request& aRequest, const edges::responder& aResponder)
  {
    if (aRequest.mPath == kPeerHelloPath) {
      aResponder.answer({ .mBody = "0" });
      return;
    }
    const std::lock_guard lock(mMutex);
    const auto records = decodeHandOver(aRequest.mBody);
    const auto count = records.ok() ? records->size() : 0;
    mRecords += count;
    if (mHolds) {
      mHeld.emplace_back(aResponder, count);
      mMostOpen = std::max(mMostOpen, mHeld.size());
    } else {
      aResponder.answer({ .mBody = std::string(count, mResult) });
    }
  }

  std::mutex mMutex;
  bool mHolds = true;
  char mResult = 's';
  std::size_t mRecords = 0;
  std::size_t mMostOpen = 0;
  std::vector<std::pair<edges::responder, std::size_t>> mHeld;
  edges::http_server mServer{ {},
                              [this](edges::http_request aRequest, edges::responder aResponder) {
                                serve(aRequest, aResponder);
                              } };
};

} // namespace

TEST_GROUP(job_intake)
{
  store_fixture* store = nullptr;
  holding_owner* owner = nullptr;
  event_log* log = nullptr;
  owner_link* link = nullptr;
  journal_writer* writer = nullptr;
  job_intake* intake = nullptr;
  std::vector<write_outcome> outcomes;

  void setup() override
  {
    store = new store_fixture;
    owner = new holding_owner;
    log = new event_log("test");
    link = new owner_link(store->mLoop, store->mClock, "127.0.0.1:1");
    writer =
      new journal_writer(store->mStore, store->mClock, { .mTopic = "journal", .mProducer = "d" });
    intake = new job_intake(store->mClock, store->mStore, *link, *writer, *log,
                            [](const journal_record&, const job_intake::done&) { return false; });
    link->setOwner(owner->address());
    CHECK(runUntil([this] { return link->reachable(store->mClock.now()); }));
  }
  void teardown() override
  {
    delete owner;
    delete store;
    delete intake;
    delete writer;
    delete link;
    delete log;
  }

  bool runUntil(const std::function<bool()>& aReady)
  {
    return store->runUntil(aReady, [this] {
      link->tick(store->mClock.now());
      intake->tick(store->mClock.now());
      writer->tick(store->mClock.now());
    });
  }
  void handOver(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      intake->store(job_cancelled{ .mJob = static_cast<job_id>(i + 1) },
                    [this](write_outcome aOutcome) { outcomes.push_back(aOutcome); });
    }
  }
  std::size_t stored()
  {
    return store->mModel.end("journal");
  }
};

// Load pattern: a burst arrives while the owner waits for a slow store. Guards against records that
// take all connections to the owner, so that hello calls go unanswered and it counts as lost.
TEST(job_intake, handsManyRecordsOverInFewCalls)
{
  handOver(50);
  CHECK(runUntil([this] { return owner->records() == 50; }));
  CHECK(owner->mostOpen() <= 6);
  CHECK(link->reachable(store->mClock.now()));
  owner->release('s');
  CHECK(runUntil([this] { return outcomes.size() == 50; }));
  CHECK_EQUAL(50, std::ranges::count(outcomes, write_outcome::stored));
  CHECK_EQUAL(0, stored());
}

// Guards against records that are lost, or called stored, when the owner has not stored them.
TEST(job_intake, storesByItselfWhatTheOwnerHasRefused)
{
  handOver(3);
  CHECK(runUntil([this] { return owner->records() == 3; }));
  owner->release('r');
  CHECK(runUntil([this] { return outcomes.size() == 3; }));
  CHECK_EQUAL(3, std::ranges::count(outcomes, write_outcome::stored));
  CHECK_EQUAL(3, stored());
}

// Guards against a caller that is told its job was refused although the owner may have stored it.
TEST(job_intake, neverCallsRefusedWhatTheOwnerMayHaveStored)
{
  handOver(2);
  CHECK(runUntil([this] { return owner->records() == 2; }));
  store->mRefuse = 2;
  owner->release('u');
  CHECK(runUntil([this] { return outcomes.size() == 2; }));
  CHECK_EQUAL(0, std::ranges::count(outcomes, write_outcome::refused));
}
