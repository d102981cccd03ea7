#pragma once

#include "endiveusher/edges/http_loop.h"
#include "endiveusher/kernel/time.h"
#include "event_log.h"
#include "order_batch.h"
#include "order_sender.h"
#include "peer_clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::node {

/// Sends orders to targets on the owner's behalf and reports their results.
///
/// A relay that was paused or cut off may hold batches whose orders the owner has given up and
/// replaced by others. It drops a batch of a lower epoch than the highest one it knows, and one
/// that is older than kMaxBatchAge by the owner's clock. A start is checked again right before it
/// is sent.
class order_relay
{
public:
  static constexpr std::chrono::milliseconds kMaxBatchAge{ 1000 };

  order_relay(edges::http_loop& aLoop, const clock& aClock, order_sender& aSender, event_log& aLog);

  /// Sets the newest epoch that this daemon has read of; batches of lower ones are dropped.
  void setEpoch(std::uint64_t aEpoch);
  /// Reports the owner's clock, as read in a reply that was received at aReceived.
  void setOwnerClock(const std::string& aOwner, std::chrono::milliseconds aOwnerTime,
                     time_point aReceived);
  enum class reception : std::uint8_t
  {
    accepted,
    /// Dropped: there is a higher epoch.
    superseded,
    /// Dropped: the batch is too old, or its age is not known.
    outdated,
  };
  /// Carries out a batch unless it has to be dropped.
  reception onBatch(order_batch&& aBatch);
  /// Sends results that are due.
  void tick(time_point aNow);

private:
  /// @param aSendBy time at which the batch will be older than kMaxBatchAge
  void send(const scheduler::heartbeat_order& aOrder, std::uint64_t aNumber, time_point aSendBy);
  void send(const scheduler::start_order& aOrder, std::uint64_t aNumber, time_point aSendBy);
  void send(const scheduler::stop_order& aOrder, std::uint64_t aNumber, time_point aSendBy);
  void addResult(std::uint64_t aEpoch, order_result aResult);
  void sendResults(time_point aNow);

  edges::http_loop& mLoop;
  const clock& mClock;
  order_sender& mSender;
  event_log& mLog;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::uint64_t mEpoch = 0;
  /// Address of the owner of mEpoch; empty while none has sent a batch.
  std::string mOwner;
  std::string mClockOwner;
  std::optional<peer_clock> mOwnerClock;
  std::vector<order_result> mResults;
  bool mCallOpen = false;
  std::uint32_t mFailures = 0;
  time_point mLastSent{};
};

} // namespace endiveusher::node
