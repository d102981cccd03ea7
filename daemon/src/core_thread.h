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
  /// Called on the core thread at the end of a graceful shutdown, after all calls are answered;
  /// aComplete is false if the shutdown period ended before the shutdown was complete.
  std::function<void(bool aComplete)> mOnStopped;
};

/// Runs the state machine on a dedicated thread: passes it the inputs from the rings and executes
/// its effects.
class core_thread
{
public:
  explicit core_thread(core_thread_options aOptions);
  /// Stops the thread without a graceful shutdown.
  ~core_thread();
  core_thread(const core_thread&) = delete;
  core_thread& operator=(const core_thread&) = delete;

  /// Returns the numbers of pending calls, exchanges and platform requests as text. Thread-safe.
  std::string describePending() const;
  /// Returns the metrics page in the Prometheus text format. Thread-safe.
  std::string metricsPage() const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::daemon
