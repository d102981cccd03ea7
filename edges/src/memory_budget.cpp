#include "endiveusher/edges/memory_budget.h"

#include <algorithm>
#include <utility>

namespace endiveusher::edges {

namespace {

struct candidate
{
  std::shared_ptr<sheddable> mHolder;
  std::size_t mBytes = 0;
  /// Candidates with a lower rank are shed first.
  int mRank = 0;
};

constexpr int kUntrustedRank = 0;

/// A request whose key has not been checked yet is ranked with the trusted ones while it is small:
/// otherwise trusted requests that fill the budget would have every new request shed.
int rankOf(const sheddable::held_memory& aHeld)
{
  if (aHeld.mAnswer) {
    return 2;
  }
  return !aHeld.mTrusted && aHeld.mBytes > kUncheckedBytes ? kUntrustedRank : 1;
}

} // namespace

bool memory_budget::tryReserve(std::size_t aBytes)
{
  auto used = mUsed.load();
  do {
    if (used > mLimit || aBytes > mLimit - used) {
      return false;
    }
  } while (!mUsed.compare_exchange_weak(used, used + aBytes));
  return true;
}

void memory_budget::addSource(source aSource)
{
  const std::lock_guard lock(mMutex);
  mSources.push_back(std::move(aSource));
}

bool memory_budget::makeRoom(std::size_t aBytes, const sheddable* aRequester)
{
  const auto isFree = [this](std::size_t aWanted) { return mUsed + aWanted <= mLimit; };
  const std::lock_guard lock(mMutex);
  if (isFree(aBytes)) {
    return true;
  }
  std::vector<std::shared_ptr<sheddable>> holders;
  for (const auto& one : mSources) {
    one(holders);
  }
  std::vector<candidate> candidates;
  for (auto& holder : holders) {
    auto held = holder->held();
    if (holder.get() == aRequester) {
      held.mBytes += aBytes;
    }
    if (held.mBytes > 0) {
      candidates.push_back(
        { .mHolder = std::move(holder), .mBytes = held.mBytes, .mRank = rankOf(held) });
    }
  }
  std::ranges::sort(candidates, [](const candidate& aLeft, const candidate& aRight) {
    return aLeft.mRank != aRight.mRank ? aLeft.mRank < aRight.mRank : aLeft.mBytes > aRight.mBytes;
  });
  const auto ampleBytes = std::max(aBytes, mLimit / 8);
  for (const auto& one : candidates) {
    if (isFree(one.mRank == kUntrustedRank ? ampleBytes : aBytes) ||
        one.mHolder.get() == aRequester) {
      break;
    }
    if (const auto bytes = one.mHolder->shed(); bytes > 0) {
      countShed(bytes);
    }
  }
  return isFree(aBytes);
}

void memory_budget::countShed(std::size_t aBytes)
{
  ++mShedRequests;
  mShedBytes += aBytes;
}

memory_charge::memory_charge(memory_charge&& aOther) noexcept
  : mBudget(std::move(aOther.mBudget)), mBytes(std::exchange(aOther.mBytes, 0))
{
}

memory_charge& memory_charge::operator=(memory_charge&& aOther) noexcept
{
  if (this != &aOther) {
    resize(0);
    mBudget = std::move(aOther.mBudget);
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

bool memory_charge::tryResize(std::size_t aBytes)
{
  if (mBudget && aBytes > mBytes) {
    if (!mBudget->tryReserve(aBytes - mBytes)) {
      return false;
    }
    mBytes = aBytes;
  }
  resize(aBytes);
  return true;
}

void memory_charge::resize(std::size_t aBytes)
{
  if (!mBudget) {
    return;
  }
  if (aBytes > mBytes) {
    mBudget->reserve(aBytes - mBytes);
  } else {
    mBudget->release(mBytes - aBytes);
  }
  mBytes = aBytes;
}

} // namespace endiveusher::edges
