#pragma once

#include <string>
#include <string_view>

namespace endiveusher::ctl::internal {

/// Lower-case hex SHA-256, the only form in which a key leaves this program for the log.
std::string sha256Hex(std::string_view aText);

/// 32 random hex digits.
std::string randomHex();

} // namespace endiveusher::ctl::internal
