#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

step_spec tasks(std::uint32_t aCount)
{
  return { .mCount = aCount,
           .mNeeds = { .mCpuMilli = 2000, .mMemoryMb = 100 },
           .mEstimate = milliseconds(20000) };
}

} // namespace

/// What the log tells about steps that wait.
TEST_GROUP(wait_log)
{
  owner_fixture cell;

  /// Returns the last line about the waiting of the job's first step; empty if there is none.
  std::string lastLine(job_id aJob) const
  {
    std::string last;
    for (const auto& line : cell.mLog) {
      if (line.starts_with("step_waiting step=" + toText(step_key{ .mJob = aJob }))) {
        last = line;
      }
    }
    return last;
  }
  static bool has(const std::string& aLine, const std::string& aText)
  {
    return (aLine + " ").find(" " + aText + " ") != std::string::npos;
  }
};

TEST(wait_log, namesTheGangThatReservesTheTeamsLimit)
{
  cell.addTarget("t1", 100'000, 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 20'000 };
  cell.startOwnerAndJob(tasks(5));
  auto wide = tasks(8);
  wide.mGang = true;
  const auto gang = cell.submit(wide);
  wide.mCount = 7;
  cell.submit(wide);
  cell.run(milliseconds(100));
  const auto held = cell.submit(tasks(1));
  cell.run(milliseconds(3500));
  CHECK(has(lastLine(held), "reason=team_limit"));
  CHECK(has(lastLine(held), "held_by=" + toText(step_key{ .mJob = gang })));
  CHECK(has(lastLine(gang), "held_by=-"));
}

TEST(wait_log, namesNoGangIfTheLimitIsUsedUp)
{
  cell.addTarget("t1", 100'000, 100'000);
  cell.mConfig.mTeams[0].mUpperLimit = { .mCpuMilli = 20'000 };
  cell.startOwnerAndJob(tasks(10));
  auto wide = tasks(8);
  wide.mGang = true;
  cell.submit(wide);
  cell.run(milliseconds(100));
  const auto held = cell.submit(tasks(1));
  cell.run(milliseconds(3500));
  CHECK(has(lastLine(held), "reason=team_limit"));
  CHECK(has(lastLine(held), "held_by=-"));
}

// Guards against a step that waits for long, or a run of which nothing is heard, without a trace in
// the metrics.
TEST(wait_log, countsTellTheLongestWaitAndSilence)
{
  cell.addTarget("t1");
  cell.startOwnerAndJob(tasks(4));
  CHECK(cell.mOwner->counts(cell.mNow).mLongestWait == duration{ 0 });
  CHECK(cell.mOwner->counts(cell.mNow).mLongestSilence < milliseconds(1000));
  cell.submit(tasks(1));
  cell.target("t1").mReachable = false;
  cell.run(milliseconds(2000));
  const auto counts = cell.mOwner->counts(cell.mNow);
  CHECK(counts.mLongestWait > milliseconds(1900) && counts.mLongestWait < milliseconds(2100));
  CHECK(counts.mLongestSilence > milliseconds(1000));
}
