#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace endiveusher::daemon::internal {

/// An address `ip:port` (IPv4 or `[IPv6]`); names are not resolved.
bool isAddress(std::string_view aText, bool aAllowPortZero);

/// `http://ip:port`, without a path.
bool isBaseUrl(std::string_view aText);

/// Lower-case hex of a SHA-256 digest.
bool isDigest(std::string_view aText);

/// 1 to 64 letters, digits, `-` and `_`. No dot, because ids join a VM name with a dot.
bool isName(std::string_view aText);

/// Decimal whole number in [aLow, aHigh].
std::optional<long long> parseNumber(std::string_view aText, long long aLow, long long aHigh);

} // namespace endiveusher::daemon::internal
