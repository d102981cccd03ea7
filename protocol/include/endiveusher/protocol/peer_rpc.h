#pragma once

// Includes the generated schema code; meant only for the peer RPC edge.

#include "endiveusher/protocol/capnp_schema.h"
#include "endiveusher/protocol/peer_codec.h"

#include <span>

namespace endiveusher::protocol {

/// Writes aMessages into the parameters of Peer.deliver.
///
/// Usage: `writeBatch(messages, request.initBatch(messages.size()));`
void writeBatch(std::span<const peer_message> aMessages,
                capnp::List<schema::PeerMessage>::Builder aBatch);

/// Reads the parameters of Peer.deliver.
peer_batch readBatch(capnp::List<schema::PeerMessage>::Reader aBatch);

} // namespace endiveusher::protocol
