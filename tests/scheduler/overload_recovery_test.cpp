#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

/// Load pattern: eight teams send jobs of one short task of an urgent route, for four seconds three
/// times what the owner can do. Its event loop is delayed by each start, and by each waiting step.
struct burst_play
{
  static constexpr int kTeams = 8;
  static constexpr milliseconds kWork{ 100 };
  /// From the submission to the start of a task that is on time: 1.5 times its work and 200 ms,
  /// less its work.
  static constexpr milliseconds kOnTimeWait{ 250 };
  static constexpr int kUsualPerSecond = 150;
  static constexpr int kBurstPerSecond = 750;
  static constexpr seconds kBurstStart{ 3 };
  static constexpr seconds kBurstEnd{ 7 };
  static constexpr seconds kRecovery{ 4 };
  static constexpr seconds kEnd{ 20 };

  /// What the plays of the tests differ in.
  struct conditions
  {
    int mTargets = 10;
    int mBurstPerSecond = kBurstPerSecond;
    std::chrono::microseconds mStartCost{ 4000 };
    std::chrono::microseconds mVisitCost{ 50 };
    /// Part of the first job that is due when the play begins.
    double mFirstDue = 0;
  };

  struct counts
  {
    int mSent = 0;
    int mOnTime = 0;
  };

  owner_fixture mCell;
  std::map<job_id, time_point> mWaiting;
  /// By the second in which jobs were sent.
  std::map<long, counts> mBySecond;
  std::vector<seconds> mRetryAfters;
  time_point mBegin{};
  int mSent = 0;

  void start(int aTargets)
  {
    for (int team = 0; team < kTeams; ++team) {
      mCell.mConfig.mTeams.push_back({ .mName = "team" + std::to_string(team) });
    }
    for (int target = 0; target < aTargets; ++target) {
      mCell.addTarget("t" + std::to_string(target), 10'000, 100'000);
    }
    mCell.mTasksEnd = true;
    mCell.startNextOwner();
    mCell.run(milliseconds(300));
    mBegin = mCell.mNow;
  }

  counts& countsOf(time_point aTime) { return mBySecond[(aTime - mBegin) / seconds(1)]; }

  void send()
  {
    const auto team = "team" + std::to_string(mSent++ % kTeams);
    const step_spec step{ .mNeeds = { .mCpuMilli = 1000, .mMemoryMb = 10 }, .mEstimate = kWork };
    ++countsOf(mCell.mNow).mSent;
    const auto rejection = mCell.mOwner->rejection(
      { .mRoute = "urgent", .mTeam = team, .mSteps = { step }, .mSubmitted = mCell.wall() },
      mCell.mNow);
    if (rejection) {
      mRetryAfters.push_back(*rejection);
    } else {
      mWaiting[mCell.submit(std::vector<step_spec>{ step }, team, "urgent")] = mCell.mNow;
    }
  }

  int countStarts()
  {
    return static_cast<int>(std::erase_if(mWaiting, [this](const auto& aOne) {
      const bool started = mCell.find(aOne.first).mStarted;
      countsOf(aOne.second).mOnTime += started && mCell.mNow - aOne.second <= kOnTimeWait ? 1 : 0;
      return started;
    }));
  }

  void play(const conditions& aConditions)
  {
    start(aConditions.mTargets);
    double due = aConditions.mFirstDue;
    while (mCell.mNow - mBegin < kEnd) {
      // Counted first: the order in which operands are evaluated differs between machines.
      const auto visits = mWaiting.size();
      const auto cost = countStarts() * aConditions.mStartCost + visits * aConditions.mVisitCost;
      const auto turn = std::max(milliseconds(5), std::chrono::ceil<milliseconds>(cost));
      mCell.run(turn, turn);
      const auto time = mCell.mNow - mBegin;
      const bool burst = time >= kBurstStart && time < kBurstEnd;
      due += (burst ? aConditions.mBurstPerSecond : kUsualPerSecond) *
             std::chrono::duration<double>(turn).count();
      for (; due >= 1; --due) {
        send();
      }
    }
  }

  /// Checks that after the recovery nine of ten jobs sent in each second started on time.
  void checkRecovered() const
  {
    for (auto second = (kBurstEnd + kRecovery).count(); second < kEnd.count() - 1; ++second) {
      const auto& one = mBySecond.at(second);
      CHECK(one.mSent > 100);
      CHECK_COMPARE(one.mOnTime * 10, >=, one.mSent * 9);
    }
  }
};

} // namespace

TEST_GROUP(overload_recovery){};

// Guards against a backlog that feeds itself: work is accepted behind more than can be done in
// time, each turn of the loop gets longer, and long after the burst most work is late.
TEST(overload_recovery, newWorkIsOnTimeAgainSoonAfterABurst)
{
  burst_play one;
  one.play({});
  one.checkRecovered();
  CHECK_FALSE(one.mRetryAfters.empty());
  for (const auto retryAfter : one.mRetryAfters) {
    CHECK(retryAfter >= seconds(1) && retryAfter <= seconds(10));
  }
}

// Guards against a recovery that only some loads have: with a backlog of up to the time in which
// jobs have any value, it took from one second to more than twelve.
TEST(overload_recovery, newWorkIsOnTimeAgainAfterOtherBursts)
{
  using std::chrono::microseconds;
  const std::vector<burst_play::conditions> all{
    { .mBurstPerSecond = 450 },
    { .mBurstPerSecond = 712 },
    { .mBurstPerSecond = 787 },
    { .mBurstPerSecond = 825 },
    { .mBurstPerSecond = 1000 },
    { .mStartCost = microseconds(3800) },
    { .mStartCost = microseconds(4200) },
    { .mStartCost = microseconds(4400) },
    { .mVisitCost = microseconds(40) },
    { .mVisitCost = microseconds(60) },
    { .mVisitCost = microseconds(75) },
    { .mVisitCost = microseconds(100) },
    { .mTargets = 8 },
    { .mTargets = 9 },
    { .mTargets = 11 },
    { .mTargets = 12 },
    { .mFirstDue = 0.25 },
    { .mFirstDue = 0.5 },
    { .mFirstDue = 0.75 },
  };
  for (const auto& conditions : all) {
    burst_play other;
    other.play(conditions);
    other.checkRecovered();
  }
}

// Guards against rejections that serve nobody where targets are the limit: late work waits behind
// what is on time, so that as much is on time in the burst as the targets can do.
TEST(overload_recovery, asMuchAsTargetsCanDoIsOnTimeDuringABurst)
{
  using std::chrono::microseconds;
  burst_play one;
  one.play({ .mTargets = 3, .mStartCost = microseconds(200), .mVisitCost = microseconds(2) });
  one.checkRecovered();
  for (auto second = one.kBurstStart.count() + 1; second < one.kBurstEnd.count(); ++second) {
    CHECK_COMPARE(one.mBySecond[second].mOnTime, >=, 180);
  }
}
