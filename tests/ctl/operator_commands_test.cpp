#include "cell_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::ctl;

namespace {

/// SHA-256 of "abc" (FIPS 180-2, appendix B.1).
constexpr const char* kDigestOfAbc =
  "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

void checkCode(exit_code aWanted, exit_code aFound)
{
  LONGS_EQUAL(static_cast<int>(aWanted), static_cast<int>(aFound));
}

} // namespace

TEST_GROUP(operator_commands)
{
  cell_fixture mCell;
  config_view mConfig{
    .mOffset = 12,
    .mTeams = { { .mTeam = { .mTeam = "maps", .mShare = 3, .mLimit = { .mTasks = 40 } },
                  .mOffset = 9 } },
    .mZones = { { .mZone = { .mZone = "a", .mState = zone_state::out } } }
  };
  fake_daemon mDaemon{ [this](const call& aCall) -> std::optional<answer> {
    if (std::holds_alternative<show_call>(aCall)) {
      return answer{ .mClass = answer_class::ran, .mBody = mConfig };
    }
    if (std::holds_alternative<dump_call>(aCall)) {
      return answer{ .mClass = answer_class::ran, .mBody = dump_result{ R"({"x":1})" } };
    }
    return answer{ .mClass = answer_class::ran,
                   .mBody = publish_result{ .mOffset = 13, .mInForceEverywhere = true } };
  } };

  void setup() override
  {
    mCell.mDaemons = mDaemon.address();
  }

  publish_call published()
  {
    const auto calls = mDaemon.calls<publish_call>();
    CHECK_FALSE(calls.empty());
    return calls.empty() ? publish_call{} : calls.back();
  }
  template<typename Change>
  Change change()
  {
    return std::get<Change>(published().mChanges.at(0));
  }
};

// Guards against a change of one property that resets the others or overwrites a concurrent change.
TEST(operator_commands, teamSetKeepsPropertiesWithoutAnOption)
{
  checkCode(exit_code::ran, mCell.run({ "team", "set", "maps", "--limit-memory-mb", "512" }));
  auto team = change<set_team>();
  DOUBLES_EQUAL(3, team.mShare, 0);
  LONGS_EQUAL(40, team.mLimit.mTasks);
  LONGS_EQUAL(512, team.mLimit.mMemoryMb);
  LONGS_EQUAL(12, published().mExpectedOffset.value_or(0));
  STRCMP_EQUAL("secret", published().mOperatorKey.c_str());
  CHECK(mCell.printed("13"));
  checkCode(exit_code::ran, mCell.run({ "team", "set", "new", "--open", "yes", "--limit-tasks",
                                        "unlimited", "--expected-offset", "4" }));
  team = change<set_team>();
  CHECK(team.mOpen);
  CHECK(team.mLimit == limit_vector{});
  LONGS_EQUAL(4, published().mExpectedOffset.value_or(0));
}

// Guards against operators' commands that publish a different change from the one they name.
TEST(operator_commands, eachCommandPublishesItsChange)
{
  const temporary_file key("abc\nsecond line\n");
  checkCode(exit_code::ran, mCell.run({ "team", "remove", "maps" }));
  STRCMP_EQUAL("maps", change<remove_team>().mTeam.c_str());
  const auto firstId = published().mOperationId;
  checkCode(exit_code::ran, mCell.run({ "key", "grant", "maps", "--team-key-file", key.path() }));
  STRCMP_EQUAL(kDigestOfAbc, change<grant_key>().mKeyDigest.c_str());
  CHECK(published().mOperationId != firstId);
  checkCode(exit_code::ran,
            mCell.run({ "key", "withdraw", "--digest", kDigestOfAbc, "--operation-id", "again" }));
  STRCMP_EQUAL(kDigestOfAbc, change<withdraw_key>().mKeyDigest.c_str());
  STRCMP_EQUAL("again", published().mOperationId.c_str());
  checkCode(exit_code::ran, mCell.run({ "zone", "out", "a" }));
  CHECK(change<set_zone_state>().mState == zone_state::out);
  checkCode(exit_code::ran, mCell.run({ "zone", "in", "a" }));
  CHECK(change<set_zone_state>().mState == zone_state::in);
}

// Guards against a file whose changes are published partially or with another meaning.
TEST(operator_commands, publishSendsTheWholeFile)
{
  const temporary_file file("expectedOffset: 7\n"
                            "changes:\n"
                            "  - setTeam: {team: \"007\", share: 2.5, limit: {tasks: 40}}\n"
                            "  - setZoneState: {zone: a, state: out}\n");
  checkCode(exit_code::ran, mCell.run({ "publish", file.path() }));
  const auto call = published();
  LONGS_EQUAL(7, call.mExpectedOffset.value_or(0));
  LONGS_EQUAL(2, call.mChanges.size());
  const auto& team = std::get<set_team>(call.mChanges[0]);
  STRCMP_EQUAL("007", team.mTeam.c_str());
  DOUBLES_EQUAL(2.5, team.mShare, 0);
  LONGS_EQUAL(40, team.mLimit.mTasks);
}

// Guards against files with errors that reach a daemon.
TEST(operator_commands, wrongFilesAndOptionsSendNothing)
{
  for (const std::string text :
       { "", "changes: [", "changes:\n  - setTeem: {team: a}\n", "- a\n",
         "changes:\n  - setTeam: {team: a, limit: {tasks: -1}}\n",
         "changes:\n  - setTeam: {team: a, share: yes}\n", "changes: *missing\n" }) {
    const temporary_file file(text);
    checkCode(exit_code::usage, mCell.run({ "publish", file.path() }));
  }
  checkCode(exit_code::usage, mCell.run({ "publish", "/no/such/file" }));
  checkCode(exit_code::usage, mCell.run({ "key", "grant", "maps" }));
  checkCode(exit_code::usage, mCell.run({ "key", "withdraw", "maps" }));
  checkCode(exit_code::usage, mCell.run({ "team", "set", "maps", "--limit-tasks", "-3" }));
  checkCode(exit_code::usage, mCell.run({ "team", "set", "maps", "--open", "maybe" }));
  checkCode(exit_code::usage, mCell.run({ "team", "frob" }));
  checkCode(exit_code::usage, mCell.run({ "zone", "out" }));
  LONGS_EQUAL(0, mDaemon.calls<publish_call>().size());
}

// Guards against show, dump and metrics commands that omit content.
TEST(operator_commands, showDumpAndMetricsPrintTheirContent)
{
  checkCode(exit_code::ran, mCell.run({ "show" }));
  CHECK(mCell.printed("offset  12"));
  CHECK(mCell.printed("maps  3      40     unlimited"));
  CHECK(mCell.printed("a     out"));
  checkCode(exit_code::ran, mCell.run({ "dump" }));
  STRCMP_EQUAL("{\"x\":1}\n", mCell.mOut.str().c_str());
  checkCode(exit_code::ran, mCell.run({ "metrics" }));
  STRCMP_EQUAL("up 1\n", mCell.mOut.str().c_str());
}
