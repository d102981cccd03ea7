#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace endiveusher::edges {

/// Percent-encodes all bytes except ASCII letters, digits and `-._~`.
std::string percentEncode(std::string_view aText);
/// Decodes percent-encoding; absent if a `%` is not followed by two hex digits.
std::optional<std::string> percentDecode(std::string_view aText);

} // namespace endiveusher::edges
