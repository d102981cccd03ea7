#include "endiveusher/platform/messages.h"

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
