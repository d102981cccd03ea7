// Standard library headers come first, because CppUTest's header defines `new` as a macro.
#include "explain_api.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace endiveusher;
using namespace endiveusher::node;

namespace {

scheduler::cell_config makeConfig()
{
  scheduler::cell_config config;
  config.mRoutes.push_back({ .mName = "r", .mHost = "h", .mPathPrefix = "/r/", .mPool = "p" });
  config.mTeams.push_back({ .mName = "red", .mKeys = { "secret" } });
  config.index();
  return config;
}

std::string callOf(const std::string& aHost, const std::string& aPath, const std::string& aKey,
                   const std::string& aBody)
{
  return nlohmann::json{
    { "host", aHost }, { "path", aPath }, { "key", aKey }, { "body", aBody }
  }.dump();
}

const std::string kPath = "/r/00000000000000aa";
const std::string kBody = R"({"steps":[{"count":2,"cpu":100}]})";

} // namespace

TEST_GROUP(explain_api){
  /// Returns the status and the message of the answer to a call without a job.
  static std::string errorOf(const std::string& aCall, bool aCurrent = true){
    const auto decoded = decodeExplainedJob(aCall, makeConfig(), aCurrent);
const auto* answer = std::get_if<edges::http_answer>(&decoded);
return answer == nullptr ? "" : std::to_string(answer->mStatus) + answer->mBody;
}
static void checkError(const std::string& aWanted, const std::string& aFound)
{
  CHECK_TEXT(aFound.find(aWanted) != std::string::npos, aFound.c_str());
}
}
;

// Guards against a job that differs from the one that a caller would submit.
TEST(explain_api, decodesTheJobOfACall)
{
  const auto decoded =
    decodeExplainedJob(callOf("h:80", kPath, "secret", kBody), makeConfig(), true);
  const auto& spec = std::get<scheduler::job_spec>(decoded);
  CHECK(spec.mId == static_cast<scheduler::job_id>(0xaa));
  CHECK(spec.mTeam == "red" && spec.mRoute == "r");
  CHECK_EQUAL(2U, spec.mSteps.at(0).mCount);
}

// Guards against errors from which the operator cannot tell what is wrong.
TEST(explain_api, errorsNameTheValue)
{
  checkError(R"(no route has the host \"other\")", errorOf(callOf("other", kPath, "", kBody)));
  checkError(R"(matches the path \"/x\")", errorOf(callOf("h", "/x", "", kBody)));
  checkError(R"(unknown key \"wron...\")", errorOf(callOf("h", kPath, "wrong", kBody)));
  checkError(R"(the path \"/r/1\" does not end)", errorOf(callOf("h", "/r/1", "secret", kBody)));
  checkError("400{\"error\":\"malformed job: ", errorOf(callOf("h", kPath, "secret", "{")));
  checkError("413", errorOf(callOf("h", kPath, "secret", std::string(300'000, ' '))));
  checkError("malformed call", errorOf("["));
  checkError("no text \\\"path\\\"", errorOf(R"({"host":"h"})"));
  // An outdated configuration may lack the newest key.
  checkError("503", errorOf(callOf("h", kPath, "wrong", kBody), false));
}

// Guards against an answer that grows with names from the registry.
TEST(explain_api, anAnswerIsBounded)
{
  const scheduler::explained_target target{ .mId = std::string(5000, '\1'),
                                            .mZone = std::string(5000, '\1') };
  scheduler::step_explanation step{ .mNeedsAdvice = true };
  step.mTaken.assign(scheduler::kMaxExplainedTargets, target);
  step.mQueried = step.mTaken;
  scheduler::placement_explanation explanation;
  explanation.mSteps.assign(scheduler::kMaxExplainedSteps, step);
  const auto text = encode(explanation);
  CHECK(text.size() <= kMaxExplanationBytes);
  CHECK(nlohmann::json::parse(text).at("steps").size() == scheduler::kMaxExplainedSteps);
}
