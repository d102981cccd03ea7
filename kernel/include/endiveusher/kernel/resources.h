#pragma once

#include <algorithm>
#include <cstdint>

namespace endiveusher {

/// Amounts of every resource that tasks use and targets provide.
///
/// Usage: `if (needed.fitsIn(free)) { free -= needed; }`
struct resources
{
  /// Task slots. Every task uses one.
  std::int64_t mSlots = 0;
  /// Processor time, thousandths of a core.
  std::int64_t mCpuMilli = 0;
  /// Memory, MB.
  std::int64_t mMemoryMb = 0;
  /// Accelerator devices.
  std::int64_t mAccelerators = 0;

  bool operator==(const resources&) const = default;

  constexpr resources& operator+=(const resources& aOther)
  {
    mSlots += aOther.mSlots;
    mCpuMilli += aOther.mCpuMilli;
    mMemoryMb += aOther.mMemoryMb;
    mAccelerators += aOther.mAccelerators;
    return *this;
  }
  constexpr resources& operator-=(const resources& aOther)
  {
    mSlots -= aOther.mSlots;
    mCpuMilli -= aOther.mCpuMilli;
    mMemoryMb -= aOther.mMemoryMb;
    mAccelerators -= aOther.mAccelerators;
    return *this;
  }
  friend constexpr resources operator+(resources aLeft, const resources& aRight)
  {
    return aLeft += aRight;
  }
  friend constexpr resources operator-(resources aLeft, const resources& aRight)
  {
    return aLeft -= aRight;
  }

  /// Whether every component is at most that of aCapacity.
  constexpr bool fitsIn(const resources& aCapacity) const
  {
    return mSlots <= aCapacity.mSlots && mCpuMilli <= aCapacity.mCpuMilli &&
           mMemoryMb <= aCapacity.mMemoryMb && mAccelerators <= aCapacity.mAccelerators;
  }
  constexpr bool anyNegative() const
  {
    return mSlots < 0 || mCpuMilli < 0 || mMemoryMb < 0 || mAccelerators < 0;
  }
};

/// Returns the largest ratio aUsed / aTotal over the resources of which aTotal is positive, in
/// [0, inf).
/// Source: dominant resource fairness, NSDI 2011.
constexpr double dominantShare(const resources& aUsed, const resources& aTotal)
{
  double share = 0.0;
  const auto consider = [&share](std::int64_t aPart, std::int64_t aWhole) {
    if (aWhole > 0) {
      share = std::max(share, static_cast<double>(aPart) / static_cast<double>(aWhole));
    }
  };
  consider(aUsed.mSlots, aTotal.mSlots);
  consider(aUsed.mCpuMilli, aTotal.mCpuMilli);
  consider(aUsed.mMemoryMb, aTotal.mMemoryMb);
  consider(aUsed.mAccelerators, aTotal.mAccelerators);
  return share;
}

} // namespace endiveusher
