#include <string>
#include <vector>

#include "endiveusher/standins/target_model.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::standins;
using namespace std::chrono_literals;

namespace {

time_point at(duration aTime)
{
  return time_point{} + aTime;
}

exchange_request acquire(const std::string& aDaemon, const exchange_response& aLast = {})
{
  return { .mTarget = "t1",
           .mDaemon = aDaemon,
           .mOwnershipLease = 6s,
           .mTargetIncarnation = aLast.mTargetIncarnation,
           .mEpoch = aLast.mEpoch,
           .mTaskLeaseUntil = aLast.mClock + 20s };
}

target_order startOrder(std::uint64_t aId, const std::string& aRequest, target_time aStartBy)
{
  return { .mOrderId = aId,
           .mTask = { .mKey = { .mRequest = aRequest },
                      .mSize = { .mSlots = 1, .mCpuMilli = 1000, .mMemoryMb = 100 },
                      .mCommand = "run=250ms" },
           .mStartBy = aStartBy };
}

void checkCode(order_result_code aExpected, const exchange_response& aResponse)
{
  LONGS_EQUAL(static_cast<int>(aExpected), static_cast<int>(aResponse.mOrderResults.back().mCode));
}

} // namespace

TEST_GROUP(target_model)
{
  target_model mTarget{ { .mTarget = "t1", .mCapacity = { 2, 2000, 1000, 0 } }, at(0s) };
};

// Guards against a target that a second daemon can acquire before the lease of the first expires.
TEST(target_model, ownershipIsHeldUntilItsLeaseExpires)
{
  CHECK_TRUE(mTarget.exchange(acquire("a"), at(0s)).mGranted);
  CHECK_FALSE(mTarget.exchange(acquire("b"), at(5s)).mGranted);
  const auto acquired = mTarget.exchange(acquire("b"), at(6s));
  CHECK_TRUE(acquired.mGranted);
  LONGS_EQUAL(2, acquired.mEpoch);
}

// Guards against orders that are executed late, under a wrong epoch or twice.
TEST(target_model, staleAndRepeatedOrdersAreNotExecuted)
{
  const auto first = mTarget.exchange(acquire("a"), at(0s));
  auto request = acquire("a", first);
  request.mOrders = { startOrder(1, "r1", 1s) };
  checkCode(order_result_code::expired, mTarget.exchange(request, at(2s)));
  request.mOrders = { startOrder(2, "r1", 4s) };
  checkCode(order_result_code::done, mTarget.exchange(request, at(3s)));
  checkCode(order_result_code::done, mTarget.exchange(request, at(3500ms)));
  request.mEpoch = 7;
  request.mOrders = { startOrder(3, "r2", 9s) };
  checkCode(order_result_code::not_owner, mTarget.exchange(request, at(4s)));
  LONGS_EQUAL(1, mTarget.starts().at({ .mRequest = "r1" }));
  LONGS_EQUAL(1, mTarget.starts().size());
}

// Guards against overcommitment that is neither rejected nor counted.
TEST(target_model, overcommitmentIsRefusedOrCounted)
{
  for (const bool refuses : { true, false }) {
    target_model target({ .mTarget = "t1",
                          .mCapacity = { 1, 2000, 1000, 0 },
                          .mRefuses = refuses ? target_refusals{} : target_refusals::none() },
                        at(0s));
    auto request = acquire("a", target.exchange(acquire("a"), at(0s)));
    request.mOrders = { startOrder(1, "r1", 1s), startOrder(2, "r2", 1s) };
    const auto response = target.exchange(request, at(10ms));
    checkCode(refuses ? order_result_code::no_capacity : order_result_code::done, response);
    LONGS_EQUAL(refuses ? 0 : 1, target.overcommits());
  }
}

// Guards against work that is lost or repeated when an attempt resumes from its checkpoint.
TEST(target_model, checkpointKeepsTheWorkDone)
{
  auto request = acquire("a", mTarget.exchange(acquire("a"), at(0s)));
  request.mOrders = { startOrder(1, "r1", 1s) };
  mTarget.exchange(request, at(0s));
  request.mOrders = { startOrder(2, "r1", 1s) };
  request.mOrders[0].mAction = order_action::checkpoint;
  mTarget.exchange(request, at(100ms));
  request.mOrders.clear();
  const auto saved = mTarget.exchange(request, at(150ms));
  LONGS_EQUAL(1, saved.mFinished.size());
  request.mOrders = { startOrder(3, "r1", 1s) };
  request.mOrders[0].mTask.mCheckpoint = saved.mFinished[0].mCheckpoint;
  request.mAcknowledgedFinished = { saved.mFinished[0].mFinishedId };
  checkCode(order_result_code::done, mTarget.exchange(request, at(200ms)));
  mTarget.advance(at(320ms));
  LONGS_EQUAL(1, mTarget.running().size());
  mTarget.advance(at(330ms));
  LONGS_EQUAL(0, mTarget.running().size());
}

// Guards against tasks that outlive their lease, and against state that survives a restart.
TEST(target_model, leaseAndRestartEndTasks)
{
  auto request = acquire("a", mTarget.exchange(acquire("a"), at(0s)));
  request.mOrders = { startOrder(1, "r1", 1s), startOrder(2, "r2", 1s) };
  request.mOrders[0].mTask.mCommand = "run=100s";
  request.mOrders[1].mTask.mCommand = "run=100s";
  mTarget.exchange(request, at(0s));
  mTarget.advance(at(20s));
  LONGS_EQUAL(0, mTarget.running().size());
  mTarget.restart(at(21s));
  const auto fresh = mTarget.exchange(acquire("b"), at(22s));
  STRCMP_EQUAL("t1#2", fresh.mTargetIncarnation.c_str());
  LONGS_EQUAL(0, fresh.mFinished.size());
  LONGS_EQUAL(1000, fresh.mClock.count());
}
