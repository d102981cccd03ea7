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
  /// `ip:port` of this daemon's peer RPC listener.
  std::string mPeerAddress;
  /// Peers to contact before the VM list has been read, `ip:port`.
  std::vector<std::string> mSeeds;
  std::uint64_t mSeed = 1;
};

/// Reads and appends to stream control, exchanges gossip, maintains freshness, and becomes the
/// successor of failed members.
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
  /// Returns whether aEvent answers an append to stream control.
  bool handle(const append_event& aEvent, time_point aNow);
  void handle(const vm_list_event& aEvent, time_point aNow);
  void handleGossip(const incarnation_id& aFrom, const gossip& aGossip, time_point aNow);
  void handleRecords(const records& aRecords, time_point aNow);
  void handleSliceRequest(const incarnation_id& aFrom, const slice_request& aRequest,
                          const limit_vector& aCharged, time_point aNow);
  /// Handles deadlines that have passed. aSummary is sent with the next gossip; aShortages are sent
  /// as slice requests.
  void tick(const placer_summary& aSummary, std::span<const slice_request> aShortages,
            time_point aNow);
  std::vector<effect> takeEffects();

  /// Whether this incarnation has read its own join record and has not been ended.
  bool joined() const;
  /// Whether this incarnation has ended, by a failover or a leave; after a failover it must rejoin
  /// as a new one.
  bool ended() const;
  bool fresh(time_point aNow) const;
  time_point freshUntil() const;
  bool logReachable() const;
  const control_state& control() const;

  /// Returns the view for the placer.
  cell_view view(time_point aNow) const;
  /// Members from which gossip arrived within the peer timeout, including this daemon.
  std::set<incarnation_id> live(time_point aNow) const;
  /// Latest gossip of a member; null if none has arrived.
  const gossip* lastGossip(const incarnation_id& aMember) const;
  /// Peer RPC address of a member; empty if unknown.
  std::string addressOf(const incarnation_id& aMember) const;

  /// An ended incarnation whose work failed over to this daemon.
  struct failed_over_member
  {
    incarnation_id mDead;
    /// Earliest time at which this daemon may act as its successor.
    time_point mEffectiveFrom{};
    /// Whether its process is confirmed gone.
    bool mConfirmedDead = false;
    bool mGraceful = false;
    /// Offset of the record that ended it.
    log_offset mOffset = 0;
    /// Members at the time of that record; all must report its delegated tasks.
    std::set<incarnation_id> mMembersAtFailover;
  };
  const std::vector<failed_over_member>& failedOverMembers() const;
  /// Marks the targets of aDead as reconciled; its slice may be used from now on.
  void markReconciled(const incarnation_id& aDead);
  /// Targets that other live members own and have reconciled at an offset above aOffset.
  std::set<target_id> reconciledElsewhere(log_offset aOffset, time_point aNow) const;

  /// Publishes a configuration change; its answer is returned by takePublished().
  void publish(std::uint64_t aCallId, const publish_call& aCall, time_point aNow);
  struct published
  {
    std::uint64_t mCallId = 0;
    answer mAnswer;
  };
  std::vector<published> takePublished();

  /// Appends the leave record. left() returns true once the record has been read back, the log is
  /// unreachable or the wait limit has passed.
  void beginLeave(time_point aNow);
  bool left() const;
  /// Returns the member that would succeed this daemon; empty if none.
  incarnation_id successor(time_point aNow) const;

  std::string dump(time_point aNow) const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

using membership = basic_membership<all_guards>;

} // namespace endiveusher
