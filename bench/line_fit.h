#pragma once

#include <cstddef>
#include <span>
#include <utility>

namespace endiveusher::bench {

/// Least-squares fit of a line.
struct line_fit
{
  double mSlope = 0.0;
  double mIntercept = 0.0;
  /// Fraction of the variance explained by the line; 1 if the values do not vary.
  double mRSquared = 1.0;
};

/// Usage: `const auto line = fitLine(points);`
inline line_fit fitLine(std::span<const std::pair<double, double>> aPoints)
{
  const auto count = static_cast<double>(aPoints.size());
  double meanX = 0.0;
  double meanY = 0.0;
  for (const auto& [x, y] : aPoints) {
    meanX += x / count;
    meanY += y / count;
  }
  double xx = 0.0;
  double xy = 0.0;
  double yy = 0.0;
  for (const auto& [x, y] : aPoints) {
    xx += (x - meanX) * (x - meanX);
    xy += (x - meanX) * (y - meanY);
    yy += (y - meanY) * (y - meanY);
  }
  line_fit fit;
  fit.mSlope = xx > 0.0 ? xy / xx : 0.0;
  fit.mIntercept = meanY - fit.mSlope * meanX;
  fit.mRSquared = xx > 0.0 && yy > 0.0 ? xy * xy / (xx * yy) : 1.0;
  return fit;
}

} // namespace endiveusher::bench
