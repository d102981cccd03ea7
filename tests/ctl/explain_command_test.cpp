#include "cell_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::ctl;

namespace {

/// Part of an answer that names the resources of a team.
const std::string kAmount = R"({"cpu_milli":5,"memory_mb":6,"accelerators":0})";
const std::string kAnswer = R"({"admitted":false,"reason":"too late","retry_after_s":7,
  "first_steps":1,"ignored_steps":0,"view":{"journal_age_ms":3},"steps":[{"step":0,"tasks":3,
  "band":1,"latest_start_ms":900,"steps_before":4,"tasks_before":9,"starts":2,"taken_targets":9,
  "taken":[{"target":"t1","zone":"a","tasks":2}],"waits_for":"no_room",
  "targets":{"fits":1,"no_room":2,"label":0},
  "team":{"limit":)" + kAmount +
                            R"(,"used":)" + kAmount + R"(,"reserved":)" + kAmount +
                            R"(,"slots":8}}]})";

} // namespace

TEST_GROUP(explain_command)
{
  cell_fixture cell;
  temporary_file body{ R"({"steps":[]})" };
  edges::http_answer reply{ .mBody = kAnswer };
  std::string received;
  edges::http_server server{ {},
                             [this](const edges::http_request& aRequest,
                                    const edges::responder& aResponder) {
                               received = aRequest.mPath + " " + aRequest.mBody;
                               aResponder.answer(edges::http_answer(reply));
                             } };

  exit_code run(std::vector<std::string> aMore = {})
  {
    cell.mDaemons = "127.0.0.1:" + std::to_string(server.port());
    std::vector<std::string> words{ "explain", "--host", "h", "--path", "/r/1", body.path() };
    words.insert(words.end(), aMore.begin(), aMore.end());
    return cell.run(words);
  }
};

// Guards against a call that does not hold what the caller would send.
TEST(explain_command, sendsTheCallersRequestAndPrintsTheAnswer)
{
  CHECK(run() == exit_code::ran);
  STRCMP_EQUAL(R"(/explain {"body":"{\"steps\":[]}","host":"h","key":"secret","path":"/r/1"})",
               received.c_str());
  for (const auto* text : { "rejected: too late; Retry-After: 7", "behind 4 steps with 9 tasks",
                            "2 tasks on 9 targets: t1 (2), ...", "wait: no_room",
                            "fits=1 no_room=2", "room for 8 tasks", "journal_age_ms=3" }) {
    CHECK_TEXT(cell.printed(text), cell.mOut.str().c_str());
  }
  CHECK(run({ "--json" }) == exit_code::ran);
  CHECK(cell.printed(kAnswer));
}

// Guards against errors that look like an explanation, or that do not tell whether to try again.
TEST(explain_command, errorsAreToldByTheirExitCodes)
{
  reply = { .mStatus = 404, .mBody = R"({"error":"no route has the host \"h\""})" };
  CHECK(run() == exit_code::refused);
  CHECK(cell.mErrors.str().find("no route has the host \"h\"") != std::string::npos);
  reply = { .mStatus = 503, .mBody = R"({"error":"no owner is known"})" };
  CHECK(run({ "--json" }) == exit_code::not_run);
  CHECK(cell.printed("no owner is known"));
  reply = { .mBody = R"({"admitted":true})" };
  CHECK(run() == exit_code::unknown);
}
