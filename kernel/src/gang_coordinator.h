#pragma once

#include "delegation.h"
#include "limit_math.h"
#include "slice_account.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace endiveusher::internal {

/// Starts gangs: reserves capacity for all tasks at one or more placers, then commits or releases.
template<guard_policy Guards>
class gang_coordinator
{
public:
  gang_coordinator(core_context<Guards>& aContext, placer_links<Guards>& aLinks,
                   member_capacity<Guards>& aMemberCapacity, delegation<Guards>& aDelegation)
    : mContext(aContext), mLinks(aLinks), mMemberCapacity(aMemberCapacity), mDelegation(aDelegation)
  {
  }

  void start(coordinated_job& aJob);
  /// Adopts a gang whose coordinator has ended; its tasks may be running.
  void adoptFailedOver(coordinated_job& aJob);
  void cancel(coordinated_job& aJob);
  /// Handles the end of a task: its placer has ended it, returned it or lost it.
  void onTaskEnded(coordinated_job& aJob, std::uint32_t aIndex, const placed_task& aPlaced);
  void handle(const incarnation_id& aFrom, const reserve_answer& aAnswer);
  void forget(const request_id& aRequest);
  /// Tries the gangs that are due and repeats commits.
  void tick();

private:
  static constexpr duration kBackOffBase = std::chrono::milliseconds(50);
  static constexpr duration kBackOffLargest = std::chrono::seconds(5);
  static constexpr duration kRetryLargest = std::chrono::seconds(30);
  /// A draining gang retries often, because freed capacity is reserved for it meanwhile.
  static constexpr duration kDrainingBackOff = std::chrono::milliseconds(500);
  static constexpr duration kDrainAfter = std::chrono::seconds(5);
  static constexpr duration kReserveTimeout = std::chrono::seconds(1);
  /// Covers one back-off, so that the round after a refusal differs from the refused one.
  static constexpr duration kKeepRefusal = 2 * kBackOffLargest;
  static constexpr duration kRepeatCommit = std::chrono::milliseconds(200);
  static constexpr std::size_t kMaxTriesPerTick = 50;
  static constexpr std::size_t kFailingTargets = 3;
  static constexpr std::uint32_t kMaxFailures = 6;

  enum class phase
  {
    waiting,   ///< Waits for the next try.
    reserving, ///< Waits for answers to reserve.
    running,   ///< Committed.
    stopping,  ///< Waits for the end of all tasks after one has not succeeded.
  };
  enum class result : std::uint8_t
  {
    none,
    returned,
    succeeded,
    failed,
    stopped,
    checkpointed,
    unknown,
  };
  struct part
  {
    std::vector<std::uint32_t> mTasks;
    bool mReserved = false;
  };
  /// What a plan assumes about a member's capacity.
  enum class basis
  {
    free_less_refusals, ///< Its free capacity, but less than it has refused recently.
    free,
    free_beyond_slice, ///< Its free capacity; it borrows the slice that it lacks.
    total,             ///< The capacity of its targets when empty.
  };
  /// A placer refused a part or did not answer; it gets at most mMost tasks until mUntil.
  struct refusal
  {
    std::int64_t mMost = 0;
    time_point mUntil{};
  };
  struct gang
  {
    phase mPhase = phase::waiting;
    team_name mTeam;
    time_point mWaitingSince{};
    std::uint32_t mTries = 0;
    std::uint32_t mFailures = 0;
    std::set<target_id> mFailedOn;
    std::uint64_t mReservation = 0;
    std::map<incarnation_id, part> mParts;
    std::map<incarnation_id, refusal> mRefusals;
    time_point mDeadline{};
    time_point mCommitSentAt{};
    std::vector<result> mResults;
    std::uint32_t mEndedTasks = 0;
  };

  static result classify(const placed_task& aPlaced);
  void scheduleTry(const request_id& aRequest, gang& aGang, duration aDelay);
  void tryReserve(coordinated_job& aJob, gang& aGang);
  bool plan(const coordinated_job& aJob, gang& aGang, basis aBasis);
  void recordRefusal(gang& aGang, const incarnation_id& aPlacer, std::int64_t aMost);
  void commitAll(coordinated_job& aJob, gang& aGang);
  void releaseAll(const request_id& aRequest, gang& aGang);
  void abandonRound(const request_id& aRequest, gang& aGang);
  void commitRefused(coordinated_job& aJob, gang& aGang, const incarnation_id& aPlacer);
  void stopAll(coordinated_job& aJob, gang& aGang);
  void finish(coordinated_job& aJob, gang& aGang);
  bool mayRetry(const coordinated_job& aJob, const gang& aGang) const;
  void endAll(coordinated_job& aJob, const gang& aGang);
  void retry(coordinated_job& aJob, gang& aGang);
  bool isDraining(const request_id& aRequest, const gang& aGang) const;
  bool withinLimit(const coordinated_job& aJob) const;
  bool mayBorrow(const coordinated_job& aJob, const gang& aGang) const;
  void addWaiting(const coordinated_job& aJob, gang& aGang);
  void removeWaiting(const request_id& aRequest, const gang& aGang);

  core_context<Guards>& mContext;
  placer_links<Guards>& mLinks;
  member_capacity<Guards>& mMemberCapacity;
  delegation<Guards>& mDelegation;
  std::unordered_map<request_id, gang> mGangs;
  /// Times of the next try of waiting gangs.
  std::set<std::pair<time_point, request_id>> mDue;
  /// Gangs that have not been committed, longest waiting first.
  std::set<std::pair<time_point, request_id>> mWaiting;
  /// The same gangs by team.
  std::map<team_name, std::set<std::pair<time_point, request_id>>> mWaitingOfTeam;
  /// Gangs with an unanswered reserve or commit.
  std::set<request_id> mUnanswered;
};

} // namespace endiveusher::internal

#include "gang_coordinator_impl.h"
