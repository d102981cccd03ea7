#include "job_validation.h"

#include "request_ids.h"

#include <fmt/format.h>

#include <algorithm>

namespace endiveusher::internal {

namespace {

// Larger values are taken as input errors; their sums over the tasks of a job could overflow.
constexpr std::int64_t kMaxCpuMilli = 1'000'000'000;
constexpr std::int64_t kMaxMemoryMb = 1'000'000'000;
constexpr std::int64_t kMaxAccelerators = 1'000'000;
constexpr std::chrono::milliseconds kMaxTime = std::chrono::hours(24 * 365);
constexpr std::size_t kMaxZones = 100;

call_error invalid(std::string aCode, std::string aMessage)
{
  return {
    .mStatus = 400, .mCode = std::move(aCode), .mMessage = std::move(aMessage), .mStep = "validate"
  };
}

bool exceeds(std::int64_t aPerTask, std::int64_t aTasks, std::int64_t aLimit)
{
  return aLimit != limit_vector::kUnlimited && aPerTask * aTasks > aLimit;
}

} // namespace

std::optional<call_error> checkFields(const job_spec& aJob)
{
  if (aJob.mTaskCount == 0 || aJob.mTaskCount > kMaxTasksPerJob) {
    return invalid("bad_task_count", fmt::format("The task count {} is not between 1 and {}.",
                                                 aJob.mTaskCount, kMaxTasksPerJob));
  }
  const auto& size = aJob.mPerTask;
  if (size.mSlots != 1) {
    return invalid("bad_size", "A task takes exactly one slot.");
  }
  if (size.anyNegative() || size.mCpuMilli > kMaxCpuMilli || size.mMemoryMb > kMaxMemoryMb ||
      size.mAccelerators > kMaxAccelerators) {
    return invalid("bad_size", "The size of a task is negative or out of range.");
  }
  if (aJob.mRunTime.count() < 0 || aJob.mRunTime > kMaxTime || aJob.mStartWithin.count() < 0 ||
      aJob.mStartWithin > kMaxTime) {
    return invalid("bad_time", "A time is negative or longer than a year.");
  }
  if (aJob.mCommand.size() > kMaxCommandBytes) {
    return invalid("command_too_long", fmt::format("The command has {} bytes, more than {}.",
                                                   aJob.mCommand.size(), kMaxCommandBytes));
  }
  if (aJob.mZones.size() > kMaxZones) {
    return invalid("bad_zones", "Too many zones are named.");
  }
  return std::nullopt;
}

std::optional<call_error> checkConfiguration(const job_spec& aJob, const control_state& aControl)
{
  const auto team = aControl.teams().find(aJob.mTeam);
  if (team == aControl.teams().end()) {
    return invalid("unknown_team", fmt::format("There is no team '{}'.", aJob.mTeam));
  }
  const auto zoneIsKnown = [&aControl](const zone_name& aZone) {
    if (aControl.zones().contains(aZone)) {
      return true;
    }
    const auto& members = aControl.members();
    return std::any_of(members.begin(), members.end(),
                       [&aZone](const auto& aMember) { return aMember.second.mZone == aZone; });
  };
  for (const auto& zone : aJob.mZones) {
    if (!zoneIsKnown(zone)) {
      return invalid("unknown_zone", fmt::format("There is no zone '{}'.", zone));
    }
  }
  // Tasks of a gang run together; those of other kinds can run one after the other.
  const std::int64_t together = aJob.mKind == job_kind::gang ? aJob.mTaskCount : 1;
  const auto& limit = team->second.mTeam.mLimit;
  if (exceeds(1, together, limit.mTasks) ||
      exceeds(aJob.mPerTask.mCpuMilli, together, limit.mCpuMilli) ||
      exceeds(aJob.mPerTask.mMemoryMb, together, limit.mMemoryMb) ||
      exceeds(aJob.mPerTask.mAccelerators, together, limit.mAccelerators)) {
    return call_error{ .mStatus = 422,
                       .mCode = "limit_exceeded",
                       .mMessage = fmt::format(
                         "The job is larger than the upper limit of team '{}'.", aJob.mTeam),
                       .mStep = "validate" };
  }
  return std::nullopt;
}

std::optional<call_error> checkKey(const std::string& aKey, team_name& aTeam,
                                   const control_state& aControl)
{
  if (aKey.empty()) {
    const auto team = aControl.teams().find(aTeam);
    if (team != aControl.teams().end() && team->second.mTeam.mOpen) {
      return std::nullopt;
    }
    return call_error{ .mStatus = 401,
                       .mCode = "key_missing",
                       .mMessage = "The team accepts no work without a key.",
                       .mStep = "authenticate" };
  }
  const auto owner = aControl.teamOfKey(keyDigest(aKey));
  if (!owner) {
    return call_error{ .mStatus = 401,
                       .mCode = "key_unknown",
                       .mMessage = "The key was never granted or has been withdrawn.",
                       .mStep = "authenticate" };
  }
  if (aTeam.empty()) {
    aTeam = *owner;
  }
  if (aTeam != *owner) {
    return call_error{ .mStatus = 403,
                       .mCode = "key_of_other_team",
                       .mMessage = fmt::format("The key is not one of team '{}'.", aTeam),
                       .mStep = "authenticate" };
  }
  return std::nullopt;
}

} // namespace endiveusher::internal
