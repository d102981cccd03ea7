#include "log_tail.h"
#include "probed_read.h"
#include "snapshots.h"
#include "store_fixture.h"
#include "tests/clients/scripted_server.h"
#include "tests/node/manual_clock.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <semaphore>
#include <string>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;
using std::chrono::milliseconds;

namespace {

/// Time for which a read may be held open; longer than runUntil() waits, so that a test fails if
/// the reply depends on the end of a read.
constexpr std::chrono::seconds kWait{ 60 };
/// Time after which a read is overdue on any store that the tests model.
constexpr std::chrono::seconds kOverdue{ 2 };

} // namespace

/// Load pattern: the store takes calls for some seconds without ever answering them, then answers
/// new ones.
TEST_GROUP(silent_store)
{
  store_fixture* store = nullptr;
  manual_clock time;
  log_tail* tail = nullptr;
  std::vector<std::string> records;

  void setup() override
  {
    store = new store_fixture;
  }
  void teardown() override
  {
    delete tail;
    delete store;
  }
  /// Follows `topic` to its end, and sends the next read into a silence of the store.
  void followIntoSilence()
  {
    tail = new log_tail(store->mStore, time, { .mTopic = "topic", .mWait = kWait },
                        { .mOnRecords = [this](const auto& aRecords, std::uint64_t) {
                          records.insert(records.end(), aRecords.begin(), aRecords.end());
                        } });
    CHECK(runUntil([this] { return tail->caughtUp(); }));
    store->setSilent(true);
    time.mNow += kOverdue;
    CHECK(runUntil([this] { return store->held() == 1; }));
  }
  bool runUntil(const std::function<bool()>& aReady)
  {
    return store->runUntil(aReady, [this] { tail->tick(time.now()); });
  }
};

// Guards against configurations that are known only when the read ends that was sent while the
// store was silent.
TEST(silent_store, recordsAreReadAtOnceWhenItAnswersAgain)
{
  followIntoSilence();
  store->append("topic", { "a" });
  store->setSilent(false);
  time.mNow += kWait + kOverdue;
  CHECK(runUntil([this] { return records == std::vector<std::string>{ "a" }; }));
}

// Guards against a silence that outlasts the first repetition of a read.
TEST(silent_store, recordsAreReadAtOnceAlsoAfterALongSilence)
{
  followIntoSilence();
  store->append("topic", { "a" });
  for (std::size_t tries = 2; tries < 5; ++tries) {
    time.mNow += kWait + kOverdue;
    CHECK(runUntil([this, tries] { return store->held() >= tries; }));
  }
  store->setSilent(false);
  time.mNow += kOverdue;
  CHECK(runUntil([this] { return records == std::vector<std::string>{ "a" }; }));
}

// Guards against a new owner or standby that loads the cell late after a silence.
TEST(silent_store, aSnapshotIsLoadedAtOnceWhenItAnswersAgain)
{
  snapshot_loader loader(store->mStore, time, "snapshot");
  bool loaded = false;
  const auto turn = [&loader, this] { loader.tick(time.now()); };
  store->setSilent(true);
  loader.load([&loaded](const auto& /*aFound*/) { loaded = true; });
  CHECK(store->runUntil([this] { return store->held() == 1; }, turn));
  store->setSilent(false);
  time.mNow += kOverdue;
  loader.tick(time.now());
  // The first try has a time limit of 1.2 s, and its failure would be repeated after a pause of the
  // clock that stands still.
  CHECK(store->runUntil([&loaded] { return loaded; }, turn));
}

/// One read of a store whose answers the test controls.
TEST_GROUP(probed_read)
{
  store_fixture* store = nullptr;
  manual_clock time;
  probed_read* read = nullptr;
  std::vector<probed_read::receipt> receipts;
  std::vector<platform::read_reply> replies;

  void setup() override
  {
    store = new store_fixture;
    store->append("topic", { "a" });
    read = new probed_read(store->mStore, time);
  }
  void teardown() override
  {
    delete read;
    delete store;
  }
  void start()
  {
    read->read("topic", 0, kWait,
               [this](platform::read_reply&& aReply, const probed_read::receipt& aReceipt) {
                 replies.push_back(std::move(aReply));
                 receipts.push_back(aReceipt);
               });
  }
  bool runUntil(const std::function<bool()>& aReady)
  {
    return store->runUntil(aReady, [this] { read->tick(time.now()); });
  }
  /// Sends the read and a probe, neither of which is answered yet.
  void sendTwoTries()
  {
    store->setSilent(true);
    start();
    CHECK(runUntil([this] { return store->held() == 1; }));
    time.mNow += kWait + kOverdue;
    CHECK(runUntil([this] { return store->held() == 2; }));
  }
};

TEST(probed_read, isAnsweredByItsFirstTryAlone)
{
  start();
  CHECK(runUntil([this] { return !replies.empty(); }));
  CHECK_FALSE(receipts[0].mByProbe);
  time.mNow += kWait + kOverdue;
  read->tick(time.now());
  CHECK_FALSE(read->open());
  CHECK_EQUAL(1, store->mReads["topic"]);
}

// Guards against probes of reads that the store may still be holding open.
TEST(probed_read, isNotProbedBeforeItIsOverdue)
{
  store->setSilent(true);
  start();
  CHECK(runUntil([this] { return store->held() == 1; }));
  time.mNow += kWait;
  CHECK_FALSE(
    store->runUntil([this] { return store->held() > 1; }, [this] { read->tick(time.now()); }, 50));
}

// Guards against a freshness that counts from a try that was never answered.
TEST(probed_read, isAsFreshAsTheTryThatWasAnswered)
{
  sendTwoTries();
  store->setSilent(false);
  time.mNow += kOverdue;
  CHECK(runUntil([this] { return !replies.empty(); }));
  CHECK(receipts[0].mByProbe);
  CHECK(receipts[0].mSent == time.mNow);
}

// Guards against a slow store that is asked again and again while each answer is on its way.
TEST(probed_read, takesALateAnswerToTheFirstTry)
{
  sendTwoTries();
  store->answerHeld(0);
  CHECK(runUntil([this] { return !replies.empty(); }));
  CHECK_FALSE(receipts[0].mByProbe);
  CHECK_EQUAL(1U, replies[0].mRecords.size());
}

// Guards against callbacks into an owner that has given the read up.
TEST(probed_read, isNotAnsweredOnceItIsGivenUp)
{
  sendTwoTries();
  read->cancel();
  store->answerHeld(0);
  store->answerHeld(1);
  CHECK_FALSE(store->runUntil([this] { return !replies.empty(); }, [] {}, 50));
}

namespace {

/// Delivers the pieces of an answer when the test says so.
class piece_source
{
public:
  ~piece_source() { end(); }
  /// Blocks until a piece is due; returns an empty one at the end.
  std::string next()
  {
    mDue.acquire();
    return mEnded ? std::string() : std::string("x");
  }
  void release() { mDue.release(); }
  void end()
  {
    mEnded = true;
    mDue.release();
  }

private:
  std::counting_semaphore<> mDue{ 0 };
  std::atomic<bool> mEnded = false;
};

/// Less than the shortest time after which an answer is overdue.
constexpr milliseconds kPieceInterval{ 300 };

} // namespace

/// One read of a store whose first answer arrives in pieces; further ones are complete.
TEST_GROUP(read_in_pieces)
{
  piece_source* pieces = nullptr;
  std::atomic<int> requests = 0;
  endiveusher::testing::scripted_server* server = nullptr;
  edges::http_loop* loop = nullptr;
  platform::store* store = nullptr;
  manual_clock time;
  probed_read* read = nullptr;
  std::vector<probed_read::receipt> receipts;

  void setup() override
  {
    using endiveusher::testing::reaction;
    using endiveusher::testing::scripted_answer;
    pieces = new piece_source;
    server = new endiveusher::testing::scripted_server([this](const auto& /*aRequest*/) {
      // The end of the topic and its first offset, and no records.
      return ++requests == 1 ? scripted_answer{ .mReaction = reaction::pieces,
                                                .mNextPiece = [this] { return pieces->next(); } }
                             : scripted_answer{ .mBody = std::string(16, '\0') };
    });
    loop = new edges::http_loop;
    store = new platform::store(*loop, server->address());
    read = new probed_read(*store, time);
    read->read("topic", 0, milliseconds(0),
               [this](platform::read_reply&& /*aReply*/, const probed_read::receipt& aReceipt) {
                 receipts.push_back(aReceipt);
               });
    CHECK(turns(3000, [this] { return requests == 1; }));
    letArrive();
  }
  void teardown() override
  {
    delete read;
    delete store;
    delete loop;
    pieces->end();
    delete server;
    delete pieces;
  }
  bool turns(int aMost, const std::function<bool()>& aReady)
  {
    for (int turn = 0; turn < aMost && !aReady(); ++turn) {
      read->tick(time.now());
      loop->run(milliseconds(1));
    }
    return aReady();
  }
  /// Runs the loop while what the server has sent is on its way.
  void letArrive()
  {
    turns(100, [] { return false; });
  }
};

// Load pattern: a large answer takes seconds on a slow link. Guards against a second one that is
// sent over the same link.
TEST(read_in_pieces, isNotProbedWhileTheyArrive)
{
  for (int piece = 0; piece < 10; ++piece) {
    time.mNow += kPieceInterval;
    pieces->release();
    letArrive();
  }
  CHECK_EQUAL(1, requests);
}

// Load pattern: a connection stalls in the middle of an answer, and new ones are served. Guards
// against a topic that is not read before the time limit of the read, several seconds later.
TEST(read_in_pieces, isProbedOnceTheyStayAway)
{
  time.mNow += kOverdue;
  CHECK(turns(3000, [this] { return !receipts.empty(); }));
  CHECK(receipts[0].mByProbe);
  CHECK(receipts[0].mSent == time.mNow);
}

TEST(read_in_pieces, isProbedOnceTheyStayAwayAfterSome)
{
  for (int piece = 0; piece < 3; ++piece) {
    time.mNow += kPieceInterval;
    pieces->release();
    letArrive();
  }
  time.mNow += kOverdue;
  CHECK(turns(3000, [this] { return !receipts.empty(); }));
  CHECK(receipts[0].mByProbe);
}
