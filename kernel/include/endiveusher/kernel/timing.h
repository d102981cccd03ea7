#pragma once

#include "endiveusher/kernel/time.h"

namespace endiveusher {

/// Protocol periods. All daemons of a cell must use the same values.
struct timing_options
{
  /// Time for which the view of stream control counts as fresh after the last proof of freshness.
  duration mFreshnessPeriod = std::chrono::seconds(2);
  /// Largest time from sending a start order to its start_by.
  duration mStartByPeriod = std::chrono::seconds(1);
  duration mOwnershipLease = std::chrono::seconds(6);
  duration mTaskLease = std::chrono::seconds(20);
  duration mExchangeInterval = std::chrono::seconds(1);
  duration mExchangeTimeout = std::chrono::milliseconds(800);
  duration mGossipInterval = std::chrono::milliseconds(500);
  /// Time without a message from a peer of the zone after which its work fails over to its
  /// successor.
  duration mPeerTimeout = std::chrono::seconds(4);
  /// Time for which a daemon that is not fresh continues to renew task leases.
  duration mIsolationLimit = std::chrono::minutes(10);
  duration mControlReadInterval = std::chrono::milliseconds(500);
  duration mVmListInterval = std::chrono::seconds(1);
  duration mReservationPeriod = std::chrono::seconds(3);
  /// Added to every wait for the expiry of another process's lease.
  duration mSafetyMargin = std::chrono::seconds(1);
  duration mShutdownPeriod = std::chrono::seconds(10);
  duration mSnapshotInterval = std::chrono::minutes(10);
  /// Largest assumed relative difference in rate between two clocks.
  double mClockDrift = 0.01;
};

} // namespace endiveusher
