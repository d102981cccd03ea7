#pragma once

#include <atomic>
#include <cstdint>

namespace endiveusher::edges {

/// Traffic counters of one channel. May be read from any thread.
struct channel_counters
{
  /// Bytes including protocol headers, without TCP and IP headers.
  std::atomic<std::uint64_t> mSentBytes{ 0 };
  std::atomic<std::uint64_t> mReceivedBytes{ 0 };
  std::atomic<std::uint64_t> mSucceeded{ 0 };
  std::atomic<std::uint64_t> mFailed{ 0 };
  /// Requests or messages discarded because a bounded queue was full or they could not be decoded.
  std::atomic<std::uint64_t> mDropped{ 0 };
};

} // namespace endiveusher::edges
