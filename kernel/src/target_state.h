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
  /// It has been in an exchange, so the target may have executed it.
  bool mSent = false;
};

/// What the placer wants of a target now.
enum class target_wish
{
  leave, ///< No exchange.
  read,
  own,
  release,
};

/// Everything that a placer knows of one target.
struct target_state
{
  explicit target_state(double aDrift) : mClock(aDrift) {}

  target_terms mTerms;
  /// In the present view.
  bool mListed = false;
  /// Position among all targets, by id.
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
  /// Sending time of the last exchange that was answered, and the settled offset at that time.
  time_point mReadSentAt{};
  log_offset mReadSettled = 0;

  // Ownership and exchanges.
  bool mOwned = false;
  bool mWasOwned = false;
  std::uint64_t mInFlight = 0;
  bool mAcquiring = false;
  bool mReleasing = false;
  time_point mSentAt{};
  log_offset mSentSettled = 0;
  std::uint32_t mMissed = 0;
  time_point mNextExchange{};
  duration mInterval{};
  /// No task lease there ends later than this, as far as this daemon renewed it.
  target_time mLeaseMax{ 0 };

  // Work.
  /// Attempts in the book that start or run here.
  std::set<task_key> mHeld;
  /// Ended attempts in the book that the target keeps until acknowledged.
  std::set<task_key> mEnded;
  std::map<std::uint64_t, pending_order> mOrders;
  bool mUnsentOrders = false;
  std::set<std::uint64_t> mAcks;
  std::set<std::uint64_t> mSentAcks;
  target_account mAccount;
  target_health mHealth;
  std::size_t mReservations = 0;
  time_point mBackoffUntil{};
  /// Room is held back for the draining gang.
  bool mDraining = false;

  bool leaving() const { return mTerms.mLeaving || mReportsLeaving; }
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
