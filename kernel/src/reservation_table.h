#pragma once

#include "endiveusher/kernel/job.h"
#include "endiveusher/kernel/time.h"
#include "slice_account.h"

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
  team_name mTeam;
  std::vector<resources> mSizes;
  /// Slice that its tasks need together.
  limit_vector mNeed = slice_account::kZero;
  /// Whether the targets had no room for it; if not, it lacks only its team's slice.
  bool mLacksTargets = false;
  duration mWaited{};
  /// End of the draining.
  time_point mUntil{};
  time_point mLastAsked{};
};

/// The gang of a team that has waited longest for a larger slice of this daemon.
struct slice_waiter
{
  request_id mRequest;
  limit_vector mNeed = slice_account::kZero;
  /// Time waited at mLastAsked.
  duration mWaited{};
  time_point mSince{};
  time_point mLastAsked{};

  duration waited(time_point aNow) const { return mWaited + (aNow - mLastAsked); }
  /// Whether its coordinator still asks; the largest back-off between two rounds is 5 s.
  bool asks(time_point aNow) const { return aNow - mLastAsked < std::chrono::seconds(6); }
  /// Whether the slice is collected for it now: 10 s of every 20 s, as for draining, so that a gang
  /// that cannot start does not keep the slice from other tasks for ever.
  bool collects(time_point aNow) const
  {
    return asks(aNow) &&
           (aNow - mSince) % std::chrono::seconds(20) < duration(std::chrono::seconds(10));
  }
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
  /// Reservations of other rounds of the gang aRequest by the same coordinator.
  std::vector<id> otherRounds(const id& aId, const request_id& aRequest) const
  {
    std::vector<id> ids;
    for (auto entry = mHeld.lower_bound({ aId.first, 0 });
         entry != mHeld.end() && entry->first.first == aId.first; ++entry) {
      if (entry->first != aId && entry->second.mParts.front().mTask.mKey.mRequest == aRequest) {
        ids.push_back(entry->first);
      }
    }
    return ids;
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
