#pragma once

#include "endiveusher/kernel/messages/call.h"
#include "endiveusher/kernel/messages/platform.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveusher {

struct member
{
  incarnation_id mIncarnation;
  std::string mVm;
  zone_name mZone;
  std::string mPeerAddress;
  log_offset mJoinedAt = 0;
};

/// An ended incarnation, after a failover or a leave.
struct succession
{
  incarnation_id mDead;
  zone_name mZone;
  std::string mVm;
  incarnation_id mSuccessor;
  /// Offset of the record that ended it.
  log_offset mOffset = 0;
  bool mGraceful = false;
  /// Slices that moved to the successor by this record.
  std::map<team_name, limit_vector> mSlices;
};

/// State of stream control, a pure function of its records in offset order: configuration, members,
/// successions and limit slices. It is the same at every daemon that has applied the same offset.
class control_state
{
public:
  /// Applies a record if its offset is next(), and ignores records below it. Returns false if the
  /// offset is above next(), which means that records are missing.
  bool apply(const stored_record<control_record>& aRecord);

  /// Offset after the last applied record.
  log_offset next() const { return mNext; }

  const std::map<incarnation_id, member>& members() const { return mMembers; }
  const std::map<incarnation_id, succession>& successions() const { return mSuccessions; }
  bool isMember(const incarnation_id& aIncarnation) const;
  /// Whether aIncarnation was a member and has ended.
  bool hasEnded(const incarnation_id& aIncarnation) const;
  /// Returns the current successor of aIncarnation, followed through all successions; aIncarnation
  /// itself if it has not ended.
  incarnation_id resolve(const incarnation_id& aIncarnation) const;

  const std::map<team_name, team_view>& teams() const { return mTeams; }
  /// Team of a key digest; absent if the key was never granted or is withdrawn.
  std::optional<team_name> teamOfKey(const std::string& aDigest) const;
  zone_state zoneState(const zone_name& aZone) const;
  const std::map<zone_name, zone_view>& zones() const { return mZones; }
  config_view config() const;
  struct operation_result
  {
    /// Offset at which the operation was decided.
    log_offset mOffset = 0;
    /// Whether it was applied; false if the expected offset did not match.
    bool mApplied = false;
  };
  /// Result of a publish operation; absent if the operation is not known.
  std::optional<operation_result> operation(const std::string& aOperationId) const;

  /// Slice of aTeam's upper limit that aIncarnation holds.
  limit_vector slice(const incarnation_id& aIncarnation, const team_name& aTeam) const;

  /// Returns a snapshot of the whole state, JSON.
  std::string encode() const;
  /// Replaces the state if the snapshot is valid and newer. Returns whether it was replaced.
  bool restore(const std::string& aState);

private:
  void applyBody(const join_record& aRecord, log_offset aOffset);
  void applyBody(const leave_record& aRecord, log_offset aOffset);
  void applyBody(const takeover_record& aRecord, log_offset aOffset);
  void applyBody(const config_record& aRecord, log_offset aOffset);
  void applyBody(const slice_transfer_record& aRecord, log_offset aOffset);
  void applyBody(const snapshot_record& aRecord, log_offset aOffset);
  void applyChange(const set_team& aChange, log_offset aOffset);
  void applyChange(const remove_team& aChange, log_offset aOffset);
  void applyChange(const grant_key& aChange, log_offset aOffset);
  void applyChange(const withdraw_key& aChange, log_offset aOffset);
  void applyChange(const set_zone_state& aChange, log_offset aOffset);
  log_offset lastChange(const config_change& aChange) const;
  void endMember(const incarnation_id& aDead, const incarnation_id& aSuccessor, log_offset aOffset,
                 bool aGraceful);
  void divideLimit(const team_name& aTeam, const limit_vector& aOld, const limit_vector& aNew);

  log_offset mNext = 0;
  std::map<incarnation_id, member> mMembers;
  std::map<incarnation_id, succession> mSuccessions;
  std::map<team_name, team_view> mTeams;
  std::map<std::string, team_name> mKeys;
  std::map<std::string, log_offset> mKeyOffsets;
  std::map<zone_name, zone_view> mZones;
  std::map<team_name, std::map<incarnation_id, limit_vector>> mSlices;
  std::map<std::string, operation_result> mOperations;
  /// Ids of the latest records, oldest first; later records with one of these ids are dropped.
  std::deque<std::string> mRecentIds;
};

} // namespace endiveusher
