#pragma once

#include "endiveusher/kernel/resources.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace endiveusher::scheduler::internal {

/// Returns how often aPart fits into aWhole; the largest std::int32_t if aPart is not positive.
inline std::int64_t fitCount(std::int64_t aPart, std::int64_t aWhole)
{
  return aPart <= 0 ? std::numeric_limits<std::int32_t>::max()
                    : std::max<std::int64_t>(aWhole, 0) / aPart;
}

/// Returns the number of tasks with aNeeds that fit into the free capacity aFree.
inline std::uint32_t maxTasksIn(const resources& aNeeds, const resources& aFree)
{
  if (aFree.anyNegative()) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::min(
    { fitCount(aNeeds.mCpuMilli, aFree.mCpuMilli), fitCount(aNeeds.mMemoryMb, aFree.mMemoryMb),
      fitCount(aNeeds.mAccelerators, aFree.mAccelerators) }));
}

/// Returns the needs of aCount tasks.
inline resources times(const resources& aNeeds, std::uint32_t aCount)
{
  const auto count = static_cast<std::int64_t>(aCount);
  return { .mSlots = aNeeds.mSlots * count,
           .mCpuMilli = aNeeds.mCpuMilli * count,
           .mMemoryMb = aNeeds.mMemoryMb * count,
           .mAccelerators = aNeeds.mAccelerators * count };
}

} // namespace endiveusher::scheduler::internal
