#include "owner_client.h"

#include <algorithm>
#include <utility>

namespace endiveusher::node {

namespace {

/// Largest interval that an owner may request. A daemon that reaches no owner for this long is told
/// of its successor by the owner topic.
constexpr auto kMaxHelloInterval = std::chrono::milliseconds(2000);
/// An idle owner replies within a few milliseconds, a busy one within some tens.
constexpr std::chrono::milliseconds kHelloTimeout{ 300 };
/// Covers two unanswered hellos.
constexpr auto kOwnerTimeout = std::chrono::milliseconds(700);
/// Records are forwarded only to an owner whose last reply is more recent than this.
constexpr auto kReachableTimeout = std::chrono::milliseconds(600);
/// An owner that the store has not answered for longer counts as partitioned from it. A single call
/// to a slow store takes less.
constexpr auto kMaxOwnerStoreAge = std::chrono::milliseconds(600);

} // namespace

owner_client::owner_client(edges::http_loop& aLoop, const clock& aClock, hello aHello)
  : mLoop(aLoop), mClock(aClock), mHello(std::move(aHello)), mLastInterval(kHelloInterval)
{
}

std::chrono::milliseconds owner_client::interval() const
{
  return mHello.mStandby || mStoreLost
           ? kHelloInterval
           : std::clamp(mRequestedInterval, kHelloInterval, kMaxHelloInterval);
}

std::chrono::milliseconds owner_client::extraInterval() const
{
  return mLastInterval - kHelloInterval;
}

void owner_client::setStoreLost(bool aLost)
{
  if (aLost && !mStoreLost) {
    mNextHello = time_point{};
  }
  mStoreLost = aLost;
}

void owner_client::setOwner(const std::optional<std::string>& aAddress)
{
  if (aAddress == mOwner) {
    return;
  }
  mOwner = aAddress;
  mOwnerSince = mClock.now();
  mLastReply = time_point{};
  mNextHello = time_point{};
  mHelloInFlight = false;
  mConnectionRefused = false;
  mOwnerStoreAge.reset();
  ++mGeneration;
}

void owner_client::tick(time_point aNow)
{
  if (!mOwner || mHelloInFlight || mNextHello > aNow) {
    return;
  }
  mHelloInFlight = true;
  mNextHello = aNow + interval();
  auto hello = encodeHello(*mOwner, mHello);
  hello.mTimeout = kHelloTimeout;
  hello.mDone = [this, aNow, generation = mGeneration](edges::loop_reply&& aReply) {
    if (generation == mGeneration) {
      mLastHelloAt = aNow;
      onHelloReply(aReply);
    }
  };
  mLoop.send(std::move(hello));
}

void owner_client::onHelloReply(const edges::loop_reply& aReply)
{
  mHelloInFlight = false;
  mLastInterval = interval();
  if (!aReply.mStatus) {
    mConnectionRefused = aReply.mRefused;
    mNextHello = std::min<time_point>(mNextHello, mClock.now() + kHelloInterval);
    return;
  }
  mConnectionRefused = false;
  mLastReply = mClock.now();
  // Without a readable reply the owner is reachable, and nothing else is known of it.
  if (auto reply = decodeHelloReply(aReply.mBody); reply.ok()) {
    mOwnerStoreAge = reply->mStoreAge;
    mRequestedInterval = reply->mInterval;
    mLastInterval = interval();
    if (mListener) {
      mListener(*mOwner, *reply, mLastReply);
    }
    mCapacity = std::move(reply->mCapacity);
  }
}

bool owner_client::reachable(time_point aNow) const
{
  return mOwner && !mConnectionRefused && aNow - mLastReply < kReachableTimeout + extraInterval();
}

bool owner_client::awaitsFirstReply(time_point aNow) const
{
  return mOwner && !mConnectionRefused && mLastReply == time_point{} &&
         aNow - mOwnerSince < kHelloTimeout;
}

bool owner_client::unresponsive(time_point aNow) const
{
  return mOwner && aNow - std::max(mLastReply, mOwnerSince) > kOwnerTimeout + extraInterval();
}

bool owner_client::ownerPartitioned(std::chrono::milliseconds aStoreLatency) const
{
  return mOwner && mOwnerStoreAge && *mOwnerStoreAge > kMaxOwnerStoreAge &&
         aStoreLatency < kSlowStoreLatency;
}

void owner_client::call(std::string_view aPath, std::string aBody,
                        std::chrono::milliseconds aTimeout,
                        std::function<void(edges::loop_reply&&)> aDone)
{
  mLoop.send({ .mMethod = "POST",
               .mAddress = *mOwner,
               .mPath = std::string(aPath),
               .mBody = std::move(aBody),
               .mContentType = "application/octet-stream",
               .mRepeatable = aPath == kPeerStatusPath || aPath == kPeerWaitingPath,
               .mTimeout = aTimeout,
               .mDone = [this, generation = mGeneration,
                         done = std::move(aDone)](edges::loop_reply&& aReply) {
                 // A busy owner may answer hellos later than their timeout. A server whose queue is
                 // full answers 503, also if nothing takes from the queue any more.
                 if (aReply.mStatus && *aReply.mStatus != 503 && generation == mGeneration) {
                   mLastReply = mClock.now();
                 }
                 done(std::move(aReply));
               } });
}

} // namespace endiveusher::node
