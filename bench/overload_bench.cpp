// Plays an overload of a large cell with the decisions of the real owner: 1,100 targets, 1,765
// starts a second, a burst of short jobs and a team that sends several times its usual. The owner's
// event loop has a share of a core; its processor time is measured, that of the network calls is a
// constant for each message. Prints what callers got by window, and what the loop was busy with.
//
// Usage: overload_bench [length_s=40] [share=0.5] [seed=1] [burst=1]
#include "bench_meter.h"
#include "overload/overload_cell.h"

#include <cstdlib>
#include <fmt/format.h>

using namespace endiveusher;
using namespace endiveusher::bench;
using namespace endiveusher::overload;
using namespace std::chrono_literals;

namespace {

/// Clock that advances with the thread's processor time while an input is handled.
class busy_clock : public endiveusher::clock
{
public:
  busy_clock(const time_point& aNow, const double& aShare) : mNow(aNow), mShare(aShare) {}
  time_point now() const override
  {
    return mNow + duration(static_cast<std::int64_t>(static_cast<double>(threadCpuNs() - mStarted) /
                                                     1000 / mShare));
  }
  void start() { mStarted = threadCpuNs(); }

private:
  const time_point& mNow;
  const double& mShare;
  std::int64_t mStarted = 0;
};

class processor_meter
{
public:
  explicit processor_meter(double aShare) : mShare(aShare) {}
  const endiveusher::clock* clockOf(const time_point& aNow)
  {
    mClock = std::make_unique<busy_clock>(aNow, mShare);
    return mClock.get();
  }
  template<typename Work>
  duration run(loop_work aKind, const Work& aWork, const scheduler::owner& /*aOwner*/,
               time_point /*aNow*/)
  {
    mClock->start();
    const auto begin = threadCpuNs();
    aWork();
    const auto spent = std::chrono::nanoseconds(threadCpuNs() - begin) + fixedCost(aKind);
    return std::chrono::duration_cast<duration>(spent / mShare);
  }
  duration orders(loop_work /*aKind*/, std::size_t aCount) const
  {
    return std::chrono::duration_cast<duration>(aCount * kOrderCost / mShare);
  }

private:
  /// Processor time of a message apart from the decisions: HTTP, encoding, logs.
  static std::chrono::nanoseconds fixedCost(loop_work aKind)
  {
    switch (aKind) {
      case loop_work::submission:
        return 150us;
      case loop_work::advice:
        return 80us;
      case loop_work::heartbeat:
      case loop_work::start_reply:
        return 12us;
      default:
        return 0us;
    }
  }
  static constexpr std::chrono::nanoseconds kOrderCost = 12us;
  const double mShare;
  std::unique_ptr<busy_clock> mClock;
};

/// A team that sends several times its usual, a burst of short jobs, and another such team.
std::vector<load_burst> bursts()
{
  return { { .mTeam = 0, .mFrom = 1s, .mTo = 9s, .mFactor = 3.6 },
           { .mClass = "short", .mFrom = 6800ms, .mTo = 10800ms, .mFactor = 2.2 },
           { .mTeam = 1, .mFrom = 9s, .mTo = 17s, .mFactor = 5.2 } };
}

} // namespace

int main(int aArgc, char** aArgv)
{
  const auto argument = [&](int aIndex, double aDefault) {
    return aArgc > aIndex ? std::strtod(aArgv[aIndex], nullptr) : aDefault;
  };
  auto options = largeCell();
  if (argument(4, 1) > 0) {
    options.mBursts = bursts();
  }
  options.mLength = std::chrono::seconds(static_cast<int>(argument(1, 40)));
  options.mSeed = static_cast<std::uint64_t>(argument(3, 1));
  processor_meter meter(argument(2, 0.5));
  overload_cell cell(options, meter);
  cell.play();
  fmt::print("{:>5} {:>17} {:>14} {:>14} {:>6} {:>6} {:>11} {:>6} {:>6} {:>5} {:>6} {:>6} {:>7}\n",
             "s", "short ontime/late", "batch", "wide", "reject", "accept", "store ms", "end ms",
             "advice", "starts", "badtkt", "pass ms", "waiting");
  for (std::size_t at = 0; at < cell.windows().size(); ++at) {
    const auto& one = cell.windows()[at];
    const auto of = [&](const char* aName) {
      const auto found = one.mByClass.find(aName);
      return found == one.mByClass.end() ? std::string("-")
                                         : fmt::format("{}/{}/{}", found->second.mOnTime,
                                                       found->second.mLate, found->second.mSent);
    };
    std::string busy;
    for (std::size_t kind = 0; kind < kLoopWorks; ++kind) {
      busy += fmt::format(" {}={}", kLoopWorkNames[kind], one.mBusy[kind] * 100 / cell.kWindow);
    }
    fmt::print("{:>5} {:>17} {:>14} {:>14} {:>6} {:>6} {:>5}/{:>5} {:>6} {:>6} {:>6} {:>6} {:>6} "
               "{:>7} |{}\n",
               at * 2, of("short"), of("batch"), of("wide"), one.mRejections, one.mAccepted,
               one.mAccepted == 0 ? 0 : one.mStoreTime / 1ms / one.mAccepted,
               one.mLongestStoreTime / 1ms, one.mLongestEndTime / 1ms, one.mAdviceCalls,
               one.mStarts, one.mBadTickets, one.mPassTime / 1ms, one.mWaitingSteps, busy);
  }
  return 0;
}
