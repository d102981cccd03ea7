#include "cell_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::ctl;

namespace {

answer refusal(answer_class aClass, std::uint16_t aStatus)
{
  return { .mClass = aClass, .mBody = call_error{ .mStatus = aStatus, .mCode = "code" } };
}

answer status(std::vector<task_state> aStates, bool aEnded)
{
  job_status job{ .mRequest = "t.a.1", .mTeam = "maps", .mEnded = aEnded };
  for (const auto state : aStates) {
    job.mTasks.push_back({ .mIndex = job.mTaskCount++, .mState = state, .mTarget = "vm-7" });
  }
  return { .mClass = answer_class::ran, .mBody = job };
}

/// Issues a ticket and accepts every job.
answer acceptAll(const call& aCall)
{
  if (std::holds_alternative<ticket_call>(aCall)) {
    return { .mClass = answer_class::ran, .mBody = tickets_result{ { "t.a.1" } } };
  }
  return status({ task_state::waiting }, false);
}

void checkCode(exit_code aWanted, exit_code aFound)
{
  LONGS_EQUAL(static_cast<int>(aWanted), static_cast<int>(aFound));
}

} // namespace

TEST_GROUP(job_commands)
{
  cell_fixture mCell;
};

// Guards against options of a job that are not sent as given.
TEST(job_commands, submitSendsTheWholeJobUnderATicket)
{
  fake_daemon daemon(acceptAll);
  mCell.mDaemons = daemon.address();
  checkCode(exit_code::ran, mCell.run({ "submit",  "--kind",
                                        "gang",    "--team",
                                        "maps",    "--tasks",
                                        "3",       "--cpu-milli",
                                        "500",     "--memory-mb",
                                        "64",      "--accelerators",
                                        "1",       "--run-time",
                                        "90s",     "--start-within",
                                        "1500ms",  "--non-idempotent",
                                        "--zone",  "a",
                                        "--zone",  "b",
                                        "render 7" }));
  const auto calls = daemon.calls<submit_call>();
  LONGS_EQUAL(1, calls.size());
  STRCMP_EQUAL("secret", calls[0].mKey.c_str());
  const job_spec wanted{
    .mRequest = "t.a.1",
    .mTeam = "maps",
    .mKind = job_kind::gang,
    .mTaskCount = 3,
    .mPerTask = { .mSlots = 1, .mCpuMilli = 500, .mMemoryMb = 64, .mAccelerators = 1 },
    .mRunTime = std::chrono::seconds(90),
    .mUrgent = true,
    .mStartWithin = std::chrono::milliseconds(1500),
    .mIdempotent = false,
    .mZones = { "a", "b" },
    .mCommand = "render 7"
  };
  CHECK(calls[0].mJob == wanted);
  CHECK(mCell.printed("t.a.1"));
  CHECK(mCell.printed("maps"));
}

// Guards against a job that is submitted under a second id when a daemon gives no answer.
TEST(job_commands, submitTriesOtherDaemonsWithTheSameId)
{
  fake_daemon first([](const call& aCall) -> std::optional<answer> {
    return std::holds_alternative<submit_call>(aCall) ? std::nullopt
                                                      : std::optional(acceptAll(aCall));
  });
  fake_daemon second(acceptAll);
  mCell.mDaemons = first.address() + "," + second.address();
  checkCode(exit_code::ran, mCell.run({ "submit", "x" }));
  LONGS_EQUAL(1, first.calls<submit_call>().size());
  LONGS_EQUAL(1, second.calls<submit_call>().size());
  STRCMP_EQUAL("t.a.1", second.calls<submit_call>()[0].mJob.mRequest.c_str());
  LONGS_EQUAL(0, second.calls<ticket_call>().size());
  checkCode(exit_code::ran,
            mCell.run({ "submit", "x", "--id", "own", "--daemons", second.address() }));
  STRCMP_EQUAL("own", second.calls<submit_call>()[1].mJob.mRequest.c_str());
}

// Guards against "not run" being reported once an attempt may have taken effect.
TEST(job_commands, lostAttemptStaysUnknown)
{
  int attempts = 0;
  fake_daemon daemon([&](const call&) -> std::optional<answer> {
    return attempts++ == 0 ? std::nullopt : std::optional(refusal(answer_class::not_run, 503));
  });
  mCell.mDaemons = daemon.address();
  checkCode(exit_code::unknown, mCell.run({ "submit", "--id", "own", "x" }));
  CHECK(mCell.mErrors.str().find("status own") != std::string::npos);
}

// Guards against exit codes that make scripts retry refused calls or abandon calls to be retried.
TEST(job_commands, exitCodesFollowTheAnswer)
{
  answer given;
  fake_daemon daemon([&](const call&) { return given; });
  mCell.mDaemons = daemon.address();
  const std::pair<exit_code, answer> cases[] = {
    { exit_code::not_run, refusal(answer_class::not_run, 503) },
    { exit_code::not_run, refusal(answer_class::not_run, 429) },
    { exit_code::refused, refusal(answer_class::not_run, 403) },
    { exit_code::unknown, refusal(answer_class::unknown, 503) },
    { exit_code::unknown, refusal(answer_class::unknown, 409) },
    { exit_code::refused, refusal(answer_class::ran, 409) },
    { exit_code::ran, status({ task_state::running }, false) },
  };
  for (const auto& [code, made] : cases) {
    given = made;
    checkCode(code, mCell.run({ "cancel", "r" }));
    checkCode(code, mCell.run({ "status", "r" }));
  }
  daemon.stop();
  checkCode(exit_code::not_run, mCell.run({ "cancel", "r" }));
}

// Guards against a wait that ends early or hides failed tasks.
TEST(job_commands, waitEndsWithTheJob)
{
  std::vector<answer> answers;
  fake_daemon daemon([&](const call&) {
    const auto next = answers.front();
    if (answers.size() > 1) {
      answers.erase(answers.begin());
    }
    return next;
  });
  mCell.mDaemons = daemon.address();
  answers = { status({ task_state::running }, false), status({ task_state::succeeded }, true) };
  checkCode(exit_code::ran, mCell.run({ "wait", "r" }));
  LONGS_EQUAL(2, daemon.calls<wait_call>().size());
  answers = { status({ task_state::succeeded, task_state::failed }, true) };
  checkCode(exit_code::refused, mCell.run({ "wait", "r" }));
  CHECK(mCell.printed("1 succeeded, 1 failed"));
  CHECK(mCell.printed("vm-7"));
  answers = { status({ task_state::unknown }, true) };
  checkCode(exit_code::unknown, mCell.run({ "wait", "r" }));
  answers = { status({ task_state::running }, false) };
  checkCode(exit_code::unknown, mCell.run({ "wait", "r", "--at-most", "0s" }));
}

// Guards against JSON output that differs from the daemon's answer.
TEST(job_commands, jsonOutputIsTheUnchangedAnswer)
{
  fake_daemon daemon(acceptAll);
  mCell.mDaemons = daemon.address();
  checkCode(exit_code::ran, mCell.run({ "ticket", "--count", "1", "--json" }));
  STRCMP_EQUAL("{\"class\":\"ran\",\"tickets\":{\"tickets\":[\"t.a.1\"]}}\n",
               mCell.mOut.str().c_str());
  checkCode(exit_code::ran, mCell.run({ "ticket" }));
  STRCMP_EQUAL("t.a.1\n", mCell.mOut.str().c_str());
}

// Guards against wrong usage that reaches a daemon, and against commands without help.
TEST(job_commands, wrongUsageSendsNothing)
{
  fake_daemon daemon(acceptAll);
  mCell.mDaemons = daemon.address();
  const std::vector<std::string> wrong[] = {
    {},
    { "frob" },
    { "submit", "x", "--kind", "cron" },
    { "submit", "x", "--tasks", "0" },
    { "submit", "x", "--tasks", "x" },
    { "submit", "x", "--memory-mb", "-1" },
    { "submit", "x", "--run-time", "5" },
    { "submit", "x", "--key", "secret" },
    { "submit", "x", "--key-file", "/no/such/file" },
    { "submit", "x", "--daemons", "" },
    { "submit" },
    { "status" },
    { "status", "a", "b" },
    { "ticket", "--count", "0" },
    { "wait", "r", "--timeout", "0" },
  };
  for (const auto& arguments : wrong) {
    checkCode(exit_code::usage, mCell.run(arguments));
    CHECK(!mCell.mErrors.str().empty());
  }
  mCell.mKey = "a\r\nX: y";
  checkCode(exit_code::usage, mCell.run({ "status", "r" }));
  LONGS_EQUAL(0, daemon.calls<ticket_call>().size() + daemon.calls<status_call>().size());
  for (const std::string name :
       { "submit", "status", "wait", "cancel", "ticket", "publish", "show", "dump", "metrics" }) {
    checkCode(exit_code::ran, mCell.run({ name, "--help" }));
    CHECK(mCell.printed("Usage: endiveusherctl " + name));
    CHECK(mCell.printed("--daemons"));
  }
}
