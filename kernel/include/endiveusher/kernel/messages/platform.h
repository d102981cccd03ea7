#pragma once

#include "endiveusher/kernel/config.h"
#include "endiveusher/kernel/job.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace endiveusher {

using log_offset = std::uint64_t;

/// Streams of the platform's log.
enum class log_stream
{
  control, ///< Configuration, membership, limit slices. Every daemon reads all of it.
  jobs,    ///< Accepted and ended jobs.
};

// Records of stream control. Each has an id; readers drop later records with the same id.

struct join_record
{
  incarnation_id mIncarnation;
  std::string mVm;
  zone_name mZone;
  /// `ip:port` of the peer RPC listener.
  std::string mPeerAddress;
};
/// Graceful leave; the work of the member fails over to the successor as with a takeover_record.
struct leave_record
{
  incarnation_id mIncarnation;
  incarnation_id mSuccessor;
};
/// Ends a failed member; its work fails over to the successor.
struct takeover_record
{
  incarnation_id mDead;
  incarnation_id mSuccessor;
};
struct config_record
{
  std::string mOperationId;
  /// If present, the changes are applied only if the last change of every affected entry is at this
  /// offset or below.
  std::optional<log_offset> mExpectedOffset;
  std::vector<config_change> mChanges;
};
/// Transfers part of a team's limit slice. The sender deducts it before it appends the record.
struct slice_transfer_record
{
  incarnation_id mFrom;
  incarnation_id mTo;
  team_name mTeam;
  limit_vector mAmount;
};
/// The whole control state below mAsOf; makes older records unnecessary. mState is the result of
/// control_state::encode().
struct snapshot_record
{
  log_offset mAsOf = 0;
  std::string mState;
};

struct control_record
{
  /// `<incarnation>/<number>`, unique.
  std::string mId;
  std::variant<join_record, leave_record, takeover_record, config_record, slice_transfer_record,
               snapshot_record>
    mBody;
};

// Records of stream jobs.

struct accept_record
{
  incarnation_id mCoordinator;
  job_spec mJob;
  /// Digest of the submitted job; distinguishes a retry from another request with the same id.
  std::uint64_t mBodyDigest = 0;
};
struct ended_record
{
  request_id mRequest;
  std::uint32_t mSucceeded = 0;
  std::uint32_t mFailed = 0;
  std::uint32_t mCancelled = 0;
  std::uint32_t mUnknown = 0;
};

struct job_record
{
  std::string mId;
  std::variant<accept_record, ended_record> mBody;
};

template<typename Record>
struct stored_record
{
  log_offset mOffset = 0;
  Record mRecord;
};

struct control_page
{
  std::vector<stored_record<control_record>> mRecords;
  /// Offset after the last record of the stream at the time of the read.
  log_offset mEnd = 0;
  /// Lowest retained offset.
  log_offset mFirst = 0;
};

struct jobs_page
{
  std::vector<stored_record<job_record>> mRecords;
  log_offset mEnd = 0;
  log_offset mFirst = 0;
};

enum class vm_role
{
  entry,
  target,
};

struct vm_entry
{
  std::string mName;
  zone_name mZone;
  vm_role mRole = vm_role::target;
  /// `ip:port`: the peer RPC listener of an entry VM, the HTTP listener of a target.
  std::string mAddress;
  bool mLeaving = false;
};

/// VM list of the platform. May be out of date.
struct vm_list
{
  std::vector<vm_entry> mVms;
};

} // namespace endiveusher
