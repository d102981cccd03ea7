#include "core_thread.h"

#include "endiveusher/kernel/daemon_core.h"
#include "logger.h"
#include "shed_answer.h"
#include "waiting_times.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <mutex>
#include <pthread.h>
#include <random>
#include <thread>
#include <unordered_map>
#include <utility>

namespace endiveusher::daemon {

namespace {

/// The core requires a tick at least every 50 ms.
constexpr auto kTickInterval = std::chrono::milliseconds(25);
constexpr auto kMetricsInterval = std::chrono::milliseconds(100);
/// Inputs of one ring handled before the next ring is served.
constexpr int kMaxInputsPerRing = 64;

class steady_clock final : public clock
{
public:
  time_point now() const override
  {
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
  }
};

std::uint64_t randomNumber()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

class core_thread::impl
{
public:
  explicit impl(core_thread_options aOptions) : mOptions(std::move(aOptions))
  {
    mThread = std::thread([this] { run(); });
    pthread_setname_np(mThread.native_handle(), "core");
  }

  ~impl()
  {
    mStopping = true;
    mOptions.mInputs.mWakeup.notify();
    mThread.join();
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  std::string describePending() const
  {
    return fmt::format("pending: {} calls, {} exchanges, {} platform requests", mCallCount.load(),
                       mExchangeCount.load(), mPlatformCount.load());
  }

  std::string metricsPage() const
  {
    metrics_snapshot snapshot;
    {
      const std::lock_guard lock(mMetricsMutex);
      snapshot = mMetricsSnapshot;
    }
    snapshot.mZone = mOptions.mSettings.mZone;
    snapshot.mOpenCalls = mCallCount;
    snapshot.mOpenExchanges = mExchangeCount;
    snapshot.mOpenPlatformRequests = mPlatformCount;
    snapshot.mTargets = &mOptions.mTargets.counters();
    snapshot.mPlatform = &mOptions.mPlatform.counters();
    snapshot.mPeers = &mOptions.mPeers.counters();
    return mOptions.mMetrics.render(snapshot);
  }

private:
  void run()
  {
    startIncarnation();
    auto nextTick = mClock.now();
    while (!mStopping) {
      const bool handled = handleInputs();
      const auto now = mClock.now();
      if (handled || now >= nextTick) {
        mCore->tick(now);
        dispatch(mClock.now());
        nextTick = now + kTickInterval;
        updateMetricsSnapshot(now);
      }
      if (mRejoinRequested) {
        rejoin();
      }
      if (mStopped) {
        finish();
        return;
      }
      if (!handled && mLocalFailures.empty()) {
        mOptions.mInputs.mWakeup.waitUntil(nextTick);
      }
    }
  }

  void startIncarnation()
  {
    const auto& settings = mOptions.mSettings;
    ++mGeneration;
    const std::string incarnation = fmt::format("{}.{:016x}", settings.mVm, randomNumber());
    mCore = std::make_unique<daemon_core>(
      daemon_options{ .mTiming = settings.mTiming,
                      .mIncarnation = incarnation,
                      .mVm = settings.mVm,
                      .mZone = settings.mZone,
                      .mPeerAddress = mOptions.mPeerAddress,
                      .mSeeds = settings.mSeeds,
                      .mOperatorKeyDigests = settings.mOperatorKeyDigests,
                      .mPolicy = settings.mPolicy,
                      .mSeed = randomNumber(),
                      .mJobLimit = settings.mMemory.mJobs });
    logLine(log_level::info, "core", fmt::format("starting incarnation {}", incarnation));
  }

  /// Replaces the state machine after a failover or loss of its state. Its open calls can no longer
  /// be decided.
  void rejoin()
  {
    mRejoinRequested = false;
    ++mOptions.mMetrics.mRejoins;
    failOpenCalls("restarted", "rejoin");
    mLocalFailures.clear();
    mWaitingTimes.clear();
    mExchangeCount = 0;
    mPlatformCount = 0;
    if (mShuttingDown) {
      // The successor already has everything that the shutdown would hand off.
      mStopped = true;
      return;
    }
    startIncarnation();
  }

  /// Copies the state of the core for the metrics page, at most once per kMetricsInterval.
  void updateMetricsSnapshot(time_point aNow)
  {
    if (aNow < mNextMetricsUpdate) {
      return;
    }
    mNextMetricsUpdate = aNow + kMetricsInterval;
    const std::lock_guard lock(mMetricsMutex);
    mMetricsSnapshot.mIncarnation = mCore->incarnation();
    mMetricsSnapshot.mFresh = mCore->fresh(aNow);
    mMetricsSnapshot.mControlOffset = mCore->control().next();
    mMetricsSnapshot.mMembers = mCore->control().members().size();
  }

  bool handleInputs()
  {
    auto& inputs = mOptions.mInputs;
    bool any = !mLocalFailures.empty();
    for (auto& event : std::exchange(mLocalFailures, {})) {
      feed(event);
    }
    any |= drain(inputs.mCommands, [this](command& aInput) { handle(aInput); });
    any |= drain(inputs.mExchanges, [this](edges::exchange_result& aInput) { handle(aInput); });
    any |= drain(inputs.mPlatform, [this](edges::platform_result& aInput) { handle(aInput); });
    any |= drain(inputs.mPeers, [this](peer_message& aInput) {
      feed(peer_event{ .mMessage = std::move(aInput) });
    });
    any |= drain(inputs.mCalls, [this](call_input& aInput) { handle(aInput); });
    return any;
  }

  template<typename Ring, typename Handler>
  bool drain(Ring& aRing, Handler aHandler)
  {
    int count = 0;
    for (typename Ring::value_type input; count < kMaxInputsPerRing && aRing.pop(input); ++count) {
      aHandler(input);
    }
    return count > 0;
  }

  void handle(command aCommand)
  {
    switch (aCommand) {
      case command::shut_down:
        mShuttingDown = true;
        mShutdownDeadline = mClock.now() + mOptions.mSettings.mTiming.mShutdownPeriod;
        feed(shutdown_event{});
        break;
      case command::dump_state:
        logAlways("state", mCore->dump(mClock.now()));
        break;
    }
  }

  void handle(edges::exchange_result& aResult)
  {
    if (aResult.mTag != mGeneration) {
      return;
    }
    --mExchangeCount;
    mOptions.mMetrics.record(duration_metric::exchange, aResult.mElapsed);
    feed(std::move(aResult.mEvent));
  }

  void handle(edges::platform_result& aResult)
  {
    if (aResult.mTag != mGeneration) {
      return;
    }
    --mPlatformCount;
    const bool isAppend = std::holds_alternative<append_event>(aResult.mEvent);
    mOptions.mMetrics.record(isAppend ? duration_metric::append : duration_metric::platform_read,
                             aResult.mElapsed);
    std::visit([this](auto& aEvent) { feed(std::move(aEvent)); }, aResult.mEvent);
  }

  void handle(call_input& aInput)
  {
    if (auto* received = std::get_if<received_call>(&aInput.mBody)) {
      acceptCall(aInput.mCallId, *received);
    } else if (mOpenCalls.erase(aInput.mCallId) > 0) {
      mCallCount = mOpenCalls.size();
      feed(call_dropped_event{ .mCallId = aInput.mCallId });
    }
  }

  void acceptCall(std::uint64_t aCallId, received_call& aReceived)
  {
    mOptions.mMetrics.countCall(aReceived.mCall);
    if (mOpenCalls.size() >= mOptions.mSettings.mMemory.mOpenCalls) {
      ++mOptions.mMetrics.mShedCalls;
      sendAnswer(aReceived.mSink, shedAnswer(aReceived.mCall, mCore->incarnation()));
      return;
    }
    if (const auto* submit = std::get_if<submit_call>(&aReceived.mCall)) {
      mWaitingTimes.recordSubmission(submit->mJob, mClock.now());
    }
    mOpenCalls.emplace(aCallId, std::move(aReceived.mSink));
    mCallCount = mOpenCalls.size();
    feed(call_event{ .mCallId = aCallId, .mCall = std::move(aReceived.mCall) });
  }

  void feed(const event& aEvent)
  {
    const auto before = mClock.now();
    mCore->handle(aEvent, before);
    const auto after = mClock.now();
    mOptions.mMetrics.record(duration_metric::decision, after - before);
    dispatch(after);
  }

  void dispatch(time_point aNow)
  {
    for (auto& effect : mCore->takeEffects()) {
      std::visit([this, aNow](auto& aEffect) { execute(aEffect, aNow); }, effect);
    }
  }

  void execute(answer_effect& aEffect, time_point)
  {
    // A dropped call needs no answer.
    if (const auto found = mOpenCalls.find(aEffect.mCallId); found != mOpenCalls.end()) {
      sendAnswer(found->second, aEffect.mAnswer);
      mOpenCalls.erase(found);
      mCallCount = mOpenCalls.size();
    }
  }

  void sendAnswer(const edges::answer_sink& aSink, const answer& aAnswer)
  {
    mOptions.mMetrics.countAnswer(aAnswer);
    aSink(aAnswer);
  }

  /// Answers all open calls with class `unknown`, because this incarnation can no longer decide
  /// them.
  void failOpenCalls(std::string_view aCode, std::string_view aStep)
  {
    const answer given{ .mClass = answer_class::unknown,
                        .mBody = call_error{ .mStatus = 503,
                                             .mCode = std::string(aCode),
                                             .mMessage = "the daemon ended while the call was "
                                                         "open; ask again with the same id",
                                             .mStep = std::string(aStep),
                                             .mPeer = mCore->incarnation() } };
    for (const auto& [id, sink] : std::exchange(mOpenCalls, {})) {
      sendAnswer(sink, given);
    }
    mCallCount = 0;
  }

  void execute(send_effect& aEffect, time_point)
  {
    mOptions.mPeers.send(std::move(aEffect.mAddress), std::move(aEffect.mMessage));
  }

  void execute(exchange_effect& aEffect, time_point aNow)
  {
    mOptions.mMetrics.countOrders(aEffect.mRequest);
    mWaitingTimes.recordStarts(aEffect.mRequest, aNow, [this](duration aWaited) {
      mOptions.mMetrics.record(duration_metric::waiting, aWaited);
    });
    if (hasCapacity(mExchangeCount) && mOptions.mTargets.send(aEffect, mGeneration)) {
      ++mExchangeCount;
    } else {
      mLocalFailures.emplace_back(exchange_event{ .mTarget = std::move(aEffect.mRequest.mTarget),
                                                  .mExchangeId = aEffect.mExchangeId });
    }
  }

  void execute(append_control_effect& aEffect, time_point) { append(aEffect); }
  void execute(append_jobs_effect& aEffect, time_point) { append(aEffect); }

  template<typename Append>
  void append(const Append& aEffect)
  {
    if (!sendToPlatform(aEffect)) {
      mLocalFailures.emplace_back(
        append_event{ .mAppendId = aEffect.mAppendId, .mStatus = append_status::rejected });
    }
  }

  void execute(read_effect& aEffect, time_point)
  {
    if (sendToPlatform(aEffect)) {
      return;
    }
    if (aEffect.mStream == log_stream::control) {
      mLocalFailures.emplace_back(control_read_event{ .mReadId = aEffect.mReadId });
    } else {
      mLocalFailures.emplace_back(jobs_read_event{ .mReadId = aEffect.mReadId });
    }
  }

  void execute(read_vm_list_effect& aEffect, time_point)
  {
    if (!sendToPlatform(aEffect)) {
      mLocalFailures.emplace_back(vm_list_event{});
    }
  }

  template<typename Request>
  bool sendToPlatform(const Request& aRequest)
  {
    const bool sent = hasCapacity(mPlatformCount) && mOptions.mPlatform.send(aRequest, mGeneration);
    mPlatformCount += sent ? 1 : 0;
    return sent;
  }

  /// Whether one more request may be open. Open requests are limited to half of the ring for their
  /// results, so that no result is lost.
  bool hasCapacity(std::size_t aOpen) const
  {
    return aOpen < mOptions.mSettings.mMemory.mRingEvents / 2;
  }

  void execute(stopped_effect&, time_point) { mStopped = true; }
  void execute(rejoin_effect&, time_point) { mRejoinRequested = true; }
  void execute(log_effect& aEffect, time_point)
  {
    logLine(aEffect.mLevel, aEffect.mPart, aEffect.mText);
  }

  /// Answers the calls still open after the shutdown, then reports its end.
  void finish()
  {
    failOpenCalls("stopped", "shutdown");
    logLine(log_level::info, "core", fmt::format("stopped incarnation {}", mCore->incarnation()));
    // At the deadline the core stops even if the shutdown is incomplete.
    mOptions.mOnStopped(mClock.now() < mShutdownDeadline);
  }

  const core_thread_options mOptions;
  const steady_clock mClock;
  std::unique_ptr<daemon_core> mCore;
  /// Number of the current incarnation within this process, from 1. Results with a lower number
  /// belong to an earlier incarnation and are dropped.
  std::uint64_t mGeneration = 0;
  std::unordered_map<std::uint64_t, edges::answer_sink> mOpenCalls;
  /// Failure results of requests that could not be sent; handled in the next iteration.
  std::deque<event> mLocalFailures;
  waiting_times mWaitingTimes;
  mutable std::mutex mMetricsMutex;
  metrics_snapshot mMetricsSnapshot;
  time_point mNextMetricsUpdate{};
  bool mShuttingDown = false;
  time_point mShutdownDeadline{};
  bool mRejoinRequested = false;
  bool mStopped = false;
  std::atomic<bool> mStopping{ false };
  std::atomic<std::size_t> mCallCount{ 0 };
  std::atomic<std::size_t> mExchangeCount{ 0 };
  std::atomic<std::size_t> mPlatformCount{ 0 };
  std::thread mThread;
};

core_thread::core_thread(core_thread_options aOptions)
  : mImpl(std::make_unique<impl>(std::move(aOptions)))
{
}

core_thread::~core_thread() = default;

std::string core_thread::metricsPage() const
{
  return mImpl->metricsPage();
}

std::string core_thread::describePending() const
{
  return mImpl->describePending();
}

} // namespace endiveusher::daemon
