#include "http_framing.h"
#include "input.h"

#include <string_view>

using namespace endiveusher::edges;
using namespace endiveusher::edges::internal;

/// Frames an input and its halves: the decision on a request must not depend on later bytes.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aCount)
{
  const auto input = endiveusher::fuzz::textOf(aBytes, aCount);
  const http_limits limits{ .mMaxHeaderBytes = 512, .mMaxRequestBytes = 1024 };
  const auto whole = frameRequest(input, limits);
  if (whole.mFraming == framing::complete) {
    endiveusher::fuzz::require(whole.mLength <= input.size() && whole.mBodyBytes <= whole.mLength);
    const auto alone = frameRequest(std::string_view(input).substr(0, whole.mLength), limits);
    endiveusher::fuzz::require(alone.mFraming == framing::complete &&
                               alone.mLength == whole.mLength);
  }
  const auto half = frameRequest(std::string_view(input).substr(0, aCount / 2), limits);
  if (half.mFraming != framing::incomplete) {
    endiveusher::fuzz::require(half.mFraming == whole.mFraming && half.mLength == whole.mLength);
  }
  return 0;
}
