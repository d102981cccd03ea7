#include "owner_impl.h"

#include <algorithm>
#include <chrono>

namespace endiveusher::scheduler {

namespace {

/// Pause between planning passes, in addition to the usual interval, as a multiple of the time by
/// which ticks are late, and its upper limit: an urgent step should start within a quarter of a
/// second.
constexpr int kPlanLagFactor = 2;
constexpr auto kMaxPlanPause = std::chrono::milliseconds(80);

} // namespace

/// Load pattern: a burst, or the first seconds after all daemons have lost power, saturates the
/// event loop. A planning pass costs about the same however little has changed since the last one,
/// so that with a longer pause the loop has more time for calls, and each pass places more.
duration owner::impl::planPause() const
{
  return std::min<duration>(std::chrono::duration_cast<duration>(kPlanLagFactor * mTickLag),
                            kMaxPlanPause);
}

bool owner::impl::admits(std::string_view aTeam) const
{
  return !mConfig ||
         mAdmission.admits(aTeam, *mConfig, std::chrono::duration_cast<duration>(mTickLag));
}

} // namespace endiveusher::scheduler
