#pragma once

#include "endiveusher/kernel/time.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <ctime>
#include <string_view>
#include <vector>

namespace endiveusher::bench {

/// Kinds of message of a daemon, counted separately.
enum class channel
{
  gossip,
  peer, ///< All other messages between daemons.
  exchange,
  append,
  read,
  vm_list,
  count,
};
inline constexpr std::size_t kChannels = static_cast<std::size_t>(channel::count);
inline constexpr std::array<std::string_view, kChannels> kChannelNames{ "gossip",   "peer",
                                                                        "exchange", "append",
                                                                        "read",     "vm_list" };

/// Kinds of work of a daemon, timed separately.
enum class work
{
  call,
  gossip,
  peer,
  exchange,
  log,
  vm_list,
  tick,
  count,
};
inline constexpr std::size_t kWorks = static_cast<std::size_t>(work::count);
inline constexpr std::array<std::string_view, kWorks> kWorkNames{ "call",     "gossip", "peer",
                                                                  "exchange", "log",    "vm_list",
                                                                  "tick" };

/// Returns the processor time of this thread, ns.
inline std::int64_t threadCpuNs()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * 1'000'000'000LL + now.tv_nsec;
}

/// Messages and processor times of all daemons since the last clear().
struct meter
{
  struct traffic
  {
    std::uint64_t mMessages = 0;
    double mBytes = 0.0;
  };
  std::array<traffic, kChannels> mTraffic{};
  /// Number of messages in each second of simulated time, by channel.
  std::vector<std::array<std::uint64_t, kChannels>> mSeconds;
  /// Processor time of each event by kind of work, ns.
  std::array<std::vector<std::int64_t>, kWorks> mWork;
  std::vector<double> mDaemonCpuNs;
  /// Number of messages by channel, used to measure only every n-th; not cleared.
  std::array<std::uint64_t, kChannels> mSampleCounters{};

  void clear()
  {
    mTraffic = {};
    mSeconds.clear();
    mWork = {};
    std::fill(mDaemonCpuNs.begin(), mDaemonCpuNs.end(), 0.0);
  }
  /// Counts a message. aSize is called for every aEvery-th message only and its result multiplied
  /// by aEvery.
  template<typename Size>
  void count(channel aChannel, duration aAt, std::uint64_t aEvery, const Size& aSize)
  {
    const auto index = static_cast<std::size_t>(aChannel);
    ++mTraffic[index].mMessages;
    const auto second = static_cast<std::size_t>(aAt.count() / 1'000'000);
    if (mSeconds.size() <= second) {
      mSeconds.resize(second + 1);
    }
    ++mSeconds[second][index];
    if (mSampleCounters[index]++ % aEvery == 0) {
      mTraffic[index].mBytes += static_cast<double>(aSize() * aEvery);
    }
  }
  void time(work aWork, std::size_t aDaemon, std::int64_t aNs)
  {
    mWork[static_cast<std::size_t>(aWork)].push_back(aNs);
    mDaemonCpuNs[aDaemon] += static_cast<double>(aNs);
  }
  double totalCpuNs() const
  {
    double sum = 0.0;
    for (const double each : mDaemonCpuNs) {
      sum += each;
    }
    return sum;
  }
  /// Returns the largest number of messages of a channel in one second, over all daemons.
  std::uint64_t peak(channel aChannel) const
  {
    std::uint64_t most = 0;
    for (const auto& second : mSeconds) {
      most = std::max(most, second[static_cast<std::size_t>(aChannel)]);
    }
    return most;
  }
};

} // namespace endiveusher::bench
