#pragma once

#include "endiveusher/kernel/time.h"
#include "epoch_history.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::node {

/// A record of the owner topic, in which daemons claim the ownership of the cell.
struct owner_record
{
  enum class kind : std::uint8_t
  {
    claim = 1,
    renewal = 2,
    /// The owner stops as planned; others may claim without waiting for a timeout.
    release = 3,
  };
  kind mKind = kind::claim;
  std::string mNode;
  /// Distinguishes the incarnations of a daemon.
  std::uint64_t mIncarnation = 0;
  /// `ip:port` at which other daemons reach this one.
  std::string mPeerAddress;
  /// Whether the daemon runs on a large VM.
  bool mLarge = true;
};
std::string encode(const owner_record& aRecord);
absl::StatusOr<owner_record> decodeOwnerRecord(std::string_view aBytes);

/// Largest epoch. The sequence numbers of an owner's appends hold its epoch above 32 other bits.
inline constexpr std::uint64_t kMaxEpoch = std::numeric_limits<std::int32_t>::max();

/// Epoch of the claim that is stored at aOffset of the owner topic.
constexpr std::uint64_t epochOf(std::uint64_t aOffset)
{
  return aOffset + 1;
}

struct election_options
{
  std::string mNode;
  std::uint64_t mIncarnation = 0;
  std::string mPeerAddress;
  /// Interval between renewals of the owner.
  std::chrono::milliseconds mRenewInterval{ 400 };
  /// Time without a record, while the store answers, after which the owner counts as lost. Covers
  /// three renewals and a slow reply of the store.
  std::chrono::milliseconds mOwnerTimeout{ 1800 };
  /// The same timeout if calls to the owner are unanswered as well.
  std::chrono::milliseconds mSuspectedOwnerTimeout{ 700 };
  /// Additional delay before this daemon claims; differs between daemons, to avoid competing
  /// claims.
  std::chrono::milliseconds mStagger{ 0 };
  /// Whether the daemon runs on a large VM.
  bool mLarge = true;
  /// Further delay of a daemon on a small VM, which should become owner only if no other can.
  /// Counts from when it knows that there is no owner: at the last renewal, up to an interval
  /// earlier, the others did not know it either.
  std::chrono::milliseconds mReluctance{ 400 };
  /// The same delay if the last owner ran on a large VM, so that there are such: one that has just
  /// started has to read the state of the cell before it can claim.
  std::chrono::milliseconds mReluctanceToLarge{ 3000 };
  /// Time since the last accepted renewal after which an owner stops renewing leases.
  std::chrono::milliseconds mMaxRenewalAge{ 5000 };
};

/// Elects the daemon that owns the cell. All claims go through one partition of the store and are
/// appended only at the end that their writer has read, so that one of two competing claims is
/// rejected. The offset of a claim determines the epoch. Does no I/O: the caller carries out the
/// actions that next() returns.
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

  /// Reports a record that was read from the topic at aOffset.
  void onRecordRead(const owner_record& aRecord, std::uint64_t aOffset, time_point aNow);
  /// Reports a record at aOffset that cannot be decoded. Only other versions write such records, so
  /// it counts as a sign of another owner.
  void onUnreadableRecord(std::uint64_t aOffset, time_point aNow);
  /// Reports an answered read of the topic, which ends at aEnd. Unanswered reads are not reported.
  void onEndRead(std::uint64_t aEnd, time_point aNow);
  /// Reports a failed read of the topic.
  void onReadFailed();

  /// Returns the record to append now, on condition that the topic ends at expectedEnd(). The
  /// caller reports the result with onAppended(), onRejected() or onUnanswered().
  /// @param aEligible whether this daemon may claim
  /// @param aReleases whether this daemon gives up the ownership; once it has sent a release, it
  /// does so in any case
  action next(time_point aNow, bool aEligible, bool aReleases);
  /// Sets when a call that the owner has refused was sent, which shows that its process has ended,
  /// and whether it is unresponsive. A refusal counts only if the store has answered since before.
  void setOwnerSuspected(std::optional<time_point> aRefusedAt, bool aUnresponsive, time_point aNow)
  {
    // A daemon that was cut off from all others is refused by a healthy owner as well.
    const bool ended = aRefusedAt && mConnectedSince && *aRefusedAt >= *mConnectedSince;
    if (ended && !mOwnerEnded) {
      mOwnerEndedSince = aNow;
    }
    mOwnerEnded = ended;
    mOwnerUnresponsive = aUnresponsive;
  }
  owner_record record(action aAction) const;
  std::uint64_t expectedEnd() const { return mEnd; }
  /// Reports that the append sent at aSent was stored at aOffset.
  void onAppended(action aAction, std::uint64_t aOffset, time_point aSent);
  /// Reports a conflict; nothing is appended before the topic has been read again.
  void onRejected(action aAction);
  /// Reports that the outcome of the append sent at aSent is unknown.
  void onUnanswered(action aAction, time_point aSent, time_point aNow);

  role state() const { return mRole; }
  /// Epoch of this daemon's newest ownership.
  std::uint64_t epoch() const { return mEpoch; }
  /// Number of this daemon's newest record: its epoch, or that of a renewal, which is higher and
  /// below the epoch of each later owner.
  std::uint64_t newestRecord() const { return mNewestRecord; }
  /// Whether this daemon is the owner and its renewal is recent enough to send orders.
  bool mayAct(time_point aNow) const
  {
    return mRole == role::owner && !mReleasing && aNow - mRenewedAt < mOptions.mMaxRenewalAge;
  }
  /// Time since the last accepted renewal was sent.
  duration renewalAge(time_point aNow) const { return aNow - mRenewedAt; }
  /// Steps down without appending a release.
  void stepDown();
  /// Known epochs, with the times at which this daemon read their claims.
  const std::map<std::uint64_t, time_point>& epochs() const { return mEpochs; }
  /// Bounds on how long the owners of these epochs may have acted.
  epoch_history& history() { return mHistory; }
  /// Address of the current owner; absent if it is unknown or this daemon.
  std::optional<std::string> ownerAddress() const;
  const std::string& ownerNode() const { return mLastRecord.mNode; }
  /// Addresses of the other daemons that have been owner in the last aPeriod.
  std::vector<std::string> formerOwners(time_point aNow, duration aPeriod) const;

private:
  action chooseAction(time_point aNow, bool aEligible, bool aReleases) const;
  /// Takes the ownership with the epoch of a claim of this daemon.
  void begin(std::uint64_t aEpoch);
  bool isOwn(const owner_record& aRecord) const;
  /// Returns the delay of this daemon's claim in favour of larger VMs.
  std::chrono::milliseconds reluctance() const;

  const election_options mOptions;
  role mRole = role::follower;
  std::uint64_t mEpoch = 0;
  std::uint64_t mNewestRecord = 0;
  std::uint64_t mEnd = 0;
  std::map<std::uint64_t, time_point> mEpochs;
  epoch_history mHistory;
  /// Whether a release was sent: the next owner may rely on it although the reply is lost.
  bool mReleasing = false;
  /// Times at which the last record of each other owner was read, by its address.
  std::map<std::string, time_point> mOwnersSeen;
  bool mEndKnown = false;
  bool mHasRecord = false;
  owner_record mLastRecord;
  time_point mLastSeen{};
  std::optional<time_point> mConnectedSince;
  time_point mRenewedAt{};
  time_point mNextRenewal{};
  bool mAppendInFlight = false;
  /// Time at which the last append was sent, and the end of the topic that it requires.
  time_point mAppendSentAt{};
  std::uint64_t mAppendEnd = 0;
  /// Time at which the oldest append with an unknown outcome was sent.
  std::optional<time_point> mUncertainSince;
  /// End of the topic that this append requires.
  std::uint64_t mUncertainEnd = 0;
  /// Whether an append was rejected, because the topic holds records that have not been read.
  bool mHasUnreadRecords = false;
  bool mOwnerEnded = false;
  time_point mOwnerEndedSince{};
  bool mOwnerUnresponsive = false;
  time_point mRetryAt{};
};

} // namespace endiveusher::node
