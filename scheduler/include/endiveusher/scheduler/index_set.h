#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>

namespace endiveusher::scheduler {

/// Set of indexes that is kept as ranges: a set without gaps takes the memory of one range.
class index_set
{
public:
  bool contains(std::uint32_t aIndex) const
  {
    const auto after = mRanges.upper_bound(aIndex);
    return after != mRanges.begin() && aIndex <= std::prev(after)->second;
  }

  void insert(std::uint32_t aIndex) { insert(aIndex, aIndex); }
  /// Adds the indexes from aFirst to aLast, both included.
  void insert(std::uint32_t aFirst, std::uint32_t aLast)
  {
    auto at = mRanges.upper_bound(aFirst);
    // Ranges that overlap with the new one, or adjoin it, become part of it.
    if (at != mRanges.begin() && std::uint64_t{ std::prev(at)->second } + 1 >= aFirst) {
      --at;
    }
    while (at != mRanges.end() && at->first <= std::uint64_t{ aLast } + 1) {
      aFirst = std::min(aFirst, at->first);
      aLast = std::max(aLast, at->second);
      at = mRanges.erase(at);
    }
    mRanges.emplace(aFirst, aLast);
  }

  /// Returns the smallest index that is not in the set.
  std::uint32_t firstMissing() const
  {
    return mRanges.empty() || mRanges.begin()->first > 0 ? 0 : mRanges.begin()->second + 1;
  }
  /// First and last index of each range, ascending and with gaps between them.
  const std::map<std::uint32_t, std::uint32_t>& ranges() const { return mRanges; }
  bool empty() const { return mRanges.empty(); }

private:
  std::map<std::uint32_t, std::uint32_t> mRanges;
};

} // namespace endiveusher::scheduler
