#include "election.h"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace endiveusher::node {

namespace {

using nlohmann::json;

/// Pause after an append without an answer; a read tells what became of it.
constexpr auto kUnansweredPause = std::chrono::milliseconds(60);

} // namespace

std::string encode(const owner_record& aRecord)
{
  std::string bytes;
  json::to_msgpack(json::array({ static_cast<int>(aRecord.mKind), aRecord.mNode,
                                 aRecord.mIncarnation, aRecord.mPeerAddress }),
                   bytes);
  return bytes;
}

absl::StatusOr<owner_record> decodeOwnerRecord(std::string_view aBytes)
{
  try {
    const auto value = json::from_msgpack(aBytes.begin(), aBytes.end());
    return owner_record{ .mKind = static_cast<owner_record::kind>(value.at(0).get<int>()),
                         .mNode = value.at(1),
                         .mIncarnation = value.at(2),
                         .mPeerAddress = value.at(3) };
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat("owner record: ", error.what()));
  }
}

election::election(election_options aOptions) : mOptions(std::move(aOptions)) {}

bool election::isOwn(const owner_record& aRecord) const
{
  return aRecord.mNode == mOptions.mNode && aRecord.mIncarnation == mOptions.mIncarnation;
}

void election::sawRecord(const owner_record& aRecord, std::uint64_t aOffset, time_point aNow)
{
  mEnd = std::max(mEnd, aOffset + 1);
  mLast = aRecord;
  mLastSeen = aNow;
  mAny = true;
  if (aRecord.mKind == owner_record::kind::claim) {
    mEpochs.try_emplace(aOffset + 1, aNow);
  }
  if (isOwn(aRecord)) {
    if (aRecord.mKind == owner_record::kind::claim && mEpoch < aOffset + 1) {
      mEpoch = aOffset + 1;
      mRole = role::owner;
      mRenewedAt = std::max(mRenewedAt, mUncertainSince.value_or(aNow));
    } else if (aRecord.mKind == owner_record::kind::renewal && mRole == role::owner &&
               mUncertainSince) {
      // The lost answer was that of a stored renewal.
      mRenewedAt = std::max(mRenewedAt, *mUncertainSince);
      mNextRenewal = std::max(mNextRenewal, mRenewedAt + mOptions.mRenewInterval);
      mUncertainSince.reset();
    }
  } else if (aRecord.mKind == owner_record::kind::claim && mRole == role::owner &&
             aOffset + 1 > mEpoch) {
    abandon();
  }
}

void election::sawEnd(std::uint64_t aEnd, time_point aNow)
{
  mKnown = true;
  mBehind = false;
  mEnd = std::max(mEnd, aEnd);
  if (!mContactSince) {
    mContactSince = aNow;
  }
}

void election::lostStore()
{
  mContactSince.reset();
}

election::action election::next(time_point aNow, bool aEligible, bool aStopping)
{
  const auto chosen = choose(aNow, aEligible, aStopping);
  mAppendOpen = mAppendOpen || chosen != action::none;
  return chosen;
}

election::action election::choose(time_point aNow, bool aEligible, bool aStopping) const
{
  if (mAppendOpen || mBehind || mRetryAt > aNow || !mKnown) {
    return action::none;
  }
  if (mRole == role::owner) {
    if (aStopping) {
      return action::release;
    }
    return mNextRenewal <= aNow ? action::renew : action::none;
  }
  if (!aEligible || aStopping || !mContactSince) {
    return action::none;
  }
  // An earlier life of this daemon owns nothing any more.
  const bool ownPast = mAny && mLast.mNode == mOptions.mNode && !isOwn(mLast);
  if (ownPast) {
    return action::claim;
  }
  const bool vacant = !mAny || mLast.mKind == owner_record::kind::release || mOwnerGone;
  const auto quietSince = std::max(mLastSeen, *mContactSince);
  auto patience = mOptions.mStagger;
  if (!vacant) {
    patience += mOwnerSilent ? mOptions.mDoubtedSilence : mOptions.mSilence;
  }
  return aNow - quietSince > patience ? action::claim : action::none;
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
           .mPeerAddress = mOptions.mPeerAddress };
}

void election::appended(action aAction, std::uint64_t aOffset, time_point aSent)
{
  mAppendOpen = false;
  mEnd = std::max(mEnd, aOffset + 1);
  mLast = record(aAction);
  mLastSeen = std::max(mLastSeen, aSent);
  mAny = true;
  if (aAction == action::release) {
    mRole = role::follower;
    return;
  }
  if (aAction == action::claim) {
    mEpoch = aOffset + 1;
    mRole = role::owner;
    mEpochs.try_emplace(mEpoch, aSent);
  }
  mRenewedAt = std::max(mRenewedAt, aSent);
  mUncertainSince.reset();
  mNextRenewal = aSent + mOptions.mRenewInterval;
}

void election::rejected(action /*aAction*/)
{
  mAppendOpen = false;
  mBehind = true;
}

void election::unanswered(action /*aAction*/, time_point aSent, time_point aNow)
{
  mUncertainSince = std::min(mUncertainSince.value_or(aSent), aSent);
  mAppendOpen = false;
  mRetryAt = aNow + kUnansweredPause;
}

void election::abandon()
{
  mRole = role::follower;
}

std::optional<std::string> election::ownerAddress() const
{
  if (!mAny || isOwn(mLast) || mLast.mKind == owner_record::kind::release) {
    return std::nullopt;
  }
  return mLast.mPeerAddress;
}

} // namespace endiveusher::node
