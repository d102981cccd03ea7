#include "cell_node_impl.h"

namespace endiveusher::node {

using namespace internal;

namespace {

/// Connections of readiness checks, of which the platform makes one a second.
constexpr std::size_t kReadinessConnections = 32;
/// Connections beyond the limits that stay open until their callers have read the rejection.
constexpr std::size_t kRejectedCallers = 16;
constexpr std::size_t kRejectedOthers = 8;
/// Largest body of a readiness check, which has none.
constexpr std::size_t kMaxReadinessBytes = 4096;
/// Part of the memory that bytes which callers' connections have not read may take in the system.
constexpr double kReceivePart = 0.125;
/// Smallest receive buffer of a connection.
constexpr double kMinReceiveBytes = 8192;
/// Largest receive buffer that is set: the system's default at first.
constexpr double kMaxReceiveBytes = 131072;
/// Part of the budget that the unsent answers of one server may take.
constexpr std::size_t kUnsentPart = 3;
/// Part of the budget that one request may take, whatever the operator's limits are.
constexpr std::size_t kRequestPart = 2;
constexpr std::chrono::seconds kSheddingLogInterval{ 1 };

/// Returns the answer to a request that the event loop has not answered. It may hold the request,
/// or an earlier copy of it may be stored.
edges::http_answer stopAnswer(std::string_view aMethod)
{
  if (aMethod == "GET" || aMethod == "HEAD") {
    return { .mStatus = 503,
             .mBody = R"({"error":"not available"})",
             .mHeaders = { { "Retry-After", "1" } } };
  }
  return { .mStatus = 504, .mBody = R"({"error":"the outcome is not known"})" };
}

int receiveBufferBytes(const platform::node_settings& aSettings)
{
  const auto connections = static_cast<double>(std::max<std::size_t>(aSettings.mMaxConnections, 1));
  const auto each = aSettings.mMemoryMb * 1024.0 * 1024.0 * kReceivePart / connections;
  return static_cast<int>(std::clamp(each, kMinReceiveBytes, kMaxReceiveBytes));
}

edges::http_limits httpLimits(const scheduler::request_limits& aLimits, std::size_t aBudgetBytes)
{
  const auto largest = aBudgetBytes / kRequestPart;
  return { .mMaxHeaderBytes = std::min(aLimits.mMaxHeaderBytes, largest),
           .mMaxRequestBytes = std::min(aLimits.mMaxBodyBytes, largest),
           .mHeaderTimeout = aLimits.mHeaderTimeout,
           .mIdleTimeout = aLimits.mIdleTimeout };
}

} // namespace

void cell_node::impl::startCallerServer()
{
  mCallerServer = std::make_unique<edges::http_server>(
    edges::http_server_options{
      .mAddress = mSettings.mCallerAddress,
      .mThreads = 1,
      .mMaxUnsentBytes = mBudget->limit() / kUnsentPart,
      .mMaxConnections = mSettings.mMaxConnections,
      .mStopAnswer = stopAnswer,
      .mBudget = mBudget,
      .mMaxRejectedConnections = kRejectedCallers,
      .mReceiveBufferBytes = receiveBufferBytes(mSettings),
      .mAdmitBody =
        [this](const edges::http_request& aHead) { return mCallerGate.decide(aHead); } },
    [this](edges::http_request aRequest, const edges::responder& aResponder) {
      inbox_item item = queued_caller_request{ .mCall = platform::decodeCallerRequest(aRequest),
                                               .mBody = std::move(aRequest.mBody),
                                               .mCharge = std::move(aRequest.mCharge),
                                               .mResponder = aResponder };
      if (!mInbox.push(input_lane::callers, item)) {
        aResponder.answer({ .mStatus = 503,
                            .mBody = R"({"error":"overloaded"})",
                            .mHeaders = { { "Retry-After", "1" } } });
      }
    });
  mCallerServer->setLimits(httpLimits({}, mBudget->limit()));
}

void cell_node::impl::startReadinessServer()
{
  mReadinessServer = std::make_unique<edges::http_server>(
    edges::http_server_options{ .mAddress = mSettings.mReadinessAddress,
                                .mThreads = 1,
                                .mMaxRequestBytes = kMaxReadinessBytes,
                                .mMaxUnsentBytes = mBudget->limit() / kUnsentPart,
                                .mMaxConnections = kReadinessConnections,
                                .mBudget = mBudget,
                                .mMaxRejectedConnections = kRejectedOthers },
    [this](const edges::http_request& /*aRequest*/, const edges::responder& aResponder) {
      aResponder.answer({ .mStatus = static_cast<std::uint16_t>(mReady ? 200 : 503) });
    });
}

void cell_node::impl::startPeerServer()
{
  mPeerServer = std::make_unique<edges::http_server>(
    edges::http_server_options{ .mAddress = mPeerAddress,
                                .mThreads = 1,
                                .mMaxUnsentBytes = mBudget->limit() / kUnsentPart,
                                .mMaxConnections = mSettings.mMaxPeerConnections,
                                .mBudget = mBudget,
                                .mMaxRejectedConnections = kRejectedOthers },
    [this](edges::http_request aRequest, const edges::responder& aResponder) {
      inbox_item item = peer_request{ .mPath = aRequest.mPath,
                                      .mBody = std::move(aRequest.mBody),
                                      .mCharge = std::move(aRequest.mCharge),
                                      .mResponder = aResponder };
      if (!mInbox.push(laneOf(aRequest.mPath), item)) {
        aResponder.answer({ .mStatus = 503 });
      }
    });
}

void cell_node::impl::updateCallerLimits()
{
  const auto& config = mOperator.config();
  if (config && mLimitsConfig != config) {
    mLimitsConfig = config;
    mCallerServer->setLimits(httpLimits(config->mLimits, mBudget->limit()));
  }
}

std::uint64_t cell_node::impl::rejectedConnections() const
{
  return mCallerServer->rejectedConnections() + mReadinessServer->rejectedConnections() +
         mPeerServer->rejectedConnections();
}

std::uint64_t cell_node::impl::acceptPauses() const
{
  return mCallerServer->acceptPauses() + mReadinessServer->acceptPauses() +
         mPeerServer->acceptPauses();
}

void cell_node::impl::logShedding(time_point aNow)
{
  if (aNow < mNextSheddingLog) {
    return;
  }
  mNextSheddingLog = aNow + kSheddingLogInterval;
  const auto requests = mBudget->shedRequests();
  const auto bytes = mBudget->shedBytes();
  const auto connections = rejectedConnections();
  const auto pauses = acceptPauses();
  const auto records = mRequestHandler.counters().mNoMemory;
  const auto replies = mLoop.refusedReplies();
  if (requests == mLoggedShedRequests && connections == mLoggedRejectedConnections &&
      pauses == mLoggedAcceptPauses && records == mLoggedRejectedRecords &&
      replies == mLoggedRefusedReplies) {
    return;
  }
  mLog.write(
    "shed",
    fmt::format("requests={} bytes={} rejected_connections={} accept_pauses={} rejected_records={} "
                "refused_replies={} used_bytes={} limit_bytes={}",
                requests - std::exchange(mLoggedShedRequests, requests),
                bytes - std::exchange(mLoggedShedBytes, bytes),
                connections - std::exchange(mLoggedRejectedConnections, connections),
                pauses - std::exchange(mLoggedAcceptPauses, pauses),
                records - std::exchange(mLoggedRejectedRecords, records),
                replies - std::exchange(mLoggedRefusedReplies, replies), mBudget->used(),
                mBudget->limit()));
}

} // namespace endiveusher::node
