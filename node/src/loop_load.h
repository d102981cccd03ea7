#pragma once

#include "endiveusher/kernel/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace endiveusher::node {

/// What the loop of a daemon spends its time on.
enum class loop_phase : std::uint8_t
{
  /// Waits for the network or the next deadline.
  idle,
  /// Calls of callers and of other daemons.
  callers,
  /// Reads and appends at the store, and what follows from them.
  store,
  /// Decisions of the owner.
  decisions,
  /// Outgoing calls: encoding, libcurl, decoding.
  calls,
};

/// Attributes the loop's time to phases, each moment to the innermost one. On a machine with a part
/// of a core this is elapsed time, so a phase includes the time in which the core was withheld.
class loop_load
{
public:
  explicit loop_load(const clock& aClock);

  /// Measures a phase until it is destroyed.
  class scope
  {
  public:
    scope(loop_load& aLoad, loop_phase aPhase) : mLoad(aLoad), mOuter(aLoad.change(aPhase)) {}
    ~scope() { mLoad.change(mOuter); }
    scope(const scope&) = delete;
    scope& operator=(const scope&) = delete;

  private:
    loop_load& mLoad;
    loop_phase mOuter;
  };

  /// Parts of the time since the last report, in percent by phase.
  std::string report();
  /// Counters in the Prometheus text format.
  std::string metrics() const;

private:
  static constexpr std::size_t kPhases = 5;

  /// Begins a phase and returns the one that it replaces.
  loop_phase change(loop_phase aPhase);

  const clock& mClock;
  loop_phase mPhase = loop_phase::callers;
  time_point mSince;
  std::array<duration, kPhases> mTotals{};
  std::array<duration, kPhases> mReported{};
};

} // namespace endiveusher::node
