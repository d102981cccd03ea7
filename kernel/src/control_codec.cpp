#include "endiveusher/kernel/control_state.h"

#include <nlohmann/json.hpp>

#include <ranges>
#include <utility>

// JSON form of control_state snapshots. The keys are short because a snapshot of 320 teams is the
// largest record of stream control.

namespace endiveusher {

static void to_json(nlohmann::json& aJson, const limit_vector& aLimit)
{
  aJson = { aLimit.mTasks, aLimit.mCpuMilli, aLimit.mMemoryMb, aLimit.mAccelerators };
}
static void from_json(const nlohmann::json& aJson, limit_vector& aLimit)
{
  aLimit = { .mTasks = aJson.at(0),
             .mCpuMilli = aJson.at(1),
             .mMemoryMb = aJson.at(2),
             .mAccelerators = aJson.at(3) };
}

static void to_json(nlohmann::json& aJson, const member& aMember)
{
  aJson = { { "i", aMember.mIncarnation },
            { "v", aMember.mVm },
            { "z", aMember.mZone },
            { "a", aMember.mPeerAddress },
            { "o", aMember.mJoinedAt } };
}
static void from_json(const nlohmann::json& aJson, member& aMember)
{
  aMember = { .mIncarnation = aJson.at("i"),
              .mVm = aJson.at("v"),
              .mZone = aJson.at("z"),
              .mPeerAddress = aJson.at("a"),
              .mJoinedAt = aJson.at("o") };
}

static void to_json(nlohmann::json& aJson, const succession& aEntry)
{
  aJson = { { "d", aEntry.mDead },      { "z", aEntry.mZone },   { "v", aEntry.mVm },
            { "s", aEntry.mSuccessor }, { "o", aEntry.mOffset }, { "g", aEntry.mGraceful },
            { "l", aEntry.mSlices } };
}
static void from_json(const nlohmann::json& aJson, succession& aEntry)
{
  aEntry = { .mDead = aJson.at("d"),
             .mZone = aJson.at("z"),
             .mVm = aJson.at("v"),
             .mSuccessor = aJson.at("s"),
             .mOffset = aJson.at("o"),
             .mGraceful = aJson.at("g"),
             .mSlices = aJson.at("l").get<std::map<team_name, limit_vector>>() };
}

static void to_json(nlohmann::json& aJson, const team_view& aView)
{
  aJson = { { "t", aView.mTeam.mTeam },
            { "s", aView.mTeam.mShare },
            { "l", aView.mTeam.mLimit },
            { "p", aView.mTeam.mOpen },
            { "o", aView.mOffset } };
}
static void from_json(const nlohmann::json& aJson, team_view& aView)
{
  aView = { .mTeam = { .mTeam = aJson.at("t"),
                       .mShare = aJson.at("s"),
                       .mLimit = aJson.at("l"),
                       .mOpen = aJson.at("p") },
            .mKeyDigests = {},
            .mOffset = aJson.at("o") };
}

static void to_json(nlohmann::json& aJson, const zone_view& aView)
{
  aJson = { { "z", aView.mZone.mZone },
            { "out", aView.mZone.mState == zone_state::out },
            { "o", aView.mOffset } };
}
static void from_json(const nlohmann::json& aJson, zone_view& aView)
{
  aView = { .mZone = { .mZone = aJson.at("z"),
                       .mState = aJson.at("out").get<bool>() ? zone_state::out : zone_state::in },
            .mOffset = aJson.at("o") };
}

std::string control_state::encode() const
{
  nlohmann::json operations = nlohmann::json::object();
  for (const auto& [id, result] : mOperations) {
    operations[id] = { result.mOffset, result.mApplied };
  }
  const nlohmann::json json{
    { "next", mNext },       { "members", mMembers }, { "successions", mSuccessions },
    { "teams", mTeams },     { "keys", mKeys },       { "key_offsets", mKeyOffsets },
    { "zones", mZones },     { "slices", mSlices },   { "operations", operations },
    { "recent", mRecentIds }
  };
  return json.dump();
}

bool control_state::restore(const std::string& aState)
{
  try {
    const auto json = nlohmann::json::parse(aState);
    control_state restored;
    restored.mNext = json.at("next");
    if (restored.mNext <= mNext) {
      return false;
    }
    restored.mMembers = json.at("members").get<std::map<incarnation_id, member>>();
    restored.mSuccessions = json.at("successions").get<std::map<incarnation_id, succession>>();
    restored.mTeams = json.at("teams").get<std::map<team_name, team_view>>();
    restored.mKeys = json.at("keys").get<std::map<std::string, team_name>>();
    restored.mKeyOffsets = json.at("key_offsets").get<std::map<std::string, log_offset>>();
    restored.mZones = json.at("zones").get<std::map<zone_name, zone_view>>();
    restored.mSlices =
      json.at("slices").get<std::map<team_name, std::map<incarnation_id, limit_vector>>>();
    for (const auto& [id, result] : json.at("operations").items()) {
      restored.mOperations[id] = { .mOffset = result.at(0), .mApplied = result.at(1) };
    }
    restored.mRecentIds = json.at("recent").get<std::deque<std::string>>();
    *this = std::move(restored);
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

} // namespace endiveusher
