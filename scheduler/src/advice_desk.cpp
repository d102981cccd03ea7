#include "advice_desk.h"

#include <algorithm>

namespace endiveusher::scheduler::internal {

namespace {

/// A call that takes longer blocks the short ones of urgent steps noticeably.
constexpr auto kLongCall = std::chrono::milliseconds(200);
/// Short calls that may wait at one daemon, so that it is never idle for a round trip.
constexpr std::uint32_t kShortCallsOpen = 3;
/// No calls through a daemon for this long after one has failed.
constexpr auto kAvoidPeriod = std::chrono::milliseconds(1000);

} // namespace

void advice_desk::setHelpers(std::span<const std::string> aHelpers)
{
  std::erase_if(mHelpers, [aHelpers](const helper& aOne) {
    return !aOne.mName.empty() && std::ranges::find(aHelpers, aOne.mName) == aHelpers.end();
  });
  for (const auto& name : aHelpers) {
    if (find(name) == nullptr) {
      mHelpers.push_back({ .mName = name });
    }
  }
}

advice_desk::helper* advice_desk::find(const std::string& aName)
{
  const auto found = std::ranges::find(mHelpers, aName, &helper::mName);
  return found == mHelpers.end() ? nullptr : &*found;
}

const advice_desk::helper* advice_desk::choose(duration aCost, time_point aNow) const
{
  const bool isLong = aCost >= kLongCall;
  const auto busyLong = static_cast<std::size_t>(std::ranges::count_if(mHelpers, &helper::mLong));
  if (isLong && busyLong >= (mHelpers.size() + 1) / 2) {
    return nullptr;
  }
  const helper* best = nullptr;
  for (const auto& one : mHelpers) {
    const bool free = isLong ? one.mOpen == 0 : one.mOpen < kShortCallsOpen && !one.mLong;
    if (free && one.mAvoidUntil <= aNow && (best == nullptr || one.mLoad < best->mLoad)) {
      best = &one;
    }
  }
  return best;
}

std::optional<std::string> advice_desk::reserve(duration aCost, time_point aNow,
                                                std::uint64_t aCall)
{
  const auto* chosen = choose(aCost, aNow);
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const bool isLong = aCost >= kLongCall;
  auto& best = *find(chosen->mName);
  ++best.mOpen;
  best.mLoad += aCost;
  best.mLong = best.mLong || isLong;
  mCalls[aCall] = { .mHelper = best.mName, .mCost = aCost, .mLong = isLong };
  return best.mName;
}

void advice_desk::release(std::uint64_t aCall, bool aOk, time_point aNow)
{
  const auto found = mCalls.find(aCall);
  if (found == mCalls.end()) {
    return;
  }
  if (helper* used = find(found->second.mHelper)) {
    --used->mOpen;
    used->mLoad -= found->second.mCost;
    used->mLong = used->mLong && !found->second.mLong;
    if (!aOk) {
      used->mAvoidUntil = aNow + kAvoidPeriod;
    }
  }
  mCalls.erase(found);
}

} // namespace endiveusher::scheduler::internal
