#include "call_checks.h"

#include <algorithm>
#include <string_view>
#include <variant>

namespace endiveusher::edges::internal {

namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxRequestIdBytes = 256;
constexpr std::size_t kMaxCommandBytes = std::size_t{ 64 } << 10U;
constexpr std::size_t kMaxZones = 64;
constexpr std::size_t kMaxChanges = 1000;
constexpr double kMaxShare = 1e9;

/// Whether aText is a valid name or id. These appear in logs, tables and paths, so they must not
/// contain spaces or control characters.
bool isName(std::string_view aText, std::size_t aMaxBytes)
{
  return !aText.empty() && aText.size() <= aMaxBytes &&
         std::ranges::all_of(aText, [](unsigned char aOne) { return aOne > 0x20 && aOne != 0x7F; });
}

bool isDigest(std::string_view aText)
{
  return aText.size() == 64 && std::ranges::all_of(aText, [](char aOne) {
           return (aOne >= '0' && aOne <= '9') || (aOne >= 'a' && aOne <= 'f');
         });
}

std::string requestIdError(const request_id& aId)
{
  return isName(aId, kMaxRequestIdBytes)
           ? ""
           : "request must be 1 to 256 bytes without spaces or control characters";
}

std::string teamNameError(const team_name& aTeam)
{
  return isName(aTeam, kMaxNameBytes)
           ? ""
           : "team must be 1 to 128 bytes without spaces or control characters";
}

std::string changeError(const set_team& aChange)
{
  if (!(aChange.mShare > 0 && aChange.mShare <= kMaxShare)) {
    return "share must be above 0 and at most 1e9";
  }
  return teamNameError(aChange.mTeam);
}
std::string changeError(const remove_team& aChange)
{
  return teamNameError(aChange.mTeam);
}
std::string changeError(const grant_key& aChange)
{
  return isDigest(aChange.mKeyDigest) ? teamNameError(aChange.mTeam)
                                      : "keyDigest must be 64 lower-case hex digits";
}
std::string changeError(const withdraw_key& aChange)
{
  return isDigest(aChange.mKeyDigest) ? "" : "keyDigest must be 64 lower-case hex digits";
}
std::string changeError(const set_zone_state& aChange)
{
  return isName(aChange.mZone, kMaxNameBytes)
           ? ""
           : "zone must be 1 to 128 bytes without spaces or control characters";
}

} // namespace

std::string validationError(const ticket_call& aCall, const call_api_options& aOptions)
{
  return aCall.mCount >= 1 && aCall.mCount <= aOptions.mMaxTickets
           ? ""
           : "count must be 1 to " + std::to_string(aOptions.mMaxTickets);
}

std::string validationError(const submit_call& aCall, const call_api_options& aOptions)
{
  const job_spec& job = aCall.mJob;
  if (auto error = requestIdError(job.mRequest); !error.empty()) {
    return error;
  }
  if (!job.mTeam.empty() && !isName(job.mTeam, kMaxNameBytes)) {
    return teamNameError(job.mTeam);
  }
  if (job.mTaskCount < 1 || job.mTaskCount > aOptions.mMaxTasks) {
    return "taskCount must be 1 to " + std::to_string(aOptions.mMaxTasks);
  }
  if (job.mCommand.size() > kMaxCommandBytes) {
    return "command must be at most 65536 bytes";
  }
  if (job.mZones.size() > kMaxZones || !std::ranges::all_of(job.mZones, [](const auto& aZone) {
        return isName(aZone, kMaxNameBytes);
      })) {
    return "zones must be at most 64 names";
  }
  return "";
}

std::string validationError(const status_call& aCall, const call_api_options& /*aOptions*/)
{
  return requestIdError(aCall.mRequest);
}
std::string validationError(const wait_call& aCall, const call_api_options& /*aOptions*/)
{
  return requestIdError(aCall.mRequest);
}
std::string validationError(const cancel_call& aCall, const call_api_options& /*aOptions*/)
{
  return requestIdError(aCall.mRequest);
}

std::string validationError(const publish_call& aCall, const call_api_options& /*aOptions*/)
{
  if (!isName(aCall.mOperationId, kMaxNameBytes)) {
    return "operationId must be 1 to 128 bytes without spaces or control characters";
  }
  if (aCall.mChanges.empty() || aCall.mChanges.size() > kMaxChanges) {
    return "changes must hold 1 to 1000 changes";
  }
  for (const auto& change : aCall.mChanges) {
    if (auto error = std::visit([](const auto& aOne) { return changeError(aOne); }, change);
        !error.empty()) {
      return error;
    }
  }
  return "";
}

} // namespace endiveusher::edges::internal
