#pragma once

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

namespace endiveusher::scheduler::testing {

/// Log-normal distribution with a mean, a relative spread and an upper limit.
struct quantity
{
  double mMean = 0;
  double mSpread = 0;
  double mMax = 0;
};

/// Jobs of one route: how many arrive per second, and the sizes of their steps.
struct route_load
{
  std::string mRoute;
  double mPerSecond = 0;
  double mGangFraction = 0;
  double mCheckpointingFraction = 0;
  quantity mTasks;
  quantity mCpuMilli;
  quantity mMemoryMb;
  quantity mWorkMs;
};

/// Draws arrivals and sizes; a seed repeats them.
class load_random
{
public:
  void seed(unsigned aSeed) { mEngine.seed(aSeed); }
  double draw(const quantity& aOf)
  {
    const double sigma = std::sqrt(std::log1p(aOf.mSpread * aOf.mSpread));
    std::lognormal_distribution<double> values(std::log(aOf.mMean) - sigma * sigma / 2, sigma);
    return std::clamp(values(mEngine), 1.0, aOf.mMax);
  }
  bool chance(double aProbability)
  {
    return std::uniform_real_distribution<double>(0, 1)(mEngine) < aProbability;
  }

private:
  std::mt19937_64 mEngine{ 1 };
};

} // namespace endiveusher::scheduler::testing
