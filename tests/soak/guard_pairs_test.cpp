#include "tests/soak/guards_removed.h"

#include "soak/soak_cell.h"

#include <cstdint>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::standins;
using namespace std::chrono_literals;

namespace {

/// Returns the requirements violated on seeds 1 to 3 by cells whose targets execute all orders, so
/// that only the scheduler's own checks protect them.
std::set<std::string> violated(const core_factory& aFactory, const std::set<fault>& aFaults)
{
  std::set<std::string> found;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    soak_options options{ .mSeed = seed, .mLength = 40s, .mRecoveryPeriod = 30s };
    options.mFaults = aFaults;
    options.mRefuses = target_refusals::none();
    for (const auto& violation : soak_cell(options, aFactory).run().mViolations) {
      found.insert(violation.mInvariant);
    }
  }
  return found;
}

void checkPair(const core_factory& aWithoutGuard, const std::set<fault>& aFaults,
               const std::string& aRequirement)
{
  CHECK_TEXT(violated(aWithoutGuard, aFaults).contains(aRequirement),
             "the requirement is not violated without the guard");
  CHECK_TEXT(!violated(coreFactory<all_guards>(), aFaults).contains(aRequirement),
             "the requirement is violated with all guards");
}

} // namespace

TEST_GROUP(guard_pairs){};

// M2. Guards against tasks placed again while an unanswered order may still be executed.
TEST(guard_pairs, unansweredOrdersAreCounted)
{
  checkPair(withoutUnansweredOrders(), { fault::network }, "M2");
}

// M3. Guards against work accepted with a key that was withdrawn while the daemon was partitioned.
TEST(guard_pairs, staleDaemonsAcceptNothing)
{
  checkPair(withoutFreshness(), { fault::zone_cut, fault::limits, fault::keys, fault::zone_out },
            "M3");
}

// M7. Guards against the answer not_run for a request that may run.
TEST(guard_pairs, undecidedRequestsAreUnknown)
{
  checkPair(withoutUnknown(), { fault::zone_cut }, "M7");
}

// M8. Guards against one request that is run by two daemons.
TEST(guard_pairs, requestIdsAreDecidedOnce)
{
  checkPair(withoutRequestIds(), { fault::log_lost }, "M8");
}

// M9. Guards against work placed on a target that is leaving.
TEST(guard_pairs, leavingTargetsGetNoWork)
{
  checkPair(withoutLeaving(), { fault::leaving }, "M9");
}
