#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiveusher::edges {

class memory_budget;
class memory_charge;

struct http_request
{
  std::string mMethod;
  /// Path as sent, still percent-encoded, without the query.
  std::string mPath;
  /// Decoded query parameters.
  std::map<std::string, std::string> mQuery;
  /// Token of `Authorization: Bearer`; empty if there is none.
  std::string mBearer;
  /// Headers in the order received; names in lower case.
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  /// Reservation of the request's bytes in the budget of its server, released with the last copy.
  /// Null if the server has no budget.
  std::shared_ptr<memory_charge> mCharge;

  /// Returns the value of the first header named aName (in lower case); empty if there is none.
  std::string_view header(std::string_view aName) const
  {
    for (const auto& [name, value] : mHeaders) {
      if (name == aName) {
        return value;
      }
    }
    return {};
  }
};

struct http_answer
{
  std::uint16_t mStatus = 200;
  std::string mBody;
  std::string mContentType = "application/json";
  /// Additional headers of the answer.
  std::vector<std::pair<std::string, std::string>> mHeaders;
  /// Whether to close the connection after this answer.
  bool mClose = false;
};

/// Answers one request: at most once, at any time, from any thread. All copies refer to the same
/// request. If they are all destroyed without an answer, the caller gets status 500 with class
/// `unknown`.
class responder
{
public:
  class impl;
  explicit responder(std::shared_ptr<impl> aImpl);

  /// Sends the answer; returns false if the request is already answered or the caller disconnected.
  bool answer(http_answer aAnswer) const;
  /// Calls aCallback if the caller disconnects before the answer; immediately if it already has. A
  /// later callback replaces an earlier one. It runs on a thread of the server and must not block.
  void onDisconnect(std::function<void()> aCallback) const;

private:
  std::shared_ptr<impl> mImpl;
};

/// Limits of a server that can be changed while it runs.
struct http_limits
{
  /// Largest size of the request line and headers; larger ones get status 431.
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } << 10U;
  /// Largest request body; larger ones get status 413.
  std::size_t mMaxRequestBytes = std::size_t{ 1 } << 20U;
  /// Time limit for receiving the request line and headers.
  std::chrono::milliseconds mHeaderTimeout{ 10'000 };
  /// Time after which a connection without a request is closed.
  std::chrono::milliseconds mIdleTimeout{ 75'000 };
};

/// Decision on a request whose header has been received and whose body has not.
struct body_admission
{
  /// Whether the request has a valid key or a public route; others are shed first.
  bool mTrusted = false;
  /// Answer of a request that is refused, after which the connection is closed; absent if its body
  /// is to be received.
  std::optional<http_answer> mRefusal;
};

/// Size of a body from which http_server_options::mAdmitBody is asked. Most requests are smaller,
/// and their headers are decoded once.
inline constexpr std::size_t kMinAdmittedBytes = std::size_t{ 16 } << 10U;

struct http_server_options
{
  /// Address to listen on, `ip:port`; port 0 selects a free one.
  std::string mAddress = "127.0.0.1:0";
  int mThreads = 2;
  /// Largest request body; larger ones get status 413.
  std::size_t mMaxRequestBytes = std::size_t{ 1 } << 20;
  /// Largest answer body; larger ones are replaced by status 500.
  std::size_t mMaxAnswerBytes = std::size_t{ 8 } << 20;
  /// Largest number of bytes buffered for slow readers over all connections; a connection whose
  /// answer exceeds it is aborted.
  std::size_t mMaxUnsentBytes = std::size_t{ 64 } << 20;
  /// Largest number of connections; further ones are answered with status 503 and closed.
  std::size_t mMaxConnections = 4000;
  /// Time limit for receiving a request.
  std::chrono::milliseconds mReceiveTimeout{ 10'000 };
  /// Time limit for the caller to read an answer, and to close the connection after the last one.
  std::chrono::milliseconds mSendTimeout{ 10'000 };
  /// Time after which a connection without a request is closed.
  std::chrono::milliseconds mIdleTimeout{ 75'000 };
  /// Returns the answer to a request of the given method that the server gives itself because it
  /// stops: the handler has not answered by the end of the period of stop(), or is not given the
  /// request at all. The request may have taken effect. The method is empty if it is not known.
  /// Without this function such requests get status 503 if they arrive during stop(), and no answer
  /// if they are open at its end.
  std::function<http_answer(std::string_view aMethod)> mStopAnswer;
  /// Budget for received requests and unsent answers; may be shared by several servers. Without it
  /// they are limited by the other options only. A request that is shed gets mStopAnswer; without
  /// that its connection is closed.
  std::shared_ptr<memory_budget> mBudget = nullptr;
  /// Number of connections beyond mMaxConnections that stay open until their callers have read
  /// status 503; further ones are closed at once. By default mMaxConnections.
  std::optional<std::size_t> mMaxRejectedConnections = std::nullopt;
  /// Size of the system's receive buffer of each connection in bytes; 0 leaves the system's
  /// default.
  int mReceiveBufferBytes = 0;
  /// Asked once about a request, without its body, when its header is complete, its body is not,
  /// and the body is larger than kMinAdmittedBytes. Runs on the server's threads and must not block
  /// or call the server.
  std::function<body_admission(const http_request& aHead)> mAdmitBody = nullptr;
  /// Largest size of the request line and headers; larger ones get status 431.
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } << 10U;
  /// Time limit for receiving the request line and headers; mReceiveTimeout applies too.
  std::chrono::milliseconds mHeaderTimeout{ 10'000 };
};

/// Requests that were open at the end of the period of http_server::stop().
struct stop_report
{
  /// Requests that the handler had not answered.
  std::size_t mUnanswered = 0;
  /// Requests of which some bytes had arrived, and which the handler did not have.
  std::size_t mUnread = 0;
  /// Answers that were not completely sent when their connections were closed.
  std::size_t mUnsent = 0;
};

/// Minimal HTTP/1.1 server. Each connection handles one request at a time: a request that arrives
/// before the previous one is answered is discarded, and the connection is closed after that
/// answer, so that the caller repeats the request on a new connection.
///
/// Usage:
///   http_server server({ .mAddress = "127.0.0.1:0" },
///                      [](http_request aRequest, responder aResponder) {
///                        aResponder.answer({ .mStatus = 200, .mBody = aRequest.mPath });
///                      });
///   connectTo(server.port());
class http_server
{
public:
  /// Runs on the server's threads, concurrently, and must not block.
  using handler = std::function<void(http_request, responder)>;

  /// Starts the server. Throws std::runtime_error if the address cannot be used.
  http_server(http_server_options aOptions, handler aHandler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::uint16_t port() const;
  /// Replaces the limits, for requests that are received from now on.
  void setLimits(const http_limits& aLimits);
  /// Number of connections that were rejected because there were too many.
  std::uint64_t rejectedConnections() const;
  /// Number of times that accepting connections was paused because the process had no descriptor
  /// left.
  std::uint64_t acceptPauses() const;
  /// Number of connections, rejected ones that are still open included.
  std::size_t connections() const;
  /// Gives new requests the answer of a stop, waits at most aPeriod until the pending ones are
  /// answered and sent, gives the others the answer of a stop, then closes all connections. Later
  /// answers are discarded.
  stop_report stop(std::chrono::milliseconds aPeriod = std::chrono::milliseconds(0));

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges
