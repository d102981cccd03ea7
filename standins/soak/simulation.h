#pragma once

#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher::standins {

/// Event queue in simulated time, seeded random numbers and the trace of one run.
///
/// Usage: `sim.after(5ms, [] { ... }); sim.runUntil(end);`
class simulation
{
public:
  simulation(std::uint64_t aSeed, std::size_t aTraceLines)
    : mRandom(aSeed), mTraceLines(aTraceLines)
  {
  }

  time_point now() const { return mNow; }
  duration elapsed() const { return mNow - time_point{}; }

  void after(duration aDelay, std::function<void()> aAction)
  {
    mQueue.push({ mNow + aDelay, mSequence++, std::move(aAction) });
  }
  void runUntil(time_point aEnd)
  {
    while (!mQueue.empty() && mQueue.top().mAt <= aEnd) {
      auto next = std::move(const_cast<entry&>(mQueue.top()));
      mQueue.pop();
      mNow = next.mAt;
      next.mAction();
    }
    mNow = aEnd;
  }

  /// Returns a random number in [0, aBelow).
  std::uint64_t draw(std::uint64_t aBelow) { return mRandom() % aBelow; }
  /// Returns true with the given probability, in [0, 1].
  bool chance(double aProbability)
  {
    return static_cast<double>(mRandom() >> 11) * 0x1.0p-53 < aProbability;
  }
  /// Returns a random duration in [aLow, aHigh].
  duration between(duration aLow, duration aHigh)
  {
    const auto span = static_cast<std::uint64_t>((aHigh - aLow).count()) + 1;
    return aLow + duration(static_cast<std::int64_t>(draw(span)));
  }

  /// Adds aText to the digest and, before freezeTrace(), to the trace lines.
  void trace(const std::string& aText)
  {
    for (const char letter : aText) {
      // FNV-1a.
      mDigest = (mDigest ^ static_cast<unsigned char>(letter)) * 0x100000001b3U;
    }
    if (!mFrozen) {
      mTrace.push_back(std::to_string(elapsed().count() / 1000) + " ms " + aText);
      if (mTrace.size() > mTraceLines) {
        mTrace.pop_front();
      }
    }
  }
  void freezeTrace() { mFrozen = true; }
  std::vector<std::string> traceLines() const { return { mTrace.begin(), mTrace.end() }; }
  std::uint64_t digest() const { return mDigest; }

private:
  struct entry
  {
    time_point mAt;
    std::uint64_t mSequence;
    std::function<void()> mAction;
    bool operator<(const entry& aOther) const
    {
      return std::pair(mAt, mSequence) > std::pair(aOther.mAt, aOther.mSequence);
    }
  };

  time_point mNow{};
  std::uint64_t mSequence = 0;
  std::priority_queue<entry> mQueue;
  std::mt19937_64 mRandom;
  std::size_t mTraceLines;
  std::deque<std::string> mTrace;
  bool mFrozen = false;
  std::uint64_t mDigest = 0xcbf29ce484222325U;
};

} // namespace endiveusher::standins
