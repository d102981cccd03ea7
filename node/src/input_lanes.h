#pragma once

#include "endiveusher/kernel/time.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace endiveusher::node {

/// Queues in which inputs wait for the event loop, the most urgent one first.
enum class input_lane : std::uint8_t
{
  /// Hellos, and the hand-over of ends between owners: few, and late ones make a daemon look gone.
  membership,
  /// What keeps promises: results of orders, with ends and leases.
  promises,
  /// Orders and advice calls to be made for the owner.
  orders,
  /// Requests of callers, and records and queries that other daemons forward for theirs.
  callers,
  /// Metrics and state.
  diagnostics,
};

inline constexpr std::size_t kInputLanes = 5;

struct input_lane_options
{
  std::string_view mName;
  /// Number of inputs that may wait; further ones are rejected.
  std::size_t mCapacity = 0;
  /// Time in a pass of the loop after which the lane gets no further turn.
  std::chrono::milliseconds mBudget{ 0 };
  /// Number of inputs that are handled in a pass also beyond the budget.
  std::size_t mMinInputs = 1;
};

/// Capacity and share of each lane. The callers' budget is a fifth of the 100 ms after which an end
/// counts as noted. Without the other budgets, inputs that go on to arrive would keep the loop from
/// the store and from planning.
inline constexpr std::array<input_lane_options, kInputLanes> kInputLaneOptions{ {
  { .mName = "membership",
    .mCapacity = 1000,
    .mBudget = std::chrono::milliseconds(20),
    .mMinInputs = 10 },
  { .mName = "promises",
    .mCapacity = 1000,
    .mBudget = std::chrono::milliseconds(50),
    .mMinInputs = 10 },
  { .mName = "orders",
    .mCapacity = 1000,
    .mBudget = std::chrono::milliseconds(30),
    .mMinInputs = 4 },
  { .mName = "callers",
    .mCapacity = 2000,
    .mBudget = std::chrono::milliseconds(20),
    .mMinInputs = 4 },
  { .mName = "diagnostics",
    .mCapacity = 32,
    .mBudget = std::chrono::milliseconds(1),
    .mMinInputs = 1 },
} };

/// Decides which input the event loop handles next, and when a pass of the loop has handled enough.
///
/// Load pattern: a burst in which a thousand callers' records wait at the owner while relays report
/// ends of runs. In order of arrival the ends waited half a second; the owner was killed before it
/// had stored them, and the tasks ran again.
///
/// The most urgent lane that has inputs is next, also if these have arrived during the pass. Each
/// lane has a share of the pass, so that none starves, and a minimum, so that it makes progress
/// where one input takes longer than its share. Within a lane the order is that of arrival.
///
/// Usage:
///   lanes.beginPass(clock.now());
///   while (const auto lane = lanes.next(waiting, clock.now())) { ... }
class input_lanes
{
public:
  /// Whether inputs wait, by lane.
  using waiting_lanes = std::array<bool, kInputLanes>;

  explicit input_lanes(
    const std::array<input_lane_options, kInputLanes>& aOptions = kInputLaneOptions)
    : mOptions(aOptions)
  {
  }

  void beginPass(time_point aNow);
  /// Returns the lane of the next input, nothing if the pass has handled enough. The time until the
  /// next call is taken as used by that lane.
  std::optional<input_lane> next(const waiting_lanes& aWaiting, time_point aNow);

private:
  struct share
  {
    duration mUsed{ 0 };
    std::size_t mInputs = 0;
  };

  const std::array<input_lane_options, kInputLanes> mOptions;
  std::array<share, kInputLanes> mShares{};
  std::optional<input_lane> mCurrent;
  time_point mSince{};
};

} // namespace endiveusher::node
