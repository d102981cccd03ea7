#include "endiveusher/platform/read_size.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using endiveusher::platform::read_size;

namespace {

/// Whether a read of the chosen size over a link, of which aShare is free, is answered in time.
bool succeeds(const read_size& aSize, double aLinkMbps, double aShare)
{
  const double seconds =
    static_cast<double>(aSize.kilobytes()) * 8.0 / 1000.0 / (aLinkMbps * aShare);
  return std::chrono::duration<double>(seconds) < aSize.time();
}

} // namespace

TEST_GROUP(read_size){};

// Load pattern: a daemon on a link of 2 Mbit/s reads a journal of some megabytes.
TEST(read_size, theFirstReadFitsTheLink)
{
  for (const double mbps : { 2.0, 10.0, 20.0, 1000.0 }) {
    CHECK(succeeds(read_size(mbps), mbps, 1.0));
  }
}

// Load pattern: many daemons read at once, so that each has a twentieth of its link. Guards against
// reads that fail for ever, because each returns more than the link carries in the read's timeout.
TEST(read_size, readsSucceedAfterSomeTimeoutsUnderContention)
{
  read_size size(20);
  int timeouts = 0;
  while (!succeeds(size, 20, 0.05)) {
    size.onTimeout();
    ++timeouts;
    CHECK(timeouts < 5);
  }
}

// Guards against small reads that last after the contention has ended.
TEST(read_size, growsAgainWithReplies)
{
  read_size size(20);
  for (int timeout = 0; timeout < 8; ++timeout) {
    size.onTimeout();
  }
  for (int reply = 0; reply < 20; ++reply) {
    size.onReply();
  }
  CHECK_EQUAL(read_size(20).kilobytes(), size.kilobytes());
  CHECK(size.time() == read_size::kMinTime);
}

// Guards against a record larger than the size of a read, which would never be read.
TEST(read_size, growsUntilTheNextRecordFits)
{
  read_size size(0.1);
  for (int reply = 0; reply < 4; ++reply) {
    size.onTooSmall();
  }
  CHECK(size.kilobytes() >= 256);
}
