#include "http_framing.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace endiveusher::edges::internal {

namespace {

bool equalIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, [](unsigned char aOne, unsigned char aOther) {
    return std::tolower(aOne) == std::tolower(aOther);
  });
}

std::string lowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(),
                         [](unsigned char aOne) { return static_cast<char>(std::tolower(aOne)); });
  return lower;
}

std::string_view trimmed(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

request_frame rejected(std::uint16_t aStatus, const char* aCode, const char* aMessage)
{
  return { .mFraming = framing::rejected,
           .mKeepAlive = false,
           .mStatus = aStatus,
           .mCode = aCode,
           .mMessage = aMessage };
}

request_frame malformed(const char* aMessage)
{
  return rejected(400, "malformed_request", aMessage);
}

constexpr std::string_view kLineEnd = "\r\n";

/// Header fields that determine the framing of a request.
struct header_fields
{
  std::optional<std::size_t> mContentLength;
  bool mLengthValid = true;
  bool mChunked = false;
  bool mClose = false;
  bool mKeepAlive = false;
  bool mExpectsContinue = false;
  std::string mBearer;

  void add(std::string_view aName, std::string_view aValue);
};

void header_fields::add(std::string_view aName, std::string_view aValue)
{
  if (equalIgnoringCase(aName, "Content-Length")) {
    std::size_t length = 0;
    const auto* end = aValue.data() + aValue.size();
    const auto parsed = std::from_chars(aValue.data(), end, length);
    // Repeated lengths, even equal ones, allow request smuggling: two servers may frame
    // differently.
    mLengthValid = mLengthValid && !mContentLength && !aValue.empty() && parsed.ec == std::errc() &&
                   parsed.ptr == end;
    mContentLength = length;
  } else if (equalIgnoringCase(aName, "Transfer-Encoding")) {
    mChunked = true;
  } else if (equalIgnoringCase(aName, "Connection")) {
    mClose = mClose || equalIgnoringCase(aValue, "close");
    mKeepAlive = mKeepAlive || equalIgnoringCase(aValue, "keep-alive");
  } else if (equalIgnoringCase(aName, "Expect")) {
    mExpectsContinue = equalIgnoringCase(aValue, "100-continue");
  } else if (equalIgnoringCase(aName, "Authorization")) {
    constexpr std::string_view kScheme = "Bearer ";
    if (aValue.size() > kScheme.size() &&
        equalIgnoringCase(aValue.substr(0, kScheme.size()), kScheme)) {
      mBearer = trimmed(aValue.substr(kScheme.size()));
    }
  }
}

} // namespace

request_frame frameRequest(std::string_view aInput, const http_limits& aLimits)
{
  const auto headerEnd = aInput.substr(0, aLimits.mMaxHeaderBytes).find("\r\n\r\n");
  if (headerEnd == std::string_view::npos) {
    return aInput.size() < aLimits.mMaxHeaderBytes
             ? request_frame{}
             : rejected(431, "header_too_large",
                        "the request line and headers are larger than this server reads");
  }
  std::string_view header = aInput.substr(0, headerEnd + kLineEnd.size());
  const auto nextLine = [&header] {
    const auto end = header.find(kLineEnd);
    const auto line = header.substr(0, end);
    header.remove_prefix(end + kLineEnd.size());
    return line;
  };

  const auto requestLine = nextLine();
  const bool version11 = requestLine.ends_with(" HTTP/1.1");
  if (!version11 && !requestLine.ends_with(" HTTP/1.0")) {
    return malformed("the request line is not one of HTTP/1.1");
  }
  header_fields fields;
  std::vector<std::pair<std::string, std::string>> headers;
  while (!header.empty()) {
    const auto line = nextLine();
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0 ||
        line.substr(0, colon).find_first_of(" \t") != std::string_view::npos) {
      return malformed("a header line has no name");
    }
    fields.add(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    headers.emplace_back(lowerCase(line.substr(0, colon)), trimmed(line.substr(colon + 1)));
  }
  if (!fields.mLengthValid) {
    return malformed("Content-Length is not one decimal number");
  }
  if (fields.mChunked) {
    return rejected(411, "length_required", "send the body with Content-Length");
  }
  const std::size_t bodyBytes = fields.mContentLength.value_or(0);
  if (bodyBytes > aLimits.mMaxRequestBytes) {
    return rejected(413, "request_too_large", "the body is larger than this server reads");
  }
  const std::size_t length = headerEnd + 4 + bodyBytes;
  const bool complete = aInput.size() >= length;
  return { .mFraming = complete ? framing::complete : framing::incomplete,
           .mLength = length,
           .mBodyBytes = bodyBytes,
           .mKeepAlive = version11 ? !fields.mClose : fields.mKeepAlive,
           .mExpectsContinue = fields.mExpectsContinue && !complete,
           .mBearer = std::move(fields.mBearer),
           .mHeaders = std::move(headers) };
}

} // namespace endiveusher::edges::internal
