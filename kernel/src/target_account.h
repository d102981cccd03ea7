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

/// Capacity in use on one target: declared sizes of the attempts in its table, of start orders that
/// are in flight or unanswered, and of reservations; plus holds for urgent tasks that wait for
/// preempted ones to end.
class target_account
{
public:
  /// Stores the values of an answer of the target. aTable is the sum of declared sizes in its
  /// table.
  void setReported(const resources& aCapacity, const resources& aMeasured, const resources& aTable)
  {
    mCapacity = aCapacity;
    mTable = aTable;
    // Use below the declared sum does not add free capacity, because reports lag.
    mExcess = componentMax(aMeasured - aTable, {});
    // A target may report less capacity than its tasks use; that excess is not a fault of this
    // daemon, so withinCapacity() allows it.
    mAllowed = componentMax(mCapacity, committed());
    update();
  }
  void addPending(const resources& aSize)
  {
    mPending += aSize;
    update();
  }
  void removePending(const resources& aSize)
  {
    mPending -= aSize;
    update();
  }
  void addHold(const resources& aSize)
  {
    mHeld += aSize;
    update();
  }
  void removeHold(const resources& aSize)
  {
    mHeld -= aSize;
    update();
  }

  const resources& capacity() const { return mCapacity; }
  /// Declared sizes of everything that counts as running here, reservations included.
  resources committed() const { return mTable + mPending; }
  /// Declared sizes of starts and reservations that the table does not contain yet.
  const resources& pending() const { return mPending; }
  /// Capacity that is free for a new task; never negative.
  const resources& freeCapacity() const { return mFreeCapacity; }
  /// Capacity that is free for the task for which aHeld is held.
  resources freeCapacityWith(const resources& aHeld) const { return free(mHeld - aHeld); }
  bool withinCapacity() const { return committed().fitsIn(mAllowed) && !mPending.anyNegative(); }

private:
  resources free(const resources& aHeld) const
  {
    return componentMax(mCapacity - committed() - mExcess - aHeld, {});
  }
  void update() { mFreeCapacity = free(mHeld); }

  resources mCapacity;
  resources mTable;
  resources mPending;
  resources mHeld;
  resources mExcess;
  resources mAllowed;
  resources mFreeCapacity;
};

} // namespace endiveusher::internal
