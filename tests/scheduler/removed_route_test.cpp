#include "owner_fixture.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

namespace {

step_spec tasks(std::uint32_t aCount)
{
  return { .mCount = aCount,
           .mNeeds = { .mCpuMilli = 2000, .mMemoryMb = 100 },
           .mEstimate = milliseconds(20000) };
}

job_submitted submission()
{
  return { .mSpec = { .mId = static_cast<job_id>(1),
                      .mRoute = "batch",
                      .mSteps = { tasks(1) },
                      .mAcceptedBy = route_config{
                        .mName = "batch",
                        .mPool = "pool",
                        .mPriority = 3,
                        .mMaxAttempts = 4,
                        .mStretch = 1.5,
                        .mObjective = milliseconds(700),
                        .mAdvice = advice_terms{ .mPerCall = milliseconds(10),
                                                 .mPerTarget = milliseconds(2),
                                                 .mTicketLifetime = milliseconds(1500) } } } };
}

void checkRoute(const job_spec& aSpec)
{
  CHECK(aSpec.mAcceptedBy.has_value());
  const auto& route = *aSpec.mAcceptedBy;
  CHECK_EQUAL("batch", route.mName);
  CHECK_EQUAL("pool", route.mPool);
  CHECK_EQUAL(3, route.mPriority);
  CHECK_EQUAL(4, route.mMaxAttempts);
  DOUBLES_EQUAL(1.5, route.mStretch, 0);
  CHECK(route.mObjective == milliseconds(700));
  CHECK(route.mAdvice.has_value());
  CHECK(route.mAdvice->mPerCall == milliseconds(10));
  CHECK(route.mAdvice->mPerTarget == milliseconds(2));
  CHECK(route.mAdvice->mTicketLifetime == milliseconds(1500));
}

} // namespace

/// Jobs whose route was removed before their owner took over.
TEST_GROUP(removed_routes)
{
  owner_fixture cell;

  void removeRoutesAndChangeOwner()
  {
    cell.mConfig.mRoutes.clear();
    cell.startNextOwner();
    cell.run(milliseconds(200));
  }
};

// Guards against a job that is neither started again nor abandoned after its last attempt.
TEST(removed_routes, theLastAttemptAbandonsTheJob)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(1));
  removeRoutesAndChangeOwner();
  cell.endTask(id, reported_end::failed);
  cell.run(milliseconds(3000));
  CHECK_EQUAL(1, cell.running());
  cell.endTask(id, reported_end::failed);
  cell.run(milliseconds(300));
  CHECK(cell.find(id).mPhase == job_phase::failed);
  CHECK_EQUAL(0, cell.running());
}

// The same for an attempt that fails while the new owner's configuration may still be outdated.
TEST(removed_routes, aNewOwnerWaitsForItsConfigurationBeforeItAbandonsAJob)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(1));
  cell.endTask(id, reported_end::failed);
  cell.run(milliseconds(300));
  removeRoutesAndChangeOwner();
  cell.endTask(id, reported_end::failed);
  for (int time = 0; time < 15; ++time) {
    cell.run(milliseconds(100));
    CHECK_EQUAL(0, cell.running());
    CHECK(cell.find(id).mPhase == job_phase::active);
  }
  cell.run(milliseconds(500));
  CHECK(cell.find(id).mPhase == job_phase::failed);
}

// Guards against a job that is abandoned although its route permits more attempts by now.
TEST(removed_routes, aConfigurationThatIsReadLaterDecidesOnTheAttempts)
{
  cell.addTarget("t1");
  const auto id = cell.startOwnerAndJob(tasks(1));
  cell.endTask(id, reported_end::failed);
  cell.run(milliseconds(300));
  const auto routes = cell.mConfig.mRoutes;
  removeRoutesAndChangeOwner();
  cell.endTask(id, reported_end::failed);
  cell.run(milliseconds(500));
  cell.mConfig.mRoutes = routes;
  cell.mConfig.mRoutes[0].mMaxAttempts = 5;
  cell.mConfig.index();
  cell.mOwner->configure(std::make_shared<cell_config>(cell.mConfig));
  cell.run(milliseconds(3000));
  CHECK(cell.find(id).mPhase == job_phase::active);
  CHECK_EQUAL(1, cell.running());
}

// Guards against starts on targets to which no configuration has ever sent the route's jobs.
TEST(removed_routes, aJobStartsOnlyInThePoolOfItsRoute)
{
  cell.startNextOwner();
  const auto id = cell.submit(tasks(1));
  cell.run(milliseconds(300));
  cell.addTarget("t1").mEntry.mPool = "other";
  removeRoutesAndChangeOwner();
  cell.run(milliseconds(5000));
  CHECK_EQUAL(0, cell.running());
  cell.addTarget("t2");
  cell.run(milliseconds(1000));
  CHECK_EQUAL(std::string("t2"), cell.targetRunning(id));
}

// Guards against the loss of the route with a snapshot.
TEST(removed_routes, recordsAndSnapshotsKeepTheRoute)
{
  const auto read = decodeRecord(encode(submission()));
  CHECK(read.ok());
  checkRoute(std::get<job_submitted>(*read).mSpec);
  job_table table;
  table.apply(*read, time_point{});
  job_table restored;
  for (const auto& record : table.snapshot(time_point{})) {
    restored.apply(*decodeRecord(encode(record)), time_point{});
  }
  checkRoute(restored.find(static_cast<job_id>(1))->mSpec);
}

// Guards against records of an earlier version that cannot be read any more.
TEST(removed_routes, recordsWithoutTheRouteAreRead)
{
  auto value = nlohmann::json::from_msgpack(encode(submission()));
  CHECK_EQUAL(10, value.at(1).size());
  value.at(1).erase(9);
  std::string bytes;
  nlohmann::json::to_msgpack(value, bytes);
  const auto read = decodeRecord(bytes);
  CHECK(read.ok());
  CHECK(!std::get<job_submitted>(*read).mSpec.mAcceptedBy);
}
