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
  /// `ip:port` to listen on; port 0 takes a free one.
  std::string mAddress;
  /// Deadline of connecting and of one call, each.
  duration mCallTimeout = std::chrono::seconds(1);
  /// Pause before a new connection after a failure; doubles up to mLongestBackOff.
  duration mShortestBackOff = std::chrono::milliseconds(50);
  duration mLongestBackOff = std::chrono::seconds(1);
  /// Messages kept for one peer that cannot be sent yet; the oldest are dropped.
  std::size_t mQueueLimit = 512;
  /// Largest number of messages in one call.
  std::size_t mBatchLimit = 64;
  /// A peer that nothing was sent to for this long is forgotten and its connection closed.
  duration mIdlePeriod = std::chrono::minutes(1);
  /// Called on the thread of the event loop for each message received.
  std::function<void(peer_message&&)> mOnMessage;
};

/// Cap'n Proto RPC between daemons: the server and all clients in one event loop thread.
///
/// Messages are one-way and may be lost: those of a call that misses its deadline, and the oldest
/// ones of a full queue. A call that fails closes its connection.
///
/// Usage:
///   auto rpc = peer_rpc::start({ .mAddress = "127.0.0.1:0", .mOnMessage = handler });
///   (*rpc)->send("127.0.0.1:8600", message);
class peer_rpc
{
public:
  /// Error: UNAVAILABLE if the address cannot be listened on.
  static absl::StatusOr<std::unique_ptr<peer_rpc>> start(peer_rpc_options aOptions);
  ~peer_rpc();
  peer_rpc(const peer_rpc&) = delete;
  peer_rpc& operator=(const peer_rpc&) = delete;

  /// Queues a message for the peer at aAddress (`ip:port`). Call from one thread only.
  void send(std::string aAddress, peer_message aMessage);

  /// `ip:port` listened on.
  const std::string& address() const;
  const channel_counters& counters() const;

private:
  class impl;
  explicit peer_rpc(std::unique_ptr<impl> aImpl);
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges
