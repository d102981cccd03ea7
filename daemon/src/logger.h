#pragma once

#include "endiveusher/kernel/events.h"

#include <string_view>

namespace endiveusher::daemon {

/// Sets the lowest level that logLine() writes.
void setLogLevel(log_level aLevel);

/// Writes `<level> <part>: <text>` to stderr as one line. Thread-safe.
///
/// Usage: `logLine(log_level::info, "http", fmt::format("listens on {}", address));`
void logLine(log_level aLevel, std::string_view aPart, std::string_view aText);

/// Writes a line at level info regardless of the lowest level set.
void logAlways(std::string_view aPart, std::string_view aText);

} // namespace endiveusher::daemon
