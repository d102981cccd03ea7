#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveusher::edges {

class memory_budget;

struct loop_reply
{
  /// HTTP status; absent if no complete answer was received, for any reason.
  std::optional<int> mStatus;
  std::string mBody;
  /// Whether the connection was refused: no process listens at the address.
  bool mRefused = false;
  /// Whether no byte of the request was sent, so that it had no effect.
  bool mUnsent = false;
  /// Whether loop_call::mMaySend has withheld the request; no byte of it was sent.
  bool mWithheld = false;
  /// Whether a reused connection has ended before the answer, after a part of the request was sent.
  bool mInterrupted = false;
  /// Bytes of the request that were sent, without most of a large body.
  long mSentBytes = 0;
  /// Reason for the missing answer; empty if there is one.
  std::string mError;
  std::chrono::microseconds mElapsed{ 0 };

  bool ok() const { return mStatus == 200; }
};

struct loop_call
{
  std::string mMethod = "GET";
  /// Server as `ip:port`.
  std::string mAddress;
  /// Path and query, percent-encoded.
  std::string mPath;
  std::string mBody;
  std::string mContentType = "application/json";
  /// Additional header lines, `Name: value`.
  std::vector<std::string> mHeaders;
  /// Whether the request may be sent again, on a new connection, if a reused one ends before the
  /// answer: a second copy of it has no effect. Always true for GET. The answer to a copy says
  /// nothing of an earlier one, so a request that is not repeatable leaves at most once.
  bool mRepeatable = false;
  /// Time limit of the whole call, including connecting.
  std::chrono::milliseconds mTimeout{ 1000 };
  /// Asked right before the request is sent, on an open connection; the request is withheld if it
  /// denies that. Between send() and then other work, a pause of the process and connecting pass,
  /// and mTimeout does not count all of it. Must not use the loop.
  std::function<bool()> mMaySend;
  /// Called for each part of the answer that arrives. Must not use the loop.
  std::function<void()> mOnProgress;
  /// Called with the result on the thread that calls http_loop::run() or progress().
  std::function<void(loop_reply&&)> mDone;
};

/// Identifies a call of a loop; never 0.
using call_id = std::uint64_t;

struct http_loop_options
{
  /// Largest number of connections to one address; further calls to it wait for a free one.
  long mConnectionsPerAddress = 12;
  /// Largest number of connections, idle ones included, cached over all addresses.
  long mConnections = 2000;
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  std::size_t mMaxBodyBytes = std::size_t{ 16 } << 20U;
  /// Largest number of bytes of all replies that are being received; a call whose reply exceeds it
  /// fails.
  std::size_t mMaxReplyBytes = std::numeric_limits<std::size_t>::max();
  /// Budget that replies are charged to. Servers are trusted: if the budget is used up, requests
  /// and answers of its other users are shed, and the budget is exceeded if that is not enough.
  std::shared_ptr<memory_budget> mBudget = nullptr;
  /// Called with the server's address when a callback of a call throws; the loop goes on then.
  /// Without it the exception leaves run() or progress(), and an exception of mOnAnswerBegun ends
  /// the call. Must not throw.
  std::function<void(const std::string& aAddress, const std::exception& aError)> mOnError;
};

/// Performs concurrent HTTP calls on the caller's thread through libcurl's multi interface.
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

  /// Starts a call.
  call_id send(loop_call aCall);
  /// Ends a call without running its callbacks, and closes its connection. Has no effect on a call
  /// that has completed.
  void cancel(call_id aId);
  /// Processes ready sockets, waits at most aWait for network activity or wake(), and runs the
  /// callbacks of completed calls.
  void run(std::chrono::milliseconds aWait);
  /// Processes ready sockets and expired timers without waiting; returns whether a call completed.
  /// progress() and wait() are the two halves of run(), for callers that measure them separately.
  bool progress();
  /// Waits at most aWait for network activity or wake().
  void wait(std::chrono::milliseconds aWait);
  /// Ends the wait of run() or wait(). Thread-safe.
  void wake();
  /// Bytes reserved for replies that are being received.
  std::size_t replyBytes() const;
  /// Number of calls that have failed because their replies exceeded mMaxReplyBytes.
  std::uint64_t refusedReplies() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges
