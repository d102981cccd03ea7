#include "endiveusher/protocol/json.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::protocol;

namespace {

template<typename T>
void checkRejected(const std::string& aText)
{
  const auto read = fromJson<T>(aText);
  CHECK_TEXT(!read.ok(), aText.c_str());
  CHECK_TEXT(absl::IsInvalidArgument(read.status()), aText.c_str());
}

} // namespace

TEST_GROUP(json){};

// Guards against renamed fields, which callers and stand-ins of other versions would reject.
TEST(json, writesFieldNamesOfTheSchema)
{
  const answer refused{ .mClass = answer_class::not_run,
                        .mBody = call_error{ .mStatus = 403,
                                             .mCode = "key_withdrawn",
                                             .mMessage = "m",
                                             .mStep = "accept",
                                             .mPeer = "p" } };
  STRCMP_EQUAL(R"({"class":"not_run","error":{"status":403,"code":"key_withdrawn",)"
               R"("message":"m","step":"accept","peer":"p"}})",
               toJson(refused).c_str());
  const control_record transfer{
    .mId = "i/1",
    .mBody =
      slice_transfer_record{
        .mFrom = "a",
        .mTo = "b",
        .mTeam = "t",
        .mAmount = { .mTasks = 3, .mCpuMilli = 4, .mMemoryMb = 5, .mAccelerators = 6 } }
  };
  STRCMP_EQUAL(R"({"id":"i/1","sliceTransfer":{"from":"a","to":"b","team":"t","amount":)"
               R"({"tasks":"3","cpuMilli":"4","memoryMb":"5","accelerators":"6"}}})",
               toJson(transfer).c_str());
}

// Guards against schema defaults that differ from those of the kernel's structs.
TEST(json, missingFieldsHaveKernelDefaults)
{
  const auto read = fromJson<submit_call>(R"({"job":{"request":"r"}})");
  CHECK_TEXT(read.ok(), read.status().ToString().c_str());
  CHECK((read->mJob == job_spec{ .mRequest = "r" }));
  const auto publish = fromJson<publish_call>(R"({"changes":[{"setTeam":{"team":"t"}}]})");
  CHECK_TEXT(publish.ok(), publish.status().ToString().c_str());
  CHECK_FALSE(publish->mExpectedOffset.has_value());
  const auto& team = std::get<set_team>(publish->mChanges.at(0));
  CHECK(team.mLimit == limit_vector{});
  DOUBLES_EQUAL(1.0, team.mShare, 0);
}

// Guards against rejecting JSON numbers in 64-bit fields, which are written as strings.
TEST(json, reads64BitFieldsFromNumbersAndStrings)
{
  const auto number = fromJson<wait_call>(R"({"request":"r","timeoutMs":1500})");
  const auto text = fromJson<wait_call>(R"({"request":"r","timeoutMs":"1500"})");
  CHECK(number.ok() && text.ok());
  LONGS_EQUAL(1500, number->mTimeout.count());
  LONGS_EQUAL(1500, text->mTimeout.count());
  // 2^53 + 1 is the smallest positive integer that a double cannot represent.
  CHECK(fromJson<append_response>(R"({"offset":9007199254740993})")->mOffset ==
        9'007'199'254'740'993U);
}

// Guards against reading an empty task table as an absent one, which would keep ended tasks.
TEST(json, emptyTableDiffersFromAbsentTable)
{
  CHECK_FALSE(fromJson<exchange_response>("{}")->mTable.has_value());
  CHECK_FALSE(fromJson<exchange_response>(toJson(exchange_response{}))->mTable.has_value());
  exchange_response empty;
  empty.mTable.emplace();
  CHECK(fromJson<exchange_response>(toJson(empty))->mTable.has_value());
}

// Guards against accepting invalid input with a meaning that its sender did not intend.
TEST(json, rejectsInputThatViolatesTheSchema)
{
  checkRejected<submit_call>("");
  checkRejected<submit_call>("[]");
  checkRejected<submit_call>("null");
  checkRejected<submit_call>(R"({"job":{}} x)");
  checkRejected<submit_call>(R"({"job":{"request":"r"})");
  checkRejected<submit_call>(R"({"job":{"request":"r","unknown":1}})");
  checkRejected<submit_call>(R"({"job":{"request":"r"},"key":"k"})");
  checkRejected<submit_call>(R"({"job":{"request":7}})");
  checkRejected<submit_call>(R"({"job":{"kind":"other"}})");
  checkRejected<submit_call>(R"({"job":{"urgent":"yes"}})");
  checkRejected<submit_call>(R"({"job":{"zones":"a"}})");
  checkRejected<submit_call>(R"({"job":[1]})");
  checkRejected<submit_call>("{\"job\":{\"command\":\"\xC3\x28\"}}");
  checkRejected<submit_call>("{\"job\":{\"command\":\"\xED\xA0\x80\"}}");
  checkRejected<submit_call>(std::string(100'000, '['));
  checkRejected<submit_call>(R"({"job":{"team":"a","team":"b"}})");
  checkRejected<publish_call>(R"({"changes":[{}]})");
  checkRejected<publish_call>(R"({"changes":[{"setTeam":{},"removeTeam":{}}]})");
}

// Guards against numbers that overflow or wrap around in additions and conversions.
TEST(json, rejectsNumbersOutOfRange)
{
  for (const std::string count :
       { "-1", "4294967296", "1.5", "1e300", "\"-1\"", "\"x\"", "\"\"", "null", "NaN", "1e999" }) {
    checkRejected<ticket_call>(R"({"count":)" + count + "}");
  }
  for (const std::string time : { "-1", "\"-1\"", "1e18", "9223372036854775808", "1e300", "0.5" }) {
    checkRejected<wait_call>(R"({"timeoutMs":)" + time + "}");
    checkRejected<submit_call>(R"({"job":{"perTask":{"memoryMb":)" + time + "}}}");
    checkRejected<submit_call>(R"({"job":{"startWithinMs":)" + time + "}}");
  }
  checkRejected<append_response>(R"({"offset":"-1"})");
  checkRejected<append_response>(R"({"offset":"18446744073709551616"})");
  checkRejected<publish_call>(R"({"changes":[{"setTeam":{"limit":{"tasks":-1}}}]})");
  checkRejected<publish_call>(R"({"changes":[{"setTeam":{"share":"nan"}}]})");
  checkRejected<publish_call>(R"({"changes":[{"setTeam":{"share":-1}}]})");
}
