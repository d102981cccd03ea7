#include "election.h"
#include "epoch_history.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kMaxRenewalAge{ 5000 };

owner_record recordOf(owner_record::kind aKind, const std::string& aNode,
                      std::uint64_t aIncarnation = 1)
{
  return {
    .mKind = aKind, .mNode = aNode, .mIncarnation = aIncarnation, .mPeerAddress = aNode + ":1"
  };
}

} // namespace

/// Epoch 1 is that of a, which has claimed at 10 s and renewed at 11 s.
TEST_GROUP(epoch_history)
{
  epoch_history history{ kMaxRenewalAge };
  time_point claimed{ seconds(10) };
  time_point renewed{ seconds(11) };

  void setup() override
  {
    history.onRecord(recordOf(owner_record::kind::claim, "a"), 0, claimed);
    history.onRecord(recordOf(owner_record::kind::renewal, "a"), 1, renewed);
  }
};

TEST(epoch_history, anOwnerMayActForAWhileAfterItsLastRecord)
{
  history.onRecord(recordOf(owner_record::kind::claim, "b"), 2, renewed + seconds(2));
  const auto acts = history.latestActs();
  CHECK(acts.at(1) == renewed + kMaxRenewalAge);
  CHECK(acts.at(3) == renewed + seconds(2) + kMaxRenewalAge);
}

TEST(epoch_history, anOwnerDoesNotActAfterItsRelease)
{
  const auto released = renewed + milliseconds(300);
  history.onRecord(recordOf(owner_record::kind::release, "a"), 2, released);
  history.onRecord(recordOf(owner_record::kind::claim, "b"), 3, released + milliseconds(50));
  CHECK(history.latestActs().at(1) == released);
}

TEST(epoch_history, anEarlierProcessOfTheSameDaemonDoesNotAct)
{
  const auto restarted = renewed + milliseconds(900);
  history.onRecord(recordOf(owner_record::kind::claim, "a", 2), 2, restarted);
  const auto acts = history.latestActs();
  CHECK(acts.at(1) == restarted);
  CHECK(acts.at(3) == restarted + kMaxRenewalAge);
}

TEST(epoch_history, anOwnerThatHasAnsweredAsAFollowerDoesNotAct)
{
  history.onRecord(recordOf(owner_record::kind::claim, "b"), 2, renewed + seconds(2));
  const auto answered = renewed + milliseconds(2100);
  history.onStoodDown("a:1", 3, answered);
  const auto acts = history.latestActs();
  CHECK(acts.at(1) == answered);
  CHECK(acts.at(3) == renewed + seconds(2) + kMaxRenewalAge);
}

// Guards against a bound that is too low: a daemon that was owner twice has answered between.
TEST(epoch_history, anAnswerSaysNothingOfALaterEpoch)
{
  history.onRecord(recordOf(owner_record::kind::claim, "b"), 2, renewed + seconds(2));
  history.onRecord(recordOf(owner_record::kind::claim, "a"), 3, renewed + seconds(4));
  history.onStoodDown("a:1", 3, renewed + seconds(5));
  CHECK(history.latestActs().at(4) == renewed + seconds(4) + kMaxRenewalAge);
}

// Guards against accepted tasks that wait for an early tenure of a daemon that owns the cell again.
TEST(epoch_history, aLaterTenureDoesNotExtendAnEarlierOne)
{
  history.onRecord(recordOf(owner_record::kind::claim, "b"), 2, renewed + seconds(2));
  history.onRecord(recordOf(owner_record::kind::claim, "a"), 3, renewed + seconds(4));
  history.onRecord(recordOf(owner_record::kind::renewal, "a"), 4, renewed + seconds(9));
  CHECK(history.latestActs().at(1) <= renewed + kMaxRenewalAge);
  CHECK(history.latestActs().at(4) == renewed + seconds(9) + kMaxRenewalAge);
}
