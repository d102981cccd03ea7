#include "log_tail.h"
#include "registry_view.h"
#include "store_fixture.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;

namespace {

std::string entry(const std::string& aAddress = "10.0.0.9:80", const std::string& aCpu = "1000",
                  const std::string& aExtra = "1")
{
  return R"({"service":"s","addr":")" + aAddress +
         R"(","zone":"z","state":"ready","capacity":{"cpu":)" + aCpu + R"(},"extra":)" + aExtra +
         "}";
}

std::string nested(int aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

} // namespace

/// A registry that is followed while another writer leaves odd entries between those of targets.
TEST_GROUP(registry_entries)
{
  const std::string topic = std::string(platform::kRegistryTopic);
  store_fixture* store = nullptr;
  event_log* log = nullptr;
  registry_view* view = nullptr;
  log_tail* tail = nullptr;
  int failures = 0;

  void setup() override
  {
    store = new store_fixture;
    log = new event_log("test");
    view = new registry_view(*log, store->mClock,
                             { .mOnListed = [](const scheduler::target_entry&) {},
                               .mOnUnlisted = [](const std::string&) {} });
    tail = new log_tail(
      store->mStore, store->mClock,
      { .mTopic = topic, .mKeyed = true, .mWait = std::chrono::milliseconds(0) },
      { .mOnRecords = [this](const auto& aRecords,
                             std::uint64_t) { view->read(aRecords, tail->recordsSince()); },
        .mOnNewest = [this](const auto& aRecords) { view->replace(aRecords); },
        .mOnFailure = [this] { ++failures; } });
  }
  void teardown() override
  {
    delete tail;
    delete view;
    delete log;
    delete store;
  }

  void append(const std::string& aRecord)
  {
    const std::lock_guard lock(store->mMutex);
    store->mModel.append({ .mTopic = topic, .mRecords = { aRecord } });
  }
  /// Follows the registry until all records are read; returns whether that happened.
  bool follow()
  {
    std::uint64_t end = 0;
    {
      const std::lock_guard lock(store->mMutex);
      end = store->mModel.end(topic);
    }
    return store->runUntil([this, end] { return tail->caughtUp() && tail->next() >= end; },
                           [this] { tail->tick(store->mClock.now()); });
  }
  static std::vector<std::string> oddRecords()
  {
    return { platform::encodeKeyed("odd-01", nested(100'000)),
             platform::encodeKeyed("odd-02", entry("10.0.0.9:80", "1", nested(100'000))),
             platform::encodeKeyed("odd-03", entry("10.0.0.9:80", nested(100'000))),
             platform::encodeKeyed("odd-04", entry("10.0.0.9:80", "1e300")),
             platform::encodeKeyed("odd-05", entry("10.0.0.9:80", "-1")),
             platform::encodeKeyed("odd-06", entry("10.0.0.9:80", "18446744073709551615")),
             platform::encodeKeyed("odd-07", entry("10.0.0.9:80", "1e400")),
             platform::encodeKeyed("odd-08", entry("10.0.0.9:80", "NaN")),
             platform::encodeKeyed("odd-09", entry("10.0.0.9:0")),
             platform::encodeKeyed("odd-10", entry("10.0.0.9:65536")),
             platform::encodeKeyed("odd-11", entry("10.0.0.9:99999999999")),
             platform::encodeKeyed("odd-12", entry("10.0.0.9")),
             platform::encodeKeyed("odd-13", entry("host:80")),
             platform::encodeKeyed("odd-14", "\xff\xfe\x00"),
             platform::encodeKeyed("odd-15", std::string(1'000'000, 'x')),
             platform::encodeKeyed("odd-16", "[]"),
             platform::encodeKeyed("odd\r\n17", entry()),
             platform::encodeKeyed("odd 18", entry()),
             platform::encodeKeyed("", entry()),
             "\x09short" };
  }
};

// Guards against a list that is no longer followed, or a target that is lost, because of an entry
// of another writer that is there at the start.
TEST(registry_entries, oddEntriesAtTheStartLoseNoTarget)
{
  append(platform::encodeKeyed("a-first", entry()));
  for (const auto& record : oddRecords()) {
    append(record);
  }
  append(platform::encodeKeyed("z-last", entry()));
  CHECK(follow());
  CHECK_EQUAL(2, view->targets().size());
  CHECK(view->targets().contains("a-first") && view->targets().contains("z-last"));
  append(platform::encodeKeyed("z-later", entry()));
  CHECK(follow());
  CHECK(view->targets().contains("z-later"));
  CHECK_EQUAL(0, failures);
}

// As above, for an entry that is written while the registry is followed.
TEST(registry_entries, oddEntriesInTheLogLoseNoTarget)
{
  append(platform::encodeKeyed("a-first", entry()));
  CHECK(follow());
  for (const auto& record : oddRecords()) {
    append(record);
    append(platform::encodeKeyed("z-last", entry()));
    CHECK(follow());
    CHECK_EQUAL(2, view->targets().size());
  }
  // Invalid UTF-8 in a key.
  append(platform::encodeKeyed("odd\xff", entry()));
  append(platform::encodeKeyed("z-later", entry()));
  CHECK(follow());
  CHECK_EQUAL(3, view->targets().size());
  CHECK_EQUAL(0, failures);
}

// Guards against orders to a target whose newest entry can't be read.
TEST(registry_entries, aTargetWithAnOddEntryIsUnlistedUntilItIsReadable)
{
  append(platform::encodeKeyed("t", entry()));
  CHECK(follow());
  append(platform::encodeKeyed("t", entry("10.0.0.9:65536")));
  CHECK(follow());
  CHECK_EQUAL(0, view->targets().size());
  append(platform::encodeKeyed("t", entry()));
  CHECK(follow());
  CHECK_EQUAL(1, view->targets().size());
}
