#pragma once

#include "endiveusher/kernel/messages/platform.h"
#include "endiveusher/kernel/time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace endiveusher::standins {

struct log_faults
{
  /// Rejects all operations; none takes effect.
  bool mDown = false;
  /// Delay added to every reply.
  duration mDelay{ 0 };
  /// Fraction of the appends whose reply is lost after they took effect, in [0, 1].
  double mLoseAppendAnswers = 0.0;
  /// Fraction of the reads whose reply is lost, in [0, 1].
  double mLoseReadAnswers = 0.0;
};

struct log_options
{
  duration mRetention = std::chrono::hours(1);
  /// Rate limit over all streams and clients, in appends per second; bursts of one second pass.
  double mAppendsPerSecond = 400.0;
  std::uint64_t mSeed = 1;
};

/// Faults and append rate limit shared by all streams of one log service.
class log_service_model
{
public:
  explicit log_service_model(log_options aOptions)
    : mOptions(aOptions), mRandom(aOptions.mSeed), mTokens(aOptions.mAppendsPerSecond)
  {
  }

  void setFaults(const log_faults& aFaults) { mFaults = aFaults; }
  const log_faults& faults() const { return mFaults; }
  const log_options& options() const { return mOptions; }

  /// Takes one token for an append; returns false if the rate limit is exhausted.
  bool admitAppend(time_point aNow)
  {
    if (mLastRefill) {
      const double seconds = std::chrono::duration<double>(aNow - *mLastRefill).count();
      mTokens =
        std::min(mOptions.mAppendsPerSecond, mTokens + seconds * mOptions.mAppendsPerSecond);
    }
    mLastRefill = aNow;
    if (mTokens < 1.0) {
      ++mRejected;
      return false;
    }
    mTokens -= 1.0;
    ++mAppends;
    return true;
  }
  bool drawLostAppendAnswer() { return draw(mFaults.mLoseAppendAnswers); }
  bool drawLostReadAnswer() { return draw(mFaults.mLoseReadAnswers); }
  std::uint64_t appends() const { return mAppends; }
  std::uint64_t rejected() const { return mRejected; }

private:
  bool draw(double aProbability)
  {
    // The standard fixes the output of the generator, but not that of the distributions.
    return aProbability > 0.0 && static_cast<double>(mRandom() >> 11) * 0x1.0p-53 < aProbability;
  }

  log_options mOptions;
  log_faults mFaults;
  std::mt19937_64 mRandom;
  double mTokens;
  std::optional<time_point> mLastRefill;
  std::uint64_t mAppends = 0;
  std::uint64_t mRejected = 0;
};

enum class log_append_result
{
  stored,
  down,          ///< Not in the log.
  rate_exceeded, ///< Not in the log.
  answer_lost,   ///< In the log, but the reply is lost.
};

/// One stream of the log.
///
/// Usage: `auto [result, offset] = stream.append(records, now);`
template<typename Record>
class log_stream_model
{
public:
  explicit log_stream_model(log_service_model& aService) : mService(&aService) {}

  std::pair<log_append_result, log_offset> append(std::vector<Record> aRecords, time_point aNow)
  {
    if (mService->faults().mDown) {
      return { log_append_result::down, 0 };
    }
    if (!mService->admitAppend(aNow)) {
      return { log_append_result::rate_exceeded, 0 };
    }
    const log_offset first = end();
    for (auto& record : aRecords) {
      mRecords.emplace_back(aNow, std::move(record));
    }
    const bool lost = mService->drawLostAppendAnswer();
    return { lost ? log_append_result::answer_lost : log_append_result::stored, first };
  }

  struct page
  {
    std::vector<std::pair<log_offset, Record>> mRecords;
    log_offset mEnd = 0;
    log_offset mFirst = 0;
  };
  /// Returns up to aMax records from aFrom on, or from the first retained record if that is later.
  /// Absent if the log is down or the reply is lost.
  std::optional<page> read(log_offset aFrom, std::size_t aMax, time_point aNow)
  {
    expire(aNow);
    if (mService->faults().mDown || mService->drawLostReadAnswer()) {
      return std::nullopt;
    }
    page result{ .mRecords = {}, .mEnd = end(), .mFirst = mFirst };
    for (log_offset at = std::max(aFrom, mFirst); at < end() && result.mRecords.size() < aMax;
         ++at) {
      result.mRecords.emplace_back(at, mRecords[at - mFirst].second);
    }
    return result;
  }

  log_offset end() const { return mFirst + mRecords.size(); }
  log_offset first() const { return mFirst; }
  /// Retained records with their append times, for checkers.
  const std::deque<std::pair<time_point, Record>>& retained() const { return mRecords; }

private:
  void expire(time_point aNow)
  {
    while (!mRecords.empty() && mRecords.front().first + mService->options().mRetention < aNow) {
      mRecords.pop_front();
      ++mFirst;
    }
  }

  log_service_model* mService;
  std::deque<std::pair<time_point, Record>> mRecords;
  log_offset mFirst = 0;
};

} // namespace endiveusher::standins
