#include "input.h"
#include "order_batch.h"
#include "peer_api.h"

/// Decodes the messages between daemons.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aCount)
{
  using namespace endiveusher::node;
  const auto text = endiveusher::fuzz::textOf(aBytes, aCount);
  static_cast<void>(decodeHello(text));
  static_cast<void>(decodeHelloReply(text));
  static_cast<void>(decodeEpoch(text));
  static_cast<void>(decodePeerAdvice(text));
  const auto bytes = endiveusher::fuzz::packed(text);
  static_cast<void>(decodeForwardedRecords(bytes));
  static_cast<void>(decodeEnds(bytes));
  static_cast<void>(decodeOrderBatch(bytes));
  static_cast<void>(decodeOrderResults(bytes));
  return 0;
}
