#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace endiveusher::edges {

/// Percent-encodes all bytes except ASCII letters, digits and `-._~`.
std::string percentEncode(std::string_view aText);
/// Decodes percent-encoding; absent if a `%` is not followed by two hex digits.
std::optional<std::string> percentDecode(std::string_view aText);

/// Whether aAddress is an IPv4 address, or an IPv6 address in brackets, and a port from 1 to 65535,
/// separated by a colon.
bool isIpAndPort(std::string_view aAddress);

} // namespace endiveusher::edges
