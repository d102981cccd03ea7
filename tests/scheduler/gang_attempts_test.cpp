#include "owner_fixture.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

constexpr std::uint32_t kMembers = 3;

step_spec gang()
{
  return { .mCount = kMembers,
           .mNeeds = { .mCpuMilli = 2000, .mMemoryMb = 100 },
           .mEstimate = seconds(30),
           .mGang = true,
           .mMaxPerTarget = 1 };
}

job_table restore(const job_table& aTable)
{
  job_table restored;
  for (const auto& record : aTable.snapshot(time_point{})) {
    restored.apply(*decodeRecord(encode(record)), time_point{});
  }
  return restored;
}

} // namespace

/// Attempts of gangs of which several members fail. The route permits two.
TEST_GROUP(gang_attempts)
{
  owner_fixture cell;
  job_table table;
  const job_id kJob = static_cast<job_id>(1);

  void setup() override
  {
    for (std::uint32_t target = 0; target < 2 * kMembers; ++target) {
      cell.addTarget("t" + std::to_string(target));
    }
    table.apply(job_submitted{ .mSpec = { .mId = kJob, .mRoute = "batch", .mSteps = { gang() } } },
                time_point{});
  }
  task_key member(std::uint32_t aIndex) const
  {
    return { .mStep = { .mJob = kJob }, .mIndex = aIndex };
  }
  void startRun(std::uint32_t aRun)
  {
    for (std::uint32_t index = 0; index < kMembers; ++index) {
      table.apply(run_started{ .mTask = member(index), .mRun = aRun, .mAt = { .mTarget = "t" } },
                  time_point{});
    }
  }
  void fail(std::uint32_t aIndex, std::uint32_t aRun)
  {
    table.apply(run_ended{ .mTask = member(aIndex), .mRun = aRun, .mOutcome = run_end::failed },
                time_point{});
  }
  std::uint32_t failures(const job_table& aTable) const
  {
    return aTable.find(kJob)->find({ .mJob = kJob })->mGangFailures;
  }
  /// Fails the members of the current run, one in each heartbeat, with aBetween() after each end.
  template<typename Between>
  void failMembers(job_id aJob, Between && aBetween)
  {
    for (std::uint32_t index = 0; index < kMembers; ++index) {
      CHECK_FALSE(cell.targetRunning(aJob, 0, index).empty());
      cell.endTask(aJob, reported_end::failed, 0, index);
      cell.run(milliseconds(100));
      aBetween();
    }
  }
};

// Guards against a job that is shown as failed with attempts left: several members of one run of a
// gang failed, and each of them used up an attempt.
TEST(gang_attempts, aRunWithSeveralFailedMembersCountsOnce)
{
  for (std::uint32_t run = 1; run <= 3; ++run) {
    startRun(run);
    for (std::uint32_t index = 0; index < kMembers; ++index) {
      fail(index, run);
      CHECK_EQUAL(run, failures(table));
    }
  }
}

// The same for an end that is recorded again.
TEST(gang_attempts, anEndThatIsReadAgainDoesNotCount)
{
  startRun(1);
  fail(0, 1);
  fail(0, 1);
  startRun(2);
  fail(0, 1);
  CHECK_EQUAL(1, failures(table));
}

// The same for a table that is loaded between the ends of two members.
TEST(gang_attempts, aSnapshotKeepsWhichRunWasCounted)
{
  startRun(1);
  fail(0, 1);
  table = restore(table);
  fail(1, 1);
  CHECK_EQUAL(1, failures(table));
  fail(2, 1);
  startRun(2);
  table = restore(table);
  fail(1, 2);
  CHECK_EQUAL(2, failures(table));
}

// Guards against attempts that an earlier version has counted by members: its snapshot does not say
// which runs they belong to. No member can have failed in more runs than the gang.
TEST(gang_attempts, aSnapshotOfAnEarlierVersionCountsTheMostFailedMember)
{
  startRun(1);
  fail(0, 1);
  fail(1, 1);
  startRun(2);
  fail(1, 2);
  auto value = nlohmann::json::from_msgpack(encode(table.snapshot(time_point{}).front()));
  auto& step = value.at(1).at(4).at(0).at(1).at(0);
  step.at(0) = 3;
  while (step.size() > 2) {
    step.erase(step.size() - 1);
  }
  std::string bytes;
  nlohmann::json::to_msgpack(value, bytes);
  job_table restored;
  restored.apply(*decodeRecord(bytes), time_point{});
  CHECK_EQUAL(2, failures(restored));
}

// Guards against the same through the owner, whose heartbeats read the ends one by one.
TEST(gang_attempts, aGangWhoseMembersFailTogetherStartsAgain)
{
  const auto id = cell.startOwnerAndJob(gang());
  failMembers(id, [] {});
  cell.run(seconds(3));
  CHECK(cell.find(id).mPhase == job_phase::active);
  CHECK_EQUAL(kMembers, cell.running());
  for (std::uint32_t index = 0; index < kMembers; ++index) {
    cell.endTask(id, reported_end::failed, 0, index);
  }
  cell.run(seconds(1));
  CHECK(cell.find(id).mPhase == job_phase::failed);
  CHECK(std::ranges::any_of(cell.mLog, [](const std::string& aLine) {
    return aLine.starts_with("job_failed") && aLine.find("failures=2") != std::string::npos;
  }));
}

// The same with a change of the owner after each end.
TEST(gang_attempts, aGangWhoseMembersFailTogetherStartsAgainUnderAnotherOwner)
{
  const auto id = cell.startOwnerAndJob(gang());
  failMembers(id, [this] {
    cell.startNextOwner();
    cell.run(milliseconds(300));
  });
  cell.run(seconds(3));
  CHECK(cell.find(id).mPhase == job_phase::active);
  CHECK_EQUAL(kMembers, cell.running());
}

// Guards against a gang that fails without end, each time at another member.
TEST(gang_attempts, runsThatFailAtDifferentMembersUseUpTheAttempts)
{
  const auto id = cell.startOwnerAndJob(gang());
  for (std::uint32_t run = 0; run < 2; ++run) {
    CHECK(cell.find(id).mPhase == job_phase::active);
    cell.endTask(id, reported_end::failed, 0, run);
    for (std::uint32_t index = 0; index < kMembers; ++index) {
      if (index != run) {
        cell.endTask(id, reported_end::gang_broken, 0, index);
      }
    }
    cell.run(seconds(3));
  }
  CHECK(cell.find(id).mPhase == job_phase::failed);
  CHECK_EQUAL(0, cell.running());
}
