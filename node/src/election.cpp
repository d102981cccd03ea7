#include "election.h"

#include "endiveusher/kernel/msgpack.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace endiveusher::node {

namespace {

using nlohmann::json;

/// Pause after an unanswered append, in which a read of the topic can show its outcome.
constexpr auto kUnansweredPause = std::chrono::milliseconds(60);

} // namespace

std::string encode(const owner_record& aRecord)
{
  std::string bytes;
  json::to_msgpack(json::array({ static_cast<int>(aRecord.mKind), aRecord.mNode,
                                 aRecord.mIncarnation, aRecord.mPeerAddress, aRecord.mLarge }),
                   bytes);
  return bytes;
}

absl::StatusOr<owner_record> decodeOwnerRecord(std::string_view aBytes)
{
  try {
    const auto value = parseMsgpack(aBytes);
    return owner_record{ .mKind = static_cast<owner_record::kind>(value.at(0).get<int>()),
                         .mNode = value.at(1),
                         .mIncarnation = value.at(2),
                         .mPeerAddress = value.at(3),
                         // Earlier versions did not write it.
                         .mLarge = value.size() <= 4 || value.at(4).get<bool>() };
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat("owner record: ", error.what()));
  }
}

election::election(election_options aOptions)
  : mOptions(std::move(aOptions)), mHistory(mOptions.mMaxRenewalAge)
{
}

bool election::isOwn(const owner_record& aRecord) const
{
  return aRecord.mNode == mOptions.mNode && aRecord.mIncarnation == mOptions.mIncarnation;
}

void election::onRecordRead(const owner_record& aRecord, std::uint64_t aOffset, time_point aNow)
{
  mEnd = std::max(mEnd, aOffset + 1);
  mLastRecord = aRecord;
  mLastSeen = aNow;
  mHasRecord = true;
  mHistory.onRecord(aRecord, aOffset, aNow);
  if (aRecord.mKind == owner_record::kind::claim) {
    mEpochs.try_emplace(epochOf(aOffset), aNow);
  }
  if (!isOwn(aRecord)) {
    mOwnersSeen[aRecord.mPeerAddress] = aNow;
  }
  if (isOwn(aRecord)) {
    mNewestRecord = std::max(mNewestRecord, epochOf(aOffset));
    if (aRecord.mKind == owner_record::kind::claim && mEpoch < epochOf(aOffset)) {
      begin(epochOf(aOffset));
      mRenewedAt = std::max(mRenewedAt, mUncertainSince.value_or(mAppendSentAt));
    } else if (aRecord.mKind == owner_record::kind::renewal && mRole == role::owner &&
               mUncertainSince && aOffset >= mUncertainEnd) {
      // An unanswered renewal was stored: those that were answered are at lower offsets.
      mRenewedAt = std::max(mRenewedAt, *mUncertainSince);
      mNextRenewal = std::max(mNextRenewal, mRenewedAt + mOptions.mRenewInterval);
      mUncertainSince.reset();
    }
  } else if (mRole == role::owner && epochOf(aOffset) > mEpoch) {
    // Only an owner appends other records than claims; its claim may have been deleted.
    stepDown();
  }
}

void election::onUnreadableRecord(std::uint64_t aOffset, time_point aNow)
{
  mEnd = std::max(mEnd, aOffset + 1);
  mLastSeen = aNow;
  if (mRole == role::owner && epochOf(aOffset) > mEpoch) {
    stepDown();
  }
}

void election::onEndRead(std::uint64_t aEnd, time_point aNow)
{
  mEndKnown = true;
  mHasUnreadRecords = false;
  mEnd = std::max(mEnd, aEnd);
  if (!mConnectedSince) {
    mConnectedSince = aNow;
  }
}

void election::onReadFailed()
{
  mConnectedSince.reset();
}

void election::begin(std::uint64_t aEpoch)
{
  mEpoch = aEpoch;
  mRole = role::owner;
  mReleasing = false;
}

election::action election::next(time_point aNow, bool aEligible, bool aReleases)
{
  const auto chosen = chooseAction(aNow, aEligible, aReleases);
  if (chosen != action::none) {
    mAppendInFlight = true;
    mAppendSentAt = aNow;
    mAppendEnd = mEnd;
    mReleasing = mReleasing || chosen == action::release;
  }
  return chosen;
}

election::action election::chooseAction(time_point aNow, bool aEligible, bool aReleases) const
{
  if (mAppendInFlight || mHasUnreadRecords || mRetryAt > aNow || !mEndKnown) {
    return action::none;
  }
  if (mRole == role::owner) {
    if (aReleases || mReleasing) {
      return action::release;
    }
    return mNextRenewal <= aNow ? action::renew : action::none;
  }
  if (!aEligible || aReleases || !mConnectedSince) {
    return action::none;
  }
  // An earlier incarnation of this daemon has ended and cannot own the cell.
  const bool ownedByEarlierIncarnation =
    mHasRecord && mLastRecord.mNode == mOptions.mNode && !isOwn(mLastRecord);
  if (ownedByEarlierIncarnation) {
    return action::claim;
  }
  const bool vacant =
    !mHasRecord || mLastRecord.mKind == owner_record::kind::release || mOwnerEnded;
  const auto lastSign = std::max(mLastSeen, *mConnectedSince);
  auto timeout = mOptions.mStagger;
  if (!vacant) {
    timeout += mOwnerUnresponsive ? mOptions.mSuspectedOwnerTimeout : mOptions.mOwnerTimeout;
  }
  const auto reluctantSince = mOwnerEnded ? std::max(lastSign, mOwnerEndedSince) : lastSign;
  const bool isDue = aNow - lastSign > timeout &&
                     aNow - reluctantSince > (vacant ? reluctance() : timeout + reluctance());
  return isDue ? action::claim : action::none;
}

owner_record election::record(action aAction) const
{
  auto kind = owner_record::kind::claim;
  if (aAction == action::renew) {
    kind = owner_record::kind::renewal;
  } else if (aAction == action::release) {
    kind = owner_record::kind::release;
  }
  return { .mKind = kind,
           .mNode = mOptions.mNode,
           .mIncarnation = mOptions.mIncarnation,
           .mPeerAddress = mOptions.mPeerAddress,
           .mLarge = mOptions.mLarge };
}

std::chrono::milliseconds election::reluctance() const
{
  if (mOptions.mLarge) {
    return std::chrono::milliseconds(0);
  }
  return mHasRecord && mLastRecord.mLarge ? mOptions.mReluctanceToLarge : mOptions.mReluctance;
}

void election::onAppended(action aAction, std::uint64_t aOffset, time_point aSent)
{
  mAppendInFlight = false;
  // Records behind this one are known, and tell who owns the cell by now.
  const bool overtaken = aOffset + 1 < mEnd;
  mNewestRecord = std::max(mNewestRecord, epochOf(aOffset));
  mEnd = std::max(mEnd, aOffset + 1);
  mHistory.onRecord(record(aAction), aOffset, aSent);
  if (!overtaken) {
    mLastRecord = record(aAction);
    mLastSeen = std::max(mLastSeen, aSent);
    mHasRecord = true;
  }
  if (aAction == action::release) {
    mRole = role::follower;
    return;
  }
  // The claim may have been read before its answer, and the ownership have ended since. Under the
  // same epoch the appends to the journal would have the same numbers once more.
  if (aAction == action::claim && !overtaken && epochOf(aOffset) > mEpoch) {
    begin(epochOf(aOffset));
    mEpochs.try_emplace(mEpoch, aSent);
  }
  mRenewedAt = std::max(mRenewedAt, aSent);
  mUncertainSince.reset();
  mNextRenewal = aSent + mOptions.mRenewInterval;
}

void election::onRejected(action /*aAction*/)
{
  mAppendInFlight = false;
  mHasUnreadRecords = true;
}

void election::onUnanswered(action /*aAction*/, time_point aSent, time_point aNow)
{
  if (!mUncertainSince) {
    mUncertainSince = aSent;
    mUncertainEnd = mAppendEnd;
  }
  mAppendInFlight = false;
  mRetryAt = aNow + kUnansweredPause;
}

void election::stepDown()
{
  mRole = role::follower;
}

std::vector<std::string> election::formerOwners(time_point aNow, duration aPeriod) const
{
  std::vector<std::string> addresses;
  for (const auto& [address, seen] : mOwnersSeen) {
    if (aNow - seen <= aPeriod && address != mOptions.mPeerAddress) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

std::optional<std::string> election::ownerAddress() const
{
  if (!mHasRecord || isOwn(mLastRecord) || mLastRecord.mKind == owner_record::kind::release) {
    return std::nullopt;
  }
  return mLastRecord.mPeerAddress;
}

} // namespace endiveusher::node
