#include "endiveusher/edges/http_server.h"
#include "endiveusher/platform/store.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

using namespace endiveusher;
using namespace endiveusher::platform;

/// A client of a store that answers each call with the status and body that the test sets.
TEST_GROUP(platform_store_replies)
{
  std::mutex mutex;
  edges::http_answer next;
  std::string query;
  edges::http_server* server = nullptr;
  edges::http_loop* loop = nullptr;
  store* client = nullptr;

  void setup() override
  {
    server = new edges::http_server(
      {}, [this](const edges::http_request& aRequest, const edges::responder& aResponder) {
        const std::lock_guard lock(mutex);
        const auto after = aRequest.mQuery.find("after");
        query = after == aRequest.mQuery.end() ? "" : after->second;
        aResponder.answer(edges::http_answer(next));
      });
    loop = new edges::http_loop;
    client = new store(*loop, "127.0.0.1:" + std::to_string(server->port()));
  }
  void teardown() override
  {
    delete client;
    delete loop;
    delete server;
  }

  void answerWith(int aStatus, const std::string& aBody)
  {
    const std::lock_guard lock(mutex);
    next = { .mStatus = static_cast<std::uint16_t>(aStatus), .mBody = aBody };
  }
  template<typename Reply>
  Reply receive(const std::function<void(std::function<void(Reply &&)>)>& aSend)
  {
    std::optional<Reply> received;
    aSend([&received](Reply&& aReply) { received = std::move(aReply); });
    for (int turn = 0; turn < 3000 && !received; ++turn) {
      loop->run(std::chrono::milliseconds(1));
    }
    CHECK(received.has_value());
    return *std::move(received);
  }
  newest_reply newest(const std::string& aBody, const std::string& aAfter = "")
  {
    answerWith(200, aBody);
    return receive<newest_reply>(
      [&](auto aDone) { client->newest("keyed.servers", aAfter, std::move(aDone)); });
  }
  append_reply append(int aStatus, const std::string& aBody, std::size_t aRecords = 1)
  {
    answerWith(aStatus, aBody);
    const std::vector<std::string> records(aRecords, "record");
    return receive<append_reply>([&](auto aDone) {
      client->append({ .mTopic = "t", .mRecords = records }, std::move(aDone));
    });
  }
  read_reply read(int aStatus, const std::string& aBody)
  {
    answerWith(aStatus, aBody);
    return receive<read_reply>(
      [&](auto aDone) { client->read("t", 0, std::chrono::milliseconds(0), std::move(aDone)); });
  }
  static std::string page(const std::string& aItem, const std::string& aRest = "")
  {
    return R"({"items":[{"key":"a","value":"MQ==","offset":3},)" + aItem +
           R"({"key":"c","value":"Mw==","offset":5}],"end":7)" + aRest + "}";
  }
};

// Guards against one unreadable value that stops the reading of all entries.
TEST(platform_store_replies, anUnreadableValueIsEmptyAndTheOthersAreKept)
{
  for (const char* value :
       { R"("%%%")", R"("MQ=")", "5", "null", "[]", "{}", "[[[[]]]]", "1e300" }) {
    const auto reply = newest(page(R"({"key":"b","value":)" + std::string(value) + "},"));
    CHECK_TEXT(reply.mOk, value);
    CHECK_EQUAL(3, reply.mRecords.size());
    CHECK_EQUAL("1", reply.mRecords[0].mValue.value());
    CHECK_EQUAL("b", reply.mRecords[1].mKey);
    CHECK_EQUAL("", reply.mRecords[1].mValue.value());
    CHECK_EQUAL("3", reply.mRecords[2].mValue.value());
    CHECK_EQUAL(7, reply.mEnd);
  }
  CHECK_EQUAL("", newest(page(R"({"key":"b"},)")).mRecords.at(1).mValue.value());
}

// Guards against one item without a readable key that stops the reading of all entries.
TEST(platform_store_replies, anItemWithoutAKeyIsLeftOut)
{
  for (const char* item : { R"({"key":5,"value":"MQ=="})", R"({"value":"MQ=="})", "5", "null", "[]",
                            "{}", R"({"key":null})", R"({"key":["b"],"value":"MQ=="})" }) {
    const auto reply = newest(page(std::string(item) + ","));
    CHECK_TEXT(reply.mOk, item);
    CHECK_EQUAL(2, reply.mRecords.size());
    CHECK_EQUAL("c", reply.mRecords[1].mKey);
    CHECK_EQUAL(7, reply.mEnd);
  }
}

// Guards against a key with invalid UTF-8 that stops the reading of all entries.
TEST(platform_store_replies, aKeyThatIsNoUtf8LosesNoOther)
{
  for (const char* key : { "\xff", "\x80", "b\xc3", "\xf0\x9f\x98", "\xed\xa0\x80", "\xc0\xaf" }) {
    const auto reply = newest(page(R"({"key":")" + std::string(key) + R"(","value":"Mg=="},)"));
    CHECK_TEXT(reply.mOk, key);
    CHECK_EQUAL("a", reply.mRecords.front().mKey);
    CHECK_EQUAL("c", reply.mRecords.back().mKey);
    CHECK_EQUAL("3", reply.mRecords.back().mValue.value());
  }
}

// Guards against a page that is requested again and again because its last key isn't readable.
TEST(platform_store_replies, theNextPageFollowsTheLastReadableKey)
{
  const auto reply = newest(R"({"items":[{"key":"a","value":"MQ=="},{"key":7,"value":"MQ=="}],
                                "end":7,"has_more":true})");
  CHECK(reply.mOk);
  CHECK_EQUAL("a", reply.mMoreAfter.value());
  // Without a readable key, the listing can't go on; it must not look complete.
  CHECK_FALSE(newest(R"({"items":[{"key":7}],"end":7,"has_more":true})").mOk);
  // A page that doesn't lead on would be requested for ever.
  CHECK_FALSE(newest(R"({"items":[{"key":"a","value":"MQ=="}],"end":7,"has_more":true})", "a").mOk);
}

// Guards against a key that changes the query of the next page.
TEST(platform_store_replies, theKeyOfTheNextPageIsEncoded)
{
  newest(page(""), "a&part=1 b\n%41#\xff/");
  const std::lock_guard lock(mutex);
  CHECK_EQUAL("a&part=1 b\n%41#\xff/", query);
}

// Guards against the end of the process by a page of another form.
TEST(platform_store_replies, aPageOfAnotherFormIsAFailure)
{
  for (const std::string& body :
       { std::string(), std::string("[]"), std::string("{}"), std::string("null"),
         std::string(R"({"items":5,"end":1})"), std::string(R"({"items":[],"end":"1"})"),
         std::string(R"({"items":[],"end":-1})"), std::string(R"({"items":[],"end":1e300})"),
         std::string(R"({"items":[],"end":1,"has_more":"yes"})"), std::string(1'000'000, '['),
         R"({"items":[],"end":1,"x":)" + std::string(1'000'000, '[') + std::string(1'000'000, ']') +
           "}" }) {
    CHECK_FALSE_TEXT(newest(body).mOk, body.substr(0, 60).c_str());
  }
}

// Guards against the end of the process by an answer to an append of another form.
TEST(platform_store_replies, anAppendWithAnOddAnswerIsNotAppended)
{
  const std::string deep = std::string(1'000'000, '[') + std::string(1'000'000, ']');
  for (const std::string& value : { std::string(R"("x")"), std::string("-1"), std::string("1e300"),
                                    std::string("[]"), deep }) {
    CHECK(append(200, R"({"offset":)" + value + R"(,"end":1})").mOutcome ==
          append_outcome::unanswered);
    CHECK(append(200, R"({"offset":1,"end":)" + value + "}").mOutcome ==
          append_outcome::unanswered);
    CHECK(append(409, R"({"reason":)" + value + "}").mOutcome == append_outcome::unanswered);
    CHECK(append(412, R"({"end":)" + value + "}").mOutcome == append_outcome::unanswered);
  }
  const auto good = append(200, R"({"offset":4,"end":5})");
  CHECK(good.mOutcome == append_outcome::appended);
  CHECK_EQUAL(4, good.mOffset);
  CHECK(append(409, R"({"reason":"fenced"})").mOutcome == append_outcome::fenced);
}

// Guards against records that are reported as not stored, or as stored, because of an answer that
// says neither: they may have been appended.
TEST(platform_store_replies, anUndefinedAnswerToAnAppendShowsNothing)
{
  for (const int status : { 201, 204, 301, 302, 307, 401, 404, 405, 408, 410, 413, 421, 425, 500,
                            501, 502, 504, 505 }) {
    CHECK_TEXT(append(status, R"({"end":3})").mOutcome == append_outcome::unanswered,
               std::to_string(status).c_str());
  }
  for (const char* body : { "", "{}", "[]", "seq", R"({"reason":null,"end":3})",
                            R"({"reason":"other","end":3})", R"({"reason":"SEQ","end":3})" }) {
    CHECK_TEXT(append(409, body).mOutcome == append_outcome::unanswered, body);
  }
  CHECK(append(200, R"({"end":5})").mOutcome == append_outcome::unanswered);
  // Without records, at the start of a partition.
  CHECK(append(200, R"({"offset":0,"end":0})").mOutcome == append_outcome::appended);
  CHECK(append(200, "{}").mOutcome == append_outcome::unanswered);
  CHECK(append(200, R"({"end":1})").mOutcome == append_outcome::appended);
  // An append without records only sets the epoch.
  CHECK(append(200, "{}", 0).mOutcome == append_outcome::appended);
  CHECK(append(200, R"({"end":5})", 0).mOutcome == append_outcome::appended);
  for (const char* body : { "", "{}", "[]", "<html>", R"({"reason":"seq"})" }) {
    CHECK_TEXT(append(412, body).mOutcome == append_outcome::unanswered, body);
  }
}

// Guards against appends that are repeated although the store has said that nothing was done.
TEST(platform_store_replies, aDefinedRejectionOfAnAppendIsKnown)
{
  for (const int status : { 400, 403, 429, 503, 507 }) {
    CHECK_TEXT(append(status, "").mOutcome == append_outcome::refused,
               std::to_string(status).c_str());
  }
  const auto outOfSequence = append(409, R"({"reason":"seq","expected":4})");
  CHECK(outOfSequence.mOutcome == append_outcome::out_of_sequence);
  CHECK(outOfSequence.mExpectedSequence == 4U);
  for (const char* body :
       { R"({"reason":"seq"})", R"({"reason":"seq","expected":null})",
         R"({"reason":"seq","expected":-1})", R"({"reason":"seq","expected":"4"})" }) {
    const auto without = append(409, body);
    CHECK_TEXT(without.mOutcome == append_outcome::out_of_sequence, body);
    CHECK_FALSE_TEXT(without.mExpectedSequence.has_value(), body);
  }
  CHECK(append(409, R"({"reason":"fenced"})").mOutcome == append_outcome::fenced);
  const auto conflict = append(412, R"({"end":3})");
  CHECK(conflict.mOutcome == append_outcome::conflict);
  CHECK_EQUAL(3, conflict.mEnd);
}

// Guards against the end of the process by an answer to a read of another form.
TEST(platform_store_replies, aReadWithAnOddAnswerFails)
{
  const std::string deep = std::string(1'000'000, '[') + std::string(1'000'000, ']');
  for (const std::string& value : { std::string(R"("x")"), std::string("-1"), std::string("1e300"),
                                    std::string("[]"), deep }) {
    CHECK(read(410, R"({"first":)" + value + "}").mOutcome == read_reply::outcome::failed);
  }
  const auto deleted = read(410, R"({"first":4})");
  CHECK(deleted.mOutcome == read_reply::outcome::deleted);
  CHECK_EQUAL(4, deleted.mFirst);
}
