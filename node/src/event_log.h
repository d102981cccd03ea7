#pragma once

#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace endiveusher::node {

/// Structured log on standard output with one line for each event other than dumps, `time_ms node
/// event key=value...`. Lines are buffered and written by flush() without blocking; lines beyond
/// the buffer's limit are dropped and counted. Not thread-safe.
class event_log
{
public:
  explicit event_log(std::string_view aNode);

  /// Writes aDetail as one line: it is cut to a few kilobytes, and bytes other than printable ASCII
  /// are escaped.
  void write(std::string_view aEvent, std::string_view aDetail);
  /// Writes aText as it is, which may be long and of several lines.
  void writeDump(std::string_view aEvent, std::string_view aText);
  /// Writes as much of the buffered lines as standard output accepts without blocking.
  void flush();
  std::uint64_t dropped() const { return mDropped; }

private:
  void append(std::string_view aEvent, std::string_view aDetail);

  std::string mNode;
  std::string mPending;
  std::uint64_t mDropped = 0;
  std::uint64_t mReported = 0;
};

} // namespace endiveusher::node
