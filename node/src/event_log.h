#pragma once

#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace endiveusher::node {

/// Structured log on standard output with one line for each event, `time_ms node event
/// key=value...`. Lines are buffered and written by flush() without blocking; lines beyond the
/// buffer's limit are dropped and counted. Not thread-safe.
class event_log
{
public:
  explicit event_log(std::string_view aNode);

  void write(std::string_view aEvent, std::string_view aDetail);
  /// Writes as much of the buffered lines as standard output accepts without blocking.
  void flush();
  std::uint64_t dropped() const { return mDropped; }

private:
  std::string mNode;
  std::string mPending;
  std::uint64_t mDropped = 0;
  std::uint64_t mReported = 0;
};

} // namespace endiveusher::node
