#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiveusher::edges {

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
  /// Gives new requests the answer of a stop, waits at most aPeriod until the pending ones are
  /// answered and sent, gives the others the answer of a stop, then closes all connections. Later
  /// answers are discarded.
  stop_report stop(std::chrono::milliseconds aPeriod = std::chrono::milliseconds(0));

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges
