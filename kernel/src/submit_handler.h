#pragma once

#include "call_router.h"
#include "job_failover.h"
#include "job_validation.h"
#include "request_ids.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace endiveusher::internal {

/// Accepts or refuses submitted requests. Each request id is accepted once, whichever daemon it
/// arrives at.
///
/// Tickets are decided by their issuer or its successor; plain ids, which are all others, by the
/// first accept record in stream jobs.
template<guard_policy Guards>
class submit_handler
{
public:
  submit_handler(core_context<Guards>& aContext, call_router<Guards>& aRouter,
                 job_replicator<Guards>& aReplicator, job_failover<Guards>& aFailover)
    : mContext(aContext), mRouter(aRouter), mReplicator(aReplicator), mFailover(aFailover)
  {
  }

  void handle(const call_origin& aOrigin, const ticket_call& aCall);
  void handle(const call_origin& aOrigin, const submit_call& aCall);
  /// Handles an accept record that was read from stream jobs.
  void onRecord(const accept_record& aRecord, log_offset aOffset);
  void onDurabilityRaised(const coordinated_job& aJob);
  void tick();
  /// Answers all waiting callers with the state known now.
  void answerAll();

  bool isPending(const request_id& aRequest) const { return mPendingPlainIds.contains(aRequest); }
  bool idle() const { return mPendingPlainIds.empty() && mAcknowledgements.empty(); }
  /// Whether the ticket was accepted here, even if its job has been evicted since.
  bool wasAccepted(const ticket& aTicket) const;

private:
  static constexpr std::uint32_t kMaxTickets = 1000;
  /// Time to wait for the log to decide on a plain id.
  static constexpr duration kDecisionPeriod = std::chrono::seconds(2);
  /// Time to wait for a copy or record before an accepted ticket is acknowledged.
  static constexpr duration kReplicationWait = std::chrono::milliseconds(100);

  struct refused
  {
    answer_class mClass;
    call_error mError;
  };
  struct pending_submission
  {
    std::uint64_t mDigest = 0;
    submit_call mCall;
    std::set<call_origin> mOrigins;
    time_point mDeadline{};
  };
  struct acknowledgement
  {
    std::set<call_origin> mOrigins;
    time_point mDeadline{};
  };

  void decideTicket(const call_origin& aOrigin, submit_call aCall, const ticket& aTicket);
  void decidePlain(const call_origin& aOrigin, submit_call aCall);
  void duplicate(const call_origin& aOrigin, submit_call aCall, const coordinated_job& aJob);
  void acknowledge(const call_origin& aOrigin, const coordinated_job& aJob);
  /// Sets the team from the key if the call names none. Returns the reason to refuse the job, if
  /// any.
  std::optional<call_error> check(submit_call& aCall) const;
  /// Updates mLargestTotal from all live members.
  void updateLargestTotal();
  std::optional<call_error> checkFit(const job_spec& aJob) const;
  std::optional<call_error> checkLoad() const;
  void refuse(const call_origin& aOrigin, answer_class aClass, call_error aError)
  {
    mRouter.reply(aOrigin, refusal(aClass, std::move(aError)));
  }
  void refuse(const call_origin& aOrigin, answer_class aClass, std::uint16_t aStatus,
              std::string aCode, std::string aMessage, std::string aStep)
  {
    mRouter.reply(aOrigin, refusal(aClass, aStatus, std::move(aCode), std::move(aMessage),
                                   std::move(aStep), mContext.self()));
  }
  static constexpr answer_class maybeRan() { return call_router<Guards>::maybeRan(); }

  core_context<Guards>& mContext;
  call_router<Guards>& mRouter;
  job_replicator<Guards>& mReplicator;
  job_failover<Guards>& mFailover;
  /// Largest total capacity of any member seen so far, for each component.
  resources mLargestTotal{ .mSlots = 0 };
  time_point mNextTotals{};
  std::uint64_t mNextTicket = 1;
  /// Whether each ticket, by number, was accepted. Outlives the jobs, so that a late copy of a
  /// request is not run again.
  std::vector<bool> mAccepted;
  std::map<request_id, pending_submission> mPendingPlainIds;
  std::map<request_id, acknowledgement> mAcknowledgements;
};

} // namespace endiveusher::internal

#include "submit_handler_impl.h"
