#pragma once

#include "bench_cell.h"

#include <string>
#include <utility>
#include <vector>

namespace endiveusher::bench {

/// What a daemon spent in one measured window, mean of all daemons.
struct cell_cost
{
  double mCpuPercent = 0.0;
  double mWorstCpuPercent = 0.0;
  double mMemoryKb = 0.0;
  /// Peer bytes are counted where they are sent; HTTP requests and answers at the daemon.
  double mBytesPerSecond = 0.0;
  std::array<double, kChannels> mChannelBytes{};
  std::array<double, kChannels> mChannelMessages{};
  /// Mean processor time of an event, us; zero if there was none.
  std::array<double, kWorks> mEventUs{};
  std::array<double, kWorks> mEventP99Us{};
};

/// Clears the meter, runs the window and returns its cost without memory.
cell_cost measureWindow(bench_cell& aCell, duration aWindow);

/// Mean of endAndMeasureMemory(), KB. Ends all daemons.
double measureMemoryKb(bench_cell& aCell);

/// Submits tasks of 0.1 cores and 100 MB, spread over daemons and teams, in jobs of
/// 50 tasks.
void submitTasks(bench_cell& aCell, std::size_t aTasks, job_kind aKind,
                 const std::string& aCommand);

/// Starts tasks that run 1 s at a steady rate over all daemons until aLength has passed, as jobs
/// of ten tasks.
void scheduleStarts(bench_cell& aCell, double aStartsPerSecond, duration aLength);

/// Spreads aChanges publications over all daemons and aLength.
void scheduleChanges(bench_cell& aCell, std::size_t aChanges, duration aLength);

} // namespace endiveusher::bench
