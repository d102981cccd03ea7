#pragma once

#include "core_inputs.h"
#include "endiveusher/edges/peer_rpc.h"
#include "metrics.h"
#include "settings.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace endiveusher::daemon {

struct core_thread_options
{
  const settings& mSettings;
  /// `ip:port` at which peers reach this daemon.
  std::string mPeerAddress;
  core_inputs& mInputs;
  edges::exchange_client& mTargets;
  edges::platform_client& mPlatform;
  edges::peer_rpc& mPeers;
  metrics& mMetrics;
  /// Called on the core thread at the end of a graceful shutdown, when all answers are given;
  /// aComplete is false if the shutdown period had ended before.
  std::function<void(bool aComplete)> mOnStopped;
};

/// Runs the state machine on its own thread: feeds it from the rings and carries out its effects.
class core_thread
{
public:
  explicit core_thread(core_thread_options aOptions);
  /// Stops the thread at once.
  ~core_thread();
  core_thread(const core_thread&) = delete;
  core_thread& operator=(const core_thread&) = delete;

  /// What is not finished, in one sentence. Any thread.
  std::string unfinished() const;
  /// Metrics page in the Prometheus text format. Any thread.
  std::string metricsPage() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::daemon
