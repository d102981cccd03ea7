#pragma once

#include "endiveusher/kernel/messages/platform.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace endiveusher::internal {

/// Index of the requests in stream jobs: the first accept record of each plain id, the unfinished
/// jobs of all coordinators, and ended jobs. Also holds copies of jobs that are not logged yet.
class request_index
{
public:
  /// The first accept record of a plain id.
  struct decision
  {
    incarnation_id mCoordinator;
    std::uint64_t mDigest = 0;
  };
  static constexpr std::size_t kMaxEndedKept = 20'000;

  /// Adds an accept record. Returns whether it decides its id: for a plain id, whether it is the
  /// first; for a ticket, whether the job has not ended.
  bool apply(const accept_record& aRecord, log_offset aOffset);
  void apply(const ended_record& aRecord);
  /// Removes an unfinished job; for jobs of this daemon, which are in the job table.
  void dropUnfinished(const request_id& aRequest) { mUnfinished.erase(aRequest); }
  /// Removes decisions below aFirst, the first retained offset.
  void dropBelow(log_offset aFirst);

  /// Stores a job copy of another coordinator, or removes it if the job has ended.
  void applyCopy(const accept_record& aRecord, bool aEnded);

  /// Returns the decision on a plain id, as far as the stream has been read.
  std::optional<decision> find(const request_id& aRequest) const;
  const ended_record* findEnded(const request_id& aRequest) const;
  bool isUnfinished(const request_id& aRequest) const;

  struct unfinished_job
  {
    accept_record mAccept;
    /// Whether the record was read from the stream; false if only a copy is known.
    bool mLogged = false;
  };
  /// Removes and returns the unfinished jobs and copies whose coordinator satisfies aIsFailedOver.
  std::vector<unfinished_job> takeUnfinished(
    const std::function<bool(const incarnation_id&)>& aIsFailedOver);

  std::size_t size() const { return mDecisions.size(); }
  std::size_t unfinished() const { return mUnfinished.size(); }

private:
  struct entry
  {
    std::uint32_t mCoordinator = 0;
    std::uint64_t mDigest = 0;
  };
  std::uint32_t coordinatorNumber(const incarnation_id& aCoordinator);

  /// Coordinators by number; a decision stores only the number.
  std::vector<incarnation_id> mCoordinators;
  std::map<incarnation_id, std::uint32_t> mCoordinatorNumbers;
  std::unordered_map<request_id, entry> mDecisions;
  std::deque<std::pair<log_offset, request_id>> mByOffset;
  std::unordered_map<request_id, unfinished_job> mUnfinished;
  std::unordered_map<request_id, ended_record> mEnded;
  std::deque<request_id> mEndedOrder;
};

} // namespace endiveusher::internal
