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

/// An incarnation that has ended, by takeover or by leave.
struct succession
{
  incarnation_id mDead;
  zone_name mZone;
  std::string mVm;
  incarnation_id mSuccessor;
  /// Offset of the record.
  log_offset mOffset = 0;
  bool mGraceful = false;
  /// Slices that moved to the successor by this record.
  std::map<team_name, limit_vector> mSlices;
};

/// State of stream control: a pure function of its records in offset order.
/// Configuration, members, successions and limit slices are the same at every daemon that has
/// applied the same offset.
class control_state
{
public:
  /// Applies a record if its offset is the next one; ignores records below; returns false if
  /// records are missing in between.
  bool apply(const stored_record<control_record>& aRecord);

  /// Offset after the last record applied.
  log_offset next() const { return mNext; }

  const std::map<incarnation_id, member>& members() const { return mMembers; }
  const std::map<incarnation_id, succession>& successions() const { return mSuccessions; }
  bool isMember(const incarnation_id& aIncarnation) const;
  /// Whether aIncarnation has ever ended.
  bool hasEnded(const incarnation_id& aIncarnation) const;
  /// The incarnation that now answers for aIncarnation, through all successions.
  incarnation_id resolve(const incarnation_id& aIncarnation) const;

  const std::map<team_name, team_view>& teams() const { return mTeams; }
  /// Team of a key digest; absent if never granted or withdrawn.
  std::optional<team_name> teamOfKey(const std::string& aDigest) const;
  zone_state zoneState(const zone_name& aZone) const;
  const std::map<zone_name, zone_view>& zones() const { return mZones; }
  config_view config() const;
  /// Offset at which the operation was decided, and whether it was applied (false: the expected
  /// offset did not match). Absent if not seen.
  struct operation_result
  {
    log_offset mOffset = 0;
    bool mApplied = false;
  };
  std::optional<operation_result> operation(const std::string& aOperationId) const;

  /// Slice of aTeam's upper limit that aIncarnation holds.
  limit_vector slice(const incarnation_id& aIncarnation, const team_name& aTeam) const;

  /// Snapshot of the whole state, JSON.
  std::string encode() const;
  /// Replaces the state if the snapshot can be read and is newer; true if replaced.
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
  /// Ids of the latest records, oldest first; a second record with one of them is dropped.
  std::deque<std::string> mRecentIds;
};

} // namespace endiveusher
