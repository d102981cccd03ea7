#pragma once

#include "endiveusher/edges/channel_counters.h"
#include "endiveusher/kernel/events.h"
#include "endiveusher/kernel/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace endiveusher::edges {

struct exchange_result
{
  exchange_event mEvent;
  /// Tag passed to send().
  std::uint64_t mTag = 0;
  /// Time from send() to the end of the exchange.
  duration mElapsed{ 0 };
};

struct exchange_client_options
{
  /// Deadline of one exchange, measured from send().
  duration mTimeout = std::chrono::milliseconds(800);
  /// Largest number of exchanges without a result; send() rejects more.
  std::size_t mQueueLimit = 1024;
  /// Largest response body in bytes; a larger one counts as a failed exchange.
  std::size_t mBodyLimit = 4U << 20U;
  /// Called on the client's thread once for each exchange that send() accepted.
  std::function<void(exchange_result&&)> mOnResult;
};

/// Performs exchanges with targets over HTTP on a dedicated thread.
///
/// At most one connection is open to each target, and exchanges with one target are sequential. A
/// missed deadline closes the connection, because a connection can become permanently unresponsive
/// while new ones work; the next exchange opens a new one.
///
/// Usage:
///   exchange_client client({ .mOnResult = [&](exchange_result&& aResult) { ... } });
///   client.send(effect, 0);
class exchange_client
{
public:
  explicit exchange_client(exchange_client_options aOptions);
  /// Cancels pending exchanges without reporting results.
  ~exchange_client();
  exchange_client(const exchange_client&) = delete;
  exchange_client& operator=(const exchange_client&) = delete;

  /// Starts an exchange; returns false if too many are pending. Call from one thread only.
  bool send(const exchange_effect& aExchange, std::uint64_t aTag);

  const channel_counters& counters() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges
