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

/// What stream jobs says about requests: the first accept record of each plain id, unfinished jobs
/// of all homes, and ended jobs. Copies of jobs that are not logged yet are kept here as well.
class request_index
{
public:
  struct decision
  {
    incarnation_id mHome;
    std::uint64_t mDigest = 0;
  };
  static constexpr std::size_t kMaxEndedKept = 20'000;

  /// True if the record is the first one of its id.
  bool apply(const accept_record& aRecord, log_offset aOffset);
  void apply(const ended_record& aRecord);
  /// Drops the unfinished job that apply() keeps; the own jobs are in the job table.
  void dropUnfinished(const request_id& aRequest) { mUnfinished.erase(aRequest); }
  /// Forgets decisions below the first retained offset.
  void dropBelow(log_offset aFirst);

  /// Stores a copy from another home, or forgets it if the job has ended.
  void applyCopy(const accept_record& aRecord, bool aEnded);

  /// Who decided for a plain id, as far as the stream has been read.
  std::optional<decision> find(const request_id& aRequest) const;
  const ended_record* findEnded(const request_id& aRequest) const;
  bool isUnfinished(const request_id& aRequest) const;

  struct unfinished_job
  {
    accept_record mAccept;
    /// Read from the stream; otherwise known by a copy only.
    bool mLogged = false;
  };
  /// Takes the unfinished jobs and copies whose home satisfies aIsInherited.
  std::vector<unfinished_job> takeUnfinished(
    const std::function<bool(const incarnation_id&)>& aIsInherited);

  std::size_t size() const { return mDecisions.size(); }
  std::size_t unfinished() const { return mUnfinished.size(); }

private:
  struct entry
  {
    std::uint32_t mHome = 0;
    std::uint64_t mDigest = 0;
  };
  std::uint32_t homeNumber(const incarnation_id& aHome);

  /// Homes by number; a request holds the number only.
  std::vector<incarnation_id> mHomes;
  std::map<incarnation_id, std::uint32_t> mHomeNumbers;
  std::unordered_map<request_id, entry> mDecisions;
  std::deque<std::pair<log_offset, request_id>> mByOffset;
  std::unordered_map<request_id, unfinished_job> mUnfinished;
  std::unordered_map<request_id, ended_record> mEnded;
  std::deque<request_id> mEndedOrder;
};

} // namespace endiveusher::internal
