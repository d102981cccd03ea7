#include "advice_dispatcher.h"

#include "endiveusher/kernel/back_off.h"

#include <algorithm>
#include <cmath>

namespace endiveusher::scheduler::internal {

namespace {

/// Calls of at least this duration count as long: they would delay the short calls of urgent steps
/// noticeably.
constexpr auto kLongCallThreshold = std::chrono::milliseconds(110);
/// Maximum number of open short calls per daemon; more than one, so that the service is not idle
/// for a round trip between them.
constexpr std::uint32_t kMaxOpenShortCalls = 3;
/// Period over which the load of short calls is averaged.
constexpr auto kShortLoadPeriod = std::chrono::duration<double>(1.0);
/// Daemons kept free of long calls, as a multiple of the load of short calls: bursts reach about
/// twice the mean load.
constexpr double kShortLoadHeadroom = 2;
/// Time for which a daemon gets no calls after one has failed, doubled with each further failure,
/// and its upper limit.
constexpr auto kAvoidPeriod = std::chrono::milliseconds(1000);
constexpr auto kMaxAvoidPeriod = std::chrono::milliseconds(8000);

} // namespace

void advice_dispatcher::setHelpers(std::span<const std::string> aHelpers)
{
  for (auto& one : mHelpers) {
    one.mIsPresent = one.mName.empty() || std::ranges::find(aHelpers, one.mName) != aHelpers.end();
  }
  // A daemon with open calls is kept, because these are released later.
  std::erase_if(mHelpers,
                [](const helper& aOne) { return !aOne.mIsPresent && aOne.mOpenCalls == 0; });
  for (const auto& name : aHelpers) {
    if (find(name) == nullptr) {
      mHelpers.push_back({ .mName = name });
    }
  }
}

advice_dispatcher::helper* advice_dispatcher::find(const std::string& aName)
{
  const auto found = std::ranges::find(mHelpers, aName, &helper::mName);
  return found == mHelpers.end() ? nullptr : &*found;
}

std::size_t advice_dispatcher::longCalls() const
{
  return static_cast<std::size_t>(std::ranges::count_if(mHelpers, &helper::mHasLongCall));
}

bool advice_dispatcher::hasSpareHelpers(time_point aNow) const
{
  return 2 * longCalls() < maxLongCalls(aNow);
}

double advice_dispatcher::shortLoad(time_point aNow) const
{
  return mShortLoad *
         std::exp(-std::chrono::duration<double>(aNow - mShortLoadAt) / kShortLoadPeriod);
}

std::size_t advice_dispatcher::maxLongCalls(time_point aNow) const
{
  const auto present =
    static_cast<std::size_t>(std::ranges::count_if(mHelpers, &helper::mIsPresent));
  const auto needed = static_cast<std::size_t>(std::ceil(kShortLoadHeadroom * shortLoad(aNow))) + 1;
  return present - std::min(present / 2, needed);
}

const advice_dispatcher::helper* advice_dispatcher::choose(duration aCost, time_point aNow) const
{
  const bool isLong = aCost >= kLongCallThreshold;
  if (isLong && longCalls() >= maxLongCalls(aNow)) {
    return nullptr;
  }
  // If all daemons are avoided, the service itself may have been unreachable: those that are
  // avoided for the shortest time are tried again.
  auto usableFrom = time_point::max();
  for (const auto& one : mHelpers) {
    usableFrom = one.mIsPresent ? std::min(usableFrom, one.mAvoidUntil) : usableFrom;
  }
  usableFrom = std::max(usableFrom, aNow);
  const helper* best = nullptr;
  for (const auto& one : mHelpers) {
    const bool free =
      isLong ? one.mOpenCalls == 0 : one.mOpenCalls < kMaxOpenShortCalls && !one.mHasLongCall;
    if (free && one.mIsPresent && one.mAvoidUntil <= usableFrom &&
        (best == nullptr || one.mLoad < best->mLoad)) {
      best = &one;
    }
  }
  return best;
}

std::optional<advice_dispatcher::reservation> advice_dispatcher::reserve(duration aCost,
                                                                         time_point aNow,
                                                                         std::uint64_t aCall)
{
  const auto* chosen = choose(aCost, aNow);
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const bool isLong = aCost >= kLongCallThreshold;
  auto& best = *find(chosen->mName);
  ++best.mOpenCalls;
  best.mLoad += aCost;
  best.mHasLongCall = best.mHasLongCall || isLong;
  if (!isLong) {
    mShortLoad = shortLoad(aNow) + std::chrono::duration<double>(aCost) / kShortLoadPeriod;
    mShortLoadAt = aNow;
  }
  mCalls[aCall] = { .mHelper = best.mName, .mCost = aCost, .mSent = aNow, .mIsLong = isLong };
  return reservation{ .mHelper = best.mName, .mExpected = best.mLoad };
}

void advice_dispatcher::release(std::uint64_t aCall, bool aOk, time_point aNow)
{
  const auto found = mCalls.find(aCall);
  if (found == mCalls.end()) {
    return;
  }
  if (helper* used = find(found->second.mHelper)) {
    --used->mOpenCalls;
    used->mLoad -= found->second.mCost;
    used->mHasLongCall = used->mHasLongCall && !found->second.mIsLong;
    if (aOk) {
      used->mFailures = 0;
    } else if (found->second.mSent >= used->mLastFailure) {
      used->mLastFailure = aNow;
      used->mAvoidUntil = aNow + doubled(kAvoidPeriod, used->mFailures++, kMaxAvoidPeriod);
    }
  }
  mCalls.erase(found);
}

} // namespace endiveusher::scheduler::internal
