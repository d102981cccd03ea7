#pragma once

#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/target.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace endiveusher::scheduler::internal {

/// Clocks of targets may be this much slow, parts of one.
inline constexpr double kMaxClockLag = 0.02;
/// Added to the computed end of a lease, for rounding and delays in the target.
inline constexpr auto kLeaseMargin = std::chrono::milliseconds(200);

enum class run_phase : std::uint8_t
{
  /// Its start is on the way into the journal.
  storing,
  /// The order is on its way.
  ordered,
  /// The target has confirmed it, or a look has listed it.
  confirmed,
  /// An order to stop it is on its way.
  stopping,
};

/// A run that takes room at a target, from the intent until it is certainly gone.
struct held_run
{
  std::uint32_t mRun = 0;
  resources mNeeds;
  std::string mTeam;
  run_phase mPhase = run_phase::storing;
  /// The journal has the end already; only the room is still taken.
  bool mEnded = false;
  bool mStopWanted = false;
  bool mOrderOpen = false;
  std::uint32_t mTries = 0;
  time_point mNextTry{};
  /// Looks sent after this list the run, or it is gone.
  time_point mSettledAt = time_point::max();
  std::string mCheckpoint;
  std::string mTicket;
  /// Until when the ticket is valid; without end if there is none.
  time_point mTicketUntil = time_point::max();
};

/// A target and what the owner holds there.
struct target_state
{
  target_entry mEntry;
  /// Dense; stays with the target's id over its incarnations.
  std::uint32_t mNumber = 0;
  /// The registry lists it now.
  bool mListed = false;
  /// Has answered a look of this epoch in this incarnation, so late orders of former owners are
  /// rejected, and all it runs is known.
  bool mTaken = false;
  /// The journal tells that this epoch renews leases here.
  bool mTakingStored = false;
  /// The last look listed runs that nobody knows; their room is not known either.
  bool mForeignRuns = false;

  bool mLookOpen = false;
  time_point mNextLook{};
  time_point mLastAnswer{};
  std::uint32_t mMissed = 0;
  /// Latest reading of the target's clock, and when it arrived here.
  std::optional<target_time> mClock;
  time_point mClockAt{};
  /// Latest lease sent, answered or not, on the target's clock.
  target_time mLeaseSent{ 0 };

  std::uint64_t mLastEnd = 0;
  std::uint64_t mStoredEnd = 0;
  std::map<task_key, held_run> mRuns;
  /// No run needs an order before this; the past after any change that may need one.
  time_point mNextOrders{};
  resources mUsed;
  /// No new work before this, after failures that point to the target.
  time_point mAvoidUntil{};
  std::uint32_t mFailuresInRow = 0;
  job_id mLastFailed{};

  /// Lower bound of the target's clock at aNow.
  target_time clockAt(time_point aNow) const
  {
    return *mClock + std::chrono::duration_cast<target_time>(aNow - mClockAt);
  }
  /// When every lease sent has surely ended, if the target's clock is known.
  std::optional<time_point> leaseOver() const
  {
    if (!mClock) {
      return std::nullopt;
    }
    const auto left = std::chrono::duration<double, std::milli>(
      std::max(mLeaseSent - *mClock, target_time{ 0 }) / (1.0 - kMaxClockLag));
    return mClockAt + std::chrono::duration_cast<duration>(left) + kLeaseMargin;
  }
  resources room() const { return mEntry.mCapacity - mUsed; }
};

} // namespace endiveusher::scheduler::internal
