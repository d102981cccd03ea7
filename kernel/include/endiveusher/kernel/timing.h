#pragma once

#include "endiveusher/kernel/time.h"

namespace endiveusher {

/// Periods of the protocol. All daemons of a cell use the same values.
struct timing_options
{
  /// How long the view of stream control counts as fresh after the last proof.
  duration mFreshnessPeriod = std::chrono::seconds(2);
  /// Largest start_by of a start order.
  duration mStartByPeriod = std::chrono::seconds(1);
  duration mOwnershipLease = std::chrono::seconds(6);
  duration mTaskLease = std::chrono::seconds(20);
  duration mExchangeInterval = std::chrono::seconds(1);
  duration mExchangeTimeout = std::chrono::milliseconds(800);
  duration mGossipInterval = std::chrono::milliseconds(500);
  /// Silence of a zone peer after which its successor takes it over.
  duration mSilencePeriod = std::chrono::seconds(4);
  /// How long a daemon that is not fresh goes on renewing task leases.
  duration mIsolationLimit = std::chrono::minutes(10);
  duration mControlReadInterval = std::chrono::milliseconds(500);
  duration mVmListInterval = std::chrono::seconds(1);
  duration mReservationPeriod = std::chrono::seconds(3);
  /// Added to every wait for the end of somebody else's lease.
  duration mSafetyMargin = std::chrono::seconds(1);
  duration mShutdownPeriod = std::chrono::seconds(10);
  duration mSnapshotInterval = std::chrono::minutes(10);
  /// Largest assumed difference in rate between two clocks, parts of one.
  double mClockDrift = 0.01;
};

} // namespace endiveusher
