// Measures the planning pass of the owner: processor time of one tick with a pass, by the number of
// waiting steps and of targets. Targets and the store are in memory and reply between the ticks;
// time is simulated. Each target has one free core; waiting steps have one task of two cores, so
// that nothing can be placed until targets get more.
//
// Usage: plan_bench [passes=5] [steps=100,1000,5000,20000] [targets=100,1100,10000]
#include "bench_meter.h"
#include "endiveusher/scheduler/owner.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t kCore = 1000;
/// Longer than the longest pause between two passes.
constexpr auto kPassInterval = 250ms;
constexpr int kAdviceHelpers = 35;

class plan_cell : private owner_port
{
public:
  plan_cell(std::size_t aTargets, std::size_t aSteps, bool aAdvice)
    : mOwner(std::make_unique<owner>(mJobTable, static_cast<owner_port&>(*this), owner_options{}, 1,
                                     mNow))
  {
    cell_config config;
    config.mRoutes.push_back(
      { .mName = "batch", .mPool = "pool", .mPriority = 1, .mStretch = 2.0, .mObjective = 1h });
    if (aAdvice) {
      config.mRoutes[0].mAdvice =
        advice_terms{ .mPerCall = 11ms, .mPerTarget = 160us, .mTicketLifetime = 1500ms };
    }
    config.mTeams.push_back({ .mName = "team" });
    config.index();
    mOwner->configure(std::make_shared<cell_config>(config));
    std::vector<std::string> helpers;
    helpers.reserve(kAdviceHelpers);
    for (int index = 0; index < kAdviceHelpers; ++index) {
      helpers.push_back("daemon-" + std::to_string(index));
    }
    mOwner->setAdviceHelpers(helpers);
    for (std::size_t index = 0; index < aTargets; ++index) {
      mTargets.push_back({ .mId = "t" + std::to_string(index),
                           .mAddress = "10.0.0.1:1",
                           .mPool = "pool",
                           .mZone = "a",
                           .mRack = "r1",
                           .mLabels = { "r1" },
                           .mIncarnationStart = 1 });
      setCores(index, 1);
    }
    // The targets are acquired, and that is stored.
    for (int round = 0; round < 4; ++round) {
      tick();
    }
    for (std::uint64_t id = 1; id <= aSteps; ++id) {
      job_spec spec{ .mId = static_cast<job_id>(id),
                     .mRoute = "batch",
                     .mTeam = "team",
                     .mSteps = { { .mNeeds = { .mCpuMilli = 2 * kCore, .mMemoryMb = 100 },
                                   .mEstimate = 1s } },
                     .mSubmitted = wall() };
      if (job* added = mJobTable.apply(job_submitted{ .mSpec = std::move(spec) }, mNow)) {
        mOwner->onRecordApplied(*added, mNow, wall());
      }
    }
  }

  void setCores(std::size_t aTarget, std::int64_t aCores)
  {
    mTargets[aTarget].mCapacity = { .mCpuMilli = aCores * kCore, .mMemoryMb = 1'000'000 };
    mOwner->setTarget(mTargets[aTarget], mNow);
  }
  void setAllCores(std::int64_t aCores)
  {
    for (std::size_t target = 0; target < mTargets.size(); ++target) {
      setCores(target, aCores);
    }
  }
  /// Returns the processor time of a tick with a pass, ns.
  std::int64_t tick()
  {
    mNow += kPassInterval;
    reply();
    const auto start = bench::threadCpuNs();
    mOwner->tick(mNow, wall());
    return bench::threadCpuNs() - start;
  }
  /// Returns the median time of some ticks, ms.
  double medianTick(std::size_t aCount)
  {
    std::vector<double> times;
    for (std::size_t each = 0; each < aCount; ++each) {
      times.push_back(static_cast<double>(tick()) / 1e6);
    }
    std::ranges::sort(times);
    return times[times.size() / 2];
  }

  std::size_t mStarts = 0;
  /// Hash of the decisions, to compare two versions of the code.
  std::uint64_t mDigest = 14695981039346656037U;

private:
  wall_time wall() const { return std::chrono::duration_cast<wall_time>(mNow.time_since_epoch()); }
  void reply()
  {
    for (; mAppends > 0; --mAppends) {
      mOwner->onStored(mNow);
    }
    for (const auto& call : std::exchange(mAdviceCalls, {})) {
      advice_reply answer{ .mCall = call.mCall, .mOk = true };
      for (const auto& id : call.mTargets) {
        answer.mTickets.push_back({ .mTarget = id, .mToken = "t" });
      }
      mOwner->onAdviceReply(answer, mNow);
    }
    for (const auto& order : std::exchange(mStartOrders, {})) {
      mOwner->onStartReply(order, order_outcome::accepted, mNow);
    }
    for (const auto& order : std::exchange(mHeartbeats, {})) {
      // Only the first is answered: later ones, with the lists of runs, are not part of a pass.
      if (!order.mLeaseUntil) {
        mOwner->onHeartbeatReply(
          order.mTarget, mNow, order_outcome::accepted,
          { .mClock = std::chrono::duration_cast<target_time>(mNow.time_since_epoch()),
            .mIncarnationStart = 1 },
          mNow);
      }
    }
  }

  void store(std::vector<journal_record> /*aRecords*/) override { ++mAppends; }
  void onRecordStored(std::uint64_t /*aToken*/) override {}
  void sendHeartbeat(const heartbeat_order& aOrder) override { mHeartbeats.push_back(aOrder); }
  void start(const start_order& aOrder) override { mStartOrders.push_back(aOrder); }
  void stop(const stop_order& /*aOrder*/) override {}
  void requestAdvice(const advice_request& aRequest) override { mAdviceCalls.push_back(aRequest); }
  void logDecision(std::string_view aEvent, std::string_view aDetail) override
  {
    mStarts += aEvent == "start" ? 1 : 0;
    for (const char byte : aDetail) {
      mDigest = (mDigest ^ static_cast<unsigned char>(byte)) * 1099511628211U;
    }
  }

  job_table mJobTable;
  time_point mNow{ 1000s };
  std::vector<target_entry> mTargets;
  std::size_t mAppends = 0;
  std::vector<heartbeat_order> mHeartbeats;
  std::vector<start_order> mStartOrders;
  std::vector<advice_request> mAdviceCalls;
  std::unique_ptr<owner> mOwner;
};

std::vector<std::size_t> numbers(const std::string& aText)
{
  std::vector<std::size_t> values;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    values.push_back(std::strtoull(part.c_str(), nullptr, 10));
  }
  return values;
}

void measure(std::size_t aSteps, std::size_t aTargets, bool aAdvice, std::size_t aPasses)
{
  plan_cell cell(aTargets, aSteps, aAdvice);
  cell.tick();
  const double none = cell.medianTick(aPasses);
  cell.setCores(aTargets / 2, 2);
  const double oneFreed = cell.medianTick(1);
  fmt::print("{:6} {:6} {:7} {:10.3f} {:10.3f}", aSteps, aTargets, aAdvice ? "yes" : "no", none,
             oneFreed);
  // Half of the steps, then all: without advice they are placed in one pass.
  for (const std::size_t part : { 2, 1 }) {
    plan_cell placing(aTargets, aSteps, aAdvice);
    placing.tick();
    const auto perTarget = (aSteps / part + aTargets - 1) / aTargets;
    placing.setAllCores(2 * static_cast<std::int64_t>(perTarget));
    const double first = placing.medianTick(1);
    const auto starts = placing.mStarts;
    const double later = placing.medianTick(aPasses);
    fmt::print(" {:10.3f} {:6} {:10.3f} {:6} {:016x}", first, starts, later, placing.mStarts,
               placing.mDigest);
  }
  fmt::print("\n");
}

} // namespace

int main(int aArgc, char** aArgv)
{
  const auto argument = [&](int aIndex, const char* aDefault) {
    return numbers(aArgc > aIndex ? aArgv[aIndex] : aDefault);
  };
  const auto passes = argument(1, "5").front();
  const auto steps = argument(2, "100,1000,5000,20000");
  const auto targets = argument(3, "100,1100,10000");
  fmt::print(
    "Processor time of a tick with a pass, ms: nothing changed, one target freed; then room "
    "for half of the steps and for all,\nwith the first pass, its starts, the median of "
    "later passes, all starts and the hash of the decisions.\n");
  fmt::print("{:>6} {:>6} {:7} {:>10} {:>10}\n", "steps", "target", "advice", "unchanged", "freed");
  for (const bool advice : { false, true }) {
    for (const auto targetCount : targets) {
      for (const auto stepCount : steps) {
        measure(stepCount, targetCount, advice, passes);
      }
    }
  }
  return 0;
}
