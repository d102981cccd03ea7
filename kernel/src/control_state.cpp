#include "endiveusher/kernel/control_state.h"

#include "limit_math.h"

#include <algorithm>
#include <ranges>

namespace endiveusher {

namespace {

// Number of record ids kept to drop duplicates. A record is appended again at most a few seconds
// after its answer was lost; at the expected rate of control records this window covers hours.
constexpr std::size_t kRecentIds = 1024;
constexpr std::size_t kOperationsKept = 4096;
constexpr std::size_t kSuccessionsKept = 512;

/// Holder of slices while the cell has no member; they move to the first member that joins.
const incarnation_id kNoMember;

} // namespace

bool control_state::apply(const stored_record<control_record>& aRecord)
{
  if (aRecord.mOffset < mNext) {
    return true;
  }
  if (aRecord.mOffset > mNext) {
    return false;
  }
  mNext = aRecord.mOffset + 1;
  if (std::ranges::find(mRecentIds, aRecord.mRecord.mId) != mRecentIds.end()) {
    return true;
  }
  mRecentIds.push_back(aRecord.mRecord.mId);
  if (mRecentIds.size() > kRecentIds) {
    mRecentIds.pop_front();
  }
  std::visit([&](const auto& aBody) { applyBody(aBody, aRecord.mOffset); }, aRecord.mRecord.mBody);
  return true;
}

bool control_state::isMember(const incarnation_id& aIncarnation) const
{
  return mMembers.contains(aIncarnation);
}

bool control_state::hasEnded(const incarnation_id& aIncarnation) const
{
  return mSuccessions.contains(aIncarnation);
}

incarnation_id control_state::resolve(const incarnation_id& aIncarnation) const
{
  incarnation_id current = aIncarnation;
  for (auto found = mSuccessions.find(current); found != mSuccessions.end();
       found = mSuccessions.find(current)) {
    current = found->second.mSuccessor;
  }
  return current;
}

std::optional<team_name> control_state::teamOfKey(const std::string& aDigest) const
{
  const auto found = mKeys.find(aDigest);
  return found == mKeys.end() ? std::nullopt : std::optional(found->second);
}

zone_state control_state::zoneState(const zone_name& aZone) const
{
  const auto found = mZones.find(aZone);
  return found == mZones.end() ? zone_state::in : found->second.mZone.mState;
}

config_view control_state::config() const
{
  config_view view{ .mOffset = mNext };
  for (const auto& team : std::views::values(mTeams)) {
    view.mTeams.push_back(team);
  }
  for (const auto& [digest, team] : mKeys) {
    const auto found = std::ranges::find(view.mTeams, team,
                                         [](const team_view& aView) { return aView.mTeam.mTeam; });
    if (found != view.mTeams.end()) {
      found->mKeyDigests.push_back(digest);
    }
  }
  for (const auto& zone : std::views::values(mZones)) {
    view.mZones.push_back(zone);
  }
  return view;
}

std::optional<control_state::operation_result> control_state::operation(
  const std::string& aOperationId) const
{
  const auto found = mOperations.find(aOperationId);
  return found == mOperations.end() ? std::nullopt : std::optional(found->second);
}

limit_vector control_state::slice(const incarnation_id& aIncarnation, const team_name& aTeam) const
{
  const auto team = mSlices.find(aTeam);
  if (team == mSlices.end()) {
    return internal::kZeroLimits;
  }
  const auto holding = team->second.find(aIncarnation);
  if (holding != team->second.end()) {
    return holding->second;
  }
  // A member without an entry holds nothing of the limited components.
  limit_vector none = mTeams.at(aTeam).mTeam.mLimit;
  for (const auto component : internal::kLimitComponents) {
    if (none.*component != limit_vector::kUnlimited) {
      none.*component = 0;
    }
  }
  return none;
}

void control_state::applyBody(const join_record& aRecord, log_offset aOffset)
{
  if (mMembers.contains(aRecord.mIncarnation) || hasEnded(aRecord.mIncarnation)) {
    return;
  }
  const bool first = mMembers.empty();
  mMembers.emplace(aRecord.mIncarnation, member{ .mIncarnation = aRecord.mIncarnation,
                                                 .mVm = aRecord.mVm,
                                                 .mZone = aRecord.mZone,
                                                 .mPeerAddress = aRecord.mPeerAddress,
                                                 .mJoinedAt = aOffset });
  if (first) {
    for (auto& holdings : std::views::values(mSlices)) {
      auto node = holdings.extract(kNoMember);
      if (!node.empty()) {
        node.key() = aRecord.mIncarnation;
        holdings.insert(std::move(node));
      }
    }
  }
}

void control_state::applyBody(const leave_record& aRecord, log_offset aOffset)
{
  endMember(aRecord.mIncarnation, aRecord.mSuccessor, aOffset, true);
}

void control_state::applyBody(const takeover_record& aRecord, log_offset aOffset)
{
  endMember(aRecord.mDead, aRecord.mSuccessor, aOffset, false);
}

void control_state::endMember(const incarnation_id& aDead, const incarnation_id& aSuccessor,
                              log_offset aOffset, bool aGraceful)
{
  const auto dead = mMembers.find(aDead);
  // A successor that has itself ended cannot act; another member will append a new record.
  const bool successorCanAct = mMembers.contains(aSuccessor) && aSuccessor != aDead;
  if (dead == mMembers.end() || !successorCanAct) {
    return;
  }
  succession ended{ .mDead = aDead,
                    .mZone = dead->second.mZone,
                    .mVm = dead->second.mVm,
                    .mSuccessor = aSuccessor,
                    .mOffset = aOffset,
                    .mGraceful = aGraceful };
  mMembers.erase(dead);
  for (auto& [team, holdings] : mSlices) {
    const auto holding = holdings.find(aDead);
    if (holding == holdings.end()) {
      continue;
    }
    const limit_vector amount = holding->second;
    holdings[aSuccessor] = internal::addLimits(slice(aSuccessor, team), amount);
    holdings.erase(aDead);
    ended.mSlices.emplace(team, amount);
  }
  mSuccessions.emplace(aDead, std::move(ended));
  if (mSuccessions.size() > kSuccessionsKept) {
    mSuccessions.erase(std::ranges::min_element(
      mSuccessions, {}, [](const auto& aEntry) { return aEntry.second.mOffset; }));
  }
}

void control_state::applyBody(const config_record& aRecord, log_offset aOffset)
{
  if (mOperations.contains(aRecord.mOperationId)) {
    return;
  }
  const auto unchanged = [&](const config_change& aChange) {
    return lastChange(aChange) <= *aRecord.mExpectedOffset;
  };
  const bool applies = !aRecord.mExpectedOffset || std::ranges::all_of(aRecord.mChanges, unchanged);
  mOperations[aRecord.mOperationId] = { .mOffset = aOffset, .mApplied = applies };
  if (mOperations.size() > kOperationsKept) {
    mOperations.erase(std::ranges::min_element(
      mOperations, {}, [](const auto& aEntry) { return aEntry.second.mOffset; }));
  }
  if (!applies) {
    return;
  }
  for (const config_change& change : aRecord.mChanges) {
    std::visit([&](const auto& aChange) { applyChange(aChange, aOffset); }, change);
  }
}

void control_state::applyBody(const slice_transfer_record& aRecord, log_offset /*aOffset*/)
{
  const auto team = mSlices.find(aRecord.mTeam);
  if (team == mSlices.end() || !isMember(aRecord.mFrom)) {
    return;
  }
  // If the receiver has ended, its successor holds its slices.
  const incarnation_id receiver = resolve(aRecord.mTo);
  if (!isMember(receiver) || receiver == aRecord.mFrom) {
    return;
  }
  const limit_vector from = slice(aRecord.mFrom, aRecord.mTeam);
  limit_vector to = slice(receiver, aRecord.mTeam);
  limit_vector rest = from;
  for (const auto component : internal::kLimitComponents) {
    if (from.*component == limit_vector::kUnlimited) {
      continue;
    }
    // If the limit was lowered after the transfer was written, the sender may hold less than the
    // amount.
    const std::int64_t amount =
      std::clamp<std::int64_t>(aRecord.mAmount.*component, 0, from.*component);
    rest.*component -= amount;
    to.*component += amount;
  }
  team->second[aRecord.mFrom] = rest;
  team->second[receiver] = to;
}

void control_state::applyBody(const snapshot_record& /*aRecord*/, log_offset /*aOffset*/) {}

void control_state::applyChange(const set_team& aChange, log_offset aOffset)
{
  const auto found = mTeams.find(aChange.mTeam);
  const bool known = found != mTeams.end();
  const limit_vector old = known ? found->second.mTeam.mLimit : limit_vector{};
  mTeams[aChange.mTeam] = { .mTeam = aChange, .mOffset = aOffset };
  divideLimit(aChange.mTeam, old, aChange.mLimit);
}

void control_state::applyChange(const remove_team& aChange, log_offset /*aOffset*/)
{
  mTeams.erase(aChange.mTeam);
  mSlices.erase(aChange.mTeam);
  std::erase_if(mKeys, [&](const auto& aEntry) { return aEntry.second == aChange.mTeam; });
}

void control_state::applyChange(const grant_key& aChange, log_offset aOffset)
{
  if (mTeams.contains(aChange.mTeam)) {
    mKeys[aChange.mKeyDigest] = aChange.mTeam;
    mKeyOffsets[aChange.mKeyDigest] = aOffset;
  }
}

void control_state::applyChange(const withdraw_key& aChange, log_offset aOffset)
{
  mKeys.erase(aChange.mKeyDigest);
  mKeyOffsets[aChange.mKeyDigest] = aOffset;
}

void control_state::applyChange(const set_zone_state& aChange, log_offset aOffset)
{
  mZones[aChange.mZone] = { .mZone = aChange, .mOffset = aOffset };
}

log_offset control_state::lastChange(const config_change& aChange) const
{
  const auto offsetOf = [](const auto& aMap, const auto& aKey) -> log_offset {
    const auto found = aMap.find(aKey);
    if constexpr (requires { found->second.mOffset; }) {
      return found == aMap.end() ? 0 : found->second.mOffset;
    } else {
      return found == aMap.end() ? 0 : found->second;
    }
  };
  return std::visit(
    [&]<typename Change>(const Change& aBody) -> log_offset {
      if constexpr (requires { aBody.mKeyDigest; }) {
        return offsetOf(mKeyOffsets, aBody.mKeyDigest);
      } else if constexpr (requires { aBody.mZone; }) {
        return offsetOf(mZones, aBody.mZone);
      } else {
        return offsetOf(mTeams, aBody.mTeam);
      }
    },
    aChange);
}

void control_state::divideLimit(const team_name& aTeam, const limit_vector& aOld,
                                const limit_vector& aNew)
{
  auto& holdings = mSlices[aTeam];
  std::vector<incarnation_id> holders;
  for (const auto& incarnation : std::views::keys(mMembers)) {
    holders.push_back(incarnation);
  }
  if (holders.empty()) {
    holders.push_back(kNoMember);
  }
  const auto count = static_cast<std::int64_t>(holders.size());
  for (const auto component : internal::kLimitComponents) {
    const std::int64_t limit = aNew.*component;
    if (limit == limit_vector::kUnlimited) {
      for (const auto& holder : holders) {
        holdings.try_emplace(holder, internal::kZeroLimits).first->second.*component = limit;
      }
      continue;
    }
    const bool proportional = aOld.*component != limit_vector::kUnlimited && aOld.*component > 0;
    std::int64_t rest = limit;
    for (const auto& holder : holders) {
      auto& holding = holdings.try_emplace(holder, internal::kZeroLimits).first->second;
      holding.*component =
        proportional ? internal::scaled(holding.*component, limit, aOld.*component) : limit / count;
      rest -= holding.*component;
    }
    holdings[holders.front()].*component += rest;
  }
}

} // namespace endiveusher
