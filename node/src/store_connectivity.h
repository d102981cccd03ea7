#pragma once

#include "endiveusher/kernel/time.h"

#include <algorithm>
#include <chrono>

namespace endiveusher::node {

/// Detects whether the store answers this daemon. The daemon reads several times a second, so
/// missing replies show a loss of connectivity long before a single call times out.
///
/// Load pattern: a VM or a zone is partitioned from the store while callers still reach it. Every
/// call accepted in this time is lost, so the daemon has to reject calls as early as possible.
class store_connectivity
{
public:
  void onReply(time_point aNow)
  {
    mLastReply = aNow;
    mHasReply = true;
  }
  /// Whether the store has stopped answering; aLatency is the time that its replies take.
  bool lost(time_point aNow, std::chrono::milliseconds aLatency) const
  {
    return mHasReply &&
           aNow - mLastReply > std::max(kMinLossTimeout, kLossTimeoutLatencies * aLatency);
  }
  duration timeSinceReply(time_point aNow) const { return aNow - mLastReply; }

private:
  /// Covers several unanswered reads, and exceeds the pauses of a loop that is short of CPU time.
  static constexpr std::chrono::milliseconds kMinLossTimeout{ 600 };
  /// Multiple of the store's latency; a slow store is also read less often.
  static constexpr int kLossTimeoutLatencies = 4;

  time_point mLastReply{};
  bool mHasReply = false;
};

} // namespace endiveusher::node
