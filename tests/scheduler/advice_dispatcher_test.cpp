// Standard library headers come first, because CppUTest's header defines `new` as a macro.
#include "advice_dispatcher.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using endiveusher::scheduler::internal::advice_dispatcher;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLongCall{ 1000 };
constexpr milliseconds kShortCall{ 20 };

} // namespace

TEST_GROUP(advice_dispatcher)
{
  advice_dispatcher dispatcher;
  time_point now{ std::chrono::seconds(100) };
  std::uint64_t lastCall = 0;

  /// Sets the given number of other daemons.
  void setHelpers(int aCount)
  {
    std::vector<std::string> names;
    for (int index = 0; index < aCount; ++index) {
      names.push_back("10.0.0." + std::to_string(index) + ":1");
    }
    dispatcher.setHelpers(names);
  }
  bool call(duration aCost)
  {
    return dispatcher.reserve(aCost, now, ++lastCall).has_value();
  }
  int longCalls()
  {
    int count = 0;
    while (call(kLongCall)) {
      ++count;
    }
    return count;
  }
};

// Guards against a daemon that makes no calls any more after it was away during one of them.
TEST(advice_dispatcher, usesADaemonThatWasAwayDuringACall)
{
  setHelpers(1);
  CHECK(call(kLongCall));
  CHECK(call(kShortCall));
  setHelpers(0);
  setHelpers(1);
  for (std::uint64_t open = lastCall; open > 0; --open) {
    dispatcher.release(open, true, now);
  }
  for (int index = 0; index < 6; ++index) {
    CHECK(call(kShortCall));
  }
  CHECK_FALSE(call(kShortCall));
}

// Guards against gangs that wait for advice while daemons stay idle for short calls that do not
// come.
TEST(advice_dispatcher, longCallsUseDaemonsThatShortCallsDoNotNeed)
{
  setHelpers(33);
  LONGS_EQUAL(33, longCalls());
}

// Guards against urgent steps that wait for the end of long calls.
TEST(advice_dispatcher, longCallsLeaveTwiceTheDaemonsThatShortCallsNeed)
{
  setHelpers(33);
  for (int index = 0; index < 500; ++index) {
    CHECK(call(kShortCall));
    now += milliseconds(10);
    dispatcher.release(lastCall, true, now);
  }
  // Two seconds of short calls each second: four daemons and a spare one stay free.
  LONGS_EQUAL(29, longCalls());
}

TEST(advice_dispatcher, longCallsTakeAtLeastHalfOfTheDaemons)
{
  setHelpers(5);
  for (int index = 0; index < 500; ++index) {
    CHECK(call(milliseconds(100)));
    now += milliseconds(10);
    dispatcher.release(lastCall, true, now);
  }
  LONGS_EQUAL(3, longCalls());
}
