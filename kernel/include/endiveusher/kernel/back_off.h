#pragma once

#include "endiveusher/kernel/time.h"

#include <algorithm>
#include <cstdint>

namespace endiveusher {

/// Returns aBase doubled aDoublings times, at most aLargest.
constexpr duration doubled(duration aBase, std::uint32_t aDoublings, duration aLargest)
{
  constexpr std::uint32_t kMaxDoublings = 20; // Larger values would overflow.
  return std::min(aLargest, aBase * (std::int64_t{ 1 } << std::min(aDoublings, kMaxDoublings)));
}

} // namespace endiveusher
