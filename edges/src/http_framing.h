#pragma once

#include "endiveusher/edges/http_server.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiveusher::edges::internal {

enum class framing
{
  incomplete,
  complete,
  rejected,
};

/// Extent of the first request in a connection's input. Pistache's parser does not report how many
/// bytes it consumed, and it discards the bytes after a complete request.
struct request_frame
{
  framing mFraming = framing::incomplete;
  /// Bytes of header and body; set once the header is complete.
  std::size_t mLength = 0;
  std::size_t mBodyBytes = 0;
  bool mKeepAlive = true;
  /// Whether the header is complete and the caller waits for `100 Continue` to send the body.
  bool mExpectsContinue = false;
  std::string mBearer;
  /// Headers in the order received; names in lower case.
  std::vector<std::pair<std::string, std::string>> mHeaders;
  /// Status, error code and message; set if the request is rejected.
  std::uint16_t mStatus = 0;
  const char* mCode = "";
  const char* mMessage = "";
};

/// Finds the end of the first request in aInput and checks the headers that determine it.
request_frame frameRequest(std::string_view aInput, const http_limits& aLimits);

} // namespace endiveusher::edges::internal
