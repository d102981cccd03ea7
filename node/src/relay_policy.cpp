#include "relay_policy.h"

#include <cmath>

namespace endiveusher::node {

bool relay_policy::update(const loop_load& aLoad, std::size_t aTargets, double aOwnerCores,
                          time_point aNow)
{
  if (mUpdatedAt) {
    const auto periods = std::chrono::duration<double>(aNow - *mUpdatedAt) /
                         std::chrono::duration<double>(kAveragePeriod);
    const double weight = 1 - std::exp(-periods);
    mLoad.mIdle += weight * (aLoad.mIdle - mLoad.mIdle);
    mLoad.mCalls += weight * (aLoad.mCalls - mLoad.mCalls);
  }
  mUpdatedAt = aNow;
  const auto targets = static_cast<double>(aTargets);
  if (targets > kMaxDirectTargetsPerCore * aOwnerCores) {
    set(true, "targets", aNow);
  } else if (targets <= kMinRelayedTargetsPerCore * aOwnerCores) {
    set(false, "targets", aNow);
  } else if (!mRelays && mLoad.mIdle < kEnabledIdle && mLoad.mCalls >= kEnabledCalls) {
    set(true, "load", aNow);
  } else if (mRelays && aNow - mSince >= kMinRelayTime &&
             mLoad.mIdle - (kDirectCostFactor - 1) * mLoad.mCalls >= kDisabledIdle) {
    set(false, "load", aNow);
  }
  return mRelays;
}

void relay_policy::set(bool aRelays, std::string_view aReason, time_point aNow)
{
  mReason = aReason;
  if (aRelays != mRelays) {
    mRelays = aRelays;
    mSince = aNow;
  }
}

} // namespace endiveusher::node
