#include "owner_client.h"

#include <charconv>
#include <utility>

namespace endiveusher::node {

namespace {

constexpr auto kHelloInterval = std::chrono::milliseconds(250);
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

owner_client::owner_client(edges::http_loop& aLoop, const clock& aClock, std::string aOwnAddress)
  : mLoop(aLoop), mClock(aClock), mOwnAddress(std::move(aOwnAddress))
{
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
  mNextHello = aNow + kHelloInterval;
  auto hello = encodeHello(*mOwner, mOffersAdvice ? mOwnAddress : std::string());
  hello.mTimeout = kHelloTimeout;
  hello.mDone = [this, generation = mGeneration](edges::loop_reply&& aReply) {
    if (generation == mGeneration) {
      onHelloReply(aReply);
    }
  };
  mLoop.send(std::move(hello));
}

void owner_client::onHelloReply(const edges::loop_reply& aReply)
{
  mHelloInFlight = false;
  if (!aReply.mStatus) {
    mConnectionRefused = aReply.mRefused;
    return;
  }
  mConnectionRefused = false;
  mLastReply = mClock.now();
  std::int64_t age = 0;
  const auto& body = aReply.mBody;
  if (std::from_chars(body.data(), body.data() + body.size(), age).ec == std::errc()) {
    mOwnerStoreAge = std::chrono::milliseconds(age);
  }
}

bool owner_client::reachable(time_point aNow) const
{
  return mOwner && !mConnectionRefused && aNow - mLastReply < kReachableTimeout;
}

bool owner_client::unresponsive(time_point aNow) const
{
  return mOwner && aNow - std::max(mLastReply, mOwnerSince) > kOwnerTimeout;
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
               .mTimeout = aTimeout,
               .mDone = std::move(aDone) });
}

} // namespace endiveusher::node
