#pragma once

#include <string_view>

namespace endiveusher::protocol::internal {

/// Whether aText is well-formed UTF-8: no overlong forms, surrogates or values above U+10FFFF.
bool isUtf8(std::string_view aText);

} // namespace endiveusher::protocol::internal
