#pragma once

#include "endiveusher/kernel/control_state.h"
#include "endiveusher/kernel/events.h"
#include "endiveusher/kernel/timing.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace endiveusher::internal {

/// Latest gossip of one peer and the state of the probes exchanged with it.
struct peer_entry
{
  gossip mLast;
  time_point mHeardAt{};
  /// Time at which this daemon first read the peer's join record.
  time_point mMemberSince{};
  /// Sending time of this daemon's probe that the peer answered last; absent if none was answered.
  std::optional<time_point> mAnsweredProbeAt;
  /// Number of the peer's latest probe, echoed in the next message to it.
  std::uint64_t mProbeToEcho = 0;
  /// Numbers and sending times of this daemon's probes, oldest first.
  std::deque<std::pair<std::uint64_t, time_point>> mProbes;
  time_point mNextProbeAt{};
  time_point mNextRecordsAt{};
  /// Index of the first team in the next gossip; teams are sent in rotation.
  std::size_t mTeamCursor = 0;
};

/// Gossip state of all peers, members or not.
class peer_table
{
public:
  std::map<incarnation_id, peer_entry>& entries() { return mEntries; }
  const std::map<incarnation_id, peer_entry>& entries() const { return mEntries; }

  const peer_entry* find(const incarnation_id& aPeer) const
  {
    const auto found = mEntries.find(aPeer);
    return found == mEntries.end() ? nullptr : &found->second;
  }

  /// Merges a gossip message; teams that it does not name keep their previous numbers.
  void merge(const incarnation_id& aFrom, const gossip& aGossip, time_point aNow)
  {
    peer_entry& entry = mEntries[aFrom];
    std::vector<team_usage> teams = std::move(entry.mLast.mTeams);
    std::vector<target_id> owned = std::move(entry.mLast.mOwnedTargets);
    const log_offset reconciled = entry.mLast.mReconciledOffset;
    if (aGossip.mProbe < entry.mProbeToEcho) {
      // Reordered message, older than the known state.
      entry.mLast.mTeams = std::move(teams);
      entry.mLast.mOwnedTargets = std::move(owned);
      return;
    }
    entry.mLast = aGossip;
    if (aGossip.mReconciledOffset == 0) {
      entry.mLast.mOwnedTargets = std::move(owned);
      entry.mLast.mReconciledOffset = reconciled;
    }
    for (const team_usage& usage : aGossip.mTeams) {
      std::erase_if(teams, [&](const team_usage& aOld) { return aOld.mTeam == usage.mTeam; });
    }
    entry.mLast.mTeams.insert(entry.mLast.mTeams.end(), teams.begin(), teams.end());
    entry.mHeardAt = aNow;
    entry.mProbeToEcho = aGossip.mProbe;
    while (!entry.mProbes.empty() && entry.mProbes.front().first < aGossip.mEchoedProbe) {
      entry.mProbes.pop_front();
    }
    if (!entry.mProbes.empty() && entry.mProbes.front().first == aGossip.mEchoedProbe) {
      entry.mAnsweredProbeAt = entry.mProbes.front().second;
    }
  }

  /// Registers a probe sent to aPeer at aNow; returns its number.
  std::uint64_t startProbe(const incarnation_id& aPeer, time_point aNow)
  {
    peer_entry& entry = mEntries[aPeer];
    entry.mProbes.emplace_back(++mLastProbe, aNow);
    if (entry.mProbes.size() > kProbesKept) {
      entry.mProbes.pop_front();
    }
    return mLastProbe;
  }

  bool heardWithin(const incarnation_id& aPeer, duration aPeriod, time_point aNow) const
  {
    const peer_entry* entry = find(aPeer);
    return entry != nullptr && entry->mHeardAt != time_point{} && aNow - entry->mHeardAt < aPeriod;
  }

  /// Removes peers that are not members and have sent nothing for kUnknownPeerRetention.
  void expire(const control_state& aControl, time_point aNow)
  {
    std::erase_if(mEntries, [&](const auto& aEntry) {
      return !aControl.isMember(aEntry.first) &&
             aNow - aEntry.second.mHeardAt > kUnknownPeerRetention;
    });
  }

private:
  static constexpr std::size_t kProbesKept = 32;
  static constexpr duration kUnknownPeerRetention = std::chrono::seconds(30);

  std::map<incarnation_id, peer_entry> mEntries;
  std::uint64_t mLastProbe = 0;
};

} // namespace endiveusher::internal
