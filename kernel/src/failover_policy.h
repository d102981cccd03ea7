#pragma once

#include "freshness.h"
#include "rendezvous.h"

#include <string>
#include <vector>

namespace endiveusher::internal {

/// Decides which members this daemon should succeed. Wrong evidence costs availability only: safety
/// rests on freshness (docs/design.md, 4.2).
class failover_policy
{
public:
  failover_policy(const timing_options& aTiming, incarnation_id aSelf)
    : mTiming(aTiming), mSelf(std::move(aSelf))
  {
  }

  /// Members that appear to have ended and whose successor is this daemon.
  std::vector<incarnation_id> candidates(const control_state& aControl, const peer_table& aPeers,
                                         const entry_vm_view& aVms, time_point aListeningSince,
                                         time_point aNow) const
  {
    std::vector<incarnation_id> dead;
    const auto self = aControl.members().find(mSelf);
    if (self == aControl.members().end()) {
      return dead;
    }
    for (const auto& [id, member] : aControl.members()) {
      if (id == mSelf) {
        continue;
      }
      const bool replaced = wasReplaced(aControl, member);
      const bool gone = vmGone(aVms, member, aNow);
      const bool unresponsive =
        member.mZone == self->second.mZone && isUnresponsive(aPeers, id, aListeningSince, aNow);
      const bool evidence = replaced || gone || unresponsive;
      if (evidence && successorOf(member, aControl, aPeers, aNow, {}) == mSelf) {
        dead.push_back(id);
      }
    }
    return dead;
  }

  /// Whether another incarnation has joined later with the same VM name (evidence E2).
  static bool wasReplaced(const control_state& aControl, const member& aMember)
  {
    for (const auto& [id, other] : aControl.members()) {
      if (id != aMember.mIncarnation && other.mVm == aMember.mVm &&
          other.mJoinedAt > aMember.mJoinedAt) {
        return true;
      }
    }
    return false;
  }

  /// Whether the VM has been missing from the VM list for kVmGonePeriod (evidence E1).
  static bool vmGone(const entry_vm_view& aVms, const member& aMember, time_point aNow)
  {
    const auto missing = aVms.mMissingSince.find(aMember.mVm);
    return aVms.dropped(aMember.mVm) && missing != aVms.mMissingSince.end() &&
           aNow - missing->second >= kVmGonePeriod;
  }

  /// Returns the member that succeeds aMember: one of its zone if any of them is responsive, else
  /// one of any zone.
  incarnation_id successorOf(const member& aMember, const control_state& aControl,
                             const peer_table& aPeers, time_point aNow,
                             const std::set<incarnation_id>& aExcluded) const
  {
    std::vector<incarnation_id> sameZone;
    std::vector<incarnation_id> anyZone;
    for (const auto& [id, other] : aControl.members()) {
      const bool heard = id == mSelf || aPeers.heardWithin(id, mTiming.mPeerTimeout, aNow);
      const peer_entry* peer = aPeers.find(id);
      const bool leaving = peer != nullptr && peer->mLast.mLeaving;
      if (id == aMember.mIncarnation || !heard || leaving || aExcluded.contains(id) ||
          wasReplaced(aControl, other)) {
        continue;
      }
      anyZone.push_back(id);
      if (other.mZone == aMember.mZone) {
        sameZone.push_back(id);
      }
    }
    return rendezvousPick(aMember.mIncarnation, sameZone.empty() ? anyZone : sameZone);
  }

private:
  static constexpr duration kVmGonePeriod = std::chrono::seconds(3);

  /// Whether no gossip of aPeer has arrived for the peer timeout. The time counts from
  /// aListeningSince at the earliest.
  bool isUnresponsive(const peer_table& aPeers, const incarnation_id& aPeer,
                      time_point aListeningSince, time_point aNow) const
  {
    const peer_entry* peer = aPeers.find(aPeer);
    if (peer == nullptr || peer->mMemberSince == time_point{}) {
      return false;
    }
    const time_point since = std::max({ peer->mHeardAt, peer->mMemberSince, aListeningSince });
    return aNow - since >= mTiming.mPeerTimeout;
  }

  timing_options mTiming;
  incarnation_id mSelf;
};

} // namespace endiveusher::internal
