#pragma once

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

/// Where the first request of a connection's input ends. Pistache's parser does not tell how many
/// bytes it has used, and it discards what follows a complete request.
struct request_frame
{
  framing mFraming = framing::incomplete;
  /// Bytes of header and body, if complete.
  std::size_t mLength = 0;
  bool mKeepAlive = true;
  /// The header is there and the caller waits for `100 Continue` before it sends the body.
  bool mExpectsContinue = false;
  std::string mBearer;
  /// Names in lower case.
  std::vector<std::pair<std::string, std::string>> mHeaders;
  /// If rejected.
  std::uint16_t mStatus = 0;
  const char* mCode = "";
  const char* mMessage = "";
};

/// Largest request line and headers, bytes.
inline constexpr std::size_t kMaxHeaderBytes = 16U << 10U;

request_frame frameRequest(std::string_view aInput, std::size_t aMaxBodyBytes);

} // namespace endiveusher::edges::internal
