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

/// Usable part of this daemon's slices, and its slice transfers to other members that are not
/// recorded yet.
class slice_transfers
{
public:
  explicit slice_transfers(incarnation_id aSelf) : mSelf(std::move(aSelf)) {}

  /// Returns the slice that may be used now: without pending transfers and without the slices of
  /// succeeded members whose reconciliation is not complete.
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
      if (entry.mSuccessor == mSelf && part != entry.mSlices.end() &&
          !fullyReconciled(aControl, dead)) {
        amount = subtractLimits(amount, part->second);
      }
    }
    return amount;
  }

  void markReconciled(const incarnation_id& aDead) { mReconciled.insert(aDead); }

  /// Returns the amount to transfer for a request, at most the wanted amount; zero for a component
  /// that is unlimited on either side. Queued tasks get half of the unused amount, rounded up. A
  /// gang gets all of it, because halves of halves reach the whole only after many requests.
  limit_vector offer(const control_state& aControl, const slice_request& aRequest,
                     const limit_vector& aCharged) const
  {
    const limit_vector own = usable(aControl, aRequest.mTeam);
    limit_vector amount = kZeroLimits;
    for (const auto component : kLimitComponents) {
      if (own.*component == limit_vector::kUnlimited ||
          aRequest.mWanted.*component == limit_vector::kUnlimited) {
        continue;
      }
      const std::int64_t unused = std::max<std::int64_t>(0, own.*component - aCharged.*component);
      const std::int64_t most = aRequest.mWaited.count() > 0 ? unused : (unused + 1) / 2;
      amount.*component = std::clamp<std::int64_t>(aRequest.mWanted.*component, 0, most);
    }
    return amount;
  }

  /// Deducts a transfer until its record has been read back.
  void begin(std::string aRecordId, slice_transfer_record aTransfer)
  {
    mTransfers.emplace(std::move(aRecordId), std::move(aTransfer));
  }
  /// Ends the deduction once the record has been read back and is part of the control state.
  /// Returns the receiver; empty if the record is not one of these transfers.
  std::optional<incarnation_id> finish(const std::string& aRecordId)
  {
    const auto node = mTransfers.extract(aRecordId);
    return node.empty() ? std::nullopt : std::optional(node.mapped().mTo);
  }
  /// Whether a transfer of aTeam's slice to aTo is pending.
  bool transferPending(const team_name& aTeam, const incarnation_id& aTo) const
  {
    return std::ranges::any_of(mTransfers, [&](const auto& aEntry) {
      return aEntry.second.mTeam == aTeam && aEntry.second.mTo == aTo;
    });
  }

private:
  /// Whether aDead and all members that it had succeeded are reconciled.
  bool fullyReconciled(const control_state& aControl, const incarnation_id& aDead) const
  {
    if (!mReconciled.contains(aDead)) {
      return false;
    }
    return std::ranges::all_of(aControl.successions(), [&](const auto& aEntry) {
      return aEntry.second.mSuccessor != aDead || fullyReconciled(aControl, aEntry.first);
    });
  }

  incarnation_id mSelf;
  std::map<std::string, slice_transfer_record> mTransfers;
  std::set<incarnation_id> mReconciled;
};

} // namespace endiveusher::internal
