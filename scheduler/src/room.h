#pragma once

#include "endiveusher/kernel/resources.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace endiveusher::scheduler::internal {

/// How often a part fits into a whole; without bound if the part is nothing.
inline std::int64_t timesIn(std::int64_t aPart, std::int64_t aWhole)
{
  return aPart <= 0 ? std::numeric_limits<std::int32_t>::max()
                    : std::max<std::int64_t>(aWhole, 0) / aPart;
}

/// How many tasks with these needs the room takes.
inline std::uint32_t fits(const resources& aNeeds, const resources& aRoom)
{
  if (aRoom.anyNegative()) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::min(
    { timesIn(aNeeds.mCpuMilli, aRoom.mCpuMilli), timesIn(aNeeds.mMemoryMb, aRoom.mMemoryMb),
      timesIn(aNeeds.mAccelerators, aRoom.mAccelerators) }));
}

/// The needs of several tasks.
inline resources times(const resources& aNeeds, std::uint32_t aCount)
{
  const auto count = static_cast<std::int64_t>(aCount);
  return { .mSlots = aNeeds.mSlots * count,
           .mCpuMilli = aNeeds.mCpuMilli * count,
           .mMemoryMb = aNeeds.mMemoryMb * count,
           .mAccelerators = aNeeds.mAccelerators * count };
}

} // namespace endiveusher::scheduler::internal
