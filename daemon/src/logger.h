#pragma once

#include "endiveusher/kernel/events.h"

#include <string_view>

namespace endiveusher::daemon {

/// Sets the lowest level that is written.
void setLogLevel(log_level aLevel);

/// Writes `<level> <part>: <text>` to stderr as one line. May be called by any thread.
///
/// Usage: `logLine(log_level::info, "http", fmt::format("listens on {}", address));`
void logLine(log_level aLevel, std::string_view aPart, std::string_view aText);

/// As logLine at level info, but written whatever the lowest level is.
void logAlways(std::string_view aPart, std::string_view aText);

} // namespace endiveusher::daemon
