#include "endiveusher/scheduler/task_states.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace endiveusher::scheduler {

namespace {

/// Layout of a reduced state.
constexpr std::uint32_t kRunBits = 5;
constexpr std::uint32_t kMaxReducedRun = (1U << kRunBits) - 1;
constexpr std::uint32_t kMaxReducedFailures = 7;

using reduced_states = std::array<task_state, 256>;

reduced_states makeReducedStates()
{
  reduced_states states;
  for (std::uint32_t state = 1; state < states.size(); ++state) {
    states[state] = { .mRun = state & kMaxReducedRun,
                      .mFailures = state >> kRunBits,
                      .mDone = true };
  }
  return states;
}

/// Returns the state of a done task by its reduced form; the initial state for 0.
const task_state& expanded(std::uint8_t aReduced)
{
  static const reduced_states kStates = makeReducedStates();
  return kStates[aReduced];
}

} // namespace

const task_state& task_states::operator[](std::uint32_t aIndex) const
{
  const auto found = mFull.find(aIndex);
  return found != mFull.end() ? found->second
                              : expanded(aIndex < mReduced.size() ? mReduced[aIndex] : 0);
}

task_state& task_states::edit(std::uint32_t aIndex)
{
  if (aIndex >= mCount) {
    throw std::out_of_range("the step has fewer tasks");
  }
  const auto [at, isNew] = mFull.try_emplace(aIndex);
  if (isNew && aIndex < mReduced.size()) {
    at->second = expanded(std::exchange(mReduced[aIndex], 0));
  }
  return at->second;
}

void task_states::compact(std::uint32_t aIndex)
{
  const auto found = mFull.find(aIndex);
  if (found == mFull.end()) {
    return;
  }
  const auto& state = found->second;
  if (!state.mDone || state.mOpen || state.mRun == 0 || state.mRun > kMaxReducedRun ||
      state.mFailures > kMaxReducedFailures || state.mTargetLosses > 0) {
    return;
  }
  if (mReduced.empty()) {
    mReduced.resize(mCount);
  }
  mReduced[aIndex] = static_cast<std::uint8_t>(state.mRun | state.mFailures << kRunBits);
  mFull.erase(found);
}

void task_states::compactAll()
{
  for (auto at = mFull.begin(); at != mFull.end();) {
    const auto index = (at++)->first;
    compact(index);
  }
}

void task_states::setReduced(std::span<const std::uint8_t> aStates)
{
  if (aStates.size() > mCount) {
    throw std::out_of_range("the step has fewer tasks");
  }
  mReduced.assign(aStates.begin(), aStates.end());
  mReduced.resize(aStates.empty() ? 0 : mCount);
}

std::uint32_t task_states::countDone() const
{
  const auto full =
    std::ranges::count_if(mFull, [](const auto& aOne) { return aOne.second.mDone; });
  const auto reduced = std::ranges::count_if(mReduced, [](auto aOne) { return aOne != 0; });
  return static_cast<std::uint32_t>(full + reduced);
}

std::vector<std::uint32_t> task_states::waiting() const
{
  std::vector<std::uint32_t> indexes;
  auto full = mFull.begin();
  for (std::uint32_t index = 0; index < mCount; ++index) {
    if (full != mFull.end() && full->first == index) {
      if (!full->second.mDone && !full->second.mOpen) {
        indexes.push_back(index);
      }
      ++full;
    } else if (index >= mReduced.size() || mReduced[index] == 0) {
      indexes.push_back(index);
    }
  }
  return indexes;
}

} // namespace endiveusher::scheduler
