#pragma once

#include "endiveusher/kernel/job.h"
#include "endiveusher/kernel/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace endiveusher::internal {

/// Capacity and slice held for the tasks of a gang.
struct reservation
{
  struct part
  {
    task_attempt mTask;
    target_id mTarget;
  };
  std::vector<part> mParts;
  time_point mExpires{};
};

/// The one gang for which freed capacity is reserved.
struct draining_gang
{
  request_id mRequest;
  std::vector<resources> mSizes;
  duration mWaited{};
  time_point mSince{};
  time_point mLastAsked{};
};

/// Reservations by coordinator and number, and the ids of recently committed ones.
class reservation_table
{
public:
  using id = std::pair<incarnation_id, std::uint64_t>;

  reservation* find(const id& aId)
  {
    const auto found = mHeld.find(aId);
    return found == mHeld.end() ? nullptr : &found->second;
  }
  void add(const id& aId, reservation aReservation)
  {
    mHeld.insert_or_assign(aId, std::move(aReservation));
  }
  reservation take(const id& aId) { return std::move(mHeld.extract(aId).mapped()); }
  std::vector<id> expired(time_point aNow) const
  {
    std::vector<id> ids;
    for (const auto& [key, held] : mHeld) {
      if (aNow >= held.mExpires) {
        ids.push_back(key);
      }
    }
    return ids;
  }
  /// Records a commit, so that a repeated message gets the same answer.
  void setCommitted(const id& aId, time_point aNow)
  {
    std::erase_if(mCommitted,
                  [&](const auto& aEntry) { return aEntry.second + kCommittedRetention < aNow; });
    mCommitted[aId] = aNow;
  }
  bool committed(const id& aId) const { return mCommitted.contains(aId); }
  const std::map<id, reservation>& held() const { return mHeld; }

private:
  /// Exceeds the time for which any peer message is repeated.
  static constexpr duration kCommittedRetention = std::chrono::minutes(1);

  std::map<id, reservation> mHeld;
  std::map<id, time_point> mCommitted;
};

} // namespace endiveusher::internal
