#pragma once

#include "endiveusher/edges/peer_rpc.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <memory>
#include <string>

namespace endiveusher::edges::internal {

/// State shared by all links of one event loop. Used only on the event loop thread.
struct link_context
{
  const peer_rpc_options& mOptions;
  kj::Network& mNetwork;
  kj::Timer& mTimer;
  kj::TaskSet& mTasks;
  channel_counters& mCounters;
};

/// Sends messages to one peer over at most one connection, with at most one call at a time.
class peer_link
{
public:
  peer_link(link_context& aContext, std::string aAddress);
  /// Precondition: no connection attempt or call is pending.
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Queues a message; drops the oldest one if the queue is full.
  void add(peer_message&& aMessage);
  /// Whether no message was added for the idle period and no call is pending.
  bool idle() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges::internal
