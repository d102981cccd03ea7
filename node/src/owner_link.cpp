#include "owner_link.h"

#include <charconv>
#include <utility>

namespace endiveusher::node {

namespace {

constexpr auto kHelloInterval = std::chrono::milliseconds(250);
/// An answer takes a few milliseconds; a busy owner some tens.
constexpr std::chrono::milliseconds kHelloTimeout{ 300 };
/// Two unanswered hellos.
constexpr auto kSilence = std::chrono::milliseconds(700);
/// Work is handed over only to an owner that has answered this recently.
constexpr auto kReachable = std::chrono::milliseconds(600);
/// Without an answer of the store for this long the owner cannot do its work; a slow store takes
/// less than that for a single call.
constexpr auto kOwnerStoreAge = std::chrono::milliseconds(600);

} // namespace

owner_link::owner_link(edges::http_loop& aLoop, const clock& aClock, std::string aOwnAddress)
  : mLoop(aLoop), mClock(aClock), mOwnAddress(std::move(aOwnAddress))
{
}

void owner_link::setOwner(const std::optional<std::string>& aAddress)
{
  if (aAddress == mOwner) {
    return;
  }
  mOwner = aAddress;
  mOwnerSince = mClock.now();
  mLastAnswer = time_point{};
  mNextHello = time_point{};
  mHelloOpen = false;
  mRefused = false;
  mStoreAge.reset();
  ++mGeneration;
}

void owner_link::tick(time_point aNow)
{
  if (!mOwner || mHelloOpen || mNextHello > aNow) {
    return;
  }
  mHelloOpen = true;
  mNextHello = aNow + kHelloInterval;
  auto hello = encodeHello(*mOwner, mOwnAddress);
  hello.mTimeout = kHelloTimeout;
  hello.mDone = [this, generation = mGeneration](edges::loop_reply&& aReply) {
    if (generation == mGeneration) {
      helloAnswered(aReply);
    }
  };
  mLoop.send(std::move(hello));
}

void owner_link::helloAnswered(const edges::loop_reply& aReply)
{
  mHelloOpen = false;
  if (!aReply.mStatus) {
    mRefused = aReply.mRefused;
    return;
  }
  mRefused = false;
  mLastAnswer = mClock.now();
  std::int64_t age = 0;
  const auto& body = aReply.mBody;
  if (std::from_chars(body.data(), body.data() + body.size(), age).ec == std::errc()) {
    mStoreAge = std::chrono::milliseconds(age);
  }
}

bool owner_link::reachable(time_point aNow) const
{
  return mOwner && !mRefused && aNow - mLastAnswer < kReachable;
}

bool owner_link::silent(time_point aNow) const
{
  return mOwner && aNow - std::max(mLastAnswer, mOwnerSince) > kSilence;
}

bool owner_link::ownerCutOff(std::chrono::milliseconds aStoreDelay) const
{
  return mOwner && mStoreAge && *mStoreAge > kOwnerStoreAge && aStoreDelay < kSlowStore;
}

void owner_link::call(std::string_view aPath, std::string aBody, std::chrono::milliseconds aTimeout,
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
