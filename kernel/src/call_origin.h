#pragma once

#include "endiveusher/kernel/ids.h"

#include <cstdint>
#include <tuple>

namespace endiveusher::internal {

/// Destination of the answer to a call.
struct call_origin
{
  std::uint64_t mCallId = 0;
  /// Daemon that forwarded the call; empty if the caller is connected here.
  incarnation_id mPeer;

  bool operator==(const call_origin&) const = default;
  bool operator<(const call_origin& aOther) const
  {
    return std::tie(mCallId, mPeer) < std::tie(aOther.mCallId, aOther.mPeer);
  }
};

} // namespace endiveusher::internal
