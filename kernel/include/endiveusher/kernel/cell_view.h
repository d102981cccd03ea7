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

/// What the placer needs to know of one team.
struct team_terms
{
  /// Weight of the team's share, above zero.
  double mShare = 1.0;
  /// This daemon's slice of the team's upper limit.
  limit_vector mSlice;
  /// Use by the other members, from gossip.
  resources mUsedElsewhere;
};

/// One target of this daemon's zone, or of a zone that it serves in place of its last member.
struct target_terms
{
  target_id mTarget;
  zone_name mZone;
  /// `ip:port` of the target's HTTP listener.
  std::string mAddress;
  /// The VM list shows it as leaving, or its zone is out.
  bool mLeaving = false;
  /// Member that the rendezvous hash names for it.
  incarnation_id mPreferredOwner;
};

/// The placer's view of the cell. Replaced as a whole, so that a missed update does no harm.
struct cell_view
{
  incarnation_id mSelf;
  zone_name mZone;
  /// Nothing starts at or after this time (see freshness).
  time_point mFreshUntil{};
  /// Task leases are not renewed at or after this time (isolation limit).
  time_point mRenewUntil{};
  /// Offset up to which stream control is applied.
  log_offset mControlOffset = 0;
  /// Highest offset applied at least the takeover wait ago.
  log_offset mSettledOffset = 0;
  std::map<team_name, team_terms> mTeams;
  /// Usable resources of the other members, from gossip.
  resources mTotalElsewhere;
  std::vector<target_terms> mTargets;
  /// Members heard from recently, this daemon included.
  std::set<incarnation_id> mLive;
  /// Dead or left incarnation to its present successor, transitively resolved.
  std::map<incarnation_id, incarnation_id> mSuccessors;
  /// Member that is not heard from to the one that would succeed it. If a silent member is missing
  /// here, the preferred owner of a target becomes its interim owner.
  std::map<incarnation_id, incarnation_id> mPresumedSuccessors;

  /// The incarnation that now answers for aIncarnation.
  const incarnation_id& resolve(const incarnation_id& aIncarnation) const
  {
    const auto found = mSuccessors.find(aIncarnation);
    return found == mSuccessors.end() ? aIncarnation : found->second;
  }
};

} // namespace endiveusher
