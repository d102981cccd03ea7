#pragma once

#include "forwarded_calls.h"
#include "submit_handler.h"

#include <functional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace endiveusher::internal {

/// Handles the calls of callers and operators.
template<guard_policy Guards>
class call_handler
{
public:
  call_handler(core_context<Guards>& aContext, call_router<Guards>& aRouter,
               submit_handler<Guards>& aSubmits, job_replicator<Guards>& aReplicator)
    : mContext(aContext), mRouter(aRouter), mSubmits(aSubmits), mReplicator(aReplicator)
  {
  }

  /// Returns the state dump of the daemon, JSON.
  std::function<std::string()> mDump;

  void handle(const call_origin& aOrigin, const call& aCall)
  {
    std::visit([&](const auto& aBody) { apply(aOrigin, aBody); }, aCall);
  }
  void handle(const incarnation_id& aFrom, const forward_call& aMessage);
  void dropped(std::uint64_t aCallId);
  void onJobEnded(const coordinated_job& aJob);
  void tick();
  /// Answers all wait calls with the current status.
  void answerAll();
  bool idle() const { return mDeadlines.empty(); }

private:
  static constexpr std::chrono::milliseconds kMaxWait = std::chrono::minutes(10);

  void apply(const call_origin& aOrigin, const ticket_call& aCall)
  {
    mSubmits.handle(aOrigin, aCall);
  }
  void apply(const call_origin& aOrigin, const submit_call& aCall)
  {
    mSubmits.handle(aOrigin, aCall);
  }
  void apply(const call_origin& aOrigin, const status_call& aCall);
  void apply(const call_origin& aOrigin, const wait_call& aCall);
  void apply(const call_origin& aOrigin, const cancel_call& aCall);
  void apply(const call_origin& aOrigin, const publish_call& aCall);
  void apply(const call_origin& aOrigin, const show_call& aCall);
  void apply(const call_origin& aOrigin, const dump_call& aCall);

  bool isOperator(const std::string& aKey) const;
  /// Returns whether the caller is an operator; refuses the call if not.
  bool checkOperator(const call_origin& aOrigin, const std::string& aKey);
  /// Returns the job if this daemon has it and the key is its team's or an operator's; otherwise
  /// answers or forwards the call, the latter with aExtraTime added to the deadline.
  template<typename Call>
  coordinated_job* locate(const call_origin& aOrigin, const Call& aCall, duration aExtraTime);
  template<typename Call>
  void locateElsewhere(const call_origin& aOrigin, const Call& aCall, duration aExtraTime);
  void removeWaiter(const call_origin& aOrigin, const request_id& aRequest);

  core_context<Guards>& mContext;
  call_router<Guards>& mRouter;
  submit_handler<Guards>& mSubmits;
  job_replicator<Guards>& mReplicator;
  forwarded_calls mForwardedCalls;
  std::set<std::tuple<time_point, call_origin, request_id>> mDeadlines;
  /// Request for which each local wait call waits, by call id.
  std::unordered_map<std::uint64_t, request_id> mWaiting;
};

template<guard_policy Guards>
void call_handler<Guards>::handle(const incarnation_id& aFrom, const forward_call& aMessage)
{
  const call_origin origin{ .mCallId = aMessage.mCallId, .mPeer = aFrom };
  const auto arrival = mForwardedCalls.record(aFrom, aMessage.mCallId);
  if (const auto* submit = std::get_if<submit_call>(&aMessage.mCall)) {
    const bool known = mContext.mJobs.find(submit->mJob.mRequest) != nullptr;
    if (arrival == forwarded_calls::arrival::first || known) {
      mSubmits.handle(origin, *submit);
    }
    return;
  }
  // Calls that concern a single process are never forwarded.
  if (std::holds_alternative<status_call>(aMessage.mCall) ||
      std::holds_alternative<wait_call>(aMessage.mCall) ||
      std::holds_alternative<cancel_call>(aMessage.mCall)) {
    handle(origin, aMessage.mCall);
  }
}

template<guard_policy Guards>
bool call_handler<Guards>::isOperator(const std::string& aKey) const
{
  const auto& digests = mContext.mOptions.mOperatorKeyDigests;
  return !aKey.empty() &&
         std::find(digests.begin(), digests.end(), keyDigest(aKey)) != digests.end();
}

template<guard_policy Guards>
bool call_handler<Guards>::checkOperator(const call_origin& aOrigin, const std::string& aKey)
{
  if (isOperator(aKey)) {
    return true;
  }
  mRouter.reply(aOrigin,
                refusal(answer_class::not_run, 401, "operator_key_unknown",
                        "The call needs an operator's key.", "authenticate", mContext.self()));
  return false;
}

template<guard_policy Guards>
template<typename Call>
coordinated_job* call_handler<Guards>::locate(const call_origin& aOrigin, const Call& aCall,
                                              duration aExtraTime)
{
  auto* job = mContext.mJobs.find(aCall.mRequest);
  if (job == nullptr) {
    locateElsewhere(aOrigin, aCall, aExtraTime);
    return nullptr;
  }
  auto team = job->mSpec.mTeam;
  if (isOperator(aCall.mKey)) {
    return job;
  }
  if (auto error = checkKey(aCall.mKey, team, mContext.control())) {
    mRouter.reply(aOrigin, refusal(call_router<Guards>::maybeRan(), std::move(*error)));
    return nullptr;
  }
  return job;
}

template<guard_policy Guards>
template<typename Call>
void call_handler<Guards>::locateElsewhere(const call_origin& aOrigin, const Call& aCall,
                                           duration aExtraTime)
{
  const auto& control = mContext.control();
  const auto parsed = parseTicket(aCall.mRequest);
  incarnation_id coordinator;
  if (parsed) {
    coordinator = control.resolve(parsed->mIssuer);
    if (coordinator != mContext.self() && !control.isMember(coordinator)) {
      coordinator.clear();
    }
  } else if (const auto decision = mContext.mIndex.find(aCall.mRequest)) {
    coordinator = control.resolve(decision->mCoordinator);
  }
  if (!coordinator.empty() && coordinator != mContext.self()) {
    mRouter.forward(aOrigin, aCall, coordinator, aExtraTime);
    return;
  }
  if (const auto* ended = mContext.mIndex.findEnded(aCall.mRequest)) {
    mRouter.reply(aOrigin, endedAnswer(*ended));
    return;
  }
  if (coordinator == mContext.self() && (!parsed || mSubmits.wasAccepted(*parsed))) {
    mRouter.reply(aOrigin, refusal(answer_class::ran, 410, "result_expired",
                                   "The job has ended and its result is no longer kept.", "look up",
                                   mContext.self()));
    return;
  }
  // A copy of the request may still be in flight, so the answer does not exclude that it runs.
  mRouter.reply(aOrigin,
                refusal(call_router<Guards>::maybeRan(), 404, "not_found",
                        "No request with this id is known here.", "look up", mContext.self()));
}

template<guard_policy Guards>
void call_handler<Guards>::apply(const call_origin& aOrigin, const status_call& aCall)
{
  if (const auto* job = locate(aOrigin, aCall, duration(0))) {
    mRouter.reply(aOrigin, statusAnswer(*job));
  }
}

template<guard_policy Guards>
void call_handler<Guards>::apply(const call_origin& aOrigin, const wait_call& aCall)
{
  const auto timeout = std::clamp(aCall.mTimeout, std::chrono::milliseconds(0), kMaxWait);
  auto* job = locate(aOrigin, aCall, timeout);
  if (job == nullptr) {
    return;
  }
  if (job->mEnded || timeout.count() == 0 || mContext.mStopping) {
    mRouter.reply(aOrigin, statusAnswer(*job));
    return;
  }
  if (std::find(job->mWaiters.begin(), job->mWaiters.end(), aOrigin) != job->mWaiters.end()) {
    return;
  }
  job->mWaiters.push_back(aOrigin);
  mDeadlines.emplace(mContext.mNow + timeout, aOrigin, aCall.mRequest);
  if (aOrigin.mPeer.empty()) {
    mWaiting[aOrigin.mCallId] = aCall.mRequest;
  }
}

template<guard_policy Guards>
void call_handler<Guards>::apply(const call_origin& aOrigin, const cancel_call& aCall)
{
  if (auto* job = locate(aOrigin, aCall, duration(0))) {
    mReplicator.cancel(*job);
    mRouter.reply(aOrigin, statusAnswer(*job));
  }
}

template<guard_policy Guards>
void call_handler<Guards>::apply(const call_origin& aOrigin, const publish_call& aCall)
{
  // Another daemon may have published the operation under the same id.
  if (!isOperator(aCall.mOperatorKey)) {
    mRouter.reply(aOrigin,
                  refusal(call_router<Guards>::maybeRan(), 401, "operator_key_unknown",
                          "The call needs an operator's key.", "authenticate", mContext.self()));
    return;
  }
  if (mContext.mStopping) {
    mRouter.reply(aOrigin, refusal(call_router<Guards>::maybeRan(), 503, "stopping",
                                   "This daemon is shutting down.", "accept", mContext.self()));
    return;
  }
  mContext.mMembership.publish(aOrigin.mCallId, aCall, mContext.mNow);
}

template<guard_policy Guards>
void call_handler<Guards>::apply(const call_origin& aOrigin, const show_call& aCall)
{
  if (checkOperator(aOrigin, aCall.mOperatorKey)) {
    mRouter.reply(aOrigin, { .mClass = answer_class::ran, .mBody = mContext.control().config() });
  }
}

template<guard_policy Guards>
void call_handler<Guards>::apply(const call_origin& aOrigin, const dump_call& aCall)
{
  if (checkOperator(aOrigin, aCall.mOperatorKey)) {
    mRouter.reply(aOrigin, { .mClass = answer_class::ran, .mBody = dump_result{ mDump() } });
  }
}

template<guard_policy Guards>
void call_handler<Guards>::removeWaiter(const call_origin& aOrigin, const request_id& aRequest)
{
  if (auto* job = mContext.mJobs.find(aRequest)) {
    std::erase(job->mWaiters, aOrigin);
  }
  if (aOrigin.mPeer.empty()) {
    mWaiting.erase(aOrigin.mCallId);
  }
}

template<guard_policy Guards>
void call_handler<Guards>::dropped(std::uint64_t aCallId)
{
  mRouter.dropped(aCallId);
  const auto found = mWaiting.find(aCallId);
  if (found != mWaiting.end()) {
    const auto request = found->second;
    removeWaiter({ .mCallId = aCallId }, request);
  }
}

template<guard_policy Guards>
void call_handler<Guards>::onJobEnded(const coordinated_job& aJob)
{
  if (aJob.mWaiters.empty()) {
    return;
  }
  const auto status = statusAnswer(aJob);
  const auto waiters = aJob.mWaiters;
  for (const auto& origin : waiters) {
    mRouter.reply(origin, status);
    removeWaiter(origin, aJob.mSpec.mRequest);
  }
}

template<guard_policy Guards>
void call_handler<Guards>::tick()
{
  while (!mDeadlines.empty() && std::get<time_point>(*mDeadlines.begin()) <= mContext.mNow) {
    const auto [deadline, origin, request] = *mDeadlines.begin();
    mDeadlines.erase(mDeadlines.begin());
    const auto* job = mContext.mJobs.find(request);
    if (job != nullptr &&
        std::find(job->mWaiters.begin(), job->mWaiters.end(), origin) != job->mWaiters.end()) {
      mRouter.reply(origin, statusAnswer(*job));
      removeWaiter(origin, request);
    }
  }
}

template<guard_policy Guards>
void call_handler<Guards>::answerAll()
{
  const auto deadlines = std::exchange(mDeadlines, {});
  for (const auto& [deadline, origin, request] : deadlines) {
    mDeadlines.emplace(mContext.mNow, origin, request);
  }
  tick();
}

} // namespace endiveusher::internal
