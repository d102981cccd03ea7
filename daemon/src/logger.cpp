#include "logger.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <fmt/format.h>
#include <unistd.h>

namespace endiveusher::daemon {

namespace {

std::atomic<log_level> gLevel{ log_level::info };

constexpr std::array<std::string_view, 4> kLevelNames{ "debug", "info", "warning", "error" };

void writeLine(log_level aLevel, std::string_view aPart, std::string_view aText)
{
  std::string line =
    fmt::format("{} {}: {}", kLevelNames[static_cast<std::size_t>(aLevel)], aPart, aText);
  // Line ends in callers' texts must not be mistaken for separate log lines.
  std::replace_if(
    line.begin(), line.end(), [](char aChar) { return aChar == '\n' || aChar == '\r'; }, ' ');
  line += '\n';
  // One write per line, so that lines of different threads are not interleaved.
  [[maybe_unused]] const auto written = write(STDERR_FILENO, line.data(), line.size());
}

} // namespace

void setLogLevel(log_level aLevel)
{
  gLevel = aLevel;
}

void logLine(log_level aLevel, std::string_view aPart, std::string_view aText)
{
  if (aLevel >= gLevel.load(std::memory_order_relaxed)) {
    writeLine(aLevel, aPart, aText);
  }
}

void logAlways(std::string_view aPart, std::string_view aText)
{
  writeLine(log_level::info, aPart, aText);
}

} // namespace endiveusher::daemon
