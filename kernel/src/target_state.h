#pragma once

#include "endiveusher/kernel/cell_view.h"
#include "endiveusher/kernel/messages/target.h"
#include "target_account.h"
#include "target_clock.h"
#include "target_health.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace endiveusher::internal {

struct pending_order
{
  target_order mOrder;
  /// Whether the order was sent in an exchange, so that the target may have executed it.
  bool mSent = false;
};

/// Purpose of the placer's next exchange with a target.
enum class target_intent
{
  none,    ///< No exchange.
  read,    ///< Read the table without owning the target.
  own,     ///< Acquire or keep ownership.
  release, ///< Give ownership back.
};

/// State that a placer keeps for one target.
struct target_state
{
  explicit target_state(double aDrift) : mClock(aDrift) {}

  target_info mInfo;
  /// Whether the current view lists the target.
  bool mListed = false;
  /// Position among all targets ordered by id.
  std::size_t mIndex = 0;

  // From the last answer.
  target_clock mClock;
  std::string mIncarnation;
  incarnation_id mOwner;
  std::uint64_t mEpoch = 0;
  target_time mOwnerUntil{ 0 };
  bool mReportsLeaving = false;
  std::uint64_t mTableVersion = 0;
  bool mTableKnown = false;
  std::unordered_map<task_key, running_task> mTable;
  /// Entries of mTable whose resolved placer is another daemon.
  std::size_t mForeign = 0;
  /// Entries of mTable whose resolved placer is this daemon.
  std::size_t mOwnEntries = 0;
  /// Time at which the last answered exchange was sent, and the settled offset at that time.
  time_point mReadSentAt{};
  log_offset mReadSettled = 0;

  // Ownership and exchanges.
  bool mOwned = false;
  /// Owned before and not released since.
  bool mWasOwned = false;
  /// Id of the exchange in flight; 0 if there is none.
  std::uint64_t mInFlight = 0;
  bool mAcquiring = false;
  bool mReleasing = false;
  time_point mSentAt{};
  log_offset mSentSettled = 0;
  /// Consecutive exchanges without an answer.
  std::uint32_t mMissed = 0;
  time_point mNextExchange{};
  duration mInterval{};
  /// Latest end of the task leases on the target that this daemon granted or renewed.
  target_time mLeaseMax{ 0 };

  // Work.
  /// Attempts of this placer that start or run here.
  std::set<task_key> mHeld;
  /// Ended attempts of this placer that the target keeps until they are acknowledged.
  std::set<task_key> mEnded;
  std::map<std::uint64_t, pending_order> mOrders;
  bool mUnsentOrders = false;
  std::set<std::uint64_t> mAcks;
  std::set<std::uint64_t> mSentAcks;
  target_account mAccount;
  target_health mHealth;
  std::size_t mReservations = 0;
  time_point mBackoffUntil{};
  /// Freed capacity is reserved for the draining gang.
  bool mDraining = false;

  bool leaving() const { return mInfo.mLeaving || mReportsLeaving; }
  bool contacted() const { return mClock.known(); }
  bool sentOrders() const
  {
    for (const auto& [id, order] : mOrders) {
      if (order.mSent) {
        return true;
      }
    }
    return false;
  }
};

} // namespace endiveusher::internal
