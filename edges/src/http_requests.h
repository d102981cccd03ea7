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
  /// HTTP status; absent if no complete response was received.
  std::optional<long> mStatus;
  std::string mBody;
  /// Whether no byte of the request was sent.
  bool mNeverSent = false;
  /// Time from send() to the end of the request.
  duration mElapsed{ 0 };
};

struct http_request
{
  /// Name of a queue whose requests are sent sequentially, over at most one connection.
  std::string mSerialQueue;
  std::string mUrl;
  /// JSON body of a POST request; if absent, the method is GET.
  std::optional<std::string> mBody;
  /// Time limit measured from send(), including the wait in the serial queue.
  duration mTimeout{ 0 };
  std::function<void(http_result&&)> mDone;
};

struct http_requests_options
{
  std::string mThreadName;
  /// Largest number of requests without a result.
  std::size_t mQueueLimit = 256;
  /// Largest response body in bytes.
  std::size_t mBodyLimit = 4U << 20U;
};

/// Performs HTTP requests on one dedicated thread through libcurl's multi interface.
class http_requests
{
public:
  explicit http_requests(http_requests_options aOptions);
  /// Closes all connections; the callbacks of open requests are not called.
  ~http_requests();
  http_requests(const http_requests&) = delete;
  http_requests& operator=(const http_requests&) = delete;

  /// Queues a request; returns false if the queue is full. Call from one thread only.
  /// http_request::mDone is called on the client thread.
  bool send(http_request aRequest);

  const channel_counters& counters() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges::internal
