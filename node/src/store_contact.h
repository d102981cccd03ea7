#pragma once

#include "endiveusher/kernel/time.h"

#include <algorithm>
#include <chrono>

namespace endiveusher::node {

/// Whether the store answers this daemon. It reads several times a second, so silence alone tells,
/// long before a single call has run out of time.
///
/// Load pattern: a VM or a zone is cut off while callers still reach it. Each call that it takes in
/// that time is lost for them, so the time until it rejects them counts.
class store_contact
{
public:
  void answered(time_point aNow)
  {
    mLast = aNow;
    mEver = true;
  }
  /// aDelay is how long the store takes for an answer when it does answer.
  bool lost(time_point aNow, std::chrono::milliseconds aDelay) const
  {
    return mEver && aNow - mLast > std::max(kLostContact, kDelaysToLose * aDelay);
  }
  duration age(time_point aNow) const { return aNow - mLast; }

private:
  /// Several readings in vain, and longer than the pause of a loop that is short of processor time.
  static constexpr std::chrono::milliseconds kLostContact{ 600 };
  /// Of a slow store, whose readings are rarer as well.
  static constexpr int kDelaysToLose = 4;

  time_point mLast{};
  bool mEver = false;
};

} // namespace endiveusher::node
