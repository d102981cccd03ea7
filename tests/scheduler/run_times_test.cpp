#include "run_times.h"

#include "slow_targets.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <random>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(run_times)
{
  run_times times;
  std::mt19937_64 random{ 7 };
  time_point now{ seconds(1000) };

  double uniform(double aFrom, double aTo)
  {
    return std::uniform_real_distribution<double>(aFrom, aTo)(random);
  }
  double predictedMs(const char* aTeam, int aEstimate) const
  {
    return std::chrono::duration<double, std::milli>(
             times.predicted("batch", aTeam, milliseconds(aEstimate), now))
      .count();
  }
  /// Ends aCount runs whose actual time is the estimate times a factor between aFrom and aTo.
  void end(const char* aTeam, int aCount, double aFrom, double aTo)
  {
    for (; aCount > 0; --aCount) {
      now += milliseconds(20);
      const auto actual = milliseconds(static_cast<int>(1000 * uniform(1, 4)));
      const auto estimate = duration(static_cast<int>(actual / duration(1) / uniform(aFrom, aTo)));
      times.onEnded("batch", aTeam, estimate, actual, now);
    }
  }
};

// Guards against predictions from a few runs, and against ones that outlive the load they show.
TEST(run_times, estimatesCountUntilEnoughRunsHaveEnded)
{
  end("red", run_times::kMinRuns - 1, 2, 2);
  DOUBLES_EQUAL(1000, predictedMs("red", 1000), 0);
  end("red", 200, 2, 2);
  DOUBLES_EQUAL(2000, predictedMs("red", 1000), 100);
  now += seconds(1200);
  DOUBLES_EQUAL(1000, predictedMs("red", 1000), 20);
  DOUBLES_EQUAL(0, predictedMs("red", 0), 0);
}

// Guards against estimates that say nothing about the run time and still decide about ranks.
TEST(run_times, uninformativeEstimatesAreShrunkTowardsTheMean)
{
  for (int at = 0; at < 400; ++at) {
    now += milliseconds(20);
    times.onEnded("batch", "red", milliseconds(static_cast<int>(uniform(300, 3000))),
                  milliseconds(static_cast<int>(uniform(900, 1100))), now);
  }
  DOUBLES_EQUAL(1000, predictedMs("red", 400), 120);
  DOUBLES_EQUAL(1000, predictedMs("red", 2500), 120);
}

// Guards against one team's wrong estimates that distort the predictions for the others.
TEST(run_times, aTeamChangesOthersByNoMoreThanItsShare)
{
  end("blue", 400, 0.9, 1.1);
  const double before = predictedMs("blue", 1000);
  const double newBefore = predictedMs("new", 1000);
  end("red", 100, 50, 100);
  CHECK(predictedMs("red", 30) > 75);
  CHECK(predictedMs("red", 30) <= 120);
  // A fifth of the runs, of a range of 4.
  CHECK(std::abs(std::log(predictedMs("new", 1000) / newBefore)) <= 0.2 * 1.05 * std::log(4.0));
  DOUBLES_EQUAL(before, predictedMs("blue", 1000), 0.05 * before);
}

// Guards against state that grows with the names of routes and teams.
TEST(run_times, dropsTheOldestRoutesAndPairs)
{
  for (int at = 0; at < 700; ++at) {
    times.onEnded("batch", "t" + std::to_string(at), seconds(1), seconds(2), now += seconds(1));
  }
  CHECK_EQUAL(run_times::kMaxPairs, times.pairs());
  for (int at = 0; at < 100; ++at) {
    times.onEnded("r" + std::to_string(at), "t", seconds(1), seconds(2), now += seconds(1));
  }
  CHECK_EQUAL(run_times::kMaxRoutes, times.routes().size());
  CHECK(times.pairs() <= run_times::kMaxPairs);
  STRCMP_EQUAL("r36", times.routes().front().mRoute.c_str());
}

// Guards against one run of a long tail that marks a target as slow, and against a tail so long
// that predictions mean nothing.
TEST(run_times, evidenceWeighsLessWithALongTail)
{
  DOUBLES_EQUAL(0, times.evidenceWeight("batch", "red", now), 0);
  end("red", 300, 0.9, 1.1);
  DOUBLES_EQUAL(1, times.evidenceWeight("batch", "red", now), 0);
  for (int at = 0; at < 9; ++at) {
    times.onOutlier("batch", "red", now);
  }
  CHECK(times.evidenceWeight("batch", "red", now) > 0.5);
  CHECK(times.evidenceWeight("batch", "red", now) < 0.9);
  for (int at = 0; at < 150; ++at) {
    times.onOutlier("batch", "red", now);
  }
  CHECK(times.evidenceWeight("batch", "red", now) < 0.25);
}

TEST_GROUP(slow_targets)
{
  slow_targets slow;
  time_point now{ seconds(1000) };

  std::optional<slow_mark> seen(std::uint32_t aTask, milliseconds aRun, double aWeight)
  {
    return slow
      .onSlow(3, { .mTask = { .mIndex = aTask },
                   .mRoute = "batch",
                   .mTeam = "red",
                   .mStart = now - aRun,
                   .mAt = now,
                   .mWeight = aWeight,
                   .mRatio = 4 })
      .mMark;
  }
};

// Guards against one slow run of a long tail that takes a target out of use, also if it is seen
// twice or long before the next.
TEST(slow_targets, uncertainRunsNeedAnother)
{
  CHECK_FALSE(seen(1, seconds(3), 0.7).has_value());
  CHECK_FALSE(seen(1, seconds(3), 0.7).has_value());
  now += seconds(6);
  CHECK_EQUAL(1, slow.dropOld(now).size());
  CHECK_FALSE(seen(2, seconds(3), 0.7).has_value());
  now += seconds(4);
  CHECK_TRUE(seen(3, seconds(3), 0.7).has_value());
  CHECK_TRUE(seen(4, seconds(3), 0).has_value() == false);
}

// Guards against a pause that never grows on a target that stays slow, or that grows by runs which
// had begun before it.
TEST(slow_targets, laterRunsDoubleThePause)
{
  const auto period = [this](std::uint32_t aTask, milliseconds aRun) {
    return seen(aTask, aRun, 1)->mPeriod / milliseconds(1);
  };
  CHECK_EQUAL(1000, period(1, seconds(3)));
  now += milliseconds(500);
  CHECK_EQUAL(1000, period(2, seconds(3)));
  for (const auto expected : { 2000, 4000, 8000, 8000 }) {
    now += seconds(2);
    CHECK_EQUAL(expected, period(3, milliseconds(1500)));
  }
  now += seconds(17);
  CHECK_EQUAL(0, slow.dropOld(now).size());
  CHECK_EQUAL(0, slow.marks(now).size());
  CHECK_EQUAL(1000, period(4, seconds(1)));
}

// Guards against a target that stays marked though its runs are fast, and against a target's slow
// time that counts as a tail of the route.
TEST(slow_targets, fastRunsClearTheMark)
{
  CHECK_TRUE(seen(1, seconds(4), 1).has_value());
  now += seconds(2);
  const auto recovered = slow.onFast(3, now - seconds(1), now);
  CHECK_TRUE(recovered.mWasMarked);
  CHECK_EQUAL(0, recovered.mOutliers.size());
  // The run that was fast has begun in the second half of this one.
  CHECK_FALSE(seen(2, seconds(4), 1).has_value());
  now += seconds(2);
  CHECK_TRUE(seen(3, seconds(4), 1).has_value());
  // It ran beside the slow run, so that the target was not the reason.
  CHECK_EQUAL(1, slow.onFast(3, now - seconds(1), now).mOutliers.size());
  CHECK_EQUAL(0, slow.marks(now).size());
}
