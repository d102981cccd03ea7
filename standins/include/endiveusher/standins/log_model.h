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
  /// Refuses connections: no operation takes effect.
  bool mDown = false;
  /// Added to every answer.
  duration mDelay{ 0 };
  /// Part of the appends whose answer is lost after they took effect, in [0, 1].
  double mLoseAppendAnswers = 0.0;
  /// Part of the reads whose answer is lost, in [0, 1].
  double mLoseReadAnswers = 0.0;
};

struct log_options
{
  duration mRetention = std::chrono::hours(1);
  /// Appends per second for all streams and users together, with a burst of one second.
  double mAppendsPerSecond = 400.0;
  std::uint64_t mSeed = 1;
};

/// Faults and append rate that all streams of one log service share.
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

  /// Takes one append from the rate; false if it is exhausted.
  bool admitAppend(time_point aNow)
  {
    if (mLast) {
      const double seconds = std::chrono::duration<double>(aNow - *mLast).count();
      mTokens =
        std::min(mOptions.mAppendsPerSecond, mTokens + seconds * mOptions.mAppendsPerSecond);
    }
    mLast = aNow;
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
  bool draw(double aPart)
  {
    // The generator's own range is fixed by the standard; distributions are not.
    return aPart > 0.0 && static_cast<double>(mRandom() >> 11) * 0x1.0p-53 < aPart;
  }

  log_options mOptions;
  log_faults mFaults;
  std::mt19937_64 mRandom;
  double mTokens;
  std::optional<time_point> mLast;
  std::uint64_t mAppends = 0;
  std::uint64_t mRejected = 0;
};

enum class log_append_result
{
  stored,
  down,          ///< Not in the log.
  rate_exceeded, ///< Not in the log.
  answer_lost,   ///< In the log, but the caller does not learn it.
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
  /// Absent if the log is down or the answer is lost. A read below the first record retained
  /// starts there.
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
  /// Records retained, for checkers.
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
