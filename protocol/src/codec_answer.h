#pragma once

#include "archive.h"
#include "codec_config.h"
#include "codec_job.h"
#include "endiveusher/kernel/messages/call.h"

namespace endiveusher::protocol::internal {

template<>
struct enum_codec<answer_class>
{
  using wire = schema::AnswerClass;
  static constexpr auto kLast = answer_class::unknown;
};
template<>
struct enum_codec<durability>
{
  using wire = schema::Durability;
  static constexpr auto kLast = durability::log;
};
template<>
struct codec<call_error>
{
  using wire = schema::CallError;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mStatus, ENDIVEUSHER_FIELD(Status));
    aArchive(aValue.mCode, ENDIVEUSHER_FIELD(Code));
    aArchive(aValue.mMessage, ENDIVEUSHER_FIELD(Message));
    aArchive(aValue.mStep, ENDIVEUSHER_FIELD(Step));
    aArchive(aValue.mPeer, ENDIVEUSHER_FIELD(Peer));
  }
};
template<>
struct codec<tickets_result>
{
  using wire = schema::TicketsResult;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTickets, ENDIVEUSHER_FIELD(Tickets));
  }
};
template<>
struct codec<task_status>
{
  using wire = schema::TaskStatus;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mIndex, ENDIVEUSHER_FIELD(Index));
    aArchive(aValue.mState, ENDIVEUSHER_FIELD(State));
    aArchive(aValue.mAttempt, ENDIVEUSHER_FIELD(Attempt));
    aArchive(aValue.mTarget, ENDIVEUSHER_FIELD(Target));
    aArchive(aValue.mExitCode, ENDIVEUSHER_FIELD(ExitCode));
    aArchive(aValue.mOutput, ENDIVEUSHER_FIELD(Output));
  }
};
template<>
struct codec<job_status>
{
  using wire = schema::JobStatus;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mRequest, ENDIVEUSHER_FIELD(Request));
    aArchive(aValue.mTeam, ENDIVEUSHER_FIELD(Team));
    aArchive(aValue.mKind, ENDIVEUSHER_FIELD(Kind));
    aArchive(aValue.mDurability, ENDIVEUSHER_FIELD(Durability));
    aArchive(aValue.mEnded, ENDIVEUSHER_FIELD(Ended));
    aArchive(aValue.mTasks, ENDIVEUSHER_FIELD(Tasks));
    aArchive(aValue.mTaskCount, ENDIVEUSHER_FIELD(TaskCount));
  }
};
template<>
struct codec<publish_result>
{
  using wire = schema::PublishResult;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mOffset, ENDIVEUSHER_FIELD(Offset));
    aArchive(aValue.mInForceEverywhere, ENDIVEUSHER_FIELD(InForceEverywhere));
  }
};
template<>
struct codec<team_view>
{
  using wire = schema::TeamView;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTeam, ENDIVEUSHER_FIELD(Team));
    aArchive(aValue.mKeyDigests, ENDIVEUSHER_FIELD(KeyDigests));
    aArchive(aValue.mOffset, ENDIVEUSHER_FIELD(Offset));
  }
};
template<>
struct codec<zone_view>
{
  using wire = schema::ZoneView;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mZone, ENDIVEUSHER_FIELD(Zone));
    aArchive(aValue.mOffset, ENDIVEUSHER_FIELD(Offset));
  }
};
template<>
struct codec<config_view>
{
  using wire = schema::ConfigView;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mOffset, ENDIVEUSHER_FIELD(Offset));
    aArchive(aValue.mTeams, ENDIVEUSHER_FIELD(Teams));
    aArchive(aValue.mZones, ENDIVEUSHER_FIELD(Zones));
  }
};
template<>
struct codec<dump_result>
{
  using wire = schema::DumpResult;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mJson, ENDIVEUSHER_FIELD(Json));
  }
};
template<>
struct codec<answer>
{
  using wire = schema::Answer;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mClass, ENDIVEUSHER_FIELD(Class));
    aArchive.alternatives(aValue.mBody, ENDIVEUSHER_FIELD(Error), ENDIVEUSHER_FIELD(Tickets),
                          ENDIVEUSHER_FIELD(Job), ENDIVEUSHER_FIELD(Published),
                          ENDIVEUSHER_FIELD(Config), ENDIVEUSHER_FIELD(Dump));
  }
};

} // namespace endiveusher::protocol::internal
