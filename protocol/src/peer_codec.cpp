#include "endiveusher/protocol/peer_codec.h"

#include "codec_peer.h"
#include "endiveusher/protocol/peer_rpc.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/array.h>

#include <cstring>
#include <exception>

namespace endiveusher::protocol {

void writeBatch(std::span<const peer_message> aMessages,
                capnp::List<schema::PeerMessage>::Builder aBatch)
{
  for (std::size_t i = 0; i < aMessages.size(); ++i) {
    internal::writeStruct(aMessages[i], aBatch[static_cast<capnp::uint>(i)]);
  }
}

peer_batch readBatch(capnp::List<schema::PeerMessage>::Reader aBatch)
{
  peer_batch batch;
  batch.mMessages.reserve(aBatch.size());
  for (const auto message : aBatch) {
    try {
      batch.mMessages.push_back(internal::readStruct<peer_message>(message));
    } catch (const kj::Exception&) {
      ++batch.mDropped;
    } catch (const internal::invalid_message&) {
      ++batch.mDropped;
    }
  }
  return batch;
}

std::vector<std::byte> encodeBatch(std::span<const peer_message> aMessages)
{
  capnp::MallocMessageBuilder message;
  writeBatch(aMessages, message.initRoot<schema::Peer::DeliverParams>().initBatch(
                          static_cast<capnp::uint>(aMessages.size())));
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  std::vector<std::byte> result(bytes.size());
  std::memcpy(result.data(), bytes.begin(), bytes.size());
  return result;
}

peer_batch decodeBatch(std::span<const std::byte> aBytes)
{
  // Cap'n Proto requires whole words at aligned addresses.
  auto words = kj::heapArray<capnp::word>(aBytes.size() / sizeof(capnp::word));
  std::memcpy(words.asBytes().begin(), aBytes.data(), words.asBytes().size());
  try {
    capnp::FlatArrayMessageReader message(words);
    return readBatch(message.getRoot<schema::Peer::DeliverParams>().getBatch());
  } catch (const kj::Exception&) {
    return { .mMessages = {}, .mDropped = 1 };
  }
}

} // namespace endiveusher::protocol
