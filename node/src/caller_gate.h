#pragma once

#include "endiveusher/edges/http_server.h"
#include "endiveusher/kernel/time.h"
#include "endiveusher/scheduler/cell_config.h"

#include <chrono>
#include <memory>
#include <mutex>

namespace endiveusher::node {

struct caller_gate_options
{
  /// As request_handler_options::mMaxConfigAge.
  std::chrono::milliseconds mMaxConfigAge{ 3000 };
  /// As request_handler_options::mMaxDenialAge.
  std::chrono::milliseconds mMaxDenialAge{ 1500 };
};

/// Checks route and key of callers' requests before their bodies are received, with the rules of
/// request_handler::handle(). Thread-safe.
class caller_gate
{
public:
  caller_gate(const clock& aClock, caller_gate_options aOptions)
    : mClock(aClock), mOptions(aOptions)
  {
  }

  /// All operator records acknowledged before aAsOf are known.
  void setConfig(std::shared_ptr<const scheduler::cell_config> aConfig, time_point aAsOf);
  /// Decides on a request without its body. A request that cannot be denied, because the
  /// configuration is missing or too old, is received and is not trusted.
  edges::body_admission decide(const edges::http_request& aHead) const;

private:
  const clock& mClock;
  const caller_gate_options mOptions;
  mutable std::mutex mMutex;
  std::shared_ptr<const scheduler::cell_config> mConfig;
  time_point mAsOf{};
};

} // namespace endiveusher::node
