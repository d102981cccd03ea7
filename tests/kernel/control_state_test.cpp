#include "endiveusher/kernel/control_state.h"

#include <numeric>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;

namespace {

/// Builds a control_state record by record.
struct history
{
  control_state mState;

  template<typename Body>
  bool add(Body aBody, std::string aId = {})
  {
    const log_offset offset = mState.next();
    if (aId.empty()) {
      aId = "w/" + std::to_string(offset);
    }
    return mState.apply(
      { .mOffset = offset, .mRecord = { .mId = aId, .mBody = std::move(aBody) } });
  }
  void join(const std::string& aName)
  {
    add(join_record{ .mIncarnation = aName, .mVm = aName, .mZone = "z1", .mPeerAddress = "" });
  }
  void change(std::string aOperation, config_change aChange,
              std::optional<log_offset> aExpected = {})
  {
    add(config_record{ .mOperationId = std::move(aOperation),
                       .mExpectedOffset = aExpected,
                       .mChanges = { std::move(aChange) } });
  }
  void limit(std::string aOperation, std::int64_t aTasks)
  {
    change(std::move(aOperation), set_team{ .mTeam = "t", .mLimit = { .mTasks = aTasks } });
  }
  std::int64_t tasks(const std::string& aHolder) const { return mState.slice(aHolder, "t").mTasks; }
};

} // namespace

TEST_GROUP(control_state)
{
  history mHistory;

  void setup() override
  {
    mHistory.join("a");
    mHistory.join("b");
    mHistory.join("c");
  }
  std::int64_t total() const
  {
    return mHistory.tasks("a") + mHistory.tasks("b") + mHistory.tasks("c");
  }
};

// Guards against a limit that is exceeded, or partly lost, by rounding its slices.
TEST(control_state, slicesAddUpToTheLimit)
{
  mHistory.limit("1", 10);
  LONGS_EQUAL(10, total());
  mHistory.limit("2", 7);
  LONGS_EQUAL(7, total());
  mHistory.limit("3", 100);
  LONGS_EQUAL(100, total());
}

// Guards against a slice that two daemons hold after a transfer record was appended twice.
TEST(control_state, transferWithTheSameIdCountsOnce)
{
  mHistory.limit("1", 9);
  const slice_transfer_record transfer{
    .mFrom = "a", .mTo = "b", .mTeam = "t", .mAmount = { .mTasks = 2 }
  };
  mHistory.add(transfer, "a/1");
  mHistory.add(transfer, "a/1");
  LONGS_EQUAL(1, mHistory.tasks("a"));
  LONGS_EQUAL(5, mHistory.tasks("b"));
}

// Guards against a transfer of more than the sender holds after the limit was lowered.
TEST(control_state, transferIsBoundedByTheHolding)
{
  mHistory.limit("1", 3);
  mHistory.add(
    slice_transfer_record{ .mFrom = "a", .mTo = "b", .mTeam = "t", .mAmount = { .mTasks = 5 } });
  LONGS_EQUAL(0, mHistory.tasks("a"));
  LONGS_EQUAL(3, total());
}

// Guards against slices that are lost or duplicated by two takeover records for one member.
TEST(control_state, firstTakeoverMovesTheSliceOnce)
{
  mHistory.limit("1", 9);
  mHistory.add(takeover_record{ .mDead = "a", .mSuccessor = "b" });
  mHistory.add(takeover_record{ .mDead = "a", .mSuccessor = "c" });
  LONGS_EQUAL(6, mHistory.tasks("b"));
  LONGS_EQUAL(3, mHistory.tasks("c"));
  CHECK_FALSE(mHistory.mState.isMember("a"));
  STRCMP_EQUAL("b", mHistory.mState.resolve("a").c_str());
}

// Guards against a successor that has itself ended and cannot act.
TEST(control_state, endedMemberCannotSucceed)
{
  mHistory.add(takeover_record{ .mDead = "b", .mSuccessor = "c" });
  mHistory.add(takeover_record{ .mDead = "a", .mSuccessor = "b" });
  CHECK(mHistory.mState.isMember("a"));
}

// Guards against a lost update when two operators change the same entry.
TEST(control_state, staleExpectedOffsetIsRefused)
{
  mHistory.limit("1", 9);
  const log_offset seen = mHistory.mState.teams().at("t").mOffset;
  mHistory.change("2", set_team{ .mTeam = "t", .mShare = 2.0 }, seen);
  mHistory.change("3", set_team{ .mTeam = "t", .mShare = 3.0 }, seen);
  CHECK(mHistory.mState.operation("2")->mApplied);
  CHECK_FALSE(mHistory.mState.operation("3")->mApplied);
  DOUBLES_EQUAL(2.0, mHistory.mState.teams().at("t").mTeam.mShare, 1e-9);
}

// Guards against a withdrawn key that becomes valid again when an older grant is read again.
TEST(control_state, withdrawnKeyStaysWithdrawnWhenOldRecordsAreReadAgain)
{
  mHistory.limit("1", 9);
  const stored_record<control_record> grant{
    .mOffset = mHistory.mState.next(),
    .mRecord = { .mId = "g",
                 .mBody = config_record{ .mOperationId = "g",
                                         .mExpectedOffset = {},
                                         .mChanges = { grant_key{ "t", "digest" } } } }
  };
  mHistory.mState.apply(grant);
  CHECK(mHistory.mState.teamOfKey("digest").has_value());
  mHistory.change("w", withdraw_key{ "digest" });
  mHistory.mState.apply(grant);
  CHECK_FALSE(mHistory.mState.teamOfKey("digest").has_value());
}

// Guards against skipped records: a gap in the offsets must be refused.
TEST(control_state, gapIsRefused)
{
  const log_offset next = mHistory.mState.next();
  CHECK_FALSE(
    mHistory.mState.apply({ .mOffset = next + 1, .mRecord = { .mId = "x", .mBody = {} } }));
  LONGS_EQUAL(next, mHistory.mState.next());
}

// Guards against a configuration that reverts when an old snapshot is read, and against a state
// that is lost when a newer one is.
TEST(control_state, snapshotRestoresOnlyForward)
{
  mHistory.limit("1", 9);
  mHistory.change("g", grant_key{ "t", "digest" });
  mHistory.add(takeover_record{ .mDead = "a", .mSuccessor = "b" });
  const std::string snapshot = mHistory.mState.encode();
  control_state joiner;
  CHECK(joiner.restore(snapshot));
  STRCMP_EQUAL(snapshot.c_str(), joiner.encode().c_str());
  mHistory.change("w", withdraw_key{ "digest" });
  CHECK_FALSE(mHistory.mState.restore(snapshot));
  CHECK_FALSE(mHistory.mState.teamOfKey("digest").has_value());
}

// Guards against a crash on a malformed snapshot.
TEST(control_state, brokenSnapshotIsRefused)
{
  control_state state;
  CHECK_FALSE(state.restore("{\"next\":5"));
  LONGS_EQUAL(0, state.next());
}
