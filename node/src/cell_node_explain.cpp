#include "cell_node_impl.h"
#include "explain_api.h"
#include "submission.h"

namespace endiveusher::node {

using namespace internal;

void cell_node::impl::handleExplain(const peer_request& aRequest)
{
  if (mOwner) {
    ++mExplanations;
    const auto begin = mClock.now();
    auto answer = explainHere(aRequest.mBody);
    mLog.write("explain",
               fmt::format("status={} bytes={} us={}", answer.mStatus, answer.mBody.size(),
                           (mClock.now() - begin) / std::chrono::microseconds(1)));
    aRequest.mResponder.answer(std::move(answer));
    return;
  }
  if (aRequest.mPath == kOwnerExplainPath) {
    aRequest.mResponder.answer(explainError(503, "this daemon is not the owner any more"));
    return;
  }
  if (mExplanationOpen) {
    aRequest.mResponder.answer(explainError(503, "another explanation is under way"));
    return;
  }
  if (!mOwnerClient.reachable(mClock.now())) {
    aRequest.mResponder.answer(explainError(503, "no owner is known that answers"));
    return;
  }
  mExplanationOpen = true;
  mOwnerClient.call(kOwnerExplainPath, aRequest.mBody, kExplainTimeout,
                    [this, responder = aRequest.mResponder](edges::loop_reply&& aReply) {
                      mExplanationOpen = false;
                      if (aReply.mStatus) {
                        responder.answer({ .mStatus = static_cast<std::uint16_t>(*aReply.mStatus),
                                           .mBody = std::move(aReply.mBody) });
                      } else {
                        responder.answer(
                          explainError(503, "the owner has ended or does not answer within 2 s"));
                      }
                    });
}

edges::http_answer cell_node::impl::explainHere(std::string_view aBody)
{
  const auto now = mClock.now();
  if (mStepDownReason || !mElection.mayAct(now)) {
    return explainError(503, "the owner may not act at present");
  }
  const auto& config = mOperator.config();
  if (!config) {
    return explainError(503, "the owner has not read the configuration yet");
  }
  const bool current = now - mOperatorTail->freshAsOf() <= kMaxDenialAge;
  const auto decoded = decodeExplainedJob(aBody, *config, current);
  if (const auto* error = std::get_if<edges::http_answer>(&decoded)) {
    return *error;
  }
  const auto& spec = std::get<scheduler::job_spec>(decoded);
  if (mJobs.table().find(spec.mId) != nullptr) {
    return explainError(409, fmt::format("the job {} is known already", toText(spec.mId)));
  }
  const loop_profiler::scope deciding(mProfiler, loop_phase::decisions);
  auto explanation = mOwner->explain(spec, now);
  const auto reason =
    unschedulableReason(spec, *config->route(spec.mRoute), config->team(spec.mTeam), mLargestSizes);
  if (!reason.empty()) {
    explanation.mRejection = { .mRetryAfter = kRetryAfterConfigChange,
                               .mReason = std::string(reason) };
  }
  explanation.mJournalAge = now - mJobs.freshAsOf();
  explanation.mRegistryAge = now - mRegistryTail->freshAsOf();
  return { .mBody = encode(explanation) };
}

} // namespace endiveusher::node
