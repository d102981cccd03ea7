#pragma once

#include "bench_cell.h"

#include <string>
#include <utility>
#include <vector>

namespace endiveusher::bench {

/// Cost of a daemon in one measured window, averaged over all daemons.
struct cell_cost
{
  double mCpuPercent = 0.0;
  /// Busiest daemon.
  double mWorstCpuPercent = 0.0;
  double mMemoryKb = 0.0;
  /// Peer messages are counted at the sender; HTTP requests and responses at the daemon.
  double mBytesPerSecond = 0.0;
  std::array<double, kChannels> mChannelBytes{};
  std::array<double, kChannels> mChannelMessages{};
  /// Mean processor time of an event by kind of work, us; zero if there was none.
  std::array<double, kWorks> mEventUs{};
  std::array<double, kWorks> mEventP99Us{};
};

/// Clears the meter, runs the cell for aWindow and returns the cost, without memory.
cell_cost measureWindow(bench_cell& aCell, duration aWindow);

/// Returns the mean of endAndMeasureMemory(), KB. Ends all daemons.
double measureMemoryKb(bench_cell& aCell);

/// Submits tasks of 0.1 cores and 100 MB in jobs of 50 tasks, spread over daemons and teams.
void submitTasks(bench_cell& aCell, std::size_t aTasks, job_kind aKind,
                 const std::string& aCommand);

/// Schedules submissions of tasks that run 1 s, in jobs of ten tasks, at a steady rate over all
/// daemons until aLength has passed.
void scheduleStarts(bench_cell& aCell, double aStartsPerSecond, duration aLength);

/// Schedules aChanges publications, spread evenly over aLength and over all daemons.
void scheduleChanges(bench_cell& aCell, std::size_t aChanges, duration aLength);

} // namespace endiveusher::bench
