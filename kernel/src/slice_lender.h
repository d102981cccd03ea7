#pragma once

#include "limit_math.h"

#include "endiveusher/kernel/control_state.h"
#include "endiveusher/kernel/messages/peer.h"
#include "endiveusher/kernel/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace endiveusher::internal {

/// This daemon's slices as it may use them, and the transfers that it has promised.
class slice_lender
{
public:
  explicit slice_lender(incarnation_id aSelf) : mSelf(std::move(aSelf)) {}

  /// Slice that may be used now: without transfers under way and without slices inherited from
  /// members whose sweep is not complete.
  limit_vector usable(const control_state& aControl, const team_name& aTeam) const
  {
    limit_vector amount = aControl.slice(mSelf, aTeam);
    for (const auto& [id, transfer] : mTransfers) {
      if (transfer.mTeam == aTeam) {
        amount = subtractLimits(amount, transfer.mAmount);
      }
    }
    for (const auto& [dead, entry] : aControl.successions()) {
      const auto part = entry.mSlices.find(aTeam);
      if (entry.mSuccessor == mSelf && part != entry.mSlices.end() && !fullySwept(aControl, dead)) {
        amount = subtractLimits(amount, part->second);
      }
    }
    return amount;
  }

  void markSwept(const incarnation_id& aDead) { mSwept.insert(aDead); }

  /// Amount to give away for a request: half of what is unused, at most what is wanted; all zero
  /// if nothing can be given.
  limit_vector offer(const control_state& aControl, const slice_request& aRequest,
                     const limit_vector& aCharged) const
  {
    const limit_vector own = usable(aControl, aRequest.mTeam);
    limit_vector amount = kNoLimitUsed;
    for (const auto component : kLimitComponents) {
      if (own.*component == limit_vector::kUnlimited ||
          aRequest.mWanted.*component == limit_vector::kUnlimited) {
        continue;
      }
      const std::int64_t unused = std::max<std::int64_t>(0, own.*component - aCharged.*component);
      amount.*component =
        std::clamp<std::int64_t>(aRequest.mWanted.*component, 0, (unused + 1) / 2);
    }
    return amount;
  }

  /// Deducts a transfer until its record is read back.
  void begin(std::string aRecordId, slice_transfer_record aTransfer)
  {
    mTransfers.emplace(std::move(aRecordId), std::move(aTransfer));
  }
  /// The record was read back and is part of the control state; returns the receiver, if any.
  std::optional<incarnation_id> finish(const std::string& aRecordId)
  {
    const auto node = mTransfers.extract(aRecordId);
    return node.empty() ? std::nullopt : std::optional(node.mapped().mTo);
  }
  bool lending(const team_name& aTeam, const incarnation_id& aTo) const
  {
    return std::ranges::any_of(mTransfers, [&](const auto& aEntry) {
      return aEntry.second.mTeam == aTeam && aEntry.second.mTo == aTo;
    });
  }

private:
  /// Whether aDead and all that it had succeeded are swept.
  bool fullySwept(const control_state& aControl, const incarnation_id& aDead) const
  {
    if (!mSwept.contains(aDead)) {
      return false;
    }
    return std::ranges::all_of(aControl.successions(), [&](const auto& aEntry) {
      return aEntry.second.mSuccessor != aDead || fullySwept(aControl, aEntry.first);
    });
  }

  incarnation_id mSelf;
  std::map<std::string, slice_transfer_record> mTransfers;
  std::set<incarnation_id> mSwept;
};

} // namespace endiveusher::internal
