#include "log_tail.h"
#include "manual_clock.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;
using std::chrono::seconds;

/// Load pattern: a topic has more records than one answer of the store holds, such as after an
/// outage, in which the operator has written many configurations.
TEST_GROUP(log_tail)
{
  store_fixture* store = nullptr;
  manual_clock time;
  log_tail* tail = nullptr;
  std::vector<std::string> records;
  /// See log_tail::recordsSince(), of the records that were reported last.
  time_point since{};

  void setup() override
  {
    store = new store_fixture;
    store->mMaxRecordsPerRead = 1;
    tail = new log_tail(store->mStore, time, { .mTopic = "topic" },
                        { .mOnRecords = [this](const auto& aRecords, std::uint64_t) {
                          records.insert(records.end(), aRecords.begin(), aRecords.end());
                          since = tail->recordsSince();
                        } });
  }
  void teardown() override
  {
    delete tail;
    delete store;
  }
  /// Reads until aCount records are known, and not further.
  bool readTo(std::size_t aCount)
  {
    return store->runUntil([this, aCount] { return records.size() == aCount; },
                           [this] { tail->tick(time.now()); });
  }
};

// Guards against keys, routes and jobs that are denied or accepted on an old view: the answer was
// new, but the topic went on behind it.
TEST(log_tail, isNotFreshBeforeTheEndIsRead)
{
  store->append("topic", { "a", "b", "c" });
  CHECK(readTo(1));
  CHECK(tail->freshAsOf() == time_point{});
  CHECK(readTo(2));
  CHECK(tail->freshAsOf() == time_point{});
  CHECK(readTo(3));
  CHECK(tail->freshAsOf() == time.now());
}

// Guards against a view that counts as old for good, because the topic grows as fast as it is read.
TEST(log_tail, isAsFreshAsTheReadWhoseEndItHasReached)
{
  store->append("topic", { "a", "b" });
  const auto first = time.now();
  CHECK(readTo(1));
  store->append("topic", { "c" });
  time.mNow += seconds(1);
  CHECK(readTo(2));
  CHECK(tail->freshAsOf() == first);
  store->append("topic", { "d" });
  time.mNow += seconds(1);
  CHECK(readTo(3));
  CHECK(tail->freshAsOf() == first + seconds(1));
}

// Guards against a record that is taken for new because it was read late: nobody knows how long
// before the read it was stored.
TEST(log_tail, tellsHowOldTheRecordsOfALateReadMayBe)
{
  store->append("topic", { "a" });
  const auto first = time.now();
  CHECK(readTo(1));
  time.mNow += seconds(1);
  store->append("topic", { "b", "c" });
  time.mNow += seconds(3);
  CHECK(readTo(2));
  CHECK(since == first);
  time.mNow += seconds(1);
  CHECK(readTo(3));
  CHECK(since == first);
  store->append("topic", { "d" });
  time.mNow += seconds(1);
  CHECK(readTo(4));
  CHECK(since == first + seconds(5));
}
