#pragma once

#include "endiveusher/kernel/time.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace endiveusher::node {

/// Fractions of a span of time, from 0 to 1, that the owner's event loop has spent.
struct loop_load
{
  /// Waiting for the network or the next deadline.
  double mIdle = 1;
  /// Making calls to targets and to other daemons.
  double mCalls = 0;
};

/// Decides whether an owner makes the calls to its targets itself or through relays.
///
/// Load pattern: bursts of starts and ends in a cell of some hundred targets. The calls take more
/// than half of the owner's processor and its decisions the rest, so that jobs start late although
/// there is room. Relays take most of the calls over. In a cell with less load they only delay
/// orders: each waits for its batch and for a second hop.
///
/// Relays are enabled while the loop still has some time left, and disabled after a while if it
/// would also have that with direct calls. A load near the limit does not switch back and forth
/// more often: each switch opens connections to all targets anew.
///
/// Usage:
///   if (policy.update(load, targets, cores, now)) { ... }
class relay_policy
{
public:
  /// Number of targets for each core of the owner beyond which it always uses relays. The calls to
  /// 350 targets take about a fifth of a core, the decisions as much.
  static constexpr double kMaxDirectTargetsPerCore = 800;
  /// The same up to which it never does: decisions and callers take most of its time then.
  static constexpr double kMinRelayedTargetsPerCore = 300;
  /// Period over which the load is averaged; a burst lasts some seconds.
  static constexpr std::chrono::milliseconds kAveragePeriod{ 600 };
  /// Relays are enabled below this idle time, if calls take at least kEnabledCalls. Owners of 350
  /// targets on half a core are idle for a quarter of a quiet day; from 0.4 on, relays delayed its
  /// jobs.
  static constexpr double kEnabledIdle = 0.2;
  static constexpr double kEnabledCalls = 0.25;
  /// They are disabled if direct calls would leave at least this idle time. A relayed order costs
  /// the owner about a third of a direct call.
  static constexpr double kDisabledIdle = 0.2;
  static constexpr double kDirectCostFactor = 3;
  /// Shortest time for which relays stay enabled.
  static constexpr std::chrono::seconds kMinRelayTime{ 10 };

  /// Takes the load since the last call into account; returns whether orders are relayed now.
  bool update(const loop_load& aLoad, std::size_t aTargets, double aOwnerCores, time_point aNow);
  /// Starts anew, with relays disabled.
  void reset() { *this = relay_policy{}; }

  bool relays() const { return mRelays; }
  /// Average load.
  const loop_load& load() const { return mLoad; }
  /// Why relays are enabled or disabled, for the log.
  std::string_view reason() const { return mReason; }

private:
  void set(bool aRelays, std::string_view aReason, time_point aNow);

  loop_load mLoad;
  std::optional<time_point> mUpdatedAt;
  bool mRelays = false;
  std::string_view mReason = "load";
  time_point mSince{};
};

} // namespace endiveusher::node
