#include "endiveusher/edges/http_server.h"
#include "endiveusher/platform/store.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <mutex>
#include <optional>
#include <string>

using namespace endiveusher;
using namespace endiveusher::platform;

/// A client of a store that answers each call with the status and body that the test sets.
TEST_GROUP(platform_store_replies)
{
  std::mutex mutex;
  edges::http_answer next;
  edges::http_server* server = nullptr;
  edges::http_loop* loop = nullptr;
  store* client = nullptr;

  void setup() override
  {
    server = new edges::http_server(
      {}, [this](const edges::http_request& /*aRequest*/, const edges::responder& aResponder) {
        const std::lock_guard lock(mutex);
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
  append_reply append(int aStatus, const std::string& aBody)
  {
    answerWith(aStatus, aBody);
    return receive<append_reply>(
      [&](auto aDone) { client->append({ .mTopic = "t" }, std::move(aDone)); });
  }
  read_reply read(int aStatus, const std::string& aBody)
  {
    answerWith(aStatus, aBody);
    return receive<read_reply>(
      [&](auto aDone) { client->read("t", 0, std::chrono::milliseconds(0), std::move(aDone)); });
  }
};

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
    CHECK(append(409, R"({"reason":)" + value + "}").mOutcome == append_outcome::out_of_sequence);
    CHECK(append(412, R"({"end":)" + value + "}").mOutcome == append_outcome::unanswered);
  }
  const auto good = append(200, R"({"offset":4,"end":5})");
  CHECK(good.mOutcome == append_outcome::appended);
  CHECK_EQUAL(4, good.mOffset);
  CHECK(append(409, R"({"reason":"fenced"})").mOutcome == append_outcome::fenced);
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
