#include "end_hand_over.h"

#include "peer_api.h"

#include <fmt/format.h>

#include <utility>
#include <variant>

namespace endiveusher::node {

namespace {

/// Timeout of a query. A former owner on a small VM that is behind takes most of a second.
constexpr std::chrono::milliseconds kTimeout{ 1000 };
constexpr std::chrono::milliseconds kRetryPause{ 100 };
/// Number of queries to a daemon that does not answer. A daemon that answers later than that steps
/// down by itself, and the targets that still exist report the ends again.
constexpr std::uint32_t kMaxTries = 4;

} // namespace

end_hand_over::end_hand_over(edges::http_loop& aLoop, const clock& aClock, event_log& aLog,
                             ends_callback aOnEnds)
  : mLoop(aLoop), mClock(aClock), mLog(aLog), mOnEnds(std::move(aOnEnds))
{
}

void end_hand_over::begin(std::uint64_t aEpoch, const std::vector<std::string>& aFormerOwners)
{
  mEpoch = aEpoch;
  mSince = mClock.now();
  mQueries.clear();
  for (const auto& address : aFormerOwners) {
    mQueries.try_emplace(address);
  }
  tick(mSince);
}

void end_hand_over::end()
{
  mEpoch = 0;
  mQueries.clear();
}

void end_hand_over::tick(time_point aNow)
{
  for (auto& [address, query] : mQueries) {
    if (!query.mOpen && query.mNextTry <= aNow) {
      send(address, query);
    }
  }
}

bool end_hand_over::awaited(time_point aNow) const
{
  return !mQueries.empty() && aNow - mSince < kMaxWait;
}

void end_hand_over::send(const std::string& aAddress, query& aQuery)
{
  aQuery.mOpen = true;
  ++aQuery.mTries;
  mLoop.send({ .mMethod = "POST",
               .mAddress = aAddress,
               .mPath = std::string(kPeerUnstoredEndsPath),
               .mBody = encodeEpoch(mEpoch),
               .mRepeatable = true,
               .mTimeout = kTimeout,
               .mDone = [this, aAddress, epoch = mEpoch,
                         alive = std::weak_ptr(mAlive)](edges::loop_reply&& aReply) {
                 if (!alive.expired() && epoch == mEpoch) {
                   onReply(aAddress, aReply);
                 }
               } });
}

void end_hand_over::onReply(const std::string& aAddress, const edges::loop_reply& aReply)
{
  const auto found = mQueries.find(aAddress);
  if (found == mQueries.end()) {
    return;
  }
  auto ends =
    aReply.ok()
      ? decodeEnds(aReply.mBody)
      : absl::StatusOr<std::vector<scheduler::run_ended>>(absl::UnavailableError(aReply.mError));
  if (!ends.ok() && !aReply.mRefused && found->second.mTries < kMaxTries) {
    found->second.mOpen = false;
    found->second.mNextTry = mClock.now() + kRetryPause;
    return;
  }
  mLog.write("ends_handed_over",
             fmt::format("from={} epoch={} status={} error=\"{}\" tries={} after_ms={} ends={}",
                         aAddress, mEpoch, aReply.mStatus.value_or(0),
                         std::string(ends.status().message()), found->second.mTries,
                         (mClock.now() - mSince) / std::chrono::milliseconds(1),
                         ends.ok() ? ends->size() : 0));
  mQueries.erase(found);
  if (ends.ok()) {
    mOnEnds(aAddress, *ends);
  }
}

} // namespace endiveusher::node
