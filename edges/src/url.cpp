#include "endiveusher/edges/url.h"

#include <cctype>

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

} // namespace endiveusher::edges
