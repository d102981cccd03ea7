#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveusher::edges {

struct loop_reply
{
  /// HTTP status; absent without a complete answer, whatever the reason.
  std::optional<int> mStatus;
  std::string mBody;
  /// Nothing listens there any more.
  bool mRefused = false;
  /// Nothing of the request has been sent, so it has surely had no effect.
  bool mUnsent = false;
  /// Why there is no answer; empty if there is one.
  std::string mError;
  std::chrono::microseconds mElapsed{ 0 };

  bool ok() const { return mStatus == 200; }
};

struct loop_call
{
  std::string mMethod = "GET";
  /// `ip:port`.
  std::string mAddress;
  /// Path and query, percent-encoded.
  std::string mPath;
  std::string mBody;
  std::string mContentType = "application/json";
  /// Whole lines, `Name: value`.
  std::vector<std::string> mHeaders;
  /// For the whole call, connecting included.
  std::chrono::milliseconds mTimeout{ 1000 };
  /// Runs on the thread that calls http_loop::run().
  std::function<void(loop_reply&&)> mDone;
};

struct http_loop_options
{
  /// Connections to one address; further calls to it wait for a free one.
  long mConnectionsPerAddress = 12;
  /// Open and idle connections kept over all addresses.
  long mConnections = 2000;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  std::size_t mMaxBodyBytes = std::size_t{ 16 } << 20U;
};

/// Concurrent HTTP calls on the caller's own thread, by libcurl's multi interface.
///
/// Usage:
///   loop.send({ .mAddress = "10.0.0.1:80", .mPath = "/x", .mDone = [](loop_reply&& aReply) {} });
///   for (;;) { loop.run(std::chrono::milliseconds(20)); }
class http_loop
{
public:
  explicit http_loop(http_loop_options aOptions = {});
  ~http_loop();
  http_loop(const http_loop&) = delete;
  http_loop& operator=(const http_loop&) = delete;

  void send(loop_call aCall);
  /// Makes progress, waits at most aWait for network activity or wake(), runs what is complete.
  void run(std::chrono::milliseconds aWait);
  /// The two halves of run(), for callers that measure them. Progress without waiting; false if no
  /// call has completed.
  bool progress();
  /// Waits at most aWait for network activity or wake().
  void wait(std::chrono::milliseconds aWait);
  /// Any thread: ends the wait of run().
  void wake();

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges
