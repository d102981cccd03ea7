// Each scenario must pass with all guards and must fail with one guard removed.
#include "placer_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;

namespace {

struct without_counting : all_guards
{
  static constexpr bool kCountsUnansweredOrders = false;
};
struct without_slices : all_guards
{
  static constexpr bool kChecksSlices = false;
};
struct without_freshness : all_guards
{
  static constexpr bool kChecksFreshness = false;
};
struct without_leaving : all_guards
{
  static constexpr bool kChecksLeaving = false;
};
struct without_lease_wait : all_guards
{
  static constexpr bool kWaitsForLeases = false;
};
struct without_epoch : all_guards
{
  static constexpr bool kChecksEpoch = false;
};

/// Start orders arrive after their exchange has timed out, but before their start_by.
template<guard_policy Guards>
bool overcommitsAfterDelayedOrders()
{
  placer_harness<Guards> cell(1);
  cell.target().mChecksCapacity = false;
  cell.run(100ms);
  bool delayed = false;
  cell.mDelivery = [&](const auto&) {
    return std::exchange(delayed, true) ? delivery::normal : delivery::delay;
  };
  cell.enqueueMany(8);
  cell.run(100ms);
  for (std::uint32_t i = 10; i < 18; ++i) {
    task_attempt urgent = cell.task(i);
    urgent.mUrgent = true;
    cell.enqueue(urgent);
  }
  cell.run(2s);
  return cell.mOvercommitted;
}

template<guard_policy Guards>
std::int64_t mostCharged()
{
  placer_harness<Guards> cell(1);
  cell.mView.mTeams["team"].mSlice.mTasks = 3;
  cell.setView();
  cell.enqueueMany(8);
  cell.run(1s);
  return static_cast<std::int64_t>(cell.running());
}

/// The zone is taken out of service while the daemon cannot read stream control.
template<guard_policy Guards>
std::size_t startsOnAStaleView()
{
  placer_harness<Guards> cell(1);
  cell.run(1s);
  cell.mView.mFreshUntil = cell.mNow + 10ms;
  cell.setView();
  cell.run(2s);
  cell.enqueueMany(4);
  cell.run(2s);
  return cell.target().mStarted.size();
}

/// Only the VM list shows that the target is leaving; the target itself does not report it.
template<guard_policy Guards>
std::size_t startsOnALeavingTarget()
{
  placer_harness<Guards> cell(1);
  cell.run(1s);
  cell.mView.mTargets.at(0).mLeaving = true;
  cell.setView();
  cell.enqueueMany(4);
  cell.run(2s);
  return cell.target().mStarted.size();
}

/// The coordinator delegates a new attempt as soon as the placer reports the end of the first.
template<guard_policy Guards>
bool runsTwiceWhenATargetIsUnresponsive()
{
  placer_harness<Guards> cell(2);
  cell.enqueue(cell.task(0));
  cell.run(1s);
  const target_id first = cell.placed(0).mTarget;
  cell.mDelivery = [&](const auto& aSent) {
    return aSent.mRequest.mTarget == first ? delivery::lose_request : delivery::normal;
  };
  for (int i = 0; i < 40; ++i) {
    cell.run(1s);
    if (cell.placed(0).mState == placed_state::ended && cell.placed(0).mAttempt == 1) {
      task_attempt again = cell.task(0);
      again.mAttempt = 2;
      cell.enqueue(again);
    }
  }
  UNSIGNED_LONGS_EQUAL(1, cell.running());
  return cell.mDoubled;
}

/// The target's owner and epoch change while start orders are in flight.
template<guard_policy Guards>
bool runsTwiceAfterAnEpochChange()
{
  placer_harness<Guards> cell(2);
  cell.run(1s);
  bool delayed = false;
  cell.mDelivery = [&](const exchange_effect& aSent) {
    return aSent.mRequest.mOrders.empty() || std::exchange(delayed, true) ? delivery::normal
                                                                          : delivery::delay;
  };
  cell.enqueue(cell.task(0));
  cell.step();
  fake_target& first = cell.mTargets.at(cell.placed(0).mTarget);
  first.mOwner.clear();
  ++first.mEpoch;
  for (target_info& info : cell.mView.mTargets) {
    info.mLeaving = info.mTarget == first.mId;
  }
  cell.setView();
  cell.run(3s);
  UNSIGNED_LONGS_EQUAL(1, cell.mDoubled ? 1 : cell.running());
  return cell.mDoubled;
}

} // namespace

TEST_GROUP(placer_guards){};

// Guards against reuse of capacity while delayed start orders may still be executed (M1).
TEST(placer_guards, unansweredOrdersCountUntilTheyExpire)
{
  CHECK_FALSE(overcommitsAfterDelayedOrders<all_guards>());
  CHECK(overcommitsAfterDelayedOrders<without_counting>());
}

// Guards against more running tasks than the slice of the team's upper limit allows (M4).
TEST(placer_guards, chargeStaysWithinTheSlice)
{
  LONGS_EQUAL(3, mostCharged<all_guards>());
  invariant_counter broken;
  LONGS_EQUAL(8, mostCharged<without_slices>());
  LONGS_EQUAL(5, broken.count());
}

// Guards against starts in a zone that is out of service, based on an outdated view (M5).
TEST(placer_guards, nothingStartsOnAStaleView)
{
  UNSIGNED_LONGS_EQUAL(0, startsOnAStaleView<all_guards>());
  CHECK(startsOnAStaleView<without_freshness>() > 0);
}

// Guards against starts on targets that are leaving (M9).
TEST(placer_guards, leavingTargetsGetNoNewWork)
{
  UNSIGNED_LONGS_EQUAL(0, startsOnALeavingTarget<all_guards>());
  CHECK(startsOnALeavingTarget<without_leaving>() > 0);
}

// Guards against a second attempt while the first still runs on a partitioned target (M2).
TEST(placer_guards, lostAttemptsEndAfterTheirLeases)
{
  CHECK_FALSE(runsTwiceWhenATargetIsUnresponsive<all_guards>());
  CHECK(runsTwiceWhenATargetIsUnresponsive<without_lease_wait>());
}

// Guards against the execution of old orders that arrive after the target's owner has changed (M2).
TEST(placer_guards, ordersAreVoidAfterTheirEpoch)
{
  CHECK_FALSE(runsTwiceAfterAnEpochChange<all_guards>());
  CHECK(runsTwiceAfterAnEpochChange<without_epoch>());
}
