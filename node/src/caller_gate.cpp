#include "caller_gate.h"

#include "caller_identity.h"

#include <fmt/format.h>

#include <cstdint>
#include <string_view>
#include <utility>

namespace endiveusher::node {

void caller_gate::setConfig(std::shared_ptr<const scheduler::cell_config> aConfig, time_point aAsOf)
{
  const std::lock_guard lock(mMutex);
  // The former configuration is destroyed after the lock is released.
  mConfig.swap(aConfig);
  mAsOf = aAsOf;
}

edges::body_admission caller_gate::decide(const edges::http_request& aHead) const
{
  std::shared_ptr<const scheduler::cell_config> config;
  time_point asOf{};
  {
    const std::lock_guard lock(mMutex);
    config = mConfig;
    asOf = mAsOf;
  }
  const auto age = mClock.now() - asOf;
  const auto deny = [&](std::uint16_t aStatus, std::string_view aReason) {
    edges::body_admission admission;
    if (age <= mOptions.mMaxDenialAge) {
      admission.mRefusal = edges::http_answer{ .mStatus = aStatus,
                                               .mBody = fmt::format(R"({{"error":"{}"}})", aReason),
                                               .mClose = true };
    }
    return admission;
  };
  if (!config) {
    return {};
  }
  const auto call = platform::decodeCallerRequest(aHead);
  const auto identity = identify(*config, call);
  if (identity.mRoute == nullptr) {
    return deny(404, "no such route");
  }
  if (identity.mRoute->mPublic) {
    return { .mTrusted = true };
  }
  if (age > mOptions.mMaxConfigAge) {
    return {};
  }
  if (!identity.mayCall()) {
    return deny(401, "unknown key");
  }
  return { .mTrusted = true };
}

} // namespace endiveusher::node
