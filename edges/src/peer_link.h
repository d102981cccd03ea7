#pragma once

#include "endiveusher/edges/peer_rpc.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <memory>
#include <string>

namespace endiveusher::edges::internal {

/// What all links of one event loop share. Used only on the thread of the loop.
struct link_context
{
  const peer_rpc_options& mOptions;
  kj::Network& mNetwork;
  kj::Timer& mTimer;
  kj::TaskSet& mTasks;
  channel_counters& mCounters;
};

/// Sends the messages for one peer: at most one connection and one call at a time.
class peer_link
{
public:
  peer_link(link_context& aContext, std::string aAddress);
  /// Only while not busy.
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  /// Queues a message; drops the oldest one if the queue is full.
  void add(peer_message&& aMessage);
  /// Whether nothing was added for the idle period and nothing is being sent.
  bool idle() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::edges::internal
