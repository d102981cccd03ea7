#include "daemon_process.h"

#include "core_inputs.h"
#include "core_thread.h"
#include "endiveusher/edges/call_api.h"
#include "endiveusher/edges/http_server.h"
#include "logger.h"
#include "metrics.h"
#include "shed_answer.h"

#include <absl/status/status.h>

#include <atomic>
#include <fmt/format.h>
#include <stdexcept>
#include <utility>

namespace endiveusher::daemon {

namespace {

/// Time limit for callers to read their last answers at a shutdown.
constexpr auto kFinalAnswersTimeout = std::chrono::seconds(2);
constexpr int kHttpThreads = 2;

} // namespace

class daemon_process::impl
{
public:
  impl(const settings& aSettings, std::function<void(bool aComplete)> aOnStopped)
    : mSettings(aSettings), mOnStopped(std::move(aOnStopped)),
      mInputs(mSettings.mMemory.mRingEvents),
      mTargets({ .mTimeout = mSettings.mTiming.mExchangeTimeout,
                 .mQueueLimit = mSettings.mMemory.mRingEvents,
                 .mOnResult =
                   [this](edges::exchange_result&& aResult) {
                     mInputs.mExchanges.push(std::move(aResult));
                   } }),
      mPlatform({ .mLogUrl = mSettings.mLogUrl,
                  .mVmListUrl = mSettings.mVmListUrl,
                  .mOnResult = [this](edges::platform_result&& aResult) {
                    mInputs.mPlatform.push(std::move(aResult));
                  } })
  {
  }

  absl::Status start()
  {
    auto peers = edges::peer_rpc::start({ .mAddress = mSettings.mPeerAddress,
                                          .mQueueLimit = mSettings.mMemory.mPeerMessages,
                                          .mOnMessage = [this](peer_message&& aMessage) {
                                            if (!mInputs.mPeers.push(std::move(aMessage))) {
                                              ++mMetrics.mShedPeerMessages;
                                            }
                                          } });
    if (!peers.ok()) {
      return peers.status();
    }
    mPeers = *std::move(peers);
    logLine(log_level::info, "peers", fmt::format("listens on {}", mPeers->address()));
    mCore = std::make_unique<core_thread>(core_thread_options{ .mSettings = mSettings,
                                                               .mPeerAddress = mPeers->address(),
                                                               .mInputs = mInputs,
                                                               .mTargets = mTargets,
                                                               .mPlatform = mPlatform,
                                                               .mPeers = *mPeers,
                                                               .mMetrics = mMetrics,
                                                               .mOnStopped = mOnStopped });
    return startHttp();
  }

  /// Stops the threads in the order in which they depend on each other.
  ~impl()
  {
    if (mHttp) {
      mHttp->stop(kFinalAnswersTimeout);
    }
    mCore.reset();
    mHttp.reset();
    mPeers.reset();
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void send(command aCommand) { mInputs.mCommands.offer(aCommand); }
  std::string describePending() const { return mCore->describePending(); }

private:
  absl::Status startHttp()
  {
    const edges::call_api api(
      { .mSubmit = [this](call aCall,
                          const edges::answer_sink& aSink) { submit(std::move(aCall), aSink); },
        .mMetrics = [this] { return mCore->metricsPage(); } });
    try {
      mHttp = std::make_unique<edges::http_server>(
        edges::http_server_options{ .mAddress = mSettings.mHttpAddress,
                                    .mThreads = kHttpThreads,
                                    .mMaxRequestBytes = mSettings.mMemory.mRequestKb << 10U },
        [this, handle = api.handler()](edges::http_request aRequest, edges::responder aResponder) {
          mMetrics.mCallers.mReceivedBytes += aRequest.mBody.size();
          handle(std::move(aRequest), std::move(aResponder));
        });
    } catch (const std::runtime_error& error) {
      return absl::UnavailableError(
        fmt::format("listen on {}: {}", mSettings.mHttpAddress, error.what()));
    }
    const auto& address = mSettings.mHttpAddress;
    logLine(log_level::info, "http",
            fmt::format("listens on {}:{}", address.substr(0, address.rfind(':')), mHttp->port()));
    return absl::OkStatus();
  }

  /// Called on a thread of the HTTP server.
  void submit(call&& aCall, const edges::answer_sink& aSink)
  {
    const std::uint64_t id = ++mLastCallId;
    call_input input{ .mCallId = id, .mBody = received_call{ std::move(aCall), aSink } };
    if (!mInputs.mCalls.offer(input)) {
      ++mMetrics.mShedCalls;
      aSink(shedAnswer(std::get<received_call>(input.mBody).mCall, mSettings.mVm));
      return;
    }
    aSink.onDisconnect([this, id] {
      // If the ring is full, the core answers to the closed connection, which is harmless.
      mInputs.mCalls.push(call_input{ .mCallId = id, .mBody = call_dropped{} });
    });
  }

  const settings mSettings;
  const std::function<void(bool)> mOnStopped;
  metrics mMetrics;
  core_inputs mInputs;
  std::atomic<std::uint64_t> mLastCallId{ 0 };
  edges::exchange_client mTargets;
  edges::platform_client mPlatform;
  std::unique_ptr<edges::peer_rpc> mPeers;
  std::unique_ptr<core_thread> mCore;
  std::unique_ptr<edges::http_server> mHttp;
};

absl::StatusOr<std::unique_ptr<daemon_process>> daemon_process::start(
  const settings& aSettings, std::function<void(bool aComplete)> aOnStopped)
{
  auto created = std::make_unique<impl>(aSettings, std::move(aOnStopped));
  if (auto status = created->start(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<daemon_process>(new daemon_process(std::move(created)));
}

daemon_process::daemon_process(std::unique_ptr<impl> aImpl) : mImpl(std::move(aImpl)) {}

daemon_process::~daemon_process() = default;

void daemon_process::shutDown()
{
  mImpl->send(command::shut_down);
}

void daemon_process::dumpState()
{
  mImpl->send(command::dump_state);
}

std::string daemon_process::describePending() const
{
  return mImpl->describePending();
}

} // namespace endiveusher::daemon
