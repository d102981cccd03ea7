#include "log_tail.h"
#include "snapshots.h"
#include "store_fixture.h"
#include "tests/node/manual_clock.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;

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

  void setup() override { store = new store_fixture; }
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
    CHECK(runUntil([this] { return store->unanswered() == 1; }));
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
    CHECK(runUntil([this, tries] { return store->unanswered() >= tries; }));
  }
  store->setSilent(false);
  time.mNow += kOverdue;
  CHECK(runUntil([this] { return records == std::vector<std::string>{ "a" }; }));
}
