#include "endiveusher/platform/messages.h"
#include "endiveusher/scheduler/job_limits.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::platform;

/// Answers of which a field has another type than agreed.
TEST_GROUP(platform_answers){};

// Guards against the end of the process by a target's answer of another form.
TEST(platform_answers, aReasonOfAnotherTypeIsUndefined)
{
  for (const char* body : { R"({"reason":5})", R"({"reason":null})", R"({"reason":["fence"]})",
                            "[]", "null", "", "{\"reason\":\"\xff\"}" }) {
    CHECK_TEXT(decodeOutcome({ .mStatus = 409, .mBody = body }) ==
                 scheduler::order_outcome::undefined,
               body);
  }
}

// Guards against an owner that stores nothing more, because the store refuses a record with the
// checkpoint as too large each time that it is repeated.
TEST(platform_answers, anOverlongCheckpointIsNone)
{
  const std::string longest(scheduler::kMaxCheckpointBytes, 'c');
  const auto reportWith = [](const std::string& aCheckpoint) {
    return decodeReport(R"({"running":[["5c0e7a21d94b36f8.0.1.17",2,")" + aCheckpoint +
                        R"(",41]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"stopped",")" +
                        aCheckpoint + R"("]]})");
  };
  CHECK_EQUAL(longest, reportWith(longest)->mRunning.at(0).mCheckpoint);
  CHECK_EQUAL(longest, reportWith(longest)->mEnded.at(0).mCheckpoint);
  CHECK_EQUAL("", reportWith(longest + "c")->mRunning.at(0).mCheckpoint);
  CHECK_EQUAL("", reportWith(longest + "c")->mEnded.at(0).mCheckpoint);
}
