#include "owner_view.h"

#include <algorithm>
#include <fmt/format.h>

namespace endiveusher::node {

namespace {

/// Time from a decision until its start is stored and has reached the target.
constexpr std::chrono::milliseconds kStartPeriod{ 500 };
/// Time until another daemon owns the cell and stops runs that this owner would have stopped.
constexpr std::chrono::milliseconds kHandOverPeriod{ 1000 };
/// Time for which the view has to be too old before the cell is handed over: a read that was lost
/// is repeated within it.
constexpr std::chrono::milliseconds kLossPeriod{ 500 };
/// Limits of the ages in latencies of the store: a slow store is read less often, and answers late.
constexpr int kLimitLatencies = 8;
/// Lower limit: the age of the operator's records is 0.7 s while the store holds a
/// read open, and 0.4 s more if a try is lost.
constexpr std::chrono::milliseconds kMinLimit{ 1200 };
/// Upper limit of those: an owner whose renewals are older may not act either.
constexpr std::chrono::milliseconds kMaxLimit{ 5000 };
/// Longest time between two passes of the loop that counts as time in which reads could have been
/// answered.
constexpr std::chrono::milliseconds kMaxPass{ 100 };

duration limitOf(std::chrono::milliseconds aBound, std::chrono::milliseconds aMargin,
                 std::chrono::milliseconds aLatency)
{
  const auto least = std::max({ aBound - aMargin, aBound / 2, kMinLimit });
  return std::min(std::max(least, kLimitLatencies * aLatency), kMaxLimit);
}

} // namespace

void owner_view::update(const owner_view_times& aTimes, std::chrono::milliseconds aLatency,
                        bool aOthersKnowMore, time_point aNow)
{
  mJournalAge = aNow - aTimes.mJournal;
  mOperatorAge = aNow - aTimes.mOperator;
  mJournalLimit = limitOf(mBounds.mCancelPeriod, kHandOverPeriod, aLatency);
  mOperatorLimit = limitOf(mBounds.mConfigPeriod, kStartPeriod, aLatency);
  mCurrentUntil = aTimes.mJournal + mJournalLimit;
  if (aOthersKnowMore) {
    mCurrentUntil = std::min(mCurrentUntil, aTimes.mOperator + mOperatorLimit);
  }
  mCurrent = aNow <= mCurrentUntil;
  const auto pass = std::min<duration>(aNow - mLastUpdate, kMaxPass);
  mOldFor = current() ? duration{ 0 } : mOldFor + pass;
  mLastUpdate = aNow;
}

bool owner_view::lost() const
{
  return mOldFor > kLossPeriod;
}

std::string owner_view::describe() const
{
  const auto ms = [](duration aTime) { return aTime / std::chrono::milliseconds(1); };
  return fmt::format("journal_age_ms={} operator_age_ms={} journal_limit_ms={} "
                     "operator_limit_ms={}",
                     ms(mJournalAge), ms(mOperatorAge), ms(mJournalLimit), ms(mOperatorLimit));
}

} // namespace endiveusher::node
