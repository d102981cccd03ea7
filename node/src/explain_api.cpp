#include "explain_api.h"

#include "caller_identity.h"
#include "submission.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace endiveusher::node {

namespace {

using nlohmann::json;

/// Bytes of a value or name that an answer repeats.
constexpr std::size_t kMaxShownBytes = 128;
/// Characters of a key that an error message shows.
constexpr std::size_t kShownKeyBytes = 4;

std::string dump(const json& aValue)
{
  return aValue.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string shown(std::string_view aText, std::size_t aMost = kMaxShownBytes)
{
  return aText.size() <= aMost ? std::string(aText) : std::string(aText.substr(0, aMost)) + "...";
}

std::int64_t inMs(duration aTime)
{
  return aTime / std::chrono::milliseconds(1);
}

json toJson(const resources& aAmount)
{
  return { { "cpu_milli", aAmount.mCpuMilli },
           { "memory_mb", aAmount.mMemoryMb },
           { "accelerators", aAmount.mAccelerators } };
}

json toJson(const std::vector<scheduler::explained_target>& aTargets)
{
  auto list = json::array();
  for (const auto& one : aTargets) {
    list.push_back(
      { { "target", shown(one.mId) }, { "zone", shown(one.mZone) }, { "tasks", one.mTasks } });
  }
  return list;
}

json toJson(const std::vector<scheduler::explained_stop>& aStops)
{
  auto list = json::array();
  for (const auto& one : aStops) {
    list.push_back({ { "task", toText(one.mTask) }, { "target", shown(one.mTarget) } });
  }
  return list;
}

json toJson(const scheduler::step_explanation& aStep, bool aWithLists)
{
  json targets;
  for (std::size_t fit = 0; fit < scheduler::kTargetFits; ++fit) {
    targets[std::string(toText(static_cast<scheduler::target_fit>(fit)))] = aStep.mTargets[fit];
  }
  json step{ { "step", aStep.mStep },
             { "tasks", aStep.mTasks },
             { "band", aStep.mBand },
             { "latest_start_ms", inMs(aStep.mLatestStart) },
             { "steps_before", aStep.mStepsBefore },
             { "tasks_before", aStep.mTasksBefore },
             { "team",
               { { "limit", toJson(aStep.mTeamLimit) },
                 { "used", toJson(aStep.mTeamUsed) },
                 { "reserved", toJson(aStep.mTeamReserved) },
                 { "slots", aStep.mTeamSlots } } },
             { "targets", std::move(targets) },
             { "starts", aStep.mStarts },
             { "taken_targets", aStep.mTakenTargets } };
  if (!aStep.mWaitReason.empty()) {
    step["waits_for"] = aStep.mWaitReason;
  }
  if (aStep.mNeedsAdvice) {
    step["advice"] = { { "targets", aStep.mQueriedTargets },
                       { "cost_ms", inMs(aStep.mAdviceCost) } };
  }
  if (aStep.mPreemptsAfter) {
    step["preempts"] = { { "after_ms", inMs(*aStep.mPreemptsAfter) },
                         { "runs", aStep.mStoppedRuns } };
  }
  if (aWithLists) {
    step["taken"] = toJson(aStep.mTaken);
    if (aStep.mNeedsAdvice) {
      step["advice"]["first_targets"] = toJson(aStep.mQueried);
    }
    if (aStep.mPreemptsAfter) {
      step["preempts"]["first_runs"] = toJson(aStep.mStops);
    }
  }
  return step;
}

json toJson(const scheduler::placement_explanation& aExplanation, bool aWithLists)
{
  json view = json::object();
  const auto addAge = [&view](const char* aName, const std::optional<duration>& aAge) {
    if (aAge) {
      view[aName] = inMs(*aAge);
    }
  };
  addAge("journal_age_ms", aExplanation.mJournalAge);
  addAge("registry_age_ms", aExplanation.mRegistryAge);
  addAge("oldest_report_ms", aExplanation.mOldestReport);
  auto steps = json::array();
  for (const auto& step : aExplanation.mSteps) {
    steps.push_back(toJson(step, aWithLists));
  }
  json all{ { "admitted", !aExplanation.mRejection },
            { "first_steps", aExplanation.mFirstSteps },
            { "steps", std::move(steps) },
            { "ignored_steps", aExplanation.mIgnoredSteps },
            { "view", std::move(view) } };
  if (aExplanation.mRejection) {
    all["retry_after_s"] = aExplanation.mRejection->mRetryAfter.count();
    all["reason"] = aExplanation.mRejection->mReason;
  }
  return all;
}

/// Returns the text that aCall has under aName; throws if there is none.
std::string textOf(const json& aCall, const char* aName)
{
  const auto found = aCall.find(aName);
  if (found == aCall.end() || !found->is_string()) {
    throw std::invalid_argument(fmt::format("the call has no text \"{}\"", aName));
  }
  return found->get<std::string>();
}

/// Returns the call as it would arrive from a caller.
edges::http_request requestOf(std::string_view aCall)
{
  const auto call = json::parse(aCall);
  if (!call.is_object()) {
    throw std::invalid_argument("the call is not a JSON object");
  }
  edges::http_request request{ .mMethod = "POST", .mPath = textOf(call, "path") };
  request.mHeaders = { { "host", textOf(call, "host") } };
  if (call.contains("key")) {
    request.mHeaders.emplace_back("credential", textOf(call, "key"));
  }
  request.mBody = textOf(call, "body");
  return request;
}

std::string describeMissingRoute(const scheduler::cell_config& aConfig,
                                 const platform::caller_request& aCall)
{
  const bool isHostKnown = std::ranges::any_of(
    aConfig.mRoutes, [&](const auto& aOne) { return aOne.mHost == aCall.mHost; });
  return isHostKnown ? fmt::format("no route of host \"{}\" matches the path \"{}\"",
                                   shown(aCall.mHost), shown(aCall.mPath))
                     : fmt::format("no route has the host \"{}\"", shown(aCall.mHost));
}

} // namespace

edges::http_answer explainError(std::uint16_t aStatus, std::string_view aMessage)
{
  return { .mStatus = aStatus, .mBody = dump({ { "error", aMessage } }) };
}

std::variant<scheduler::job_spec, edges::http_answer> decodeExplainedJob(
  std::string_view aBody, const scheduler::cell_config& aConfig, bool aCurrent)
{
  edges::http_request request;
  try {
    request = requestOf(aBody);
  } catch (const std::exception& error) {
    return explainError(400, fmt::format("malformed call: {}", error.what()));
  }
  const auto deny = [aCurrent](std::uint16_t aStatus, std::string_view aMessage) {
    return aCurrent ? explainError(aStatus, aMessage)
                    : explainError(503, fmt::format("{}, by an outdated configuration", aMessage));
  };
  const auto call = platform::decodeCallerRequest(request);
  const auto identity = identify(aConfig, call);
  if (identity.mRoute == nullptr) {
    return deny(404, describeMissingRoute(aConfig, call));
  }
  if (!identity.mayCall()) {
    return deny(401, call.mKey.empty()
                       ? "the route needs a key"
                       : fmt::format("unknown key \"{}\"", shown(call.mKey, kShownKeyBytes)));
  }
  const auto id =
    scheduler::parseJobId(std::string_view(call.mPath).substr(identity.mRoute->mPathPrefix.size()));
  if (!id) {
    return explainError(404, fmt::format("the path \"{}\" does not end with a job id of {} "
                                         "hexadecimal digits",
                                         shown(call.mPath), scheduler::kJobIdDigits));
  }
  const auto bytes = request.mBody.size();
  if (bytes > aConfig.mLimits.mMaxBodyBytes) {
    return explainError(413, fmt::format("the job has {} bytes, and callers may send {}", bytes,
                                         aConfig.mLimits.mMaxBodyBytes));
  }
  auto spec = decodeSubmission(request.mBody, *id, *identity.mRoute,
                               identity.mTeam == nullptr ? "" : identity.mTeam->mName);
  if (!spec.ok()) {
    return explainError(400,
                        fmt::format("malformed job: {}", std::string(spec.status().message())));
  }
  if (isTooLarge(*spec, bytes)) {
    return explainError(400, "the job is larger than the store takes");
  }
  return *std::move(spec);
}

std::string encode(const scheduler::placement_explanation& aExplanation)
{
  auto text = dump(toJson(aExplanation, true));
  return text.size() <= kMaxExplanationBytes ? std::move(text) : dump(toJson(aExplanation, false));
}

} // namespace endiveusher::node
