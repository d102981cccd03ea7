// Measures the placer's decisions: time per placement and exchanges needed, at a given number of
// targets and queued tasks. Targets are in memory and reply immediately; time is simulated, so only
// the placer's own processor time is measured.
//
// Usage: placer_bench [targets=48] [queued=100000] [teams=6] [placements=100000]
#include "endiveusher/kernel/placer.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace endiveusher;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t kSlots = 64;
const resources kCapacity{ .mSlots = kSlots, .mCpuMilli = 64'000, .mMemoryMb = 128'000 };

/// Target that executes every start order and finishes tasks in the order of their starts.
struct bench_target
{
  exchange_response exchange(const exchange_request& aRequest, target_time aClock)
  {
    exchange_response answer{ .mTarget = aRequest.mTarget,
                              .mTargetIncarnation = "i",
                              .mClock = aClock,
                              .mGranted = aRequest.mAcquire,
                              .mOwner = aRequest.mAcquire ? aRequest.mDaemon : "",
                              .mEpoch = 1,
                              .mOwnerUntil = aClock + 6s,
                              .mCapacity = kCapacity };
    std::erase_if(mFinished, [&](const auto& aEntry) {
      const auto& acks = aRequest.mAcknowledgedFinished;
      return std::find(acks.begin(), acks.end(), aEntry.mFinishedId) != acks.end();
    });
    for (const target_order& order : aRequest.mOrders) {
      if (order.mAction == order_action::start) {
        mRunning.push_back({ .mTask = order.mTask, .mLeaseUntil = aRequest.mTaskLeaseUntil });
        ++mVersion;
      }
      answer.mOrderResults.push_back({ .mOrderId = order.mOrderId });
    }
    answer.mTableVersion = mVersion;
    if (aRequest.mKnownTableVersion != mVersion) {
      answer.mTable.emplace(mRunning.begin(), mRunning.end());
    }
    answer.mFinished = mFinished;
    for (const running_task& entry : mRunning) {
      answer.mMeasured += entry.mTask.mSize;
    }
    return answer;
  }
  void finishOldest(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount && !mRunning.empty(); ++i) {
      mFinished.push_back(
        { .mFinishedId = ++mLastFinished, .mTask = mRunning.front().mTask, .mRanFor = 2s });
      mRunning.pop_front();
      ++mVersion;
    }
  }

  std::deque<running_task> mRunning;
  std::vector<finished_attempt> mFinished;
  std::uint64_t mVersion = 1;
  std::uint64_t mLastFinished = 0;
};

class stopwatch
{
public:
  double microseconds() const
  {
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - mStart)
      .count();
  }

private:
  std::chrono::steady_clock::time_point mStart = std::chrono::steady_clock::now();
};

double percentile(std::vector<double>& aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0.0;
  }
  const auto at = static_cast<std::size_t>(aFraction * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(at),
                   aValues.end());
  return aValues[at];
}

class bench_run
{
public:
  bench_run(std::size_t aTargets, std::size_t aQueued, std::size_t aTeams)
    : mQueued(aQueued), mPlacer({ .mQueueLimit = 2 * aQueued })
  {
    mView.mSelf = "d1";
    mView.mZone = "z";
    mView.mLive = { "d1" };
    for (std::size_t i = 0; i < aTeams; ++i) {
      mTeams.push_back("team" + std::to_string(i));
      mView.mTeams[mTeams.back()] = { .mShare = 1.0 + static_cast<double>(i % 3) };
    }
    for (std::size_t i = 0; i < aTargets; ++i) {
      const std::string id = "t" + std::to_string(i);
      mTargets[id];
      mView.mTargets.push_back(
        { .mTarget = id, .mZone = "z", .mAddress = id, .mPreferredOwner = "d1" });
    }
    mView.mFreshUntil = mNow + 24h;
    mView.mRenewUntil = mNow + 24h;
    mPlacer.setView(mView, mNow);
    for (int i = 0; i < 10; ++i) {
      step();
    }
  }

  /// Enqueues one task, as a caller's submission does, and lets the placer decide.
  void submitOne()
  {
    const stopwatch watch;
    enqueueOne();
    mPlacer.tick(mNow);
    mDecisions.push_back(watch.microseconds());
  }
  void fillQueue()
  {
    const stopwatch watch;
    for (std::size_t i = 0; i < mQueued; ++i) {
      enqueueOne();
    }
    mEnqueueMicroseconds = watch.microseconds() / static_cast<double>(mQueued);
  }
  /// Finishes aCount tasks on every target and reports them to the placer.
  void finishSome(std::size_t aCount)
  {
    for (auto& [id, target] : mTargets) {
      target.finishOldest(aCount);
    }
    mNow += 1s;
    step();
  }
  /// Runs one round: the placer decides, the targets reply, the coordinator acknowledges.
  void step()
  {
    mNow += 10ms;
    const stopwatch tickWatch;
    mPlacer.tick(mNow);
    const double tickTime = tickWatch.microseconds();
    mPlacerMicroseconds += tickTime;
    const std::size_t before = mPlaced;
    deliver();
    if (mPlaced > before) {
      mPerPlacement.push_back(tickTime / static_cast<double>(mPlaced - before));
      mTicks.push_back(tickTime);
    }
    acknowledge();
  }

  std::size_t mPlaced = 0;
  double mEnqueueMicroseconds = 0.0;
  double mPlacerMicroseconds = 0.0;
  std::size_t mExchanges = 0;
  std::vector<double> mDecisions;
  std::vector<double> mPerPlacement;
  std::vector<double> mTicks;
  std::vector<double> mAnswers;

private:
  void enqueueOne()
  {
    task_attempt task{ .mKey = { "job" + std::to_string(mNext / 1000),
                                 static_cast<std::uint32_t>(mNext % 1000) },
                       .mTeam = mTeams[mNext % mTeams.size()],
                       .mCoordinator = "home" };
    ++mNext;
    const auto pick = [this](std::int64_t aFrom, std::int64_t aTo) {
      return std::uniform_int_distribution<std::int64_t>(aFrom, aTo)(mRandom);
    };
    task.mSize = { .mSlots = 1, .mCpuMilli = 250 * pick(1, 8), .mMemoryMb = 512 * pick(1, 8) };
    task.mUrgent = pick(0, 99) == 0;
    mPlacer.enqueue(task, task.mUrgent ? duration(1500ms) : duration(0), mNow);
  }
  void deliver()
  {
    for (const exchange_effect& sent : mPlacer.takeExchanges()) {
      ++mExchanges;
      mPlaced += sent.mRequest.mOrders.size();
      for (const target_order& order : sent.mRequest.mOrders) {
        mPlaced -= order.mAction == order_action::start ? 0 : 1;
      }
      exchange_event event{ .mTarget = sent.mRequest.mTarget, .mExchangeId = sent.mExchangeId };
      event.mResponse =
        mTargets.at(event.mTarget)
          .exchange(sent.mRequest,
                    std::chrono::duration_cast<target_time>(mNow.time_since_epoch()));
      for (const finished_attempt& finished : event.mResponse->mFinished) {
        mEnded.push_back({ .mKey = finished.mTask.mKey,
                           .mAttempt = finished.mTask.mAttempt,
                           .mState = placed_state::ended });
      }
      const stopwatch watch;
      mPlacer.handle(event, mNow);
      mAnswers.push_back(watch.microseconds());
      mPlacerMicroseconds += mAnswers.back();
    }
  }
  void acknowledge()
  {
    const stopwatch watch;
    mPlacer.acknowledge("home", mEnded, mNow);
    mPlacerMicroseconds += watch.microseconds();
    mEnded.clear();
  }

  std::size_t mQueued;
  basic_placer<> mPlacer;
  cell_view mView;
  time_point mNow{ 1000s };
  std::vector<team_name> mTeams;
  std::map<target_id, bench_target> mTargets;
  std::vector<placed_task> mEnded;
  std::mt19937_64 mRandom{ 1 };
  std::size_t mNext = 0;
};

} // namespace

int main(int aArgc, char** aArgv)
{
  const auto argument = [&](int aIndex, std::size_t aDefault) {
    return aArgc > aIndex ? std::strtoull(aArgv[aIndex], nullptr, 10) : aDefault;
  };
  const std::size_t targets = argument(1, 48);
  const std::size_t queued = argument(2, 100'000);
  const std::size_t teams = argument(3, 6);
  const std::size_t placements = argument(4, 100'000);

  bench_run run(targets, queued, teams);
  // Single decisions while there is free capacity, up to a quarter of the slots.
  for (std::size_t i = 0; i < targets * kSlots / 4; ++i) {
    run.submitOne();
    if (i % 32 == 31) {
      run.step();
    }
  }
  run.fillQueue();
  run.step();
  run.mPlaced = 0;
  run.mPlacerMicroseconds = 0.0;
  run.mExchanges = 0;
  run.mPerPlacement.clear();
  run.mTicks.clear();
  run.mAnswers.clear();
  while (run.mPlaced < placements) {
    const std::size_t before = run.mPlaced;
    run.finishSome(4);
    run.step();
    if (run.mPlaced == before) {
      break;
    }
  }
  fmt::print("{} targets, {} queued, {} teams\n", targets, queued, teams);
  fmt::print("single decision with room, us: p50 {:.1f} p99 {:.1f} max {:.1f}\n",
             percentile(run.mDecisions, 0.5), percentile(run.mDecisions, 0.99),
             percentile(run.mDecisions, 1.0));
  fmt::print("enqueue, us: mean {:.2f}\n", run.mEnqueueMicroseconds);
  fmt::print("full cell, {} placements in {} exchanges\n", run.mPlaced, run.mExchanges);
  fmt::print("  tick per placement, us: p50 {:.1f} p99 {:.1f}\n",
             percentile(run.mPerPlacement, 0.5), percentile(run.mPerPlacement, 0.99));
  fmt::print("  tick that places, us: p50 {:.1f} p99 {:.1f} max {:.1f}\n",
             percentile(run.mTicks, 0.5), percentile(run.mTicks, 0.99),
             percentile(run.mTicks, 1.0));
  fmt::print("  answer, us: p50 {:.1f} p99 {:.1f} max {:.1f}\n", percentile(run.mAnswers, 0.5),
             percentile(run.mAnswers, 0.99), percentile(run.mAnswers, 1.0));
  fmt::print("  placements per second of one core: {:.0f}\n",
             static_cast<double>(run.mPlaced) / run.mPlacerMicroseconds * 1e6);
  return 0;
}
