#pragma once

#include <string>
#include <string_view>

namespace endiveusher::ctl::internal {

/// Returns the SHA-256 of aText in lower-case hex. Keys go to the log only in this form.
std::string sha256Hex(std::string_view aText);

/// Returns 32 random hex digits. Throws std::runtime_error if none can be generated.
std::string randomHex();

} // namespace endiveusher::ctl::internal
