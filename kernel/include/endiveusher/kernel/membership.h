#pragma once

#include "endiveusher/kernel/cell_view.h"
#include "endiveusher/kernel/control_state.h"
#include "endiveusher/kernel/events.h"
#include "endiveusher/kernel/guards.h"
#include "endiveusher/kernel/placer.h"
#include "endiveusher/kernel/timing.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace endiveusher {

struct membership_options
{
  timing_options mTiming;
  incarnation_id mSelf;
  std::string mVm;
  zone_name mZone;
  /// `ip:port` of the own peer RPC listener.
  std::string mPeerAddress;
  /// Peers to contact before the VM list has been read, `ip:port`.
  std::vector<std::string> mSeeds;
  std::uint64_t mSeed = 1;
};

/// Reads and writes stream control, gossips, keeps freshness, and takes over dead members.
///
/// Usage: feed events with the handle functions, call tick(), drain takeEffects().
template<guard_policy Guards = all_guards>
class basic_membership
{
public:
  explicit basic_membership(membership_options aOptions);
  ~basic_membership();
  basic_membership(basic_membership&&) noexcept;
  basic_membership& operator=(basic_membership&&) noexcept;

  void handle(const control_read_event& aEvent, time_point aNow);
  /// True if aEvent answers an append made here.
  bool handle(const append_event& aEvent, time_point aNow);
  void handle(const vm_list_event& aEvent, time_point aNow);
  void handleGossip(const incarnation_id& aFrom, const gossip& aGossip, time_point aNow);
  void handleRecords(const records& aRecords, time_point aNow);
  void handleSliceRequest(const incarnation_id& aFrom, const slice_request& aRequest,
                          const limit_vector& aCharged, time_point aNow);
  /// aSummary goes into the next gossip; aShortages become slice requests.
  void tick(const placer_summary& aSummary, std::span<const slice_request> aShortages,
            time_point aNow);
  std::vector<effect> takeEffects();

  /// Whether this incarnation has read its own join record and has not been taken over.
  bool joined() const;
  /// Whether this incarnation was taken over; it must rejoin as a new one.
  bool ended() const;
  bool fresh(time_point aNow) const;
  time_point freshUntil() const;
  bool logReachable() const;
  const control_state& control() const;

  /// The view for the placer.
  cell_view view(time_point aNow) const;
  /// Members heard from recently, this daemon included.
  std::set<incarnation_id> live(time_point aNow) const;
  /// Latest gossip of a live member, or null.
  const gossip* lastGossip(const incarnation_id& aMember) const;
  /// Peer RPC address of a member, empty if unknown.
  std::string addressOf(const incarnation_id& aMember) const;

  /// An incarnation that this daemon succeeds.
  struct inherited
  {
    incarnation_id mDead;
    /// This daemon may act for it from this time on.
    time_point mActsFrom{};
    bool mProvedDead = false;
    bool mGraceful = false;
    log_offset mOffset = 0;
    /// Members at the time of the record; those that must answer for its delegated tasks.
    std::set<incarnation_id> mMembersThen;
  };
  const std::vector<inherited>& inheritedMembers() const;
  /// Tells that the sweep of aDead is complete: its slice may be used from now on.
  void markSwept(const incarnation_id& aDead);
  /// Targets that other live members own and have swept since aOffset.
  std::set<target_id> sweptElsewhere(log_offset aOffset, time_point aNow) const;

  /// Publishes configuration; the result comes by takePublished().
  void publish(std::uint64_t aCallId, const publish_call& aCall, time_point aNow);
  struct published
  {
    std::uint64_t mCallId = 0;
    answer mAnswer;
  };
  std::vector<published> takePublished();

  /// Appends the leave record; left() is true once it is stored, or the log is unreachable.
  void beginLeave(time_point aNow);
  bool left() const;
  /// The member that would succeed this daemon, empty if none.
  incarnation_id successor(time_point aNow) const;

  std::string dump(time_point aNow) const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

using membership = basic_membership<all_guards>;

} // namespace endiveusher
