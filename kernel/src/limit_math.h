#pragma once

#include "endiveusher/kernel/config.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace endiveusher::internal {

/// Components of a limit_vector, for iteration.
inline constexpr std::array kLimitComponents{ &limit_vector::mTasks, &limit_vector::mCpuMilli,
                                              &limit_vector::mMemoryMb,
                                              &limit_vector::mAccelerators };

inline constexpr limit_vector kZeroLimits{ .mTasks = 0,
                                           .mCpuMilli = 0,
                                           .mMemoryMb = 0,
                                           .mAccelerators = 0 };

/// Returns aLeft + aRight; a component that is unlimited on either side is unlimited.
inline limit_vector addLimits(const limit_vector& aLeft, const limit_vector& aRight)
{
  limit_vector sum;
  for (const auto component : kLimitComponents) {
    const bool unlimited =
      aLeft.*component == limit_vector::kUnlimited || aRight.*component == limit_vector::kUnlimited;
    sum.*component = unlimited ? limit_vector::kUnlimited : aLeft.*component + aRight.*component;
  }
  return sum;
}

/// Returns aLeft - aRight, at least zero; a component that is unlimited on either side keeps the
/// value of aLeft.
inline limit_vector subtractLimits(const limit_vector& aLeft, const limit_vector& aRight)
{
  limit_vector rest;
  for (const auto component : kLimitComponents) {
    if (aLeft.*component == limit_vector::kUnlimited ||
        aRight.*component == limit_vector::kUnlimited) {
      rest.*component = aLeft.*component;
    } else {
      rest.*component = std::max<std::int64_t>(0, aLeft.*component - aRight.*component);
    }
  }
  return rest;
}

/// Returns aAmount x aNumerator / aDenominator, rounded towards zero, without overflow of the
/// product.
inline std::int64_t scaled(std::int64_t aAmount, std::int64_t aNumerator, std::int64_t aDenominator)
{
  __extension__ using wide = __int128;
  return static_cast<std::int64_t>(static_cast<wide>(aAmount) * aNumerator / aDenominator);
}

} // namespace endiveusher::internal
