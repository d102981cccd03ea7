#pragma once

#include "peer_table.h"

#include "endiveusher/kernel/control_state.h"
#include "endiveusher/kernel/timing.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace endiveusher::internal {

/// Entry VMs according to the VM list.
struct entry_vm_view
{
  time_point mReadAt{};
  bool mEverRead = false;
  std::set<std::string> mPresent;
  std::set<std::string> mEverSeen;
  /// Time at which a VM that had been listed was first missing.
  std::map<std::string, time_point> mMissingSince;

  /// Whether aVm was listed before and is not listed now.
  bool dropped(const std::string& aVm) const
  {
    return mEverSeen.contains(aVm) && !mPresent.contains(aVm);
  }
};

/// Time until which the view of stream control counts as fresh, by rules R1 to R3 of
/// docs/design.md.
class freshness
{
public:
  explicit freshness(const timing_options& aTiming) : mTiming(aTiming) {}

  /// R1: handles a read, sent at aSentAt, that reached the end of the stream.
  void readToEnd(time_point aSentAt) { extend(aSentAt + mTiming.mFreshnessPeriod); }

  /// R2: handles the reply of a peer that is fresh for aFreshFor to a probe sent at aProbeSentAt.
  /// The local control state must be at the peer's offset or beyond.
  void peerIsFresh(time_point aProbeSentAt, duration aFreshFor)
  {
    extend(aProbeSentAt + std::min(aFreshFor, mTiming.mFreshnessPeriod));
  }

  /// R3: extends freshness if all members agree that the log is unreachable.
  void considerOutage(const incarnation_id& aSelf, const control_state& aControl,
                      const peer_table& aPeers, const entry_vm_view& aVms, time_point aNow)
  {
    const std::optional<time_point> oldest =
      oldestOutageAnswer(aSelf, aControl, aPeers, aVms, aNow);
    if (oldest) {
      extend(*oldest + mTiming.mFreshnessPeriod);
    }
  }

  time_point until() const { return mUntil; }

private:
  /// Largest age of a VM list that is accepted as evidence that a VM is gone.
  static constexpr duration kVmListPeriod = std::chrono::seconds(5);

  void extend(time_point aUntil) { mUntil = std::max(mUntil, aUntil); }

  /// Sending time of the oldest probe whose reply is part of the agreement; absent without
  /// agreement.
  std::optional<time_point> oldestOutageAnswer(const incarnation_id& aSelf,
                                               const control_state& aControl,
                                               const peer_table& aPeers, const entry_vm_view& aVms,
                                               time_point aNow) const
  {
    time_point oldest = aNow;
    std::set<zone_name> zonesAnswering{ aControl.members().at(aSelf).mZone };
    std::set<std::string> vmsAnswering{ aControl.members().at(aSelf).mVm };
    for (const auto& [id, peer] : aPeers.entries()) {
      if (aNow - peer.mHeardAt >= mTiming.mFreshnessPeriod || peer.mHeardAt == time_point{}) {
        continue;
      }
      // A peer that has applied more of the log may know changes made before the outage.
      if (peer.mLast.mLogReachable || peer.mLast.mControlOffset > aControl.next()) {
        return std::nullopt;
      }
      if (!peer.mAnsweredProbeAt) {
        continue;
      }
      zonesAnswering.insert(peer.mLast.mZone);
      vmsAnswering.insert(peer.mLast.mVm);
      oldest = std::min(oldest, *peer.mAnsweredProbeAt);
    }
    for (const auto& [id, member] : aControl.members()) {
      if (id == aSelf || vmsAnswering.contains(member.mVm)) {
        continue;
      }
      const bool vmGone = aVms.mEverRead && aNow - aVms.mReadAt < kVmListPeriod &&
                          aVms.dropped(member.mVm) && zonesAnswering.contains(member.mZone);
      // A member that reached the log when last heard from may have published a change before it
      // ended.
      const peer_entry* last = aPeers.find(id);
      const bool hadNoNewerRecords = last != nullptr && !last->mLast.mLogReachable &&
                                     last->mLast.mControlOffset <= aControl.next();
      if (!vmGone || !hadNoNewerRecords) {
        return std::nullopt;
      }
    }
    return oldest;
  }

  timing_options mTiming;
  time_point mUntil{};
};

} // namespace endiveusher::internal
