#pragma once

#include "endiveusher/edges/channel_counters.h"
#include "endiveusher/kernel/events.h"
#include "endiveusher/kernel/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace endiveusher::edges {

struct platform_result
{
  std::variant<append_event, control_read_event, jobs_read_event, vm_list_event> mEvent;
  /// Tag passed to send().
  std::uint64_t mTag = 0;
  /// Time from send() to the end of the request.
  duration mElapsed{ 0 };
};

struct platform_client_options
{
  /// Base URLs, for example `http://10.0.0.1:8700`.
  std::string mLogUrl;
  std::string mVmListUrl;
  /// Deadline of one request, measured from send().
  duration mTimeout = std::chrono::seconds(2);
  /// Largest number of requests without a result; send() rejects more.
  std::size_t mQueueLimit = 256;
  /// Largest response body in bytes; a larger one counts as a failed request.
  std::size_t mBodyLimit = 4U << 20U;
  /// Largest number of records requested in one read.
  std::size_t mReadLimit = 500;
  /// Called on the client's thread once for each request that send() accepted.
  std::function<void(platform_result&&)> mOnResult;
};

/// Client of the platform's log (append and read) and of its VM list, on a dedicated thread.
///
/// Appends and reads of each of the two streams, and reads of the VM list, use a connection of
/// their own, so that none waits for another. The outcome of an append is `rejected` only if no
/// byte of it was sent, or if the service answered with a 4xx status that proves that it stored
/// nothing; any other outcome except `stored` is `unknown`.
///
/// Usage:
///   platform_client client({ .mLogUrl = url, .mVmListUrl = url, .mOnResult = handler });
///   client.send(read_effect{ .mReadId = 1, .mFrom = 0 }, 0);
class platform_client
{
public:
  explicit platform_client(platform_client_options aOptions);
  /// Cancels pending requests without reporting results.
  ~platform_client();
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;

  // Each overload starts a request and returns false if too many are pending. Call them from one
  // thread only.
  bool send(const append_control_effect& aAppend, std::uint64_t aTag);
  bool send(const append_jobs_effect& aAppend, std::uint64_t aTag);
  bool send(const read_effect& aRead, std::uint64_t aTag);
  bool send(const read_vm_list_effect& aRead, std::uint64_t aTag);

  const channel_counters& counters() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges
