#pragma once

#include "endiveusher/kernel/time.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace endiveusher::node {

/// A record of the topic in which daemons claim the ownership of the cell.
struct owner_record
{
  enum class kind : std::uint8_t
  {
    claim = 1,
    renewal = 2,
    /// The owner stops on purpose; the next one need not wait.
    release = 3,
  };
  kind mKind = kind::claim;
  std::string mNode;
  /// Differs between two lives of a daemon.
  std::uint64_t mIncarnation = 0;
  /// `ip:port` for other daemons.
  std::string mPeerAddress;
};
std::string encode(const owner_record& aRecord);
absl::StatusOr<owner_record> decodeOwnerRecord(std::string_view aBytes);

struct election_options
{
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::string mPeerAddress;
  /// The owner writes a record this often.
  std::chrono::milliseconds mRenewInterval{ 400 };
  /// Without a record for this long, while the store answers, the owner counts as lost. Three
  /// renewals and a slow answer of the store.
  std::chrono::milliseconds mSilence{ 1800 };
  /// The same if calls to the owner have no answer either.
  std::chrono::milliseconds mDoubtedSilence{ 700 };
  /// How much later this daemon claims than others would, so that one claim is enough.
  std::chrono::milliseconds mStagger{ 0 };
  /// Without an accepted renewal for this long an owner stops renewing leases.
  std::chrono::milliseconds mRenewalRight{ 5000 };
};

/// Which daemon owns the cell. All claims go through one partition of the store and are appended
/// only at the end that their writer has read, so that of two claims one is rejected. The offset of
/// a claim gives the epoch. Pure: the caller does what next() says.
class election
{
public:
  enum class role : std::uint8_t
  {
    follower,
    owner,
  };
  enum class action : std::uint8_t
  {
    none,
    claim,
    renew,
    release,
  };

  explicit election(election_options aOptions);

  /// A read of the topic was answered: it held aRecord at aOffset, or nothing new up to aEnd. Reads
  /// that were not answered are not reported.
  void sawRecord(const owner_record& aRecord, std::uint64_t aOffset, time_point aNow);
  void sawEnd(std::uint64_t aEnd, time_point aNow);
  /// A read of the topic failed.
  void lostStore();

  /// What to append now, with expectedEnd() as the condition. The answer has to be reported.
  action next(time_point aNow, bool aEligible, bool aStopping);
  /// What calls to the owner show: its process has ended, or it has not answered for some time.
  void setOwnerDoubt(bool aGone, bool aSilent)
  {
    mOwnerGone = aGone;
    mOwnerSilent = aSilent;
  }
  owner_record record(action aAction) const;
  std::uint64_t expectedEnd() const { return mEnd; }
  /// The answer to an append that was sent at aSent.
  void appended(action aAction, std::uint64_t aOffset, time_point aSent);
  /// Nothing is appended before the topic has been read again.
  void rejected(action aAction);
  void unanswered(action aAction, time_point aSent, time_point aNow);

  role state() const { return mRole; }
  /// Of the own ownership.
  std::uint64_t epoch() const { return mEpoch; }
  /// Whether orders may still be sent.
  bool mayAct(time_point aNow) const
  {
    return mRole == role::owner && aNow - mRenewedAt < mOptions.mRenewalRight;
  }
  /// Since the last accepted renewal was sent.
  duration renewalAge(time_point aNow) const { return aNow - mRenewedAt; }
  /// Gives the ownership up without telling the others.
  void abandon();
  /// Epochs, and when this daemon saw their claims.
  const std::map<std::uint64_t, time_point>& epochs() const { return mEpochs; }
  /// The present owner, if it is known and not this daemon.
  std::optional<std::string> ownerAddress() const;
  const std::string& ownerNode() const { return mLast.mNode; }

private:
  action choose(time_point aNow, bool aEligible, bool aStopping) const;
  bool isOwn(const owner_record& aRecord) const;

  const election_options mOptions;
  role mRole = role::follower;
  std::uint64_t mEpoch = 0;
  std::uint64_t mEnd = 0;
  std::map<std::uint64_t, time_point> mEpochs;
  bool mKnown = false;
  bool mAny = false;
  owner_record mLast;
  time_point mLastSeen{};
  std::optional<time_point> mContactSince;
  time_point mRenewedAt{};
  time_point mNextRenewal{};
  bool mAppendOpen = false;
  /// When the oldest renewal was sent of which the outcome is not known.
  std::optional<time_point> mUncertainSince;
  /// A claim or renewal was rejected: the topic holds records that have not been read.
  bool mBehind = false;
  bool mOwnerGone = false;
  bool mOwnerSilent = false;
  time_point mRetryAt{};
};

} // namespace endiveusher::node
