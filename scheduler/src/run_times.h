#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/owner.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::scheduler::internal {

/// Learned run times of tasks, per route and team. Pure: the time is passed in.
///
/// Load pattern: callers' estimates are wrong by up to nine tenths of their value, and ranks,
/// preemption and admission rely on them. Estimates and actual times are compared in logarithms, by
/// a line for each team: where a team's estimates say nothing about its run times, the slope is 0,
/// and its prediction is its mean.
class run_times
{
public:
  /// Number of runs of a route that have to end before its predictions differ from the estimates.
  static constexpr std::uint64_t kMinRuns = 20;
  /// Time in which the weight of past runs halves.
  static constexpr std::chrono::seconds kHalfLife{ 60 };
  /// Bound of the ratio of a prediction to its estimate, in both directions.
  static constexpr double kMaxRatio = 4;
  static constexpr std::size_t kMaxRoutes = 64;
  /// Largest number of pairs of route and team.
  static constexpr std::size_t kMaxPairs = 512;

  /// Counts a run that was observed from its start to its end.
  void onEnded(std::string_view aRoute, std::string_view aTeam, duration aEstimate,
               duration aActual, time_point aNow);
  /// Counts a slow run, whatever the reason.
  void onSlow(std::string_view aRoute, std::string_view aTeam, time_point aNow);
  /// Counts a slow run that its target does not explain, so that the team's runs are less evidence
  /// about targets.
  void onOutlier(std::string_view aRoute, std::string_view aTeam, time_point aNow);

  /// Returns the expected run time. A team changes the logarithm of the prediction for another one
  /// by no more than its share of the route's runs, of the range that kMaxRatio permits.
  duration predicted(std::string_view aRoute, std::string_view aTeam, duration aEstimate,
                     time_point aNow) const;
  /// Returns the time from which a run with this prediction counts as slow.
  static duration slowAfter(duration aPredicted);
  /// Returns how much a slow run tells about its target, 0 to 1: a target counts as slow from a sum
  /// of 1. The more of the team's runs are slow for other reasons, the less.
  double evidenceWeight(std::string_view aRoute, std::string_view aTeam, time_point aNow) const;

  std::vector<route_run_times> routes() const;
  std::size_t pairs() const { return mPairs; }

private:
  /// Weighted sums of the logarithms of estimates (x) and actual times (y).
  struct moments
  {
    double mWeight = 0;
    double mX = 0;
    double mY = 0;
    double mXx = 0;
    double mXy = 0;
    double mYy = 0;
    /// Weight of the runs that were slow for reasons other than their target.
    double mOutliers = 0;
    /// Weight of all slow runs.
    double mSlow = 0;
    time_point mLastRun{};
  };
  struct route
  {
    std::uint64_t mRuns = 0;
    time_point mLastRun{};
    std::map<std::string, moments, std::less<>> mTeams;
  };

  /// Returns the logarithm of the run time by the team's own runs.
  static double fit(const moments& aOf, double aEstimate, double aScale);
  /// Returns the weight of a run that ends at aNow. It grows with the time instead of having all
  /// former weights decay.
  double scaleAt(time_point aNow) const;
  void rescale(time_point aNow);
  const route* findRoute(std::string_view aRoute) const;
  moments& momentsOf(std::string_view aRoute, std::string_view aTeam, time_point aNow);
  void dropOldestRoute();
  void dropOldestPair();

  std::map<std::string, route, std::less<>> mRoutes;
  std::size_t mPairs = 0;
  /// Time at which a run had the weight 1.
  time_point mScaleFrom{};
};

} // namespace endiveusher::scheduler::internal
