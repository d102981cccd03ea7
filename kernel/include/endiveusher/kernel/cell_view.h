#pragma once

#include "endiveusher/kernel/config.h"
#include "endiveusher/kernel/ids.h"
#include "endiveusher/kernel/messages/platform.h"
#include "endiveusher/kernel/resources.h"
#include "endiveusher/kernel/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace endiveusher {

/// Limits and usage of one team, as the placer needs them.
struct team_info
{
  /// Weight of the team's share, above zero.
  double mShare = 1.0;
  /// This daemon's slice of the team's upper limit.
  limit_vector mSlice;
  /// Resources that the other members use for the team, from gossip.
  resources mUsedElsewhere;
};

/// One target of this daemon's zone, or of a zone without members that this daemon serves.
struct target_info
{
  target_id mTarget;
  zone_name mZone;
  /// `ip:port` of the target's HTTP listener.
  std::string mAddress;
  /// The VM list shows the VM as leaving, or its zone is out.
  bool mLeaving = false;
  /// Member that the rendezvous hash selects as the owner.
  incarnation_id mPreferredOwner;
};

/// The placer's view of the cell. Always replaced as a whole, so that a missed update has no
/// lasting effect.
struct cell_view
{
  incarnation_id mSelf;
  zone_name mZone;
  /// End of freshness: no task is started at or after this time.
  time_point mFreshUntil{};
  /// End of the isolation limit: no task lease is renewed at or after this time.
  time_point mRenewUntil{};
  /// Offset up to which stream control is applied.
  log_offset mControlOffset = 0;
  /// Highest offset that was applied at least one failover wait ago.
  log_offset mSettledOffset = 0;
  std::map<team_name, team_info> mTeams;
  /// Usable resources of the other members, from gossip.
  resources mTotalElsewhere;
  std::vector<target_info> mTargets;
  /// Members heard from recently, this daemon included.
  std::set<incarnation_id> mLive;
  /// Maps each dead or departed incarnation to its current successor, resolved transitively.
  std::map<incarnation_id, incarnation_id> mSuccessors;
  /// Maps each unresponsive member to the member that would succeed it. If an unresponsive member
  /// is missing here, the preferred owner of a target becomes its interim owner.
  std::map<incarnation_id, incarnation_id> mPresumedSuccessors;

  /// Returns the current successor of aIncarnation, or aIncarnation itself if it has none.
  const incarnation_id& resolve(const incarnation_id& aIncarnation) const
  {
    const auto found = mSuccessors.find(aIncarnation);
    return found == mSuccessors.end() ? aIncarnation : found->second;
  }
};

} // namespace endiveusher
