#include "backlog_estimate.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A pool in which 100 units start per second. A new job has to start within 2 s to be on time, and
/// within 6 s to have any value.
TEST_GROUP(backlog_estimate)
{
  backlog_estimate backlog;
  cell_config config;
  time_point now{ seconds(100) };
  std::vector<waiting_units> waiting;

  void setup() override
  {
    config.mTeams.push_back({ .mName = "red" });
    config.mTeams.push_back({ .mName = "blue" });
    config.index();
  }

  waiting_units units(std::uint32_t aUnits, int aBand = 1, room_class aRoom = 0)
  {
    return { .mRank = { .mBand = aBand, .mLatestStart = now },
             .mRoom = aRoom,
             .mUnits = aUnits,
             .mIsOld = true,
             .mPool = "pool",
             .mTeam = "red" };
  }
  new_work job(const std::string& aTeam = "red", int aPriority = 1)
  {
    return { .mRank = rankOnTime(now + seconds(3), seconds(1), aPriority, {}),
             .mPriority = aPriority,
             .mUnits = 1,
             .mPool = "pool",
             .mTeam = aTeam,
             .mOnTimeWait = seconds(2),
             .mValueWait = seconds(6) };
  }
  /// Lets the waiting work wait for a time in which units of the room class start.
  void run(milliseconds aTime, bool aOnTime = true, int aPerSecond = 100, room_class aRoom = 0)
  {
    for (const auto end = now + aTime; now < end; now += milliseconds(1000) / aPerSecond) {
      backlog.setWaiting(waiting, now);
      backlog.onStarted("pool", aRoom, aOnTime, now);
    }
    backlog.setWaiting(waiting, now);
  }
  std::optional<seconds> retryAfter(const new_work& aWork, bool aIsBehind = false)
  {
    return backlog.retryAfter(aWork, config, aIsBehind, now);
  }
};

TEST(backlog_estimate, rejectsAJobThatWouldStartTooLateUntilItCouldStart)
{
  waiting = { units(650) };
  run(seconds(3));
  // 6.5 s, of which 6 would do.
  CHECK(retryAfter(job()) == seconds(1));
  waiting = { units(950) };
  run(seconds(1));
  CHECK(retryAfter(job()) == seconds(4));
  waiting = { units(100'000) };
  run(seconds(1));
  CHECK(retryAfter(job()) == backlog_estimate::kMaxRetryAfter);
}

// A late result is better for the caller than none.
TEST(backlog_estimate, acceptsAJobThatWouldBeLateWithValueLeft)
{
  waiting = { units(550) };
  run(seconds(3));
  CHECK_FALSE(retryAfter(job()).has_value());
}

// Guards against rejections by a cell that is calm, or of which nothing is known: a burst arrives
// there, and nothing has waited for long.
TEST(backlog_estimate, acceptsAllJobsWhileTheRateIsNotKnown)
{
  CHECK_FALSE(retryAfter(job()).has_value());
  waiting = { units(10'000) };
  backlog.setWaiting(waiting, now);
  CHECK_FALSE(retryAfter(job()).has_value());
  waiting.front().mIsOld = false;
  run(seconds(3), true, 5);
  CHECK_FALSE(retryAfter(job()).has_value());
}

// Guards against rejections after an outage in which nothing could start.
TEST(backlog_estimate, acceptsAllJobsWhileNothingStarts)
{
  waiting = { units(10'000) };
  run(seconds(3), true, 4);
  CHECK_FALSE(retryAfter(job()).has_value());
}

// Guards against an urgent job that is rejected because of work that starts after it.
TEST(backlog_estimate, workThatRanksLaterDoesNotCount)
{
  waiting = { units(10'000, 1), units(10'000, 2), units(10'000, 3) };
  run(seconds(3));
  CHECK_FALSE(retryAfter(job("red", 0)).has_value());
  CHECK(retryAfter(job("red", 1)).has_value());
}

// Guards against small jobs that are rejected because of gangs that cannot start anyway.
TEST(backlog_estimate, workThatNeedsMoreRoomDoesNotCount)
{
  const step_spec small{ .mNeeds = { .mCpuMilli = 500 } };
  const step_spec gang{ .mCount = 40, .mNeeds = { .mCpuMilli = 500 }, .mGang = true };
  waiting = { units(10'000, 0, roomClassOf(gang)), units(50, 0, roomClassOf(small)) };
  run(seconds(3));
  CHECK_FALSE(retryAfter(job("red", 0)).has_value());
  auto wide = job("red", 0);
  wide.mRoom = roomClassOf(gang);
  CHECK(retryAfter(wide).has_value());
}

TEST(backlog_estimate, otherPoolsDoNotCount)
{
  waiting = { units(10'000) };
  run(seconds(3));
  auto other = job();
  other.mPool = "other";
  CHECK_FALSE(retryAfter(other).has_value());
}

// A team may use its share of the rate whatever the others have sent.
TEST(backlog_estimate, acceptsATeamWithinItsShare)
{
  waiting = { units(10'000) };
  run(seconds(3));
  CHECK(retryAfter(job("red")).has_value());
  CHECK_FALSE(retryAfter(job("blue")).has_value());
  auto blue = units(400);
  blue.mTeam = "blue";
  waiting.push_back(blue);
  run(seconds(1));
  // 8 s at half of the rate.
  CHECK(retryAfter(job("blue")) == seconds(2));
}

// Guards against a backlog that is added to between two counts.
TEST(backlog_estimate, countsWhatWasAcceptedSince)
{
  waiting = { units(590) };
  run(seconds(3));
  auto one = job();
  one.mUnits = 5;
  CHECK_FALSE(retryAfter(one).has_value());
  backlog.add(one);
  backlog.add(one);
  backlog.add(one);
  CHECK(retryAfter(one).has_value());
}

// Guards against an owner that accepts by rank what it starts late all the same, since its turns
// take longer the more steps wait.
TEST(backlog_estimate, allWorkCountsWhileAnOwnerThatIsBehindStartsMostOfItLate)
{
  waiting = { units(10'000, 3) };
  run(seconds(3), true);
  CHECK_FALSE(retryAfter(job(), true).has_value());
  run(seconds(3), false);
  CHECK_FALSE(retryAfter(job(), false).has_value());
  CHECK(retryAfter(job(), true).has_value());
}

// Guards against a backlog of an owner that is behind which makes all work late, for as long as the
// load is near what the owner can do.
TEST(backlog_estimate, anOwnerThatIsBehindAcceptsWhatIsOnTimeBehindAllWork)
{
  waiting = { units(250, 3) };
  run(seconds(3), false);
  // 2.5 s, of which 2 would do.
  CHECK(retryAfter(job(), true) == seconds(1));
  CHECK_FALSE(retryAfter(job(), false).has_value());
  waiting = { units(150, 3) };
  run(seconds(1), false);
  CHECK_FALSE(retryAfter(job(), true).has_value());
}

// Guards against an owner that accepts by rank while a third of what it starts is late.
TEST(backlog_estimate, ranksDoNotCountWhileAThirdOfTheStartsIsLate)
{
  waiting = { units(10'000, 3) };
  run(seconds(1));
  for (int part = 0; part < 20; ++part) {
    run(milliseconds(100), true);
    run(milliseconds(50), false);
  }
  CHECK(retryAfter(job(), true).has_value());
}

// Old units have waited for kOldWait when they are counted first: the rate is known as much sooner.
TEST(backlog_estimate, theRateIsKnownSoonAfterWorkWaits)
{
  run(seconds(1));
  waiting = { units(10'000) };
  run(backlog_estimate::kMinRatePeriod - backlog_estimate::kOldWait - milliseconds(20));
  CHECK_FALSE(retryAfter(job()).has_value());
  run(milliseconds(40));
  CHECK(retryAfter(job()).has_value());
}

// Guards against a pool whose rate is forgotten and learned again while the number of old units
// goes up and down with the turns of the event loop.
TEST(backlog_estimate, thePoolIsSaturatedUntilFewUnitsAreOld)
{
  auto fresh = units(10'000);
  fresh.mIsOld = false;
  waiting = { units(backlog_estimate::kMinOldUnits), fresh };
  run(seconds(3));
  CHECK(retryAfter(job()).has_value());
  waiting = { units(backlog_estimate::kFewOldUnits), fresh };
  run(seconds(1));
  CHECK(retryAfter(job()).has_value());
  waiting = { units(backlog_estimate::kFewOldUnits - 1), fresh };
  run(seconds(1));
  CHECK_FALSE(retryAfter(job()).has_value());
  waiting = { units(backlog_estimate::kMinOldUnits - 1), fresh };
  run(seconds(1));
  CHECK_FALSE(retryAfter(job()).has_value());
}
