#include "endiveusher/edges/url.h"

#include <arpa/inet.h>

#include <cctype>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace endiveusher::edges {

namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";

int hexValue(char aDigit)
{
  const auto at =
    kHexDigits.find(static_cast<char>(std::toupper(static_cast<unsigned char>(aDigit))));
  return at == std::string_view::npos ? -1 : static_cast<int>(at);
}

} // namespace

std::string percentEncode(std::string_view aText)
{
  std::string result;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if ((byte < 0x80 && std::isalnum(byte) != 0) ||
        std::string_view("-._~").find(character) != std::string_view::npos) {
      result += character;
    } else {
      result += '%';
      result += kHexDigits[byte >> 4U];
      result += kHexDigits[byte & 0xFU];
    }
  }
  return result;
}

std::optional<std::string> percentDecode(std::string_view aText)
{
  std::string result;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      result += aText[i];
      continue;
    }
    const int high = aText.size() - i > 2 ? hexValue(aText[i + 1]) : -1;
    const int low = aText.size() - i > 2 ? hexValue(aText[i + 2]) : -1;
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    result += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return result;
}

bool isIpAndPort(std::string_view aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const auto port = aAddress.substr(colon + 1);
  std::uint16_t number = 0;
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
  if (error != std::errc() || end != port.data() + port.size() || number == 0) {
    return false;
  }
  auto host = aAddress.substr(0, colon);
  const bool bracketed = host.starts_with('[') && host.ends_with(']');
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  // inet_pton() reads up to the first NUL.
  if (host.find('\0') != std::string_view::npos) {
    return false;
  }
  in6_addr parsed{};
  return ::inet_pton(bracketed ? AF_INET6 : AF_INET, std::string(host).c_str(), &parsed) == 1;
}

} // namespace endiveusher::edges
