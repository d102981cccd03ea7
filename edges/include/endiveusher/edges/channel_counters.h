#pragma once

#include <atomic>
#include <cstdint>

namespace endiveusher::edges {

/// Traffic of one channel. Written by the channel's thread, read by any.
struct channel_counters
{
  /// Bytes with protocol headers; TCP and IP headers are not counted.
  std::atomic<std::uint64_t> mSentBytes{ 0 };
  std::atomic<std::uint64_t> mReceivedBytes{ 0 };
  std::atomic<std::uint64_t> mSucceeded{ 0 };
  std::atomic<std::uint64_t> mFailed{ 0 };
  /// Requests or messages that were not sent because a bounded queue was full.
  std::atomic<std::uint64_t> mDropped{ 0 };
};

} // namespace endiveusher::edges
