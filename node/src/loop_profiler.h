#pragma once

#include "endiveusher/kernel/time.h"
#include "relay_policy.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace endiveusher::node {

/// Phases that the time of a daemon's event loop is attributed to.
enum class loop_phase : std::uint8_t
{
  /// Waiting for the network or the next deadline.
  idle,
  /// Handling calls of callers and of other daemons.
  callers,
  /// Sending reads and appends to the store, and handling their results.
  store,
  /// Scheduling decisions of the owner.
  decisions,
  /// Outgoing calls: encoding, libcurl and decoding.
  calls,
};

/// Attributes the loop's elapsed time to phases; nested phases count for the innermost one only. As
/// elapsed time is measured, a phase on a machine with a CPU quota includes throttled time.
class loop_profiler
{
public:
  explicit loop_profiler(const clock& aClock);

  /// Attributes the time until its destruction to a phase.
  class scope
  {
  public:
    scope(loop_profiler& aProfiler, loop_phase aPhase)
      : mProfiler(aProfiler), mOuter(aProfiler.enter(aPhase))
    {
    }
    ~scope() { mProfiler.enter(mOuter); }
    scope(const scope&) = delete;
    scope& operator=(const scope&) = delete;

  private:
    loop_profiler& mProfiler;
    loop_phase mOuter;
  };

  /// Returns the load since the last call.
  loop_load load();
  /// Returns the percentage of each phase in the time since the last report.
  std::string report();
  /// Returns the counters in the Prometheus text format.
  std::string metrics() const;

private:
  static constexpr std::size_t kPhases = 5;

  /// Enters a phase and returns the one that it replaces.
  loop_phase enter(loop_phase aPhase);

  const clock& mClock;
  loop_phase mPhase = loop_phase::callers;
  time_point mSince;
  std::array<duration, kPhases> mTotals{};
  std::array<duration, kPhases> mReported{};
  /// mTotals at the last call of load().
  std::array<duration, kPhases> mLoaded{};
};

} // namespace endiveusher::node
