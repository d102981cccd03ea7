#include "placer_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;

TEST_GROUP(placer_targets){};

// Guards against targets that are never acquired, and tasks that never start.
TEST(placer_targets, acquiresFreeTargetsAndStartsTasks)
{
  placer_harness<> cell(2);
  cell.run(100ms);
  STRCMP_EQUAL("d1", cell.target(0).mOwner.c_str());
  cell.enqueueMany(16);
  cell.run(50ms);
  UNSIGNED_LONGS_EQUAL(16, cell.running());
  UNSIGNED_LONGS_EQUAL(16, cell.count(placed_state::running));
}

// Guards against one exchange per order; pending orders must share an exchange.
TEST(placer_targets, sendsWaitingOrdersInOneExchange)
{
  placer_harness<> cell(1);
  cell.run(100ms);
  cell.mSent.clear();
  cell.enqueueMany(8);
  cell.step();
  UNSIGNED_LONGS_EQUAL(1, cell.mSent.size());
  UNSIGNED_LONGS_EQUAL(8, cell.mSent.front().mRequest.mOrders.size());
}

// Guards against unnecessary exchanges with targets whose state does not change.
TEST(placer_targets, lengthensTheIntervalWhenNothingChanges)
{
  placer_harness<> cell(1);
  cell.run(20s);
  cell.mSent.clear();
  cell.run(12s);
  UNSIGNED_LONGS_EQUAL(3, cell.mSent.size());
}

// Guards against start orders that can be executed after the end of freshness.
TEST(placer_targets, startByNeverPassesTheEndOfFreshness)
{
  placer_harness<> cell(1);
  cell.run(3s);
  cell.mView.mFreshUntil = cell.mNow + 500ms;
  cell.setView();
  cell.mSent.clear();
  cell.enqueue(cell.task(0));
  cell.step();
  const target_time end =
    std::chrono::duration_cast<target_time>(cell.mView.mFreshUntil.time_since_epoch());
  CHECK(cell.mSent.at(0).mRequest.mOrders.at(0).mStartBy <= end);
}

// Guards against an answer to a timed-out exchange that is taken for the answer to the current one.
TEST(placer_targets, ignoresAnswersToEarlierExchanges)
{
  placer_harness<> cell(1);
  cell.run(100ms);
  cell.mDelivery = [](const auto&) { return delivery::lose_request; };
  cell.enqueue(cell.task(0));
  cell.step();
  exchange_response forged;
  forged.mTarget = "t0";
  forged.mTargetIncarnation = "other";
  cell.mPlacer.handle(exchange_event{ .mTarget = "t0", .mExchangeId = 1, .mResponse = forged },
                      cell.mNow);
  CHECK(cell.placed(0).mState == placed_state::starting);
}

// Guards against a start that is executed twice or dropped when its answer is lost.
TEST(placer_targets, repeatsTheSameOrderIdsAfterALostAnswer)
{
  placer_harness<> cell(1);
  cell.run(100ms);
  cell.mSent.clear();
  bool lost = false;
  cell.mDelivery = [&](const auto&) {
    return std::exchange(lost, true) ? delivery::normal : delivery::lose_answer;
  };
  cell.enqueue(cell.task(0));
  cell.run(2s);
  UNSIGNED_LONGS_EQUAL(cell.mSent.at(0).mRequest.mOrders.at(0).mOrderId,
                       cell.mSent.at(1).mRequest.mOrders.at(0).mOrderId);
  UNSIGNED_LONGS_EQUAL(1, cell.target().mStarted.size());
  CHECK(cell.placed(0).mState == placed_state::running);
}

// Guards against leases that outlive the isolation limit.
TEST(placer_targets, renewsNoLeasesAfterTheIsolationLimit)
{
  placer_harness<> cell(1);
  cell.run(100ms);
  cell.enqueue(cell.task(0));
  cell.run(1s);
  cell.mView.mRenewUntil = cell.mNow;
  cell.setView();
  cell.run(25s);
  UNSIGNED_LONGS_EQUAL(0, cell.running());
}

// Guards against an owner that keeps a target of which another live member is the preferred owner.
TEST(placer_targets, releasesAnEmptyTargetToThePreferredOwner)
{
  placer_harness<> cell(1);
  cell.run(1s);
  cell.mView.mLive.insert("d2");
  cell.mView.mTargets.at(0).mPreferredOwner = "d2";
  cell.setView();
  cell.run(5s);
  STRCMP_EQUAL("", cell.target().mOwner.c_str());
}

// Guards against starts on a target on which attempts of another placer still run.
TEST(placer_targets, interimOwnerRenewsButStartsNothing)
{
  placer_harness<> cell(1);
  task_attempt other = cell.task(7);
  other.mPlacer = "d9";
  cell.target().mTable[other.mKey] = { .mTask = other, .mLeaseUntil = cell.clockOf() + 20s };
  cell.enqueue(cell.task(0));
  cell.run(60s);
  STRCMP_EQUAL("d1", cell.target().mOwner.c_str());
  UNSIGNED_LONGS_EQUAL(1, cell.running());
  CHECK(cell.placed(0).mState == placed_state::queued);
  // The other placer is responsive again.
  cell.mView.mLive.insert("d9");
  cell.setView();
  cell.run(5s);
  STRCMP_EQUAL("", cell.target().mOwner.c_str());
}

// Guards against attempts of a dead placer that its successor neither reports nor charges.
TEST(placer_targets, adoptsAttemptsOfASucceededPlacer)
{
  placer_harness<> cell(1);
  task_attempt other = cell.task(7);
  other.mPlacer = "d9";
  cell.target().mTable[other.mKey] = { .mTask = other, .mLeaseUntil = cell.clockOf() + 20s };
  cell.run(1s);
  const time_point since = cell.mNow;
  cell.mView.mSuccessors["d9"] = "d1";
  cell.setView();
  CHECK_FALSE(cell.mPlacer.reconciled("d9", {}, false, since, cell.mNow));
  cell.enqueue(cell.task(7));
  cell.run(5s);
  CHECK(cell.mPlacer.reconciled("d9", {}, false, since, cell.mNow));
  CHECK(cell.placed(7).mState == placed_state::running);
  LONGS_EQUAL(1, cell.mPlacer.charged("team").mTasks);
  UNSIGNED_LONGS_EQUAL(0, cell.target().mStarted.size());
}
