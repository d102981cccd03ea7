#include "cell_node_impl.h"

namespace endiveusher::node {

using namespace internal;

namespace {

/// Time since its last hello after which a daemon gets no calls for advice.
constexpr std::chrono::milliseconds kAdviceHelperTimeout{ 1000 };
/// Timeout of a status query to the owner; after it callers get the state known to this daemon.
constexpr std::chrono::milliseconds kStatusTimeout{ 300 };
/// Time before the owner's timeout at which a call for advice on its behalf times out, so that the
/// owner hears of the failure instead of taking this daemon as unresponsive.
constexpr std::chrono::milliseconds kAdviceReplyMargin{ 100 };

} // namespace

bool cell_node::impl::queryOwner(scheduler::job_id aId, const std::string& aTeam,
                                 std::function<void(std::optional<std::string>)> aDone)
{
  if (mOwner || !mOwnerClient.reachable(mClock.now())) {
    return false;
  }
  mOwnerClient.call(kPeerStatusPath, toText(aId) + aTeam, kStatusTimeout,
                    [done = std::move(aDone)](edges::loop_reply&& aReply) {
                      done(aReply.ok() ? std::optional(std::move(aReply.mBody)) : std::nullopt);
                    });
  return true;
}

void cell_node::impl::tickPeers(time_point aNow)
{
  if (mOwner) {
    std::erase_if(mAdviceHelpers,
                  [aNow](const auto& aOne) { return aOne.second + kAdviceHelperTimeout < aNow; });
    std::vector<std::string> names;
    names.reserve(mAdviceHelpers.size());
    for (const auto& [name, seen] : mAdviceHelpers) {
      names.push_back(name);
    }
    mOwner->setAdviceHelpers(names);
    return;
  }
  mOwnerClient.tick(aNow);
}

void cell_node::impl::handleForwardedRecords(const peer_request& aRequest)
{
  const auto records = decodeForwardedRecords(aRequest.mBody);
  if (!records.ok()) {
    mLog.write("malformed", fmt::format("path={} error=\"{}\"", aRequest.mPath,
                                        std::string(records.status().message())));
    aRequest.mResponder.answer({ .mStatus = 400 });
    return;
  }
  struct progress
  {
    std::string mResults;
    std::size_t mOpen = 0;
  };
  const auto all = std::make_shared<progress>(
    progress{ .mResults = std::string(records->size(), '?'), .mOpen = records->size() });
  for (std::size_t index = 0; index < records->size(); ++index) {
    const auto finish = [all, index, responder = aRequest.mResponder](write_outcome aOutcome) {
      auto result = forward_result::unknown;
      if (aOutcome == write_outcome::stored) {
        result = forward_result::stored;
      } else if (aOutcome == write_outcome::refused) {
        result = forward_result::refused;
      }
      all->mResults[index] = static_cast<char>(result);
      if (--all->mOpen == 0) {
        responder.answer({ .mBody = std::move(all->mResults) });
      }
    };
    const auto record = scheduler::decodeRecord((*records)[index]);
    if (!record.ok() || !acceptLocally(*record, finish)) {
      finish(write_outcome::refused);
    }
  }
}

void cell_node::impl::handleStatus(const peer_request& aRequest)
{
  // The body is the id, of fixed length, and the team, which is empty for callers of public routes.
  const std::string_view body = aRequest.mBody;
  const auto id = scheduler::parseJobId(body.substr(0, scheduler::kJobIdDigits));
  const auto* found = id && mOwner ? mJobTable.find(*id) : nullptr;
  const auto team = body.substr(std::min(body.size(), scheduler::kJobIdDigits));
  if (found == nullptr || !found->mSpec.visibleTo(team)) {
    aRequest.mResponder.answer({ .mStatus = 404 });
    return;
  }
  aRequest.mResponder.answer(
    { .mBody = platform::encodeJobState(*found, !mUnstoredEnds.contains(*id)) });
}

void cell_node::impl::handlePeer(peer_request& aRequest)
{
  if (aRequest.mPath == kPeerHelloPath) {
    const auto now = mClock.now();
    if (!aRequest.mBody.empty()) {
      mAdviceHelpers[aRequest.mBody] = now;
    }
    aRequest.mResponder.answer({ .mBody = std::to_string(mStoreConnectivity.timeSinceReply(now) /
                                                         std::chrono::milliseconds(1)) });
  } else if (aRequest.mPath == kPeerStorePath) {
    handleForwardedRecords(aRequest);
  } else if (aRequest.mPath == kPeerStatusPath) {
    handleStatus(aRequest);
  } else if (aRequest.mPath == kPeerAdvicePath) {
    const auto request = decodePeerAdvice(aRequest.mBody);
    if (!request.ok()) {
      aRequest.mResponder.answer({ .mStatus = 400 });
      return;
    }
    auto call = platform::encodeAdvice(mSettings.mAdviceAddress, *request);
    call.mTimeout -= std::min(kAdviceReplyMargin, call.mTimeout / 2);
    call.mDone = [responder = aRequest.mResponder](edges::loop_reply&& aReply) {
      responder.answer({ .mStatus = static_cast<std::uint16_t>(aReply.mStatus.value_or(504)),
                         .mBody = std::move(aReply.mBody) });
    };
    mLoop.send(std::move(call));
  } else if (aRequest.mPath == kMetricsPath) {
    aRequest.mResponder.answer({ .mBody = metrics(), .mContentType = "text/plain" });
  } else if (aRequest.mPath == kStatePath) {
    aRequest.mResponder.answer({ .mBody = state(), .mContentType = "text/plain" });
  } else {
    aRequest.mResponder.answer({ .mStatus = 404 });
  }
}

void cell_node::impl::handleCaller(const queued_caller_request& aRequest)
{
  mRequestHandler.handle(
    aRequest.mCall, aRequest.mBody,
    [this, responder = aRequest.mResponder, since = mClock.now()](caller_response&& aAnswer) {
      mCallTimes.record(mClock.now() - since);
      edges::http_answer answer{
        .mStatus = static_cast<std::uint16_t>(aAnswer.mStatus),
        .mBody = std::move(aAnswer.mBody),
        // With a new connection the caller may reach a daemon that can serve it.
        .mClose = mStopping || partitioned(mClock.now()),
      };
      if (aAnswer.mRetryAfter) {
        answer.mHeaders.emplace_back("Retry-After", std::to_string(aAnswer.mRetryAfter->count()));
      }
      responder.answer(std::move(answer));
    });
}

std::string cell_node::impl::metrics() const
{
  const auto& counters = mRequestHandler.counters();
  std::string text;
  const auto add = [&text](std::string_view aName, auto aValue) {
    text += fmt::format("endiveusher_{} {}\n", aName, aValue);
  };
  add("jobs_submitted_total", counters.mSubmitted);
  add("jobs_accepted_total", counters.mAccepted);
  add("calls_rejected_total", counters.mRejected);
  add("outcomes_unknown_total", counters.mUnknown);
  add("status_calls_total", counters.mStatus);
  add("jobs_cancelled_total", counters.mCancelled);
  add("jobs_known", mJobTable.size());
  add("store_calls_total", mStore.calls());
  add("log_lines_dropped_total", mLog.dropped());
  add("ready", mReady ? 1 : 0);
  add("owner", mOwner ? 1 : 0);
  if (mOwner) {
    const auto counts = mOwner->counts();
    add("targets", counts.mTargets);
    add("targets_usable", counts.mUsableTargets);
    add("runs_open", counts.mOpenRuns);
    add("steps_waiting", counts.mWaitingSteps);
    add("advice_calls_open", counts.mAdviceCalls);
    add("advice_helpers", mAdviceHelpers.size());
  }
  text += mProfiler.metrics();
  text += mCallTimes.render("endiveusher_call_seconds", "Time to answer a caller.");
  text += mAppendTimes.render("endiveusher_append_seconds", "Appends of the owner.");
  text += mOrderSender.metrics();
  return text;
}

std::string cell_node::impl::state() const
{
  const auto now = mClock.now();
  return fmt::format("node={} role={} epoch={} config={} config_age_ms={} journal_next={} "
                     "journal_age_ms={} jobs={} targets={} closed_zones={} owner={}\n{}",
                     mSettings.mNode, mOwner ? "owner" : "follower", mEpoch,
                     mOperator.config() ? mOperator.config()->mVersion : 0,
                     (now - mOperatorTail->freshAsOf()) / std::chrono::milliseconds(1),
                     mJournalTail->next(),
                     (now - mJournalTail->freshAsOf()) / std::chrono::milliseconds(1),
                     mJobTable.size(), mRegistry.targets().size(), mOperator.closedZones().size(),
                     mElection.ownerNode(), mOwner ? mOwner->dump() : std::string());
}

} // namespace endiveusher::node
