#pragma once

#include "archive.h"
#include "codec_answer.h"
#include "codec_call.h"
#include "codec_platform.h"
#include "endiveusher/kernel/messages/peer.h"

namespace endiveusher::protocol::internal {

template<>
struct enum_codec<placed_state>
{
  using wire = schema::PlacedState;
  static constexpr auto kLast = placed_state::unknown;
};
template<>
struct codec<team_usage>
{
  using wire = schema::TeamUsage;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTeam, ENDIVEUSHER_FIELD(Team));
    aArchive(aValue.mUsed, ENDIVEUSHER_FIELD(Used));
    aArchive(aValue.mWaiting, ENDIVEUSHER_FIELD(Waiting));
    aArchive(aValue.mUnusedSlice, ENDIVEUSHER_FIELD(UnusedSlice));
  }
};
template<>
struct codec<gossip>
{
  using wire = schema::Gossip;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mVm, ENDIVEUSHER_FIELD(Vm));
    aArchive(aValue.mZone, ENDIVEUSHER_FIELD(Zone));
    aArchive(aValue.mPeerAddress, ENDIVEUSHER_FIELD(PeerAddress));
    aArchive(aValue.mProbe, ENDIVEUSHER_FIELD(Probe));
    aArchive(aValue.mEchoedProbe, ENDIVEUSHER_FIELD(EchoedProbe));
    aArchive(aValue.mControlOffset, ENDIVEUSHER_FIELD(ControlOffset));
    aArchive(aValue.mFreshFor, ENDIVEUSHER_FIELD(FreshForMs));
    aArchive(aValue.mLogReachable, ENDIVEUSHER_FIELD(LogReachable));
    aArchive(aValue.mFree, ENDIVEUSHER_FIELD(Free));
    aArchive(aValue.mTotal, ENDIVEUSHER_FIELD(Total));
    aArchive(aValue.mLargestFree, ENDIVEUSHER_FIELD(LargestRoom));
    aArchive(aValue.mTeams, ENDIVEUSHER_FIELD(Teams));
    aArchive(aValue.mOwnedTargets, ENDIVEUSHER_FIELD(OwnedTargets));
    aArchive(aValue.mReconciledOffset, ENDIVEUSHER_FIELD(SweptOffset));
    aArchive(aValue.mLeaving, ENDIVEUSHER_FIELD(Leaving));
  }
};
template<>
struct codec<delegate>
{
  using wire = schema::Delegate;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTasks, ENDIVEUSHER_FIELD(Tasks));
    aArchive(aValue.mStartWithin, ENDIVEUSHER_FIELD(StartWithinMs));
    aArchive(aValue.mSequence, ENDIVEUSHER_FIELD(Sequence));
  }
};
template<>
struct codec<placed_task>
{
  using wire = schema::PlacedTask;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mKey, ENDIVEUSHER_FIELD(Key));
    aArchive(aValue.mAttempt, ENDIVEUSHER_FIELD(Attempt));
    aArchive(aValue.mState, ENDIVEUSHER_FIELD(State));
    aArchive(aValue.mTarget, ENDIVEUSHER_FIELD(Target));
    aArchive(aValue.mOutcome, ENDIVEUSHER_FIELD(Outcome));
    aArchive(aValue.mExitCode, ENDIVEUSHER_FIELD(ExitCode));
    aArchive(aValue.mOutput, ENDIVEUSHER_FIELD(Output));
    aArchive(aValue.mCheckpoint, ENDIVEUSHER_FIELD(Checkpoint));
  }
};
template<>
struct codec<task_report>
{
  using wire = schema::TaskReport;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mCoordinator, ENDIVEUSHER_FIELD(Home));
    aArchive(aValue.mSequence, ENDIVEUSHER_FIELD(Sequence));
    aArchive(aValue.mControlOffset, ENDIVEUSHER_FIELD(ControlOffset));
    aArchive(aValue.mTasks, ENDIVEUSHER_FIELD(Tasks));
  }
};
template<>
struct codec<report_ack>
{
  using wire = schema::ReportAck;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTasks, ENDIVEUSHER_FIELD(Tasks));
    aArchive(aValue.mClosedBefore, ENDIVEUSHER_FIELD(ClosedBefore));
  }
};
template<>
struct codec<recall>
{
  using wire = schema::Recall;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTasks, ENDIVEUSHER_FIELD(Tasks));
    aArchive(aValue.mStop, ENDIVEUSHER_FIELD(Stop));
  }
};
template<>
struct codec<reserve>
{
  using wire = schema::Reserve;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mReservation, ENDIVEUSHER_FIELD(Reservation));
    aArchive(aValue.mTasks, ENDIVEUSHER_FIELD(Tasks));
    aArchive(aValue.mWaited, ENDIVEUSHER_FIELD(WaitedMs));
  }
};
template<>
struct codec<reserve_answer>
{
  using wire = schema::ReserveAnswer;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mReservation, ENDIVEUSHER_FIELD(Reservation));
    aArchive(aValue.mRequest, ENDIVEUSHER_FIELD(Request));
    aArchive(aValue.mReserved, ENDIVEUSHER_FIELD(Reserved));
  }
};
template<>
struct codec<commit>
{
  using wire = schema::Commit;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mReservation, ENDIVEUSHER_FIELD(Reservation));
    aArchive(aValue.mRequest, ENDIVEUSHER_FIELD(Request));
  }
};
template<>
struct codec<release>
{
  using wire = schema::Release;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mReservation, ENDIVEUSHER_FIELD(Reservation));
    aArchive(aValue.mRequest, ENDIVEUSHER_FIELD(Request));
  }
};
template<>
struct codec<job_copy>
{
  using wire = schema::JobCopy;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mAccept, ENDIVEUSHER_FIELD(Accept));
    aArchive(aValue.mEnded, ENDIVEUSHER_FIELD(Ended));
  }
};
template<>
struct codec<job_copy_ack>
{
  using wire = schema::JobCopyAck;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mRequest, ENDIVEUSHER_FIELD(Request));
  }
};
template<>
struct codec<forward_call>
{
  using wire = schema::ForwardCall;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mCallId, ENDIVEUSHER_FIELD(CallId));
    aArchive(aValue.mCall, ENDIVEUSHER_FIELD(Call));
  }
};
template<>
struct codec<forward_answer>
{
  using wire = schema::ForwardAnswer;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mCallId, ENDIVEUSHER_FIELD(CallId));
    aArchive(aValue.mAnswer, ENDIVEUSHER_FIELD(Answer));
  }
};
template<>
struct codec<slice_request>
{
  using wire = schema::SliceRequest;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTeam, ENDIVEUSHER_FIELD(Team));
    aArchive(aValue.mWanted, ENDIVEUSHER_FIELD(Wanted));
    aArchive(aValue.mWaited, ENDIVEUSHER_FIELD(WaitedMs));
  }
};
template<>
struct codec<records>
{
  using wire = schema::Records;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mFrom, ENDIVEUSHER_FIELD(From));
    aArchive(aValue.mRecords, ENDIVEUSHER_FIELD(Records));
    aArchive(aValue.mEnd, ENDIVEUSHER_FIELD(End));
  }
};
template<>
struct codec<peer_message>
{
  using wire = schema::PeerMessage;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mFrom, ENDIVEUSHER_FIELD(From));
    aArchive(aValue.mTo, ENDIVEUSHER_FIELD(To));
    aArchive.alternatives(
      aValue.mBody, ENDIVEUSHER_FIELD(Gossip), ENDIVEUSHER_FIELD(Delegate),
      ENDIVEUSHER_FIELD(TaskReport), ENDIVEUSHER_FIELD(ReportAck), ENDIVEUSHER_FIELD(Recall),
      ENDIVEUSHER_FIELD(Reserve), ENDIVEUSHER_FIELD(ReserveAnswer), ENDIVEUSHER_FIELD(Commit),
      ENDIVEUSHER_FIELD(Release), ENDIVEUSHER_FIELD(JobCopy), ENDIVEUSHER_FIELD(JobCopyAck),
      ENDIVEUSHER_FIELD(ForwardCall), ENDIVEUSHER_FIELD(ForwardAnswer),
      ENDIVEUSHER_FIELD(SliceRequest), ENDIVEUSHER_FIELD(Records));
  }
};

} // namespace endiveusher::protocol::internal
