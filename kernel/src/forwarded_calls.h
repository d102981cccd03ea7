#pragma once

#include "endiveusher/kernel/ids.h"

#include <cstdint>
#include <map>
#include <set>

namespace endiveusher::internal {

/// Records which forwarded calls were handled, so that a late copy of a call that was refused as
/// not run is not accepted afterwards.
class forwarded_calls
{
public:
  enum class arrival
  {
    first,
    repeated,
    too_old, ///< May be a repetition; its id is no longer kept.
  };
  /// Largest number of call ids kept for one peer.
  static constexpr std::size_t kMaxKept = 10'000;

  arrival record(const incarnation_id& aPeer, std::uint64_t aCallId)
  {
    auto& peer = mPeers[aPeer];
    if (aCallId < peer.mFloor) {
      return arrival::too_old;
    }
    if (!peer.mHandled.insert(aCallId).second) {
      return arrival::repeated;
    }
    if (peer.mHandled.size() > kMaxKept) {
      peer.mFloor = *peer.mHandled.begin() + 1;
      peer.mHandled.erase(peer.mHandled.begin());
    }
    return arrival::first;
  }

private:
  struct peer
  {
    /// Ids below this are no longer kept.
    std::uint64_t mFloor = 0;
    std::set<std::uint64_t> mHandled;
  };
  std::map<incarnation_id, peer> mPeers;
};

} // namespace endiveusher::internal
