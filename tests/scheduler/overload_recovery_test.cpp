#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

/// Load pattern: eight teams send jobs of one short task of an urgent route, for four seconds three
/// times what the owner can do. Its event loop is delayed by each start, and by each waiting step.
TEST_GROUP(overload_recovery)
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

  struct counts
  {
    int mSent = 0;
    int mOnTime = 0;
  };

  owner_fixture cell;
  std::map<job_id, time_point> waiting;
  /// By the second in which jobs were sent.
  std::map<long, counts> bySecond;
  std::vector<seconds> retryAfters;
  time_point begin{};
  int sent = 0;

  void start(int aTargets)
  {
    for (int team = 0; team < kTeams; ++team) {
      cell.mConfig.mTeams.push_back({ .mName = "team" + std::to_string(team) });
    }
    for (int target = 0; target < aTargets; ++target) {
      cell.addTarget("t" + std::to_string(target), 10'000, 100'000);
    }
    cell.mTasksEnd = true;
    cell.startNextOwner();
    cell.run(milliseconds(300));
    begin = cell.mNow;
  }

  counts& countsOf(time_point aTime)
  {
    return bySecond[(aTime - begin) / seconds(1)];
  }

  void send()
  {
    const auto team = "team" + std::to_string(sent++ % kTeams);
    const step_spec step{ .mNeeds = { .mCpuMilli = 1000, .mMemoryMb = 10 }, .mEstimate = kWork };
    ++countsOf(cell.mNow).mSent;
    const auto rejection = cell.mOwner->rejection(
      { .mRoute = "urgent", .mTeam = team, .mSteps = { step }, .mSubmitted = cell.wall() },
      cell.mNow);
    if (rejection) {
      retryAfters.push_back(*rejection);
    } else {
      waiting[cell.submit(std::vector<step_spec>{ step }, team, "urgent")] = cell.mNow;
    }
  }

  int countStarts()
  {
    return static_cast<int>(std::erase_if(waiting, [this](const auto& aOne) {
      const bool started = cell.find(aOne.first).mStarted;
      countsOf(aOne.second).mOnTime += started && cell.mNow - aOne.second <= kOnTimeWait ? 1 : 0;
      return started;
    }));
  }

  void play(std::chrono::microseconds aStartCost, std::chrono::microseconds aVisitCost)
  {
    double due = 0;
    while (cell.mNow - begin < kEnd) {
      const auto cost = countStarts() * aStartCost + waiting.size() * aVisitCost;
      const auto turn = std::max(milliseconds(5), std::chrono::ceil<milliseconds>(cost));
      cell.run(turn, turn);
      const auto time = cell.mNow - begin;
      const bool burst = time >= kBurstStart && time < kBurstEnd;
      due +=
        (burst ? kBurstPerSecond : kUsualPerSecond) * std::chrono::duration<double>(turn).count();
      for (; due >= 1; --due) {
        send();
      }
    }
  }

  /// Checks that after the recovery nine of ten jobs sent in each second started on time.
  void checkRecovered()
  {
    for (auto second = (kBurstEnd + kRecovery).count(); second < kEnd.count() - 1; ++second) {
      const auto& one = bySecond[second];
      CHECK(one.mSent > 100);
      CHECK_COMPARE(one.mOnTime * 10, >=, one.mSent * 9);
    }
  }
};

// Guards against a backlog that feeds itself: work is accepted behind more than can be done in
// time, each turn of the loop gets longer, and long after the burst most work is late.
TEST(overload_recovery, newWorkIsOnTimeAgainSoonAfterABurst)
{
  start(10);
  play(std::chrono::microseconds(4000), std::chrono::microseconds(50));
  checkRecovered();
  CHECK_FALSE(retryAfters.empty());
  for (const auto one : retryAfters) {
    CHECK(one >= seconds(1) && one <= seconds(10));
  }
}

// Guards against rejections that serve nobody where targets are the limit: late work waits behind
// what is on time, so that as much is on time in the burst as the targets can do.
TEST(overload_recovery, asMuchAsTargetsCanDoIsOnTimeDuringABurst)
{
  start(3);
  play(std::chrono::microseconds(200), std::chrono::microseconds(2));
  checkRecovered();
  for (auto second = kBurstStart.count() + 1; second < kBurstEnd.count(); ++second) {
    CHECK_COMPARE(bySecond[second].mOnTime, >=, 180);
  }
}
