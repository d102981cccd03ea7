#include "owner_view.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace endiveusher;
using namespace endiveusher::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(owner_view)
{
  std::unique_ptr<owner_view> view;
  time_point now{ seconds(100) };
  milliseconds latency{ 4 };
  milliseconds journalAge{ 0 };
  milliseconds operatorAge{ 0 };
  bool othersKnowMore = true;

  void setup() override
  {
    setBounds({ .mCancelPeriod = milliseconds(3000), .mConfigPeriod = milliseconds(2000) });
  }
  void teardown() override
  {
    view.reset();
  }
  void setBounds(const owner_view_bounds& aBounds)
  {
    view = std::make_unique<owner_view>(aBounds);
  }
  bool current()
  {
    view->update({ .mJournal = now - journalAge, .mOperator = now - operatorAge }, latency,
                 othersKnowMore, now);
    return view->current();
  }
  /// Runs the loop for a time, in which the ages do not change; returns whether the view is lost.
  bool lostAfter(milliseconds aTime)
  {
    for (milliseconds passed{ 0 }; passed < aTime; passed += milliseconds(20)) {
      now += milliseconds(20);
      current();
    }
    return view->lost();
  }
};

// A start has to be stored and to reach its target before the time is over in which what others
// have stored must be in force.
TEST(owner_view, isOldBeforeWhatOthersHaveStoredMustBeInForce)
{
  CHECK(current());
  journalAge = milliseconds(2100);
  CHECK_FALSE(current());
  journalAge = milliseconds(0);
  operatorAge = milliseconds(1600);
  CHECK_FALSE(current());
  operatorAge = milliseconds(0);
  CHECK(current());
}

// A read that is held open for 0.7 s, and lost once, makes no view old.
TEST(owner_view, isCurrentWithTheUsualReads)
{
  journalAge = operatorAge = milliseconds(1200);
  CHECK(current());
}

// Load pattern: the store is slow for all. Reads are further apart, and no daemon knows more.
TEST(owner_view, allowsForTheLatencyOfTheStore)
{
  latency = milliseconds(400);
  journalAge = operatorAge = milliseconds(2500);
  CHECK(current());
  latency = milliseconds(5000);
  journalAge = milliseconds(5100);
  CHECK_FALSE(current());
}

TEST(owner_view, isLostIfItStaysOld)
{
  journalAge = milliseconds(2100);
  CHECK_FALSE(lostAfter(milliseconds(400)));
  CHECK(lostAfter(milliseconds(200)));
  journalAge = milliseconds(0);
  current();
  CHECK_FALSE(view->lost());
}

// Guards against a cell that starts nothing while the store does not serve the operator's records
// to any daemon.
TEST(owner_view, theOperatorsRecordsCountOnlyIfOthersReadThem)
{
  operatorAge = seconds(10);
  othersKnowMore = false;
  CHECK_FALSE(lostAfter(milliseconds(2000)));
  CHECK(current());
  othersKnowMore = true;
  CHECK_FALSE(current());
  journalAge = milliseconds(2100);
  othersKnowMore = false;
  CHECK_FALSE(current());
}

// Guards against hand-overs by an owner that was paused, before its reads could be answered.
TEST(owner_view, aPauseOfTheProcessDoesNotLoseIt)
{
  CHECK(current());
  now += seconds(4);
  journalAge = operatorAge = seconds(4);
  CHECK_FALSE(current());
  CHECK_FALSE(view->lost());
  journalAge = operatorAge = milliseconds(0);
  CHECK(current());
}

// Guards against bounds that are shorter than reads allow: the owner would start next to nothing,
// and hand the cell over again and again, although all reads are answered.
TEST(owner_view, isCurrentWithTheUsualReadsAlsoUnderVeryShortBounds)
{
  for (const milliseconds bound : { milliseconds(0), milliseconds(300), milliseconds(1500) }) {
    setBounds({ .mCancelPeriod = bound, .mConfigPeriod = bound });
    journalAge = operatorAge = milliseconds(1200);
    CHECK(current());
    CHECK_FALSE(lostAfter(milliseconds(1000)));
    journalAge = operatorAge = milliseconds(2100);
    CHECK_FALSE(current());
  }
}
