#include "end_times.h"

#include <algorithm>

namespace endiveusher::node {

bool end_times::onReported(std::span<const scheduler::ended_run> aEnds, time_point aArrived)
{
  bool anyNew = false;
  for (const auto& end : aEnds) {
    const end_key key(end.mTask, end.mRun);
    if (mOpen.try_emplace(key, aArrived).second) {
      mArrivals.emplace_back(aArrived, key);
      anyNew = true;
    }
  }
  forgetOld(aArrived);
  return anyNew;
}

std::optional<duration> end_times::onStored(std::span<const scheduler::run_ended> aEnds,
                                            time_point aNow)
{
  std::optional<duration> longest;
  for (const auto& end : aEnds) {
    const auto found = mOpen.find({ end.mTask, end.mRun });
    if (found == mOpen.end()) {
      continue; // The run was lost, or a former owner has read its end.
    }
    const auto took = aNow - found->second;
    mTimes.record(took);
    longest = std::max(longest.value_or(took), took);
    mOpen.erase(found);
  }
  return longest;
}

void end_times::forgetOld(time_point aNow)
{
  while (!mArrivals.empty() &&
         (mArrivals.size() > kMaxOpen || mArrivals.front().first + kMaxAge < aNow)) {
    const auto& [arrived, key] = mArrivals.front();
    if (const auto found = mOpen.find(key); found != mOpen.end() && found->second == arrived) {
      mOpen.erase(found);
    }
    mArrivals.pop_front();
  }
}

void end_times::clear()
{
  mOpen.clear();
  mArrivals.clear();
}

std::string end_times::metrics() const
{
  return mTimes.render("endiveusher_end_store_seconds",
                       "From the arrival of a report with an end to its completed append.");
}

} // namespace endiveusher::node
