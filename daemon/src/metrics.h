#pragma once

#include "endiveusher/edges/channel_counters.h"
#include "endiveusher/kernel/events.h"
#include "quantile_summary.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

namespace endiveusher::daemon {

/// Current values for the metrics page.
struct metrics_snapshot
{
  std::string mIncarnation;
  std::string mZone;
  bool mFresh = false;
  log_offset mControlOffset = 0;
  std::size_t mMembers = 0;
  std::size_t mOpenCalls = 0;
  std::size_t mOpenExchanges = 0;
  std::size_t mOpenPlatformRequests = 0;
  const edges::channel_counters* mTargets = nullptr;
  const edges::channel_counters* mPlatform = nullptr;
  const edges::channel_counters* mPeers = nullptr;
};

/// Durations that are recorded as quantile summaries.
enum class duration_metric
{
  decision,
  waiting,
  exchange,
  append,
  platform_read,
};

/// Counters and duration distributions of one daemon process. Thread-safe.
class metrics
{
public:
  void record(duration_metric aKind, duration aValue);
  void countCall(const call& aCall);
  void countAnswer(const answer& aAnswer);
  void countOrders(const exchange_request& aRequest);

  std::atomic<std::uint64_t> mRejoins{ 0 };
  std::atomic<std::uint64_t> mShedCalls{ 0 };
  std::atomic<std::uint64_t> mShedPeerMessages{ 0 };
  /// Traffic of callers and operators; only the bytes of request bodies are counted.
  edges::channel_counters mCallers;

  /// Returns the metrics page in the Prometheus text format.
  std::string render(const metrics_snapshot& aSnapshot) const;

private:
  mutable std::mutex mMutex;
  std::array<quantile_summary, 5> mDurations;
  std::array<std::uint64_t, std::variant_size_v<call>> mCalls{};
  std::array<std::uint64_t, 3> mAnswers{};
  std::array<std::uint64_t, 4> mOrders{};
};

} // namespace endiveusher::daemon
