#include "caller_record_writer.h"
#include "manual_clock.h"
#include "peer_api.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;
using namespace endiveusher::scheduler;
using std::chrono::milliseconds;

namespace {

/// An owner that answers hellos at once, and forwarded records only after release(), passOver() or
/// reject().
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

  /// Answers later calls with stored, and never the delayed ones: their connections are silent.
  void passOver()
  {
    const std::lock_guard lock(mMutex);
    mDelays = false;
  }
  /// Answers later calls with aResult for each of their records.
  void setResult(char aResult)
  {
    const std::lock_guard lock(mMutex);
    mResult = aResult;
  }
  /// Answers aCalls further calls with 503, and later ones with stored.
  void reject(int aCalls)
  {
    const std::lock_guard lock(mMutex);
    mRejections = aCalls;
    mDelays = false;
  }
  /// Leaves hellos unanswered from now on.
  void ignoreHellos()
  {
    const std::lock_guard lock(mMutex);
    mIgnoresHellos = true;
  }
  int rejected()
  {
    const std::lock_guard lock(mMutex);
    return mRejected;
  }

private:
  void serve(const edges::http_request& aRequest, const edges::responder& aResponder)
  {
    const std::lock_guard lock(mMutex);
    if (aRequest.mPath == kPeerHelloPath) {
      if (mIgnoresHellos) {
        mUnansweredHellos.push_back(aResponder);
      } else {
        aResponder.answer({ .mBody = "0" });
      }
      return;
    }
    if (mRejections > 0) {
      --mRejections;
      ++mRejected;
      aResponder.answer({ .mStatus = 503 });
      return;
    }
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
  bool mIgnoresHellos = false;
  int mRejections = 0;
  int mRejected = 0;
  char mResult = 's';
  std::size_t mRecords = 0;
  std::size_t mMostOpen = 0;
  std::vector<std::pair<edges::responder, std::size_t>> mDelayed;
  std::vector<edges::responder> mUnansweredHellos;
  edges::http_server mServer{ {},
                              [this](edges::http_request aRequest, edges::responder aResponder) {
                                serve(aRequest, aResponder);
                              } };
};

/// A writer of which the test sets the time.
class aged_writer
{
public:
  aged_writer(store_fixture& aStore, event_log& aLog)
    : mStore(aStore), mClient(aStore.mLoop, mTime, { .mAddress = "127.0.0.1:1" }),
      mDirect(aStore.mStore, mTime, { .mTopic = "journal", .mProducer = "aged" }),
      mWriter(
        mTime, aStore.mStore, mClient, mDirect, aLog,
        [](const journal_record&, const caller_record_writer::done_callback&) { return false; },
        [](const job_spec&) { return true; })
  {
  }

  void submit(int aJob)
  {
    write(job_submitted{ .mSpec = { .mId = static_cast<job_id>(aJob), .mSteps = { {} } } });
  }
  void cancel(int aJob) { write(job_cancelled{ .mJob = static_cast<job_id>(aJob) }); }
  /// Lets a millisecond pass with each turn.
  bool runUntil(const std::function<bool()>& aReady)
  {
    return mStore.runUntil(aReady, [this] {
      mTime.mNow += milliseconds(1);
      mWriter.tick(mTime.now());
      mDirect.tick(mTime.now());
    });
  }

private:
  void write(const journal_record& aRecord)
  {
    mWriter.store(aRecord, [this](caller_outcome aOutcome) { mOutcomes.push_back(aOutcome); });
  }

  store_fixture& mStore;

public:
  manual_clock mTime;
  owner_client mClient;
  std::vector<write_outcome> mOutcomes;

private:
  journal_writer mDirect;
  caller_record_writer mWriter;
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
  std::uint32_t mostTasks = 1;

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
      [](const journal_record&, const caller_record_writer::done_callback&) { return false; },
      [this](const job_spec& aJob) { return aJob.mSteps[0].mCount <= mostTasks; });
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
  void submit(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      recordWriter->store(
        job_submitted{ .mSpec = { .mId = static_cast<job_id>(i + 1), .mSteps = { {} } } },
        [this](caller_outcome aOutcome) { outcomes.push_back(aOutcome); });
    }
  }
  void runFor(milliseconds aTime)
  {
    const auto until = store->mClock.now() + aTime;
    CHECK(runUntil([&] { return store->mClock.now() >= until; }));
  }
  std::size_t stored()
  {
    return store->mModel.end("journal");
  }
};

// Guards against large jobs that fill the memory of all daemons while no owner can be reached, and
// against cancellations that are rejected with them.
TEST(caller_record_writer, appendsNoJobForWhichThereIsNoRoom)
{
  delete owner;
  owner = nullptr;
  CHECK(runUntil([this] { return !ownerClient->reachable(store->mClock.now()); }));
  mostTasks = 0;
  submit(1);
  CHECK(runUntil([this] { return outcomes.size() == 1; }));
  CHECK(outcomes[0] == write_outcome::overloaded);
  forward(1);
  CHECK(runUntil([this] { return outcomes.size() == 2; }));
  CHECK(outcomes[1] == write_outcome::stored);
  CHECK_EQUAL(1, stored());
  mostTasks = 1;
  submit(1);
  CHECK(runUntil([this] { return outcomes.size() == 3; }));
  CHECK(outcomes[2] == write_outcome::stored);
}

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

// Load pattern: the owner's loop is some seconds behind, and answers hellos only. Guards against
// records that are sent or stored a second time for that, past the owner's admission: each is more
// work for the same loop.
TEST(caller_record_writer, waitsForABusyOwner)
{
  submit(3);
  CHECK(runUntil([this] { return owner->records() == 3; }));
  runFor(milliseconds(2200));
  CHECK_EQUAL(0, outcomes.size());
  CHECK_EQUAL(3, owner->records());
  CHECK_EQUAL(0, stored());
  owner->release('s');
  CHECK(runUntil([this] { return outcomes.size() == 3; }));
  CHECK_EQUAL(3, std::ranges::count(outcomes, write_outcome::stored));
  CHECK_EQUAL(0, stored());
}

// Guards against records that wait on a silent connection until their callers' timeouts, or are
// stored past the admission of an owner that can be reached.
TEST(caller_record_writer, sendsAgainWhatTheOwnerHasPassedOver)
{
  submit(3);
  CHECK(runUntil([this] { return owner->records() == 3; }));
  owner->passOver();
  const auto since = store->mClock.now();
  CHECK(runUntil([this] { return outcomes.size() == 3; }));
  CHECK(store->mClock.now() - since < milliseconds(2200));
  CHECK_EQUAL(3, std::ranges::count(outcomes, write_outcome::stored));
  CHECK_EQUAL(6, owner->records());
  CHECK_EQUAL(0, stored());
}

// Guards against a job that is reported as turned away although its first copy may be stored yet.
TEST(caller_record_writer, reportsNoOverloadOfWhatWasSentAgain)
{
  submit(1);
  CHECK(runUntil([this] { return owner->records() == 1; }));
  owner->passOver();
  owner->setResult('o');
  CHECK(runUntil([this] { return outcomes.size() == 1; }));
  CHECK(outcomes[0] == write_outcome::unknown);
  CHECK_EQUAL(0, stored());
}

// Load pattern: the queue of the owner's loop is full, so that it answers 503 for some time.
TEST(caller_record_writer, sendsAgainWhatAFullQueueHasTurnedAway)
{
  owner->reject(2);
  submit(3);
  CHECK(runUntil([this] { return outcomes.size() == 3; }));
  CHECK_EQUAL(2, owner->rejected());
  CHECK_EQUAL(3, std::ranges::count(outcomes, write_outcome::stored));
  CHECK_EQUAL(0, stored());
}

// Load pattern: the owner's append is unanswered for long. A job is refused, not stored past it.
TEST(caller_record_writer, refusesJobsWhileTheOwnersAppendsAreBehind)
{
  submit(3);
  CHECK(runUntil([this] { return owner->records() == 3; }));
  owner->release('b');
  CHECK(runUntil([this] { return outcomes.size() == 3; }));
  CHECK_EQUAL(3, std::ranges::count(outcomes, write_outcome::refused));
  CHECK_EQUAL(0, stored());
}

// A cancellation needs no admission, and has to be acknowledged.
TEST(caller_record_writer, appendsCancellationsWhileTheOwnersAppendsAreBehind)
{
  forward(3);
  CHECK(runUntil([this] { return owner->records() == 3; }));
  owner->release('b');
  CHECK(runUntil([this] { return outcomes.size() == 3; }));
  CHECK_EQUAL(3, std::ranges::count(outcomes, write_outcome::stored));
  CHECK_EQUAL(3, stored());
}

// Guards against jobs that are stored past the admission of an owner of which only the first reply
// is missing.
TEST(caller_record_writer, waitsForTheFirstReplyOfANewOwner)
{
  delaying_owner newOwner;
  newOwner.release('s');
  ownerClient->setOwner(newOwner.address());
  submit(3);
  CHECK(runUntil([this] { return outcomes.size() == 3; }));
  CHECK_EQUAL(3, newOwner.records());
  CHECK_EQUAL(0, stored());
}

// Guards against submissions and cancellations that nobody stores once the owner is gone.
TEST(caller_record_writer, appendsDirectlyWhenTheOwnerIsGone)
{
  submit(2);
  forward(2);
  CHECK(runUntil([this] { return owner->records() == 4; }));
  delete std::exchange(owner, nullptr);
  const auto since = store->mClock.now();
  CHECK(runUntil([this] { return outcomes.size() == 4; }));
  CHECK(store->mClock.now() - since < milliseconds(1000));
  CHECK_EQUAL(4, std::ranges::count(outcomes, write_outcome::stored));
  CHECK_EQUAL(4, stored());
}

// Guards against a job that runs a second time because a process that was paused stores it long
// after its owner has: the job may have ended and been forgotten.
TEST(caller_record_writer, storesNoJobThatItsOwnerWasSentLongAgo)
{
  aged_writer aged(*store, *log);
  aged.mClient.setOwner(owner->address());
  CHECK(store->runUntil([&] { return aged.mClient.reachable(aged.mTime.now()); },
                        [&] { aged.mClient.tick(aged.mTime.now()); }));
  aged.submit(1);
  CHECK(store->runUntil([this] { return owner->records() == 1; }));
  aged.mTime.mNow += std::chrono::seconds(150);
  CHECK(aged.runUntil([&] { return aged.mOutcomes.size() == 1; }));
  CHECK(aged.mOutcomes[0] == write_outcome::unknown);
  CHECK_EQUAL(0, stored());
}

// Guards against the same while the store does not answer this daemon, whose callers have long
// submitted the job elsewhere. Cancellations do no harm.
TEST(caller_record_writer, storesNoJobLongAfterItsCallerWasAnswered)
{
  aged_writer aged(*store, *log);
  store->setSilent(true);
  aged.cancel(1);
  CHECK(aged.runUntil([this] { return store->held() == 1; }));
  // Both are in the next append, of which the first try and its repetition are unanswered.
  aged.submit(2);
  aged.cancel(3);
  store->answerHeld(0);
  CHECK(aged.runUntil([this] { return store->held() == 3; }));
  CHECK_EQUAL(1, aged.mOutcomes.size());
  aged.mTime.mNow += std::chrono::seconds(150);
  store->setSilent(false);
  CHECK(aged.runUntil([&] { return aged.mOutcomes.size() == 3; }));
  CHECK(aged.mOutcomes[1] == write_outcome::unknown);
  CHECK(aged.mOutcomes[2] == write_outcome::stored);
  CHECK_EQUAL(2, stored());
  // The store carries out a copy late.
  store->answerHeld(1);
  CHECK_EQUAL(2, stored());
}

// Guards against a job that is stored long after its caller was answered because it waited behind
// another append.
TEST(caller_record_writer, sendsNoJobThatHasWaitedTooLong)
{
  aged_writer aged(*store, *log);
  store->setSilent(true);
  aged.cancel(1);
  aged.submit(2);
  CHECK(aged.runUntil([this] { return store->held() == 1; }));
  aged.mTime.mNow += std::chrono::seconds(150);
  store->answerHeld(0);
  store->setSilent(false);
  CHECK(aged.runUntil([&] { return aged.mOutcomes.size() == 2; }));
  CHECK(aged.mOutcomes[1] == write_outcome::refused);
  CHECK_EQUAL(1, stored());
}

// Guards against an owner that is taken for gone, and passed by, because it answers hellos later
// than their timeout, while it answers other calls.
TEST(caller_record_writer, anAnsweredCallShowsThatTheOwnerIsReachable)
{
  owner->release('s');
  owner->ignoreHellos();
  for (std::size_t round = 1; round <= 12; ++round) {
    submit(1);
    runFor(milliseconds(100));
  }
  CHECK(ownerClient->reachable(store->mClock.now()));
  CHECK_EQUAL(12, owner->records());
  CHECK_EQUAL(0, stored());
}

// Load pattern: 200 jobs with long specs wait for the owner. Guards against a call that is larger
// than its server takes, with which all of them are sent again until their callers give up.
TEST(caller_record_writer, forwardsNoMoreInACallThanTheOwnerTakes)
{
  owner->release('s');
  constexpr std::size_t kJobs = 200;
  for (std::size_t job = 1; job <= kJobs; ++job) {
    recordWriter->store(job_submitted{ .mSpec = { .mId = static_cast<job_id>(job),
                                                  .mPayload = std::string(60'000, 'x'),
                                                  .mSteps = { {} } } },
                        [this](caller_outcome aOutcome) { outcomes.push_back(aOutcome); });
  }
  CHECK(runUntil([this] { return outcomes.size() == kJobs; }));
  CHECK_EQUAL(kJobs, std::ranges::count(outcomes, write_outcome::stored));
  CHECK_EQUAL(kJobs, owner->records());
}
