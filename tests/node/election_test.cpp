#include "election.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

owner_record recordOf(owner_record::kind aKind, const std::string& aNode, std::uint64_t aLife = 1)
{
  return { .mKind = aKind, .mNode = aNode, .mIncarnation = aLife, .mPeerAddress = aNode + ":1" };
}

} // namespace

TEST_GROUP(election)
{
  election one{ { .mNode = "a", .mIncarnation = 7, .mPeerAddress = "a:1" } };
  time_point now{ seconds(10) };

  election::action next(bool aStopping = false)
  {
    return one.next(now, true, aStopping);
  }
  void become()
  {
    one.sawEnd(0, now);
    now += milliseconds(1);
    CHECK(next() == election::action::claim);
    one.appended(election::action::claim, 0, now);
  }
};

TEST(election, claimsNothingBeforeTheTopicIsRead)
{
  now += seconds(10);
  CHECK(next() == election::action::none);
}

TEST(election, claimsAVacantCellAndRenews)
{
  become();
  CHECK(one.state() == election::role::owner);
  CHECK_EQUAL(1, one.epoch());
  CHECK(next() == election::action::none);
  now += milliseconds(400);
  CHECK(next() == election::action::renew);
}

// Guards against claims and renewals that are sent again while one is on its way.
TEST(election, sendsOneAppendAtATime)
{
  one.sawEnd(0, now);
  now += milliseconds(1);
  CHECK(next() == election::action::claim);
  for (int loop = 0; loop < 5; ++loop) {
    CHECK(next() == election::action::none);
  }
}

TEST(election, readsTheTopicAfterARejectedClaim)
{
  one.sawEnd(0, now);
  now += milliseconds(1);
  CHECK(next() == election::action::claim);
  one.rejected(election::action::claim);
  CHECK(next() == election::action::none);
  one.sawRecord(recordOf(owner_record::kind::claim, "b"), 0, now);
  one.sawEnd(1, now);
  CHECK(next() == election::action::none);
  CHECK_EQUAL("b:1", one.ownerAddress().value());
}

TEST(election, claimsAfterTheOwnersSilence)
{
  one.sawRecord(recordOf(owner_record::kind::claim, "b"), 0, now);
  one.sawEnd(1, now);
  now += milliseconds(1500);
  CHECK(next() == election::action::none);
  now += milliseconds(400);
  CHECK(next() == election::action::claim);
  CHECK_EQUAL(1, one.expectedEnd());
}

// After an outage of the store the owner gets the time to renew before others claim.
TEST(election, countsSilenceOnlyWhileTheStoreAnswers)
{
  one.sawRecord(recordOf(owner_record::kind::claim, "b"), 0, now);
  one.sawEnd(1, now);
  one.lostStore();
  now += seconds(5);
  CHECK(next() == election::action::none);
  one.sawEnd(1, now);
  now += milliseconds(1000);
  CHECK(next() == election::action::none);
}

TEST(election, claimsSoonerIfCallsToTheOwnerFail)
{
  one.sawRecord(recordOf(owner_record::kind::claim, "b"), 0, now);
  one.sawEnd(1, now);
  one.setOwnerDoubt(false, true);
  now += milliseconds(1000);
  CHECK(next() == election::action::claim);
}

TEST(election, claimsAtOnceIfTheOwnersProcessHasEnded)
{
  one.sawRecord(recordOf(owner_record::kind::claim, "b"), 0, now);
  one.sawEnd(1, now);
  one.setOwnerDoubt(true, false);
  now += milliseconds(1);
  CHECK(next() == election::action::claim);
}

TEST(election, claimsAtOnceIfAnEarlierLifeOfThisDaemonWasOwner)
{
  one.sawRecord(recordOf(owner_record::kind::claim, "a", 6), 0, now);
  one.sawEnd(1, now);
  CHECK(next() == election::action::claim);
}

TEST(election, givesUpWhenAnotherHasClaimed)
{
  become();
  one.sawRecord(recordOf(owner_record::kind::claim, "b"), 1, now);
  CHECK(one.state() == election::role::follower);
}

// A claim without an answer may have been stored: the next read tells.
TEST(election, findsItsClaimInTheTopic)
{
  one.sawEnd(0, now);
  now += milliseconds(1);
  CHECK(next() == election::action::claim);
  one.unanswered(election::action::claim, now, now);
  one.sawRecord(recordOf(owner_record::kind::claim, "a", 7), 0, now);
  CHECK(one.state() == election::role::owner);
  CHECK_EQUAL(1, one.epoch());
}

// Guards against an owner that pauses although its renewals are stored: their answers were lost.
TEST(election, countsRenewalsWhoseAnswersWereLost)
{
  become();
  const auto sent = now + milliseconds(400);
  now = sent;
  CHECK(next() == election::action::renew);
  now += milliseconds(300);
  one.unanswered(election::action::renew, sent, now);
  one.sawRecord(recordOf(owner_record::kind::renewal, "a", 7), 1, now);
  CHECK(one.mayAct(sent + milliseconds(4900)));
  CHECK_FALSE(one.mayAct(sent + milliseconds(5100)));
}

TEST(election, actsOnlyWithARecentRenewal)
{
  become();
  CHECK(one.mayAct(now + milliseconds(4900)));
  CHECK_FALSE(one.mayAct(now + milliseconds(5100)));
}

TEST(election, releasesWhenItStops)
{
  become();
  CHECK(next(true) == election::action::release);
  one.appended(election::action::release, 1, now);
  CHECK(one.state() == election::role::follower);
  CHECK(next(true) == election::action::none);
}

TEST(election, recordsSurviveTheStore)
{
  const auto record = decodeOwnerRecord(encode(recordOf(owner_record::kind::renewal, "b", 9)));
  CHECK(record.ok());
  CHECK(record->mKind == owner_record::kind::renewal);
  CHECK_EQUAL("b", record->mNode);
  CHECK_EQUAL(9, record->mIncarnation);
  CHECK_FALSE(decodeOwnerRecord("\xff").ok());
}
