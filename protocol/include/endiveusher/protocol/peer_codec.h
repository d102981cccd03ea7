#pragma once

#include "endiveusher/kernel/messages/peer.h"

#include <cstddef>
#include <span>
#include <vector>

namespace endiveusher::protocol {

/// Peer messages read from one batch.
struct peer_batch
{
  std::vector<peer_message> mMessages;
  /// Messages that could not be read, for example of a kind that this version does not know.
  /// They count as lost, which every receiver of peer messages has to cope with.
  std::size_t mDropped = 0;
};

/// Encodes a batch as the parameters of Peer.deliver, in Cap'n Proto's stream framing.
///
/// Usage: `auto batch = decodeBatch(encodeBatch(messages));`
std::vector<std::byte> encodeBatch(std::span<const peer_message> aMessages);

/// Inverse of encodeBatch. Bytes that are no batch at all give an empty one with mDropped 1.
peer_batch decodeBatch(std::span<const std::byte> aBytes);

} // namespace endiveusher::protocol
