#pragma once

#include "cell_load.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace endiveusher::bench {

/// Three daemons in each of seven zones; an assumption, as the requirements name no number.
inline constexpr std::size_t kTwoYearDaemons = 21;

struct storm_result
{
  std::string mName;
  /// Most messages in one second, all daemons together, by channel.
  std::array<std::uint64_t, kChannels> mPeaks{};
  /// Appends that the log stored and refused over the whole storm.
  std::uint64_t mAppends = 0;
  std::uint64_t mRejected = 0;
  double mAppendBytes = 0.0;
  /// Busiest daemon over the whole storm.
  double mWorstCpuPercent = 0.0;
  /// Tasks running at the end.
  std::size_t mRunning = 0;
};

struct two_year_observer
{
  std::function<void(const std::string&, const cell_cost&)> mOnCost;
  std::function<void(const storm_result&)> mOnStorm;
};

/// Runs the cell of two-year size: calm, at peak, with slower reads of list and log, and in each
/// storm.
void runTwoYears(const two_year_observer& aObserver);

} // namespace endiveusher::bench
