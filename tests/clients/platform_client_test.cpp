#include "endiveusher/edges/platform_client.h"
#include "endiveusher/protocol/json.h"
#include "tests/clients/result_queue.h"
#include "tests/clients/scripted_server.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::testing;

TEST_GROUP(platform_client)
{
  result_queue<edges::platform_result> mResults;

  edges::platform_client clientOf(const std::string& aAddress)
  {
    return edges::platform_client({ .mLogUrl = "http://" + aAddress,
                                    .mVmListUrl = "http://" + aAddress,
                                    .mTimeout = std::chrono::seconds(2),
                                    .mOnResult = [this](edges::platform_result&& aResult) {
                                      mResults.add(std::move(aResult));
                                    } });
  }

  append_event append(edges::platform_client & aClient)
  {
    const join_record join{ .mIncarnation = "a.1", .mVm = "a", .mZone = "z" };
    CHECK(aClient.send(
      append_control_effect{ .mAppendId = 5, .mRecords = { { .mId = "a.1/1", .mBody = join } } },
      0));
    const auto result = mResults.next();
    CHECK(result.has_value());
    return std::get<append_event>(result->mEvent);
  }

  append_status outcomeOf(const scripted_answer& aAnswer)
  {
    scripted_server server([&aAnswer](const received_request&) { return aAnswer; });
    auto client = clientOf(server.address());
    return append(client).mStatus;
  }
};

// Guards against a stored append that is reported as lost or with a wrong offset.
TEST(platform_client, storedAppendReportsItsOffset)
{
  scripted_server server([](const received_request& aRequest) {
    STRCMP_EQUAL("/v1/streams/control/append", aRequest.mTarget.c_str());
    return scripted_answer{ .mBody = protocol::toJson(protocol::append_response{ .mOffset = 9 }) };
  });
  auto client = clientOf(server.address());
  const auto event = append(client);
  CHECK(append_status::stored == event.mStatus);
  CHECK_EQUAL(5, event.mAppendId);
  CHECK_EQUAL(9, event.mOffset);
}

// Guards against `not_run` answers for records that are in the log.
TEST(platform_client, appendWithoutDefiniteResponseIsUnknown)
{
  CHECK(append_status::unknown == outcomeOf({ .mReaction = reaction::silent }));
  CHECK(append_status::unknown == outcomeOf({ .mReaction = reaction::close }));
  CHECK(append_status::unknown == outcomeOf({ .mStatus = 503 }));
  CHECK(append_status::unknown == outcomeOf({ .mStatus = 408 }));
  CHECK(append_status::unknown == outcomeOf({ .mStatus = 200, .mBody = "{" }));
}

// Guards against waiting for an append that is known not to be in the log.
TEST(platform_client, refusedAppendIsRejected)
{
  CHECK(append_status::rejected == outcomeOf({ .mStatus = 400 }));
  CHECK(append_status::rejected == outcomeOf({ .mStatus = 429 }));
  auto client = clientOf(unusedAddress());
  CHECK(append_status::rejected == append(client).mStatus);
}

// Guards against an append reported as rejected because its repetition was refused: libcurl repeats
// a request on a new connection when a reused one is closed without a response.
TEST(platform_client, refusedRepetitionOfASentAppendIsUnknown)
{
  scripted_server server([](const received_request& aRequest) {
    const bool isFirst = aRequest.mNumber == 1;
    return scripted_answer{ .mReaction = isFirst ? reaction::answer : reaction::close,
                            .mBody = protocol::toJson(protocol::append_response{ .mOffset = 1 }) };
  });
  auto client = clientOf(server.address());
  CHECK(append_status::stored == append(client).mStatus);
  server.stopListening();
  CHECK(append_status::unknown == append(client).mStatus);
}

// Guards against a gap at an undecodable record, which would block every reader permanently.
TEST(platform_client, undecodableRecordKeepsItsOffsetAndHasNoEffect)
{
  const control_record readable{ .mId = "a.1/1", .mBody = leave_record{ .mIncarnation = "a.1" } };
  const protocol::read_response response{
    .mEntries = { { 3, "?" }, { 4, protocol::toJson(readable) } }, .mEnd = 6, .mFirst = 2
  };
  scripted_server server([&response](const received_request& aRequest) {
    STRCMP_EQUAL("/v1/streams/control?from=3&max=500", aRequest.mTarget.c_str());
    return scripted_answer{ .mBody = protocol::toJson(response) };
  });
  auto client = clientOf(server.address());
  CHECK(client.send(read_effect{ .mReadId = 2, .mFrom = 3 }, 0));
  const auto result = mResults.next();
  CHECK(result.has_value());
  const auto& event = std::get<control_read_event>(result->mEvent);
  CHECK(event.mPage.has_value());
  CHECK_EQUAL(6, event.mPage->mEnd);
  CHECK_EQUAL(2, event.mPage->mRecords.size());
  CHECK_EQUAL(3, event.mPage->mRecords[0].mOffset);
  const auto& first = std::get<config_record>(event.mPage->mRecords[0].mRecord.mBody);
  CHECK(first.mChanges.empty());
  CHECK(std::holds_alternative<leave_record>(event.mPage->mRecords[1].mRecord.mBody));
}

// Guards against an undecodable or failed VM list that is treated as an empty one, which would
// prove every daemon dead.
TEST(platform_client, undecodableVmListIsAbsent)
{
  for (const auto& answer :
       { scripted_answer{ .mStatus = 500 }, scripted_answer{ .mBody = "[]" } }) {
    scripted_server server([&answer](const received_request&) { return answer; });
    auto client = clientOf(server.address());
    CHECK(client.send(read_vm_list_effect{}, 0));
    const auto result = mResults.next();
    CHECK(result.has_value());
    CHECK_FALSE(std::get<vm_list_event>(result->mEvent).mList.has_value());
  }
}
