#pragma once

#include "cell_load.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace endiveusher::bench {

/// Assumes three daemons in each of seven zones, because the requirements give no number.
inline constexpr std::size_t kTwoYearDaemons = 21;

/// Result of a load storm: a fault or burst of calls that affects many daemons or targets at once.
struct storm_result
{
  std::string mName;
  /// Largest number of messages in one second over all daemons, by channel.
  std::array<std::uint64_t, kChannels> mPeaks{};
  /// Appends stored and rejected by the log over the whole storm.
  std::uint64_t mAppends = 0;
  std::uint64_t mRejected = 0;
  double mAppendBytes = 0.0;
  /// Processor time of the busiest daemon over the whole storm.
  double mWorstCpuPercent = 0.0;
  /// Tasks running at the end.
  std::size_t mRunning = 0;
};

struct two_year_observer
{
  std::function<void(const std::string&, const cell_cost&)> mOnCost;
  std::function<void(const storm_result&)> mOnStorm;
};

/// Measures the cell of two-year size without extra load, at peak load and in each storm.
void runTwoYearCell(const two_year_observer& aObserver);

} // namespace endiveusher::bench
