#pragma once

#include "endiveusher/edges/channel_counters.h"
#include "endiveusher/kernel/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace endiveusher::edges::internal {

struct http_result
{
  /// HTTP status; absent without a complete answer.
  std::optional<long> mStatus;
  std::string mBody;
  /// True if surely no byte of the request reached the server.
  bool mNeverSent = false;
  duration mElapsed{ 0 };
};

struct http_request
{
  /// Requests of one lane are made one after the other over at most one connection.
  std::string mLane;
  std::string mUrl;
  /// Sent as POST of JSON if present, otherwise GET.
  std::optional<std::string> mBody;
  /// Measured from send(); includes waiting in the lane.
  duration mTimeout{ 0 };
  std::function<void(http_result&&)> mDone;
};

struct http_requests_options
{
  std::string mThreadName;
  std::size_t mQueueLimit = 256;
  std::size_t mBodyLimit = 4U << 20U;
};

/// HTTP requests by libcurl's multi interface on one thread.
class http_requests
{
public:
  explicit http_requests(http_requests_options aOptions);
  /// Closes all connections; the callbacks of open requests are not called.
  ~http_requests();
  http_requests(const http_requests&) = delete;
  http_requests& operator=(const http_requests&) = delete;

  /// False if the queue is full. Call from one thread only. mDone is called on the client thread.
  bool send(http_request aRequest);

  const channel_counters& counters() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges::internal
