// Standard library headers come first, because CppUTest's header defines `new` as a macro.
#include "input_lanes.h"
#include "overload/overload_cell.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::overload;
using namespace std::chrono_literals;

namespace {

/// Charges the owner's loop a constant for each input, and for a planning pass by what it visits.
/// The constants are those of half a core.
class constant_meter : private endiveusher::clock
{
public:
  const endiveusher::clock* clockOf(const time_point& /*aNow*/) { return this; }
  template<typename Work>
  duration run(loop_work aKind, const Work& aWork, const scheduler::owner& aOwner, time_point aNow)
  {
    const auto readings = mReadings;
    aWork();
    if (mReadings == readings) {
      return costOf(aKind);
    }
    const auto pass = aOwner.counts(aNow).mLastPass;
    return costOf(aKind) + std::chrono::duration_cast<duration>(pass.mVisits * kVisitCost +
                                                                pass.mSteps * kStepCost);
  }
  duration orders(loop_work /*aKind*/, std::size_t aCount) const { return aCount * kOrderCost; }

private:
  /// The clock is read only around planning passes.
  time_point now() const override
  {
    ++mReadings;
    return {};
  }
  static duration costOf(loop_work aKind)
  {
    switch (aKind) {
      case loop_work::submission:
        return 400us;
      case loop_work::advice:
        return 200us;
      case loop_work::tick:
        return 300us;
      default:
        return 30us;
    }
  }
  /// Loop time of a look at one target for one step, and of the rest of a step's turn.
  /// overload_bench needs 60 ns of processor time for a look on an idle machine; half a core beside
  /// other daemons takes four times as long.
  static constexpr std::chrono::nanoseconds kVisitCost{ 240 };
  static constexpr std::chrono::nanoseconds kStepCost{ 4000 };
  static constexpr duration kOrderCost = 25us;
  mutable std::uint64_t mReadings = 0;
};

/// The lanes of a daemon's event loop.
class daemon_lanes
{
public:
  static constexpr std::size_t kLanes = node::kInputLanes;
  static constexpr auto kLateEndsBefore = static_cast<std::size_t>(node::input_lane::callers);
  static std::size_t laneOf(loop_work aKind)
  {
    return static_cast<std::size_t>(aKind == loop_work::submission ? node::input_lane::callers
                                                                   : node::input_lane::promises);
  }
  void beginPass(time_point aNow) { mLanes.beginPass(aNow); }
  std::optional<std::size_t> next(const std::array<bool, kLanes>& aWaiting, time_point aNow)
  {
    const auto lane = mLanes.next(aWaiting, aNow);
    return lane ? std::optional(static_cast<std::size_t>(*lane)) : std::nullopt;
  }

private:
  node::input_lanes mLanes;
};

using replayed_cell = overload_cell<constant_meter, daemon_lanes>;

} // namespace

/// Load of a large cell on a day on which its owner did not recover: a team that sends several
/// times its usual, a burst of short jobs, another such team, then the usual load.
TEST_GROUP(overload_replay)
{
  static constexpr duration kOverloadEnd = 17s;
  /// Time after the overload in which the cell has to be back to normal.
  static constexpr duration kRecovery = 5s;

  constant_meter meter;

  static overload_options options()
  {
    auto options = largeCell();
    options.mBursts = { { .mTeam = 0, .mFrom = 1s, .mTo = 9s, .mFactor = 3.6 },
                        { .mClass = "short", .mFrom = 6800ms, .mTo = 10800ms, .mFactor = 2.2 },
                        { .mTeam = 1, .mFrom = 9s, .mTo = kOverloadEnd, .mFactor = 5.2 } };
    options.mLength = kOverloadEnd + kRecovery + 4s;
    options.mDrain = 2s;
    return options;
  }
};

// Guards against an overload that goes on after its cause has ended.
TEST(overload_replay, newShortJobsAreOnTimeSoonAfterAnOverload)
{
  replayed_cell cell(options(), meter);
  cell.play();
  const auto first = static_cast<std::size_t>((kOverloadEnd + kRecovery) / cell.kWindow);
  CHECK_COMPARE(cell.windows().size(), >, first);
  for (auto at = first; (at + 1) * cell.kWindow <= options().mLength; ++at) {
    const auto& one = cell.windows()[at].mByClass.at("short");
    CHECK_COMPARE(one.mSent, >, 200U);
    CHECK_COMPARE(one.mOnTime * 100, >=, one.mSent * 95);
  }
}

// Guards against calls for advice by the number of steps that wait instead of by what can start.
TEST(overload_replay, stepsDoNotAskForAdviceAgainAndAgain)
{
  replayed_cell cell(options(), meter);
  cell.play();
  std::uint32_t calls = 0;
  std::uint32_t steps = 0;
  for (const auto& one : cell.windows()) {
    calls += one.mAdviceCalls;
    steps += one.mStartedSteps;
  }
  CHECK_COMPARE(calls, <, 2 * steps);
}

// Guards against ends that wait behind callers and planning: the tasks of a target that is lost
// meanwhile would run again.
TEST(overload_replay, endsAreStoredSoonAfterTheirReportAtAnyLoad)
{
  replayed_cell cell(options(), meter);
  cell.play();
  for (const auto& one : cell.windows()) {
    CHECK_COMPARE(one.mLongestEndTime / 1ms, <=, 100);
  }
}
