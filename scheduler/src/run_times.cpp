#include "run_times.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace endiveusher::scheduler::internal {

namespace {

/// Number of runs for which the estimate counts in a route's prediction, so that it returns to the
/// estimate while no runs end.
constexpr double kEstimateRuns = 5;
/// Number of runs for which the route's prediction counts in that of a team.
constexpr double kRouteRuns = 10;
/// The estimates of a team are assumed to be right as if this many runs with a spread of about 0.3
/// had shown it, in units of their squared logarithms.
constexpr double kSlopePrior = 0.5;
/// Half-lives after which the weights are scaled down, to stay within the range of a double.
constexpr double kMaxHalfLives = 100;
/// A run is slow from this multiple of its prediction, and this time for orders and reports.
constexpr double kSlowFactor = 2.5;
constexpr auto kSlowMargin = std::chrono::milliseconds(300);
/// Assumed fraction of slow runs of a team without runs, and the number of runs for which that
/// counts: two slow runs are needed then.
constexpr double kAssumedOutliers = 0.03;
constexpr double kOutlierPriorRuns = 20;
/// Largest fraction of a team's runs whose targets may be the reason that they are slow: no larger
/// part of a pool is excluded. Without this bound, a team whose estimates are far too small marks
/// every target that it has for itself.
constexpr double kMaxSlowPart = 0.2;
/// Probability of slow runs that the target does not explain from which it counts as slow.
constexpr double kMaxChance = 0.01;

double logOf(duration aTime)
{
  return std::log(std::max(std::chrono::duration<double, std::milli>(aTime).count(), 1.0));
}

} // namespace

double run_times::scaleAt(time_point aNow) const
{
  const std::chrono::duration<double> age = aNow - mScaleFrom;
  return std::exp2(age / std::chrono::duration<double>(kHalfLife));
}

void run_times::rescale(time_point aNow)
{
  const std::chrono::duration<double> age = aNow - mScaleFrom;
  if (!mRoutes.empty() && age / std::chrono::duration<double>(kHalfLife) <= kMaxHalfLives) {
    return;
  }
  const double factor = mRoutes.empty() ? 1 : 1 / scaleAt(aNow);
  for (auto& [name, one] : mRoutes) {
    for (auto& [team, sums] : one.mTeams) {
      for (auto* sum : { &sums.mWeight, &sums.mX, &sums.mY, &sums.mXx, &sums.mXy, &sums.mYy,
                         &sums.mOutliers, &sums.mSlow }) {
        *sum *= factor;
      }
    }
  }
  mScaleFrom = aNow;
}

const run_times::route* run_times::findRoute(std::string_view aRoute) const
{
  const auto found = mRoutes.find(aRoute);
  return found == mRoutes.end() ? nullptr : &found->second;
}

void run_times::dropOldestRoute()
{
  const auto oldest =
    std::ranges::min_element(mRoutes, {}, [](const auto& aOne) { return aOne.second.mLastRun; });
  mPairs -= oldest->second.mTeams.size();
  mRoutes.erase(oldest);
}

void run_times::dropOldestPair()
{
  route* in = nullptr;
  std::map<std::string, moments, std::less<>>::iterator oldest;
  for (auto& [name, one] : mRoutes) {
    for (auto at = one.mTeams.begin(); at != one.mTeams.end(); ++at) {
      if (in == nullptr || at->second.mLastRun < oldest->second.mLastRun) {
        in = &one;
        oldest = at;
      }
    }
  }
  if (in != nullptr) {
    in->mTeams.erase(oldest);
    --mPairs;
  }
}

run_times::moments& run_times::momentsOf(std::string_view aRoute, std::string_view aTeam,
                                         time_point aNow)
{
  auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    if (mRoutes.size() >= kMaxRoutes) {
      dropOldestRoute();
    }
    found = mRoutes.try_emplace(std::string(aRoute)).first;
  }
  auto team = found->second.mTeams.find(aTeam);
  if (team == found->second.mTeams.end()) {
    if (mPairs >= kMaxPairs) {
      dropOldestPair();
    }
    team = found->second.mTeams.try_emplace(std::string(aTeam)).first;
    ++mPairs;
  }
  found->second.mLastRun = aNow;
  team->second.mLastRun = aNow;
  return team->second;
}

void run_times::onEnded(std::string_view aRoute, std::string_view aTeam, duration aEstimate,
                        duration aActual, time_point aNow)
{
  rescale(aNow);
  // Slow runs count up to the time from which they are slow: slow targets would lengthen the
  // predictions by which they are found.
  const double x = logOf(aEstimate);
  const double y =
    logOf(std::clamp(aActual, duration{ 0 }, slowAfter(predicted(aRoute, aTeam, aEstimate, aNow))));
  const double weight = scaleAt(aNow);
  auto& sums = momentsOf(aRoute, aTeam, aNow);
  sums.mWeight += weight;
  sums.mX += weight * x;
  sums.mY += weight * y;
  sums.mXx += weight * x * x;
  sums.mXy += weight * x * y;
  sums.mYy += weight * y * y;
  ++mRoutes.find(aRoute)->second.mRuns;
}

void run_times::onSlow(std::string_view aRoute, std::string_view aTeam, time_point aNow)
{
  rescale(aNow);
  momentsOf(aRoute, aTeam, aNow).mSlow += scaleAt(aNow);
}

void run_times::onOutlier(std::string_view aRoute, std::string_view aTeam, time_point aNow)
{
  rescale(aNow);
  momentsOf(aRoute, aTeam, aNow).mOutliers += scaleAt(aNow);
}

double run_times::fit(const moments& aOf, double aEstimate, double aScale)
{
  const double meanX = aOf.mX / aOf.mWeight;
  const double meanY = aOf.mY / aOf.mWeight;
  const double prior = kSlopePrior * aScale;
  const double slope = std::clamp((aOf.mXy - aOf.mX * meanY + prior) /
                                    (std::max(aOf.mXx - aOf.mX * meanX, 0.0) + prior),
                                  0.0, 1.0);
  const double bound = std::log(kMaxRatio);
  return std::clamp(meanY + slope * (aEstimate - meanX), aEstimate - bound, aEstimate + bound);
}

duration run_times::predicted(std::string_view aRoute, std::string_view aTeam, duration aEstimate,
                              time_point aNow) const
{
  const auto* of = findRoute(aRoute);
  if (of == nullptr || of->mRuns < kMinRuns || aEstimate <= duration{ 0 }) {
    return aEstimate;
  }
  const double x = logOf(aEstimate);
  const double scale = scaleAt(aNow);
  // Each team's line is bounded before the mean is taken, which bounds the influence of a team.
  double sum = kEstimateRuns * scale * x;
  double weight = kEstimateRuns * scale;
  double own = 0;
  double ownWeight = 0;
  for (const auto& [team, sums] : of->mTeams) {
    if (sums.mWeight <= 0) {
      continue;
    }
    const double line = fit(sums, x, scale);
    sum += sums.mWeight * line;
    weight += sums.mWeight;
    if (team == aTeam) {
      own = line;
      ownWeight = sums.mWeight;
    }
  }
  const double prior = kRouteRuns * scale;
  const double log = (ownWeight * own + prior * sum / weight) / (ownWeight + prior);
  return std::chrono::duration_cast<duration>(std::exp(log - x) * aEstimate);
}

duration run_times::slowAfter(duration aPredicted)
{
  return std::chrono::duration_cast<duration>(kSlowFactor * aPredicted) + kSlowMargin;
}

double run_times::evidenceWeight(std::string_view aRoute, std::string_view aTeam,
                                 time_point aNow) const
{
  const auto* of = findRoute(aRoute);
  if (of == nullptr || of->mRuns < kMinRuns) {
    return 0;
  }
  const auto found = of->mTeams.find(aTeam);
  const double scale = scaleAt(aNow);
  const moments sums = found == of->mTeams.end() ? moments{} : found->second;
  const double runs = sums.mWeight / scale;
  const double outliers =
    std::max(sums.mOutliers, sums.mSlow - kMaxSlowPart * sums.mWeight) / scale;
  const double chance =
    (outliers + kAssumedOutliers * kOutlierPriorRuns) / (runs + kOutlierPriorRuns);
  return std::clamp(std::log(chance) / std::log(kMaxChance), 0.0, 1.0);
}

std::vector<route_run_times> run_times::routes() const
{
  std::vector<route_run_times> found;
  for (const auto& [name, one] : mRoutes) {
    moments all;
    for (const auto& [team, sums] : one.mTeams) {
      all.mWeight += sums.mWeight;
      all.mY += sums.mY - sums.mX;
      all.mYy += sums.mYy - 2 * sums.mXy + sums.mXx;
    }
    if (all.mWeight > 0) {
      const double mean = all.mY / all.mWeight;
      found.push_back({ .mRoute = name,
                        .mRuns = one.mRuns,
                        .mMeanRatio = std::exp(mean),
                        .mSpread = std::sqrt(std::max(all.mYy / all.mWeight - mean * mean, 0.0)) });
    }
  }
  return found;
}

} // namespace endiveusher::scheduler::internal
