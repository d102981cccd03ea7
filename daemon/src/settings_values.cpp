#include "settings_values.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace endiveusher::daemon::internal {

namespace {

constexpr long long kMaxPort = 65535;
constexpr std::size_t kDigestHexDigits = 64;
constexpr std::size_t kMaxNameLength = 64;

bool isIp(const std::string& aText)
{
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  if (aText.size() > 2 && aText.front() == '[' && aText.back() == ']') {
    const std::string inner = aText.substr(1, aText.size() - 2);
    return inet_pton(AF_INET6, inner.c_str(), parsed.data()) == 1;
  }
  return inet_pton(AF_INET, aText.c_str(), parsed.data()) == 1;
}

bool isDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

} // namespace

bool isAddress(std::string_view aText, bool aAllowPortZero)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  return isIp(std::string(aText.substr(0, colon))) &&
         parseNumber(aText.substr(colon + 1), aAllowPortZero ? 0 : 1, kMaxPort).has_value();
}

bool isBaseUrl(std::string_view aText)
{
  constexpr std::string_view kScheme = "http://";
  return aText.starts_with(kScheme) && isAddress(aText.substr(kScheme.size()), false);
}

bool isDigest(std::string_view aText)
{
  return aText.size() == kDigestHexDigits &&
         std::all_of(aText.begin(), aText.end(),
                     [](char aChar) { return isDigit(aChar) || (aChar >= 'a' && aChar <= 'f'); });
}

bool isName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return isDigit(aChar) || (aChar >= 'a' && aChar <= 'z') ||
                  (aChar >= 'A' && aChar <= 'Z') || aChar == '-' || aChar == '_';
         });
}

std::optional<long long> parseNumber(std::string_view aText, long long aLow, long long aHigh)
{
  long long value = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc{} || end != aText.data() + aText.size() || value < aLow || value > aHigh) {
    return std::nullopt;
  }
  return value;
}

} // namespace endiveusher::daemon::internal
