#include "election.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace endiveusher;
using namespace endiveusher::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

owner_record recordOf(owner_record::kind aKind, const std::string& aNode,
                      std::uint64_t aIncarnation = 1)
{
  return {
    .mKind = aKind, .mNode = aNode, .mIncarnation = aIncarnation, .mPeerAddress = aNode + ":1"
  };
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
  void becomeOwner()
  {
    one.onEndRead(0, now);
    now += milliseconds(1);
    CHECK(next() == election::action::claim);
    one.onAppended(election::action::claim, 0, now);
  }
};

TEST(election, claimsNothingBeforeTheTopicIsRead)
{
  now += seconds(10);
  CHECK(next() == election::action::none);
}

TEST(election, claimsAVacantCellAndRenews)
{
  becomeOwner();
  CHECK(one.state() == election::role::owner);
  CHECK_EQUAL(1, one.epoch());
  CHECK(next() == election::action::none);
  now += milliseconds(400);
  CHECK(next() == election::action::renew);
}

// Orders to restarted targets carry these numbers: above the epoch, and below that of the next
// owner.
TEST(election, numbersItsRecordsBetweenItsEpochAndTheNextOne)
{
  becomeOwner();
  CHECK_EQUAL(1, one.newestRecord());
  now += milliseconds(400);
  CHECK(next() == election::action::renew);
  CHECK_EQUAL(1, one.newestRecord());
  one.onAppended(election::action::renew, 1, now);
  CHECK_EQUAL(2, one.newestRecord());
  // A renewal without an answer counts only once it is read.
  one.onRecordRead(recordOf(owner_record::kind::renewal, "a", 7), 2, now);
  CHECK_EQUAL(3, one.newestRecord());
  one.onRecordRead(recordOf(owner_record::kind::claim, "b"), 3, now);
  CHECK_EQUAL(3, one.newestRecord());
  CHECK(one.newestRecord() < epochOf(3));
}

// Guards against claims and renewals that are sent again while one is in flight.
TEST(election, sendsOneAppendAtATime)
{
  one.onEndRead(0, now);
  now += milliseconds(1);
  CHECK(next() == election::action::claim);
  for (int loop = 0; loop < 5; ++loop) {
    CHECK(next() == election::action::none);
  }
}

TEST(election, readsTheTopicAfterARejectedClaim)
{
  one.onEndRead(0, now);
  now += milliseconds(1);
  CHECK(next() == election::action::claim);
  one.onRejected(election::action::claim);
  CHECK(next() == election::action::none);
  one.onRecordRead(recordOf(owner_record::kind::claim, "b"), 0, now);
  one.onEndRead(1, now);
  CHECK(next() == election::action::none);
  CHECK_EQUAL("b:1", one.ownerAddress().value());
}

TEST(election, claimsAfterTheOwnersTimeout)
{
  one.onRecordRead(recordOf(owner_record::kind::claim, "b"), 0, now);
  one.onEndRead(1, now);
  now += milliseconds(1500);
  CHECK(next() == election::action::none);
  now += milliseconds(400);
  CHECK(next() == election::action::claim);
  CHECK_EQUAL(1, one.expectedEnd());
}

// Guards against claims right after an outage of the store, before the owner could renew.
TEST(election, countsTheTimeoutOnlyWhileTheStoreAnswers)
{
  one.onRecordRead(recordOf(owner_record::kind::claim, "b"), 0, now);
  one.onEndRead(1, now);
  one.onReadFailed();
  now += seconds(5);
  CHECK(next() == election::action::none);
  one.onEndRead(1, now);
  now += milliseconds(1000);
  CHECK(next() == election::action::none);
}

TEST(election, claimsSoonerIfCallsToTheOwnerFail)
{
  one.onRecordRead(recordOf(owner_record::kind::claim, "b"), 0, now);
  one.onEndRead(1, now);
  one.setOwnerSuspected(std::nullopt, true, now);
  now += milliseconds(1000);
  CHECK(next() == election::action::claim);
}

TEST(election, claimsAtOnceIfTheOwnersProcessHasEnded)
{
  one.onRecordRead(recordOf(owner_record::kind::claim, "b"), 0, now);
  one.onEndRead(1, now);
  one.setOwnerSuspected(now, false, now);
  now += milliseconds(1);
  CHECK(next() == election::action::claim);
}

// Load pattern: a zone is cut off, with resets, from the store and the owner, and comes back.
// Guards against a claim on the word of a call that the cut had refused, while the owner is
// healthy.
TEST(election, aRefusalFromBeforeTheStoreAnsweredAgainDoesNotCount)
{
  one.onRecordRead(recordOf(owner_record::kind::claim, "b"), 0, now);
  one.onEndRead(1, now);
  one.onReadFailed();
  now += seconds(5);
  const auto refusedAt = now;
  now += milliseconds(100);
  one.onRecordRead(recordOf(owner_record::kind::renewal, "b"), 1, now);
  one.onEndRead(2, now);
  one.setOwnerSuspected(refusedAt, true, now);
  now += milliseconds(300);
  CHECK(next() == election::action::none);
  one.setOwnerSuspected(now, true, now);
  now += milliseconds(1);
  CHECK(next() == election::action::claim);
}

// Guards against a small VM that becomes owner before larger ones know of the loss: the last
// renewal may be nearly as old as its delay when the owner's process ends.
TEST(election, aReluctantDaemonWaitsFromWhenItKnowsOfTheLoss)
{
  election small{ { .mNode = "a", .mIncarnation = 7, .mPeerAddress = "a:1", .mLarge = false } };
  auto claim = recordOf(owner_record::kind::claim, "b");
  claim.mLarge = false;
  small.onRecordRead(claim, 0, now);
  small.onEndRead(1, now);
  now += milliseconds(399);
  small.setOwnerSuspected(now, false, now);
  now += milliseconds(399);
  small.setOwnerSuspected(now, false, now);
  CHECK(small.next(now, true, false) == election::action::none);
  now += milliseconds(2);
  CHECK(small.next(now, true, false) == election::action::claim);
}

// Guards against a small VM that becomes owner after all daemons have lost power: the large ones
// read the state of the cell before they claim.
TEST(election, aSmallVmWaitsLongerIfTheLastOwnerWasLarge)
{
  election small{ { .mNode = "a", .mIncarnation = 7, .mPeerAddress = "a:1", .mLarge = false } };
  small.onRecordRead(recordOf(owner_record::kind::claim, "b"), 0, now);
  small.onEndRead(1, now);
  small.setOwnerSuspected(now, false, now);
  now += milliseconds(2999);
  CHECK(small.next(now, true, false) == election::action::none);
  now += milliseconds(2);
  CHECK(small.next(now, true, false) == election::action::claim);
}

TEST(election, claimsAtOnceIfAnEarlierIncarnationWasOwner)
{
  one.onRecordRead(recordOf(owner_record::kind::claim, "a", 6), 0, now);
  one.onEndRead(1, now);
  CHECK(next() == election::action::claim);
}

TEST(election, stepsDownWhenAnotherDaemonHasClaimed)
{
  becomeOwner();
  one.onRecordRead(recordOf(owner_record::kind::claim, "b"), 1, now);
  CHECK(one.state() == election::role::follower);
}

// An unanswered claim may have been stored, which the next read of the topic shows.
TEST(election, findsItsClaimInTheTopic)
{
  one.onEndRead(0, now);
  now += milliseconds(1);
  CHECK(next() == election::action::claim);
  one.onUnanswered(election::action::claim, now, now);
  one.onRecordRead(recordOf(owner_record::kind::claim, "a", 7), 0, now);
  CHECK(one.state() == election::role::owner);
  CHECK_EQUAL(1, one.epoch());
}

// Guards against an owner that pauses because the replies to its stored renewals were lost.
TEST(election, countsRenewalsWhoseAnswersWereLost)
{
  becomeOwner();
  const auto sent = now + milliseconds(400);
  now = sent;
  CHECK(next() == election::action::renew);
  now += milliseconds(300);
  one.onUnanswered(election::action::renew, sent, now);
  one.onRecordRead(recordOf(owner_record::kind::renewal, "a", 7), 1, now);
  CHECK(one.mayAct(sent + milliseconds(4900)));
  CHECK_FALSE(one.mayAct(sent + milliseconds(5100)));
}

TEST(election, actsOnlyWithARecentRenewal)
{
  becomeOwner();
  CHECK(one.mayAct(now + milliseconds(4900)));
  CHECK_FALSE(one.mayAct(now + milliseconds(5100)));
}

TEST(election, releasesWhenItStops)
{
  becomeOwner();
  CHECK(next(true) == election::action::release);
  one.onAppended(election::action::release, 1, now);
  CHECK(one.state() == election::role::follower);
  CHECK(next(true) == election::action::none);
}

TEST(election, recordsSurviveEncodingAndDecoding)
{
  const auto record = decodeOwnerRecord(encode(recordOf(owner_record::kind::renewal, "b", 9)));
  CHECK(record.ok());
  CHECK(record->mKind == owner_record::kind::renewal);
  CHECK_EQUAL("b", record->mNode);
  CHECK_EQUAL(9, record->mIncarnation);
  CHECK_FALSE(decodeOwnerRecord("\xff").ok());
}

// Guards against a new owner that asks only the last of several short-lived ones.
TEST(election, knowsTheOwnersOfTheLastSeconds)
{
  one.onRecordRead(recordOf(owner_record::kind::claim, "b"), 0, now);
  now += seconds(8);
  one.onRecordRead(recordOf(owner_record::kind::claim, "c"), 1, now);
  one.onRecordRead(recordOf(owner_record::kind::claim, "d"), 2, now);
  one.onRecordRead(recordOf(owner_record::kind::claim, "a", 7), 3, now);
  const std::vector<std::string> all{ "b:1", "c:1", "d:1" };
  CHECK(one.formerOwners(now, seconds(15)) == all);
  now += seconds(8);
  const std::vector<std::string> recent{ "c:1", "d:1" };
  CHECK(one.formerOwners(now, seconds(15)) == recent);
}

// Guards against two daemons that act at a time: the owner's release is stored, its reply is lost,
// and the next owner relies on the release.
TEST(election, anOwnerDoesNotActOnceItHasSentItsRelease)
{
  becomeOwner();
  CHECK(one.mayAct(now));
  now += milliseconds(10);
  CHECK(next(true) == election::action::release);
  CHECK(!one.mayAct(now));
  one.onUnanswered(election::action::release, now, now + milliseconds(500));
  CHECK(!one.mayAct(now + milliseconds(600)));
}

// Guards against an owner that never acts, because it has released an earlier ownership.
TEST(election, actsAgainWhenItOwnsTheCellAfterARelease)
{
  becomeOwner();
  CHECK(next(true) == election::action::release);
  one.onAppended(election::action::release, 1, now);
  one.onRecordRead(recordOf(owner_record::kind::release, "a", 7), 1, now);
  now += seconds(5);
  CHECK(next() == election::action::claim);
  one.onAppended(election::action::claim, 2, now);
  CHECK(one.mayAct(now));
  CHECK_EQUAL(3, one.epoch());
}

// The next owner may rely on a release whose answer was lost.
TEST(election, aReleaseThatWasSentIsNotTakenBack)
{
  becomeOwner();
  CHECK(next(true) == election::action::release);
  one.onUnanswered(election::action::release, now, now);
  now += milliseconds(500);
  CHECK(next(false) == election::action::release);
  CHECK_FALSE(one.mayAct(now));
}

// Guards against two owners after a hand-over: the answer to the claim arrives after the
// successor's claim has been read, because the daemon was paused or the answers overtook each
// other.
TEST(election, aLateAnswerToAClaimDoesNotUndoASuccessor)
{
  one.onEndRead(0, now);
  now += milliseconds(1);
  const auto sent = now;
  CHECK(next() == election::action::claim);
  now += seconds(6);
  one.onRecordRead(recordOf(owner_record::kind::claim, "a", 7), 0, now);
  one.onRecordRead(recordOf(owner_record::kind::claim, "b"), 1, now);
  one.onEndRead(2, now);
  one.onAppended(election::action::claim, 0, sent);
  CHECK(one.state() == election::role::follower);
  CHECK(next() == election::action::none);
  CHECK_EQUAL("b:1", one.ownerAddress().value_or(""));
}

// Guards against a daemon that forwards nothing to the new owner, because the late answer to its
// own last renewal makes it the last owner that it knows.
TEST(election, aLateAnswerToARenewalDoesNotHideASuccessor)
{
  becomeOwner();
  now += milliseconds(400);
  const auto sent = now;
  CHECK(next() == election::action::renew);
  now += seconds(6);
  one.onRecordRead(recordOf(owner_record::kind::renewal, "a", 7), 1, now);
  one.onRecordRead(recordOf(owner_record::kind::claim, "b"), 2, now);
  one.onEndRead(3, now);
  one.onAppended(election::action::renew, 1, sent);
  CHECK(one.state() == election::role::follower);
  CHECK_EQUAL("b:1", one.ownerAddress().value_or(""));
}

// Guards against two owners after a pause that outlasts the store's history: the successor's claim
// has been deleted, and only its renewals can be read.
TEST(election, stepsDownAtARenewalOfItsSuccessor)
{
  becomeOwner();
  now += seconds(30);
  one.onRecordRead(recordOf(owner_record::kind::renewal, "b"), 80, now);
  one.onEndRead(81, now);
  CHECK(one.state() == election::role::follower);
  CHECK(next() == election::action::none);
}

// Guards against a daemon that acts on an ownership that expired while it was paused: it reads its
// claim before it receives the answer to it.
TEST(election, aClaimThatIsReadAfterAPauseIsAsOldAsItWasSent)
{
  one.onEndRead(0, now);
  now += milliseconds(1);
  CHECK(next() == election::action::claim);
  now += seconds(6);
  one.onRecordRead(recordOf(owner_record::kind::claim, "a", 7), 0, now);
  CHECK(one.state() == election::role::owner);
  CHECK_FALSE(one.mayAct(now));
}

// Guards against an ownership that is extended by a renewal that was never stored: the reads are
// behind and show an earlier one.
TEST(election, anEarlierRenewalDoesNotConfirmAnUnansweredOne)
{
  becomeOwner();
  now += milliseconds(400);
  CHECK(next() == election::action::renew);
  one.onAppended(election::action::renew, 1, now);
  const auto renewed = now;
  now += milliseconds(400);
  CHECK(next() == election::action::renew);
  one.onUnanswered(election::action::renew, now, now + milliseconds(300));
  now += milliseconds(300);
  one.onRecordRead(recordOf(owner_record::kind::renewal, "a", 7), 1, now);
  CHECK(one.mayAct(renewed + milliseconds(4999)));
  CHECK_FALSE(one.mayAct(renewed + milliseconds(5000)));
  one.onRecordRead(recordOf(owner_record::kind::renewal, "a", 7), 2, now);
  CHECK(one.mayAct(renewed + milliseconds(5000)));
}

// Guards against a second ownership under one epoch: its appends to the journal would have the
// numbers of the first one's, so the store would confirm them without storing them.
TEST(election, aLateAnswerToAClaimDoesNotBeginItsOwnershipAgain)
{
  one.onEndRead(0, now);
  now += milliseconds(1);
  CHECK(next() == election::action::claim);
  const auto sent = now;
  one.onRecordRead(recordOf(owner_record::kind::claim, "a", 7), 0, now);
  CHECK(one.state() == election::role::owner);
  one.stepDown();
  now += milliseconds(100);
  one.onAppended(election::action::claim, 0, sent);
  CHECK(one.state() == election::role::follower);
}

// Guards against an owner that goes on beside one of another version, whose claim it cannot read.
TEST(election, anOwnerStepsDownForARecordThatItCannotRead)
{
  becomeOwner();
  one.onUnreadableRecord(1, now);
  CHECK(one.state() == election::role::follower);
  CHECK_EQUAL(2, one.expectedEnd());
}

// Guards against claims in place of an owner that writes records of another version.
TEST(election, recordsThatCannotBeReadAreSignsOfAnOwner)
{
  one.onEndRead(0, now);
  one.onRecordRead(recordOf(owner_record::kind::claim, "b"), 0, now);
  for (std::uint64_t offset = 1; offset < 20; ++offset) {
    now += milliseconds(400);
    one.onUnreadableRecord(offset, now);
    one.onEndRead(offset + 1, now);
    CHECK(next() == election::action::none);
  }
  now += seconds(10);
  CHECK(next() == election::action::claim);
}
