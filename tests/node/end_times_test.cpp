#include "end_times.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>

using namespace endiveusher;
using namespace endiveusher::node;
using std::chrono::milliseconds;

namespace {

constexpr time_point kStart{ std::chrono::seconds(100) };

scheduler::task_key task(std::uint32_t aIndex)
{
  return { .mStep = { .mJob = static_cast<scheduler::job_id>(7) }, .mIndex = aIndex };
}

} // namespace

TEST_GROUP(end_times)
{
  end_times times;

  bool report(std::uint32_t aIndex, time_point aArrived)
  {
    return times.onReported(std::array{ scheduler::ended_run{ .mTask = task(aIndex), .mRun = 1 } },
                            aArrived);
  }
  std::optional<duration> store(std::uint32_t aIndex, time_point aNow, std::uint32_t aRun = 1)
  {
    return times.onStored(std::array{ scheduler::run_ended{ .mTask = task(aIndex), .mRun = aRun } },
                          aNow);
  }
};

// Guards against a time that is counted from the last report: a target lists an end until it is
// acknowledged.
TEST(end_times, countFromTheFirstReport)
{
  CHECK(report(0, kStart));
  CHECK_FALSE(report(0, kStart + milliseconds(300)));
  CHECK(store(0, kStart + milliseconds(400)) == milliseconds(400));
  STRCMP_CONTAINS("endiveusher_end_store_seconds_sum 0.4\n", times.metrics().c_str());
}

TEST(end_times, ignoreEndsThatNoTargetHasReported)
{
  report(0, kStart);
  CHECK_FALSE(store(0, kStart, 2).has_value());
  CHECK_FALSE(store(1, kStart).has_value());
  STRCMP_CONTAINS("endiveusher_end_store_seconds_count 0\n", times.metrics().c_str());
}

// Load pattern: targets list ends again that are stored and not yet acknowledged.
TEST(end_times, areBounded)
{
  for (std::uint32_t end = 0; end < 2 * end_times::kMaxOpen; ++end) {
    report(end, kStart);
  }
  CHECK_EQUAL(end_times::kMaxOpen, times.open());
  report(0, kStart + end_times::kMaxAge + milliseconds(1));
  CHECK_EQUAL(1, times.open());
}
