#pragma once

#include "endiveusher/kernel/messages/peer.h"

#include <cstddef>
#include <span>
#include <vector>

namespace endiveusher::protocol {

/// Result of decoding one batch of peer messages.
struct peer_batch
{
  std::vector<peer_message> mMessages;
  /// Number of messages that could not be decoded, for example of a kind unknown to this version.
  /// They are treated as lost, which every receiver of peer messages must tolerate.
  std::size_t mDropped = 0;
};

/// Encodes a batch as the parameters of Peer.deliver, in Cap'n Proto's stream framing.
///
/// Usage: `auto batch = decodeBatch(encodeBatch(messages));`
std::vector<std::byte> encodeBatch(std::span<const peer_message> aMessages);

/// Inverse of encodeBatch. Returns an empty batch with mDropped 1 if aBytes is not a valid batch.
peer_batch decodeBatch(std::span<const std::byte> aBytes);

} // namespace endiveusher::protocol
