#pragma once

#include "archive.h"
#include "codec_config.h"
#include "codec_job.h"
#include "endiveusher/kernel/messages/platform.h"
#include "endiveusher/protocol/json.h"

namespace endiveusher::protocol::internal {

template<>
struct enum_codec<vm_role>
{
  using wire = schema::VmRole;
  static constexpr auto kLast = vm_role::target;
};
template<>
struct codec<join_record>
{
  using wire = schema::JoinRecord;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mIncarnation, ENDIVEUSHER_FIELD(Incarnation));
    aArchive(aValue.mVm, ENDIVEUSHER_FIELD(Vm));
    aArchive(aValue.mZone, ENDIVEUSHER_FIELD(Zone));
    aArchive(aValue.mPeerAddress, ENDIVEUSHER_FIELD(PeerAddress));
  }
};
template<>
struct codec<leave_record>
{
  using wire = schema::LeaveRecord;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mIncarnation, ENDIVEUSHER_FIELD(Incarnation));
    aArchive(aValue.mSuccessor, ENDIVEUSHER_FIELD(Successor));
  }
};
template<>
struct codec<takeover_record>
{
  using wire = schema::TakeoverRecord;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mDead, ENDIVEUSHER_FIELD(Dead));
    aArchive(aValue.mSuccessor, ENDIVEUSHER_FIELD(Successor));
  }
};
template<>
struct codec<config_record>
{
  using wire = schema::ConfigRecord;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mOperationId, ENDIVEUSHER_FIELD(OperationId));
    aArchive.optionalNumber(aValue.mExpectedOffset, ENDIVEUSHER_FIELD(ExpectedOffset));
    aArchive(aValue.mChanges, ENDIVEUSHER_FIELD(Changes));
  }
};
template<>
struct codec<slice_transfer_record>
{
  using wire = schema::SliceTransferRecord;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mFrom, ENDIVEUSHER_FIELD(From));
    aArchive(aValue.mTo, ENDIVEUSHER_FIELD(To));
    aArchive(aValue.mTeam, ENDIVEUSHER_FIELD(Team));
    aArchive(aValue.mAmount, ENDIVEUSHER_FIELD(Amount));
  }
};
template<>
struct codec<snapshot_record>
{
  using wire = schema::SnapshotRecord;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mAsOf, ENDIVEUSHER_FIELD(AsOf));
    aArchive(aValue.mState, ENDIVEUSHER_FIELD(State));
  }
};
template<>
struct codec<control_record>
{
  using wire = schema::ControlRecord;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mId, ENDIVEUSHER_FIELD(Id));
    aArchive.alternatives(aValue.mBody, ENDIVEUSHER_FIELD(Join), ENDIVEUSHER_FIELD(Leave),
                          ENDIVEUSHER_FIELD(Takeover), ENDIVEUSHER_FIELD(Config),
                          ENDIVEUSHER_FIELD(SliceTransfer), ENDIVEUSHER_FIELD(Snapshot));
  }
};
template<>
struct codec<accept_record>
{
  using wire = schema::AcceptRecord;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mCoordinator, ENDIVEUSHER_FIELD(Home));
    aArchive(aValue.mJob, ENDIVEUSHER_FIELD(Job));
    aArchive(aValue.mBodyDigest, ENDIVEUSHER_FIELD(BodyDigest));
  }
};
template<>
struct codec<ended_record>
{
  using wire = schema::EndedRecord;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mRequest, ENDIVEUSHER_FIELD(Request));
    aArchive(aValue.mSucceeded, ENDIVEUSHER_FIELD(Succeeded));
    aArchive(aValue.mFailed, ENDIVEUSHER_FIELD(Failed));
    aArchive(aValue.mCancelled, ENDIVEUSHER_FIELD(Cancelled));
    aArchive(aValue.mUnknown, ENDIVEUSHER_FIELD(Unknown));
  }
};
template<>
struct codec<job_record>
{
  using wire = schema::JobRecord;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mId, ENDIVEUSHER_FIELD(Id));
    aArchive.alternatives(aValue.mBody, ENDIVEUSHER_FIELD(Accept), ENDIVEUSHER_FIELD(Ended));
  }
};
template<>
struct codec<stored_record<control_record>>
{
  using wire = schema::StoredControlRecord;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mOffset, ENDIVEUSHER_FIELD(Offset));
    aArchive(aValue.mRecord, ENDIVEUSHER_FIELD(Record));
  }
};
template<>
struct codec<append_request>
{
  using wire = schema::AppendRequest;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mAppendId, ENDIVEUSHER_FIELD(AppendId));
    aArchive(aValue.mRecords, ENDIVEUSHER_FIELD(Records));
  }
};
template<>
struct codec<append_response>
{
  using wire = schema::AppendResponse;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mOffset, ENDIVEUSHER_FIELD(Offset));
  }
};
template<>
struct codec<log_entry>
{
  using wire = schema::LogEntry;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mOffset, ENDIVEUSHER_FIELD(Offset));
    aArchive(aValue.mRecord, ENDIVEUSHER_FIELD(Record));
  }
};
template<>
struct codec<read_response>
{
  using wire = schema::ReadResponse;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mEntries, ENDIVEUSHER_FIELD(Entries));
    aArchive(aValue.mEnd, ENDIVEUSHER_FIELD(End));
    aArchive(aValue.mFirst, ENDIVEUSHER_FIELD(First));
  }
};
template<>
struct codec<vm_entry>
{
  using wire = schema::VmEntry;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mName, ENDIVEUSHER_FIELD(Name));
    aArchive(aValue.mZone, ENDIVEUSHER_FIELD(Zone));
    aArchive(aValue.mRole, ENDIVEUSHER_FIELD(Role));
    aArchive(aValue.mAddress, ENDIVEUSHER_FIELD(Address));
    aArchive(aValue.mLeaving, ENDIVEUSHER_FIELD(Leaving));
  }
};
template<>
struct codec<vm_list>
{
  using wire = schema::VmList;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mVms, ENDIVEUSHER_FIELD(Vms));
  }
};

} // namespace endiveusher::protocol::internal
