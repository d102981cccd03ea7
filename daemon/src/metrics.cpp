#include "metrics.h"

#include <fmt/format.h>
#include <iterator>
#include <sys/resource.h>

namespace endiveusher::daemon {

namespace {

// In the order of the alternatives of call, answer_class and order_action.
constexpr std::array<std::string_view, std::variant_size_v<call>> kCallNames{
  "ticket", "submit", "status", "wait", "cancel", "publish", "show", "dump"
};
constexpr std::array<std::string_view, 3> kClassNames{ "ran", "not_run", "unknown" };
constexpr std::array<std::string_view, 4> kOrderNames{ "start", "stop", "checkpoint", "throttle" };

// In the order of duration_metric.
constexpr std::array<std::pair<std::string_view, std::string_view>, 5> kDurationMetrics{ {
  { "endiveusher_decision_seconds", "Time to decide about one event and to derive its effects." },
  { "endiveusher_waiting_seconds",
    "Time from a submission here to the first start order of each task." },
  { "endiveusher_exchange_seconds", "Time of one exchange with a target." },
  { "endiveusher_append_seconds", "Time of one append to the log." },
  { "endiveusher_platform_read_seconds", "Time of one read of the log or the VM list." },
} };

using output = std::back_insert_iterator<std::string>;

void writeHeader(output aOut, std::string_view aName, std::string_view aType,
                 std::string_view aHelp)
{
  fmt::format_to(aOut, "# HELP {0} {2}\n# TYPE {0} {1}\n", aName, aType, aHelp);
}

template<typename Value>
void writeSample(output aOut, std::string_view aName, std::string_view aType,
                 std::string_view aHelp, Value aValue)
{
  writeHeader(aOut, aName, aType, aHelp);
  fmt::format_to(aOut, "{} {}\n", aName, aValue);
}

template<std::size_t Size>
void writeLabelledCounters(output aOut, std::string_view aName, std::string_view aLabel,
                           std::string_view aHelp,
                           const std::array<std::string_view, Size>& aLabels,
                           const std::array<std::uint64_t, Size>& aValues)
{
  writeHeader(aOut, aName, "counter", aHelp);
  for (std::size_t i = 0; i < Size; ++i) {
    fmt::format_to(aOut, "{}{{{}=\"{}\"}} {}\n", aName, aLabel, aLabels[i], aValues[i]);
  }
}

struct channel
{
  std::string_view mName;
  const edges::channel_counters* mCounters;
};

void writeChannelCounters(output aOut, std::string_view aName, std::string_view aHelp,
                          const std::array<channel, 4>& aChannels,
                          std::atomic<std::uint64_t> edges::channel_counters::*aMember)
{
  writeHeader(aOut, aName, "counter", aHelp);
  for (const auto& [name, counters] : aChannels) {
    if (counters != nullptr) {
      fmt::format_to(aOut, "{}{{channel=\"{}\"}} {}\n", aName, name,
                     (counters->*aMember).load(std::memory_order_relaxed));
    }
  }
}

double cpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) + static_cast<double>(aTime.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

} // namespace

void metrics::record(duration_metric aKind, duration aValue)
{
  const std::lock_guard lock(mMutex);
  mDurations[static_cast<std::size_t>(aKind)].record(aValue);
}

void metrics::countCall(const call& aCall)
{
  const std::lock_guard lock(mMutex);
  ++mCalls[aCall.index()];
}

void metrics::countAnswer(const answer& aAnswer)
{
  const std::lock_guard lock(mMutex);
  ++mAnswers[static_cast<std::size_t>(aAnswer.mClass)];
}

void metrics::countOrders(const exchange_request& aRequest)
{
  const std::lock_guard lock(mMutex);
  for (const auto& order : aRequest.mOrders) {
    ++mOrders[static_cast<std::size_t>(order.mAction)];
  }
}

std::string metrics::render(const metrics_snapshot& aSnapshot) const
{
  const std::lock_guard lock(mMutex);
  std::string text;
  const auto out = std::back_inserter(text);
  writeHeader(out, "endiveusher_info", "gauge", "Identity of this daemon.");
  fmt::format_to(out, "endiveusher_info{{incarnation=\"{}\",zone=\"{}\"}} 1\n",
                 aSnapshot.mIncarnation, aSnapshot.mZone);
  writeSample(out, "endiveusher_fresh", "gauge", "1 while the view of stream control is fresh.",
              aSnapshot.mFresh ? 1 : 0);
  writeSample(out, "endiveusher_control_offset", "gauge", "Offset applied of stream control.",
              aSnapshot.mControlOffset);
  writeSample(out, "endiveusher_members", "gauge", "Members of the cell.", aSnapshot.mMembers);
  writeSample(out, "endiveusher_open_calls", "gauge", "Calls without an answer.",
              aSnapshot.mOpenCalls);
  writeSample(out, "endiveusher_open_exchanges", "gauge", "Exchanges without a result.",
              aSnapshot.mOpenExchanges);
  writeSample(out, "endiveusher_open_platform_requests", "gauge",
              "Requests to the log and the VM list without a result.",
              aSnapshot.mOpenPlatformRequests);
  writeSample(out, "endiveusher_rejoins_total", "counter", "Incarnations replaced in this process.",
              mRejoins.load());
  writeSample(out, "endiveusher_shed_calls_total", "counter",
              "Calls refused because a queue in this process was full.", mShedCalls.load());
  writeSample(out, "endiveusher_shed_peer_messages_total", "counter",
              "Received peer messages dropped because a queue in this process was full.",
              mShedPeerMessages.load());
  writeLabelledCounters(out, "endiveusher_calls_total", "call", "Calls received.", kCallNames,
                        mCalls);
  writeLabelledCounters(out, "endiveusher_answers_total", "class", "Answers given.", kClassNames,
                        mAnswers);
  writeLabelledCounters(out, "endiveusher_orders_total", "action",
                        "Orders sent to targets, repeated ones too.", kOrderNames, mOrders);
  for (std::size_t i = 0; i < mDurations.size(); ++i) {
    text += mDurations[i].render(kDurationMetrics[i].first, kDurationMetrics[i].second);
  }
  const std::array<channel, 4> all{ { { "callers", &mCallers },
                                      { "targets", aSnapshot.mTargets },
                                      { "platform", aSnapshot.mPlatform },
                                      { "peers", aSnapshot.mPeers } } };
  using counters = edges::channel_counters;
  writeChannelCounters(out, "endiveusher_sent_bytes_total", "Bytes sent.", all,
                       &counters::mSentBytes);
  writeChannelCounters(out, "endiveusher_received_bytes_total", "Bytes received.", all,
                       &counters::mReceivedBytes);
  writeChannelCounters(out, "endiveusher_channel_succeeded_total",
                       "Requests or messages that succeeded.", all, &counters::mSucceeded);
  writeChannelCounters(out, "endiveusher_channel_failed_total", "Requests or calls that failed.",
                       all, &counters::mFailed);
  writeChannelCounters(out, "endiveusher_channel_dropped_total",
                       "Requests or messages that a full queue did not take.", all,
                       &counters::mDropped);
  writeSample(out, "process_cpu_seconds_total", "counter", "Processor time used.", cpuSeconds());
  return text;
}

} // namespace endiveusher::daemon
