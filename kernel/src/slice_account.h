#pragma once

#include "endiveusher/kernel/config.h"
#include "endiveusher/kernel/ids.h"
#include "endiveusher/kernel/resources.h"

#include <algorithm>
#include <map>

namespace endiveusher::internal {

/// Returns aLimit minus aCharged, at least zero; unlimited components stay unlimited.
inline limit_vector unusedOf(const limit_vector& aLimit, const limit_vector& aCharged)
{
  const auto part = [](std::int64_t aWhole, std::int64_t aUsed) {
    return aWhole == limit_vector::kUnlimited ? aWhole : std::max<std::int64_t>(0, aWhole - aUsed);
  };
  return { .mTasks = part(aLimit.mTasks, aCharged.mTasks),
           .mCpuMilli = part(aLimit.mCpuMilli, aCharged.mCpuMilli),
           .mMemoryMb = part(aLimit.mMemoryMb, aCharged.mMemoryMb),
           .mAccelerators = part(aLimit.mAccelerators, aCharged.mAccelerators) };
}
inline limit_vector chargeOf(const resources& aSize)
{
  return { .mTasks = 1,
           .mCpuMilli = aSize.mCpuMilli,
           .mMemoryMb = aSize.mMemoryMb,
           .mAccelerators = aSize.mAccelerators };
}
inline bool within(const limit_vector& aCharge, const limit_vector& aLimit)
{
  return aCharge.mTasks <= aLimit.mTasks && aCharge.mCpuMilli <= aLimit.mCpuMilli &&
         aCharge.mMemoryMb <= aLimit.mMemoryMb && aCharge.mAccelerators <= aLimit.mAccelerators;
}
inline limit_vector sum(const limit_vector& aLeft, const limit_vector& aRight)
{
  return { .mTasks = aLeft.mTasks + aRight.mTasks,
           .mCpuMilli = aLeft.mCpuMilli + aRight.mCpuMilli,
           .mMemoryMb = aLeft.mMemoryMb + aRight.mMemoryMb,
           .mAccelerators = aLeft.mAccelerators + aRight.mAccelerators };
}

/// Charges of this daemon per team. An attempt is charged from its reservation or start order until
/// it is known to have ended.
class slice_account
{
public:
  static constexpr limit_vector kZero{ 0, 0, 0, 0 };

  struct charge
  {
    limit_vector mCharged = kZero;
    resources mUsed;
  };

  void add(const team_name& aTeam, const resources& aSize)
  {
    charge& entry = mTeams[aTeam];
    entry.mCharged = sum(entry.mCharged, chargeOf(aSize));
    entry.mUsed += aSize;
  }
  void remove(const team_name& aTeam, const resources& aSize)
  {
    charge& entry = mTeams[aTeam];
    const limit_vector part = chargeOf(aSize);
    entry.mCharged = { .mTasks = entry.mCharged.mTasks - part.mTasks,
                       .mCpuMilli = entry.mCharged.mCpuMilli - part.mCpuMilli,
                       .mMemoryMb = entry.mCharged.mMemoryMb - part.mMemoryMb,
                       .mAccelerators = entry.mCharged.mAccelerators - part.mAccelerators };
    entry.mUsed -= aSize;
  }
  const charge& of(const team_name& aTeam) const
  {
    static const charge kNone;
    const auto found = mTeams.find(aTeam);
    return found == mTeams.end() ? kNone : found->second;
  }
  const std::map<team_name, charge>& teams() const { return mTeams; }

private:
  std::map<team_name, charge> mTeams;
};

} // namespace endiveusher::internal
