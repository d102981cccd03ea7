#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace endiveusher::daemon::internal {

/// Whether aText is an address `ip:port` (IPv4 or `[IPv6]`); names are not resolved.
bool isAddress(std::string_view aText, bool aAllowPortZero);

/// Whether aText has the form `http://ip:port`, without a path.
bool isBaseUrl(std::string_view aText);

/// Whether aText is a SHA-256 digest in lower-case hex.
bool isDigest(std::string_view aText);

/// Whether aText consists of 1 to 64 letters, digits, `-` and `_`. Dots are excluded, because ids
/// join a VM name with a dot.
bool isName(std::string_view aText);

/// Parses a decimal integer; absent if aText is none or is outside [aLow, aHigh].
std::optional<long long> parseNumber(std::string_view aText, long long aLow, long long aHigh);

} // namespace endiveusher::daemon::internal
