#pragma once

#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace endiveusher::node {

/// Structured log on standard output: one line for each event, `time_ms event key=value...`.
/// Lines are collected and written by flush() without blocking; what does not fit is dropped and
/// counted. One thread.
class event_log
{
public:
  explicit event_log(std::string_view aNode);

  void write(std::string_view aEvent, std::string_view aDetail);
  /// Writes what is collected, as far as the reader takes it.
  void flush();
  std::uint64_t dropped() const { return mDropped; }

private:
  std::string mNode;
  std::string mPending;
  std::uint64_t mDropped = 0;
  std::uint64_t mReported = 0;
};

} // namespace endiveusher::node
