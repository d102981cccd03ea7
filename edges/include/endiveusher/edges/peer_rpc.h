#pragma once

#include "endiveusher/edges/channel_counters.h"
#include "endiveusher/kernel/messages/peer.h"
#include "endiveusher/kernel/time.h"

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace endiveusher::edges {

struct peer_rpc_options
{
  /// Address to listen on, `ip:port`; port 0 selects a free one.
  std::string mAddress;
  /// Timeout of connecting and of each call.
  duration mCallTimeout = std::chrono::seconds(1);
  /// Delay before reconnecting after a failure; doubles with each failure up to mLongestBackOff.
  duration mShortestBackOff = std::chrono::milliseconds(50);
  duration mLongestBackOff = std::chrono::seconds(1);
  /// Largest number of messages queued for one peer; beyond it the oldest are dropped.
  std::size_t mQueueLimit = 512;
  /// Largest number of messages in one call.
  std::size_t mBatchLimit = 64;
  /// Time without a message after which the connection to a peer is closed and its state freed.
  duration mIdlePeriod = std::chrono::minutes(1);
  /// Called on the event loop thread for each message received.
  std::function<void(peer_message&&)> mOnMessage;
};

/// Cap'n Proto RPC between daemons. The server and all clients share one event loop thread.
///
/// Messages are one-way and may be lost: those of a call that fails or times out, and the oldest
/// ones of a full queue. A failed call closes its connection.
///
/// Usage:
///   auto rpc = peer_rpc::start({ .mAddress = "127.0.0.1:0", .mOnMessage = handler });
///   (*rpc)->send("127.0.0.1:8600", message);
class peer_rpc
{
public:
  /// Starts listening. Error: UNAVAILABLE if the address cannot be used.
  static absl::StatusOr<std::unique_ptr<peer_rpc>> start(peer_rpc_options aOptions);
  ~peer_rpc();
  peer_rpc(const peer_rpc&) = delete;
  peer_rpc& operator=(const peer_rpc&) = delete;

  /// Queues a message for the peer at aAddress (`ip:port`). Call from one thread only.
  void send(std::string aAddress, peer_message aMessage);

  /// Address listened on, `ip:port`.
  const std::string& address() const;
  const channel_counters& counters() const;

private:
  class impl;
  explicit peer_rpc(std::unique_ptr<impl> aImpl);
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges
