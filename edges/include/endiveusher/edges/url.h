#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace endiveusher::edges {

/// Encodes all but letters, digits and `-._~`.
std::string percentEncode(std::string_view aText);
/// Absent if aText holds a `%` without two hex digits.
std::optional<std::string> percentDecode(std::string_view aText);

} // namespace endiveusher::edges
