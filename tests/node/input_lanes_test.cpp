#include "inbox.h"
#include "input_lanes.h"
#include "manual_clock.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <stdexcept>
#include <string>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::node;
using namespace endiveusher::node::testing;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t laneIndex(input_lane aLane)
{
  return static_cast<std::size_t>(aLane);
}

} // namespace

TEST_GROUP(input_lanes)
{
  manual_clock time;
  int wakes = 0;
  inbox<std::string> inputs{ time, [this] { ++wakes; } };
  input_lanes lanes;
  std::vector<std::string> handled;
  milliseconds cost{ 0 };
  int errors = 0;

  bool push(input_lane aLane, std::string aInput)
  {
    return inputs.push(aLane, aInput);
  }
  /// Handles the inputs of a pass; each takes `cost`.
  template<typename Handler>
  void pass(const Handler& aHandler)
  {
    serveInputs(
      inputs, lanes, time,
      [&](input_lane aLane, inbox<std::string>::entry& aInput) {
        handled.push_back(aInput.mItem);
        time.mNow += cost;
        aHandler(aLane, aInput);
      },
      [this](input_lane, const std::exception&) { ++errors; });
  }
  void pass()
  {
    pass([](input_lane, inbox<std::string>::entry&) {});
  }
};

TEST(input_lanes, theMostUrgentLaneIsFirstAndLanesKeepTheOrderOfArrival)
{
  push(input_lane::diagnostics, "metrics");
  push(input_lane::callers, "job 1");
  push(input_lane::orders, "advice");
  push(input_lane::callers, "job 2");
  push(input_lane::promises, "ends 1");
  push(input_lane::promises, "ends 2");
  push(input_lane::membership, "hello");
  pass();
  const std::vector<std::string> expected{ "hello", "ends 1", "ends 2", "advice",
                                           "job 1", "job 2",  "metrics" };
  CHECK(handled == expected);
  CHECK_EQUAL(1, wakes);
}

// Guards against hellos that are rejected because relays report more than the owner can handle.
TEST(input_lanes, aFloodOfResultsRejectsNoHello)
{
  const auto capacity = kInputLaneOptions[laneIndex(input_lane::promises)].mCapacity;
  for (std::size_t result = 0; result < capacity; ++result) {
    CHECK(push(input_lane::promises, "result"));
  }
  CHECK_FALSE(push(input_lane::promises, "result"));
  CHECK(push(input_lane::membership, "hello"));
}

// Guards against order results and hellos that are rejected because callers flood the owner: one
// inbox of 2,000 requests was shared by all.
TEST(input_lanes, aFloodOfCallersRejectsNoOtherInput)
{
  const auto capacity = kInputLaneOptions[laneIndex(input_lane::callers)].mCapacity;
  for (std::size_t job = 0; job < capacity; ++job) {
    CHECK(push(input_lane::callers, "job"));
  }
  CHECK_FALSE(push(input_lane::callers, "job"));
  CHECK(push(input_lane::promises, "ends"));
  CHECK(push(input_lane::orders, "advice"));
  CHECK(push(input_lane::diagnostics, "metrics"));
  CHECK_EQUAL(1, inputs.rejected(input_lane::callers));
  CHECK_EQUAL(0, inputs.rejected(input_lane::promises));
}

TEST(input_lanes, eachLaneIsBounded)
{
  for (const auto lane : { input_lane::promises, input_lane::orders, input_lane::diagnostics }) {
    for (std::size_t one = 0; one < kInputLaneOptions[laneIndex(lane)].mCapacity; ++one) {
      CHECK(push(lane, "input"));
    }
    CHECK_FALSE(push(lane, "input"));
  }
}

// Replay of a burst: 1,500 callers' records wait, further ones come at twice the rate at which they
// are handled, and a report with ends comes every 15 ms. After each pass the owner plans for 20 ms.
// In order of arrival the reports waited for all records before them.
TEST(input_lanes, endsDoNotWaitBehindCallersInABurst)
{
  cost = milliseconds(1);
  for (int job = 0; job < 1500; ++job) {
    push(input_lane::callers, "job");
  }
  const auto start = time.mNow;
  auto nextReport = start;
  duration longestWait{ 0 };
  std::size_t reports = 0;
  const auto arrivals = [&](input_lane, inbox<std::string>::entry& aInput) {
    if (aInput.mItem == "ends") {
      ++reports;
      longestWait = std::max(longestWait, time.mNow - aInput.mArrived);
    }
    push(input_lane::callers, "job");
    push(input_lane::callers, "job");
    if (nextReport <= time.mNow) {
      nextReport = time.mNow + milliseconds(15);
      push(input_lane::promises, "ends");
    }
  };
  for (int turn = 0; turn < 50; ++turn) {
    handled.clear();
    pass(arrivals);
    // The callers have their share in each pass.
    CHECK(std::ranges::count(handled, "job") >= 20);
    CHECK(std::ranges::count(handled, "job") <= 24);
    push(input_lane::promises, "ends");
    time.mNow += milliseconds(20);
  }
  CHECK(reports >= 50);
  CHECK(longestWait <= milliseconds(25));
}

// Guards against lanes that starve: reports come without a pause, and each takes longer than the
// share of its lane.
TEST(input_lanes, noLaneStarves)
{
  cost = milliseconds(60);
  for (const auto lane : { input_lane::orders, input_lane::callers, input_lane::diagnostics }) {
    push(lane, "other");
  }
  push(input_lane::promises, "ends");
  pass([this](input_lane, inbox<std::string>::entry&) { push(input_lane::promises, "ends"); });
  CHECK_EQUAL(3, std::ranges::count(handled, "other"));
}

// Guards against a process that ends because of one input.
TEST(input_lanes, anErrorEndsOneInputOnly)
{
  push(input_lane::callers, "bad");
  push(input_lane::callers, "good");
  pass([](input_lane, inbox<std::string>::entry& aInput) {
    if (aInput.mItem == "bad") {
      throw std::runtime_error("malformed");
    }
  });
  CHECK_EQUAL(2, handled.size());
  CHECK_EQUAL(1, errors);
}
