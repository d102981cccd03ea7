#pragma once

#include "endiveusher/kernel/resources.h"

#include <algorithm>

namespace endiveusher::internal {

inline resources componentMax(const resources& aLeft, const resources& aRight)
{
  return { .mSlots = std::max(aLeft.mSlots, aRight.mSlots),
           .mCpuMilli = std::max(aLeft.mCpuMilli, aRight.mCpuMilli),
           .mMemoryMb = std::max(aLeft.mMemoryMb, aRight.mMemoryMb),
           .mAccelerators = std::max(aLeft.mAccelerators, aRight.mAccelerators) };
}

/// What is taken on one target: declared sizes of the attempts in its table, of start orders in
/// flight or without an answer, and of reservations; plus holds for urgent tasks that wait for
/// preempted ones to end.
class target_account
{
public:
  /// Takes over an answer of the target. aTable is the sum of declared sizes in its table.
  void setReported(const resources& aCapacity, const resources& aMeasured, const resources& aTable)
  {
    mCapacity = aCapacity;
    mTable = aTable;
    // Use below the declared sum adds no room, because reports lag.
    mExcess = componentMax(aMeasured - aTable, {});
    // A target may report less capacity than its tasks use; only starts made here are checked.
    mAllowed = componentMax(mCapacity, committed());
    update();
  }
  void take(const resources& aSize)
  {
    mPending += aSize;
    update();
  }
  void giveBack(const resources& aSize)
  {
    mPending -= aSize;
    update();
  }
  void hold(const resources& aSize)
  {
    mHeld += aSize;
    update();
  }
  void unhold(const resources& aSize)
  {
    mHeld -= aSize;
    update();
  }

  const resources& capacity() const { return mCapacity; }
  /// Declared sizes of everything that counts as running here, reservations included.
  resources committed() const { return mTable + mPending; }
  /// Starts and reservations that the table does not show yet.
  const resources& pending() const { return mPending; }
  /// Room for a new task; never negative.
  const resources& room() const { return mRoom; }
  /// Room for the task for which aHeld is held.
  resources roomWith(const resources& aHeld) const { return free(mHeld - aHeld); }
  bool withinCapacity() const { return committed().fitsIn(mAllowed) && !mPending.anyNegative(); }

private:
  resources free(const resources& aHeld) const
  {
    return componentMax(mCapacity - committed() - mExcess - aHeld, {});
  }
  void update() { mRoom = free(mHeld); }

  resources mCapacity;
  resources mTable;
  resources mPending;
  resources mHeld;
  resources mExcess;
  resources mAllowed;
  resources mRoom;
};

} // namespace endiveusher::internal
