#pragma once

#include "endiveusher/kernel/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace endiveusher::node {

struct owner_record;

/// Bounds the time up to which the owner of each epoch may have renewed leases.
///
/// An owner that has lost the store acts for some seconds after its last record. The next one need
/// not assume that of an owner that has released the cell, whose process has ended, or that has
/// answered since as a follower.
class epoch_history
{
public:
  /// @param aMaxRenewalAge time for which an owner acts after a record that was accepted
  explicit epoch_history(std::chrono::milliseconds aMaxRenewalAge) : mMaxRenewalAge(aMaxRenewalAge)
  {
  }
  /// Reports a record that was read from the owner topic, or appended to it, at aOffset.
  void onRecord(const owner_record& aRecord, std::uint64_t aOffset, time_point aNow);
  /// Reports that the daemon at the address owns no epoch below aEpoch any more.
  void onStoodDown(std::string_view aAddress, std::uint64_t aEpoch, time_point aNow);
  /// Returns the latest time at which the owner of each known epoch may have acted.
  std::map<std::uint64_t, time_point> latestActs() const;

private:
  struct tenure
  {
    std::string mNode;
    std::uint64_t mIncarnation = 0;
    std::string mAddress;
    time_point mLastRecord{};
    /// Time by which the owner had ceased to act, if that is known.
    time_point mEnded = time_point::max();
  };

  const std::chrono::milliseconds mMaxRenewalAge;
  std::map<std::uint64_t, tenure> mTenures;
};

} // namespace endiveusher::node
