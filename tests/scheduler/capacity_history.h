#pragma once

#include "endiveusher/kernel/resources.h"
#include "endiveusher/kernel/time.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace endiveusher::scheduler::testing {

/// Former capacities of a target, to tell a start over its capacity from one that was on its way
/// when the capacity shrank.
class capacity_history
{
public:
  void add(const resources& aFormer, time_point aUntil) { mFormer.emplace_back(aUntil, aFormer); }
  /// Whether aUsed fits into aCurrent or into a capacity that was valid at aSince or later.
  bool holds(const resources& aUsed, const resources& aCurrent, time_point aSince) const
  {
    return aUsed.fitsIn(aCurrent) || std::ranges::any_of(mFormer, [&](const auto& aOne) {
             return aOne.first >= aSince && aUsed.fitsIn(aOne.second);
           });
  }

private:
  /// Each former capacity with the time of its end.
  std::vector<std::pair<time_point, resources>> mFormer;
};

} // namespace endiveusher::scheduler::testing
