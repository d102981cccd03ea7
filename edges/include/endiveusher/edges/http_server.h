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
  /// Decoded parameters of the query.
  std::map<std::string, std::string> mQuery;
  /// Token of `Authorization: Bearer`; empty if there is none.
  std::string mBearer;
  /// In the order sent; names in lower case.
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  /// Value of the first header aName (lower case); empty if there is none.
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
  /// Further headers of the answer.
  std::vector<std::pair<std::string, std::string>> mHeaders;
  /// Ends the connection after this answer.
  bool mClose = false;
};

/// Answers one request: once, at any time, from any thread. Copies share the one answer. If all
/// copies are gone without an answer, the caller gets status 500 with class `unknown`.
class responder
{
public:
  class impl;
  explicit responder(std::shared_ptr<impl> aImpl);

  /// False if the request is answered already or the caller has hung up.
  bool answer(http_answer aAnswer) const;
  /// Calls aCallback if the caller hangs up before the answer; at once if it already has. Only the
  /// last callback given counts. It runs on a thread of the server and must not block.
  void whenDropped(std::function<void()> aCallback) const;

private:
  std::shared_ptr<impl> mImpl;
};

struct http_server_options
{
  /// `ip:port`; port 0 takes a free one.
  std::string mAddress = "127.0.0.1:0";
  int mThreads = 2;
  /// Largest body; larger ones get status 413.
  std::size_t mMaxRequestBytes = std::size_t{ 1 } << 20;
  /// Largest body of an answer; larger ones are replaced by status 500.
  std::size_t mMaxAnswerBytes = std::size_t{ 8 } << 20;
  /// Bytes that all callers together may leave unread; beyond it the slow ones are cut off.
  std::size_t mMaxUnreadBytes = std::size_t{ 64 } << 20;
  /// More connections are answered with status 503 and closed.
  std::size_t mMaxConnections = 4000;
  /// How long a request may take to arrive.
  std::chrono::milliseconds mReceivePeriod{ 10'000 };
  /// How long a caller may take to read an answer, and to close after a last answer.
  std::chrono::milliseconds mSendPeriod{ 10'000 };
  /// How long a connection may stay open without a request.
  std::chrono::milliseconds mIdlePeriod{ 75'000 };
};

/// A small HTTP/1.1 server. Answers are in the order of the requests of a connection, one at a
/// time: a request that arrives before the previous one is answered is not handled, and the
/// connection is closed after that answer, so that its caller sends it again on a new one.
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
  /// Runs on the server's threads, several at once, and must not block.
  using handler = std::function<void(http_request, responder)>;

  /// Throws std::runtime_error if the address cannot be used.
  http_server(http_server_options aOptions, handler aHandler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::uint16_t port() const;
  /// New requests get status 503; waits until the others are answered and sent, at most aPeriod;
  /// then closes all connections. Answers given later are dropped.
  void stop(std::chrono::milliseconds aPeriod = std::chrono::milliseconds(0));

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges
