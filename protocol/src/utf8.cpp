#include "utf8.h"

#include <cstddef>
#include <cstdint>

namespace endiveusher::protocol::internal {

bool isUtf8(std::string_view aText)
{
  std::size_t at = 0;
  while (at < aText.size()) {
    const auto lead = static_cast<unsigned char>(aText[at++]);
    if (lead < 0x80) {
      continue;
    }
    const std::size_t following = lead >= 0xF0 ? 3 : lead >= 0xE0 ? 2 : 1;
    if (lead < 0xC2 || lead > 0xF4 || aText.size() - at < following) {
      return false;
    }
    std::uint32_t value = lead & (0x3FU >> following);
    for (std::size_t i = 0; i < following; ++i) {
      const auto next = static_cast<unsigned char>(aText[at++]);
      if ((next & 0xC0U) != 0x80U) {
        return false;
      }
      value = (value << 6U) | (next & 0x3FU);
    }
    const bool overlong = (following == 2 && value < 0x800) || (following == 3 && value < 0x10000);
    if (overlong || value > 0x10FFFF || (value >= 0xD800 && value <= 0xDFFF)) {
      return false;
    }
  }
  return true;
}

} // namespace endiveusher::protocol::internal
