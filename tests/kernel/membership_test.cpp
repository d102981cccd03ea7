#include "tests/kernel/membership_cell.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace std::chrono_literals;

namespace {

struct without_freshness : all_guards
{
  static constexpr bool kChecksFreshness = false;
};
struct without_offsets : all_guards
{
  static constexpr bool kChecksOffsets = false;
};

/// Two zones: a1 and a2 in a, b1 in b.
template<guard_policy Guards = all_guards>
struct two_zones : tests::membership_cell<Guards>
{
  two_zones()
  {
    this->add("a1", "a");
    this->add("a2", "a");
    this->add("b1", "b");
    this->run(3s);
  }
  bool fresh(const std::string& aName) { return this->at(aName).fresh(this->now()); }
  void withoutLog() { this->mWithoutLog = { "a1", "a2", "b1" }; }
  void publish(const std::string& aName, const std::string& aOperation, config_change aChange)
  {
    this->at(aName).publish(1,
                            { .mOperatorKey = "",
                              .mOperationId = aOperation,
                              .mExpectedOffset = {},
                              .mChanges = { std::move(aChange) } },
                            this->now());
  }
};

/// Whether a daemon that is partitioned from the log and all peers still counts as fresh after 2.5
/// s, although a change that it cannot know has been accepted.
template<guard_policy Guards>
bool actsOnStaleConfiguration()
{
  two_zones<Guards> cell;
  cell.mWithoutLog = { "b1" };
  cell.mConnected = [](const std::string& aFrom, const std::string& aTo) {
    return aFrom != "b1" && aTo != "b1";
  };
  cell.publish("a1", "1", set_zone_state{ "b", zone_state::out });
  cell.run(2500ms);
  return cell.fresh("b1") && cell.at("b1").control().zoneState("b") == zone_state::in;
}

/// Whether a daemon reverts to an older configuration when a peer sends an old snapshot.
template<guard_policy Guards>
bool revertsToOldSnapshot()
{
  two_zones<Guards> cell;
  cell.publish("a1", "1", set_team{ .mTeam = "t" });
  cell.run(1s);
  const std::string old = cell.at("a1").control().encode();
  cell.publish("a1", "2", remove_team{ "t" });
  cell.run(1s);
  const log_offset next = cell.at("a2").control().next();
  cell.at("a2").handleRecords(
    { .mFrom = next + 1,
      .mRecords = { { .mOffset = next + 1,
                      .mRecord = { .mId = "",
                                   .mBody = snapshot_record{ .mAsOf = next, .mState = old } } } },
      .mEnd = next + 1 },
    cell.now());
  return cell.at("a2").control().teams().contains("t");
}

} // namespace

TEST_GROUP(membership){};

// Guards against daemons that never become members or never count as fresh.
TEST(membership, daemonsJoinAndAreFresh)
{
  two_zones cell;
  for (const std::string name : { "a1", "a2", "b1" }) {
    CHECK(cell.at(name).joined());
    CHECK(cell.fresh(name));
    LONGS_EQUAL(3, cell.at(name).live(cell.now()).size());
  }
}

// M5, M11. Guards against a zone that continues to start tasks on a configuration that may have
// been replaced. Without the freshness check the violation must occur.
TEST(membership, partitionedDaemonBecomesStale)
{
  CHECK(actsOnStaleConfiguration<without_freshness>());
  CHECK_FALSE(actsOnStaleConfiguration<all_guards>());
}

// M11. Guards against a configuration that reverts.
TEST(membership, oldSnapshotIsIgnored)
{
  CHECK(revertsToOldSnapshot<without_offsets>());
  CHECK_FALSE(revertsToOldSnapshot<all_guards>());
}

// Guards against a zone that stops although its peers can send it the configuration.
TEST(membership, daemonWithoutLogStaysFreshThroughPeersAndReceivesChanges)
{
  two_zones cell;
  cell.mWithoutLog = { "b1" };
  cell.run(10s);
  CHECK(cell.fresh("b1"));
  cell.publish("a1", "1", set_zone_state{ "b", zone_state::out });
  cell.run(2s);
  CHECK(cell.at("b1").control().zoneState("b") == zone_state::out);
}

// Guards against a cell that stops working when the platform's log is unreachable for all members.
TEST(membership, daemonsStayFreshIfAllAgreeOnALogOutage)
{
  two_zones cell;
  cell.withoutLog();
  for (int second = 0; second < 60; ++second) {
    cell.run(1s);
    CHECK(cell.fresh("a1") && cell.fresh("a2") && cell.fresh("b1"));
  }
}

// Guards against agreement on an outage while an unresponsive member may still reach the log.
TEST(membership, unresponsiveMemberBlocksTheAgreement)
{
  two_zones cell;
  cell.withoutLog();
  cell.mPaused = { "b1" };
  cell.run(5s);
  CHECK_FALSE(cell.fresh("a1"));
  CHECK_FALSE(cell.fresh("a2"));
}

// M11. Guards against agreement on an outage while one member knows a change that was accepted just
// before the outage and that it could not send to the others.
TEST(membership, memberWithAHigherOffsetBlocksTheAgreement)
{
  two_zones cell;
  cell.mWithoutLog = { "a1", "a2" };
  cell.mConnected = [](const std::string& aFrom, const std::string&) { return aFrom != "b1"; };
  cell.publish("b1", "1", set_zone_state{ "a", zone_state::out });
  cell.run(1s);
  cell.withoutLog();
  cell.at("b1").takeEffects();
  cell.mConnected = [](const std::string&, const std::string&) { return true; };
  cell.mDropsRecords = true;
  cell.run(4s);
  CHECK(cell.at("a1").control().zoneState("a") == zone_state::in);
  CHECK_FALSE(cell.fresh("a1"));
}

// Guards against an outage agreement that continues after one member reaches the log again.
TEST(membership, oneMemberWithLogEndsTheAgreement)
{
  two_zones cell;
  cell.withoutLog();
  cell.run(5s);
  cell.mConnected = [](const std::string& aFrom, const std::string& aTo) {
    return aFrom != "b1" && aTo != "b1";
  };
  cell.mWithoutLog = { "a1", "a2" };
  cell.publish("b1", "1", set_zone_state{ "a", zone_state::out });
  cell.run(2500ms);
  CHECK_FALSE(cell.fresh("a1"));
}

// Guards against a killed daemon without a successor, and against two successors.
TEST(membership, unresponsiveMemberIsSucceededInItsZone)
{
  two_zones cell;
  cell.mPaused = { "a1" };
  cell.run(12s);
  CHECK_FALSE(cell.at("b1").control().isMember("a1"));
  STRCMP_EQUAL("a2", cell.at("b1").control().resolve("a1").c_str());
  LONGS_EQUAL(1, cell.at("a2").failedOverMembers().size());
  CHECK(cell.at("b1").failedOverMembers().empty());
}

// M2. Guards against a paused daemon that acts when resumed, before it has read that another daemon
// has succeeded it.
TEST(membership, pausedDaemonIsStaleWhenResumedAndLearnsOfItsEnd)
{
  two_zones cell;
  cell.mPaused = { "a1" };
  cell.run(12s);
  CHECK_FALSE(cell.fresh("a1"));
  cell.mPaused = {};
  cell.run(2s);
  CHECK(cell.at("a1").ended());
  CHECK_FALSE(cell.fresh("a1"));
}

// Guards against a successor that acts while the member that it succeeds may still be fresh.
TEST(membership, successorActsOnlyAfterTheFreshnessOfTheDeadMemberHasExpired)
{
  two_zones cell;
  cell.mPaused = { "a1" };
  while (cell.at("a2").failedOverMembers().empty()) {
    cell.run(50ms);
  }
  CHECK(cell.at("a2").failedOverMembers().front().mEffectiveFrom >= cell.now() + 2s);
}

// Guards against jobs that do not fail over when the VM of the last daemon of a zone is gone.
TEST(membership, memberOnAMissingVmIsSucceededFromAnotherZone)
{
  two_zones cell;
  cell.mPaused = { "b1" };
  cell.run(10s);
  CHECK(cell.at("a1").control().isMember("b1"));
  cell.removeVm("b1");
  cell.run(8s);
  CHECK_FALSE(cell.at("a1").control().isMember("b1"));
}

// Guards against a failover of a daemon that has just joined and has not sent gossip yet.
TEST(membership, newMemberIsNotSucceededBeforeThePeerTimeout)
{
  two_zones cell;
  cell.mConnected = [](const std::string& aFrom, const std::string& aTo) {
    return aFrom != "b2" && aTo != "b2";
  };
  cell.add("b2", "b");
  cell.run(3s);
  CHECK(cell.at("b1").control().isMember("b2"));
}

// Guards against an earlier incarnation that remains a member after the process has restarted.
TEST(membership, newIncarnationOnTheSameVmEndsTheOldOne)
{
  two_zones cell;
  cell.mPaused = { "b1" };
  cell.add("b1-new", "b", "b1");
  cell.run(8s);
  CHECK_FALSE(cell.at("a1").control().isMember("b1"));
  CHECK(cell.at("b1-new").joined());
}

// Guards against records that are applied twice, or calls that are not answered, when replies of
// the log are lost after the append took effect.
TEST(membership, lostAppendAnswersAreHandled)
{
  two_zones cell;
  cell.mLosesAppendAnswers = true;
  cell.publish("a1", "1", set_team{ .mTeam = "t", .mLimit = { .mTasks = 9 } });
  cell.run(5s);
  const auto published = cell.at("a1").takePublished();
  LONGS_EQUAL(1, published.size());
  CHECK(published.front().mAnswer.mClass == answer_class::ran);
}

// M7. Guards against the answer "not run" to an operator whose change may be in force.
TEST(membership, publishWithoutConfirmationIsUnknown)
{
  two_zones cell;
  cell.publish("a1", "1", set_team{ .mTeam = "t" });
  cell.mWithoutLog = { "a1", "a2", "b1" };
  cell.run(6s);
  const auto published = cell.at("a1").takePublished();
  LONGS_EQUAL(1, published.size());
  CHECK(published.front().mAnswer.mClass == answer_class::unknown);
}

// M7, M11. Guards against the answer "not run" for an operation that another daemon may still
// publish, and against a queued change that undoes a newer one when the log is reachable again
// (soak, faults zone_cut,limits,keys, seed 3).
TEST(membership, unconfirmedChangeIsNotAppendedLater)
{
  two_zones cell;
  cell.withoutLog();
  cell.run(2s);
  cell.publish("a1", "1", set_team{ .mTeam = "t" });
  const auto published = cell.at("a1").takePublished();
  LONGS_EQUAL(1, published.size());
  CHECK(published.front().mAnswer.mClass == answer_class::unknown);
  cell.mWithoutLog = {};
  cell.run(2s);
  cell.withoutLog();
  cell.publish("a1", "2", set_team{ .mTeam = "u" });
  cell.run(8s);
  cell.mWithoutLog = {};
  cell.run(3s);
  CHECK(cell.at("a1").control().teams().empty());
}

// Guards against a joining daemon that treats a log without its old records as empty.
TEST(membership, joiningDaemonNeedsTheSnapshot)
{
  two_zones cell;
  cell.publish("a1", "1", set_team{ .mTeam = "t" });
  cell.run(1s);
  cell.mFirstRetained = cell.mLog.size();
  cell.mConnected = [](const std::string&, const std::string&) { return false; };
  cell.add("b2", "b");
  cell.run(1s);
  cell.mLog.push_back({ .mOffset = cell.mLog.size(), .mRecord = { .mId = "x/1", .mBody = {} } });
  cell.run(2s);
  CHECK_FALSE(cell.fresh("b2"));
  const auto& state = cell.at("a1").control();
  cell.mLog.push_back(
    { .mOffset = cell.mLog.size(),
      .mRecord = { .mId = "x/2",
                   .mBody = snapshot_record{ .mAsOf = state.next(), .mState = state.encode() } } });
  cell.run(3s);
  CHECK(cell.fresh("b2"));
  CHECK(cell.at("b2").control().teams().contains("t"));
}
