#pragma once

#include "archive.h"
#include "endiveusher/kernel/config.h"

namespace endiveusher::protocol::internal {

template<>
struct enum_codec<zone_state>
{
  using wire = schema::ZoneState;
  static constexpr auto kLast = zone_state::out;
};
template<>
struct codec<limit_vector>
{
  using wire = schema::Limit;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTasks, ENDIVEUSHER_FIELD(Tasks));
    aArchive(aValue.mCpuMilli, ENDIVEUSHER_FIELD(CpuMilli));
    aArchive(aValue.mMemoryMb, ENDIVEUSHER_FIELD(MemoryMb));
    aArchive(aValue.mAccelerators, ENDIVEUSHER_FIELD(Accelerators));
  }
};
template<>
struct codec<set_team>
{
  using wire = schema::SetTeam;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTeam, ENDIVEUSHER_FIELD(Team));
    aArchive(aValue.mShare, ENDIVEUSHER_FIELD(Share));
    aArchive(aValue.mLimit, ENDIVEUSHER_FIELD(Limit));
    aArchive(aValue.mOpen, ENDIVEUSHER_FIELD(Open));
  }
};
template<>
struct codec<remove_team>
{
  using wire = schema::RemoveTeam;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTeam, ENDIVEUSHER_FIELD(Team));
  }
};
template<>
struct codec<grant_key>
{
  using wire = schema::GrantKey;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mTeam, ENDIVEUSHER_FIELD(Team));
    aArchive(aValue.mKeyDigest, ENDIVEUSHER_FIELD(KeyDigest));
  }
};
template<>
struct codec<withdraw_key>
{
  using wire = schema::WithdrawKey;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mKeyDigest, ENDIVEUSHER_FIELD(KeyDigest));
  }
};
template<>
struct codec<set_zone_state>
{
  using wire = schema::SetZoneState;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mZone, ENDIVEUSHER_FIELD(Zone));
    aArchive(aValue.mState, ENDIVEUSHER_FIELD(State));
  }
};
template<>
struct codec<config_change>
{
  using wire = schema::ConfigChange;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive.alternatives(aValue, ENDIVEUSHER_FIELD(SetTeam), ENDIVEUSHER_FIELD(RemoveTeam),
                          ENDIVEUSHER_FIELD(GrantKey), ENDIVEUSHER_FIELD(WithdrawKey),
                          ENDIVEUSHER_FIELD(SetZoneState));
  }
};

} // namespace endiveusher::protocol::internal
