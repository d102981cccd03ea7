#include "owner_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::scheduler;
using namespace endiveusher::scheduler::testing;

/// An owner whose event loop is behind, so that each of its inputs waits for a turn of 200 ms, and
/// jobs whose starts need tickets.
TEST_GROUP(ticket_expiry)
{
  static constexpr milliseconds kTurn{ 200 };
  owner_fixture cell;

  /// Returns the number of starts that are decided in 10 s.
  auto play(milliseconds aTicketLifetime)
  {
    for (int target = 0; target < 4; ++target) {
      cell.addTarget("t" + std::to_string(target));
    }
    cell.mConfig.mRoutes[0].mAdvice =
      advice_terms{ .mPerCall = milliseconds(10), .mTicketLifetime = aTicketLifetime };
    cell.mAdviceService.emplace();
    cell.mAdviceService->mGoodPercent["batch"] = 100;
    cell.startNextOwner();
    cell.run(seconds(2), kTurn);
    for (int job = 0; job < 20; ++job) {
      cell.submit(step_spec{ .mNeeds = { .mCpuMilli = 1000, .mMemoryMb = 100 } });
    }
    cell.run(seconds(10), kTurn);
    return std::ranges::count(cell.mEvents, "start");
  }
};

// Guards against starts that are sent only to be rejected: the reply with the ticket has waited for
// the owner, and the ticket expires while the start is stored.
TEST(ticket_expiry, aTicketCountsFromItsIssueThoughTheOwnerReadsItLate)
{
  CHECK(play(milliseconds(350)) > 0);
  CHECK_EQUAL(0, cell.mStartsWithExpiredTickets);
}

TEST(ticket_expiry, anOwnerThatIsBehindStartsWithTicketsThatLastLongEnough)
{
  CHECK_EQUAL(20, play(milliseconds(1500)));
  CHECK_EQUAL(0, cell.mStartsWithExpiredTickets);
  CHECK_EQUAL(20, cell.running());
}
