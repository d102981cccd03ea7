#include "endiveusher/platform/messages.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::platform;

namespace {

/// Levels that overflow a thread's stack in a function that recurses once per level.
constexpr int kDeep = 1'000'000;
/// Levels that fields added by later versions may have.
constexpr int kShallow = 20;

std::string nested(int aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

std::string nestedObjects(int aLevels)
{
  std::string text;
  for (int level = 0; level < aLevels; ++level) {
    text += R"({"a":)";
  }
  return text + "1" + std::string(aLevels, '}');
}

std::string withField(const std::string& aName, const std::string& aValue)
{
  return R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"cpu":1},")" +
         aName + R"(":)" + aValue + "}";
}

} // namespace

/// Documents from outside that are nested so deeply that recursive functions overflow the stack.
TEST_GROUP(platform_nesting){};

// Guards against the use of an entry of which a field is nested without bounds.
TEST(platform_nesting, anEntryIsMalformed)
{
  CHECK_FALSE(decodeTargetEntry("i", nested(kDeep)).ok());
  CHECK_FALSE(decodeTargetEntry("i", nestedObjects(kDeep)).ok());
  CHECK_FALSE(decodeTargetEntry("i", std::string(kDeep, '[')).ok());
  for (const char* name : { "labels", "machine", "born", "note" }) {
    CHECK_FALSE(decodeTargetEntry("i", withField(name, nested(kDeep))).ok());
    CHECK_FALSE(decodeTargetEntry("i", withField(name, nestedObjects(kDeep))).ok());
  }
}

// Guards against the loss of entries with fields of a later version.
TEST(platform_nesting, unknownFieldsMayBeNested)
{
  CHECK(decodeTargetEntry("i", withField("note", nested(kShallow))).ok());
  CHECK(decodeTargetEntry("i", withField("note", nestedObjects(kShallow))).ok());
  // Brackets within text are no nesting.
  CHECK(decodeTargetEntry("i", withField("note", '"' + std::string(kDeep, '[') + '"')).ok());
  CHECK(decodeTargetEntry("i", withField("note", R"("\"[[\\")")).ok());
  const std::string row = "[[]],";
  std::string flat = "[";
  for (int count = 0; count < 1000; ++count) {
    flat += row;
  }
  CHECK(decodeTargetEntry("i", withField("note", flat + "0]")).ok());
}

// Guards against the end of the process by a field of the configuration that is copied.
TEST(platform_nesting, aConfigurationIsMalformed)
{
  for (const char* name : { "tenants", "limits", "services" }) {
    CHECK_FALSE(
      decodeConfig(std::string(R"({"routes":[],")") + name + R"(":)" + nested(kDeep) + "}").ok());
  }
}

// Guards against the end of the process by the body of a caller's job.
TEST(platform_nesting, aJobIsMalformed)
{
  CHECK_FALSE(decodeJob(nested(kDeep)).ok());
  CHECK_FALSE(decodeJob(R"({"steps":[{"after":)" + nested(kDeep) + "}]}").ok());
  CHECK_FALSE(decodeJob(R"({"steps":[{"note":)" + nested(kDeep) + "}]}").ok());
}

// Guards against the end of the process by the report of a target.
TEST(platform_nesting, aReportIsMalformed)
{
  CHECK_FALSE(decodeReport(R"({"running":)" + nested(kDeep) + "}").ok());
  CHECK_FALSE(decodeReport(R"({"ended":)" + nested(kDeep) + "}").ok());
}

// Guards against the end of the process by the answer to an order or of the advice service.
TEST(platform_nesting, anAnswerIsUndefined)
{
  for (const auto& reason : { nested(kDeep), nestedObjects(kDeep) }) {
    CHECK(decodeOutcome({ .mStatus = 409, .mBody = R"({"reason":)" + reason + "}" }) ==
          scheduler::order_outcome::undefined);
    CHECK_FALSE(decodeAdvice(R"({"good":)" + reason + "}").ok());
  }
}
