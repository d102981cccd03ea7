#include "cell_node_impl.h"
#include "explain_api.h"

namespace endiveusher::node {

using namespace internal;

namespace {

/// Time after its next hello was due after which a daemon gets no calls to make.
constexpr std::chrono::milliseconds kHelperTimeout{ 750 };
/// Smallest number of standbys, if there are enough daemons.
constexpr std::size_t kMinStandbys = 4;
/// Interval at which the owner updates the daemons that make calls on its behalf.
constexpr std::chrono::milliseconds kHelperUpdateInterval{ 50 };
/// Time after a standby's first hello in which it receives the reply. Without the owner's clock
/// from it, it takes no orders.
constexpr std::chrono::milliseconds kRelayDelay{ 100 };
/// Minimum time between two hellos that the owner answers, on the mean over all daemons. Load
/// pattern: a large cell, in which hellos at a fixed interval would take a tenth of the owner's
/// processor time.
constexpr std::chrono::milliseconds kHelloSpacing{ 8 };
constexpr std::size_t kMinSpacedDaemons = 32;
/// Timeout of a status query to the owner; after it callers get the state known to this daemon.
constexpr std::chrono::milliseconds kStatusTimeout{ 300 };
/// Time before the owner's timeout at which a call for advice on its behalf times out, so that the
/// owner hears of the failure instead of taking this daemon as unresponsive.
constexpr std::chrono::milliseconds kAdviceReplyMargin{ 100 };

/// Whether a caller's request makes such a record; all others are the owner's decisions.
bool isCallersRecord(const scheduler::journal_record& aRecord)
{
  return std::holds_alternative<scheduler::job_submitted>(aRecord) ||
         std::holds_alternative<scheduler::job_cancelled>(aRecord);
}

/// Returns the value of a label in the Prometheus text format.
std::string metricLabel(std::string_view aValue)
{
  std::string text;
  for (const char one : aValue) {
    if (one == '\n') {
      text += "\\n";
      continue;
    }
    if (one == '"' || one == '\\') {
      text += '\\';
    }
    text += one;
  }
  return text;
}

/// Returns the interval at which each of the owner's followers should send hellos.
std::chrono::milliseconds helloInterval(std::size_t aFollowers)
{
  return kHelloSpacing * std::max(aFollowers, kMinSpacedDaemons);
}

} // namespace

input_lane internal::laneOf(std::string_view aPath)
{
  if (aPath == kPeerUnstoredEndsPath || aPath == kPeerHelloPath) {
    return input_lane::membership;
  }
  if (aPath == kPeerResultsPath) {
    return input_lane::promises;
  }
  if (aPath == kPeerOrdersPath || aPath == kPeerAdvicePath) {
    return input_lane::orders;
  }
  const bool isDiagnostic = aPath == kMetricsPath || aPath == kStatePath || aPath == kExplainPath ||
                            aPath == kOwnerExplainPath;
  return isDiagnostic ? input_lane::diagnostics : input_lane::callers;
}

bool cell_node::impl::queryOwner(scheduler::job_id aId, const std::string& aTeam,
                                 std::function<void(owner_answer&&)> aDone)
{
  return callOwner(kPeerStatusPath, toText(aId) + aTeam, std::move(aDone));
}

bool cell_node::impl::queryWaiting(const std::string& aRoute,
                                   std::function<void(owner_answer&&)> aDone)
{
  return callOwner(kPeerWaitingPath, aRoute, std::move(aDone));
}

bool cell_node::impl::callOwner(std::string_view aPath, std::string aBody,
                                std::function<void(owner_answer&&)> aDone)
{
  if (mOwner || !mOwnerClient.reachable(mClock.now())) {
    return false;
  }
  mOwnerClient.call(aPath, std::move(aBody), kStatusTimeout,
                    [done = std::move(aDone)](edges::loop_reply&& aReply) {
                      owner_answer answer{ .mUnknownJob = aReply.mStatus == 404 };
                      if (aReply.ok()) {
                        answer.mBody = std::move(aReply.mBody);
                      }
                      done(std::move(answer));
                    });
  return true;
}

void cell_node::impl::tickPeers(time_point aNow)
{
  if (mOwner) {
    if (mNextHelperUpdate <= aNow) {
      mNextHelperUpdate = aNow + kHelperUpdateInterval;
      updateHelpers(aNow);
    }
    return;
  }
  mOwnerClient.tick(aNow);
}

void cell_node::impl::updateHelpers(time_point aNow)
{
  const auto interval = helloInterval(mHelpers.size());
  std::erase_if(mHelpers, [this, aNow, interval](const auto& aOne) {
    const auto& [address, helper] = aOne;
    return helper.mLastHello + kHelperTimeout +
             (mStandbys.contains(address) ? kHelloInterval : interval) <
           aNow;
  });
  updateStandbys();
  std::vector<std::string> all;
  std::vector<relay_candidate> candidates;
  all.reserve(mHelpers.size());
  for (const auto& [address, helper] : mHelpers) {
    all.push_back(address);
    if (aNow - helper.mFirstHello >= kRelayDelay) {
      candidates.push_back({ .mAddress = address, .mCores = helper.mCores });
    }
  }
  mOwner->setAdviceHelpers(all);
  mOrderRouter.setCell(mProfiler.load(), mRegistry.targets().size(), std::move(candidates), aNow);
}

void cell_node::impl::updateStandbys()
{
  std::erase_if(mStandbys, [this](const std::string& aOne) { return !mHelpers.contains(aOne); });
  const auto fill = [this](const auto& aChosen) {
    for (const auto& [address, helper] : mHelpers) {
      if (isLarge(helper.mCores) || (mStandbys.size() < kMinStandbys && aChosen(helper))) {
        mStandbys.insert(address);
      }
    }
  };
  // Those that follow the journal already need not read it from its beginning.
  fill([](const helper& aOne) { return aOne.mStandby; });
  fill([](const helper& /*aOne*/) { return true; });
}

void cell_node::impl::onHelloReply(const std::string& aOwner, const hello_reply& aReply,
                                   time_point aReceived)
{
  mOrderRelay.setOwnerClock(aOwner, aReply.mOwnerTime, aReceived);
  mWritesSnapshots = aReply.mWritesSnapshots;
  const bool standby = aReply.mStandby.value_or(mStandby) || isLarge(mSettings.mCores);
  if (standby == mStandby || mEpoch != 0 || mStopping) {
    return;
  }
  mStandby = standby;
  mOwnerClient.setStandby(standby);
  mLog.write("standby", fmt::format("active={} owner={}", standby, aOwner));
  if (standby) {
    mJobs.load();
  } else {
    mJobs.drop();
  }
}

void cell_node::impl::rejectMalformed(const peer_request& aRequest, const absl::Status& aError)
{
  mLog.write("malformed",
             fmt::format("path={} error=\"{}\"", aRequest.mPath, std::string(aError.message())));
  aRequest.mResponder.answer({ .mStatus = 400 });
}

void cell_node::impl::handleOrders(const peer_request& aRequest)
{
  auto batch = decodeOrderBatch(aRequest.mBody);
  if (!batch.ok()) {
    rejectMalformed(aRequest, batch.status());
    return;
  }
  std::uint16_t status = 200;
  switch (mOrderRelay.onBatch(*std::move(batch))) {
    case order_relay::reception::accepted:
      break;
    case order_relay::reception::superseded:
      status = kSupersededStatus;
      break;
    case order_relay::reception::outdated:
      status = 503;
      break;
  }
  aRequest.mResponder.answer({ .mStatus = status });
}

void cell_node::impl::handleOrderResults(const peer_request& aRequest)
{
  const auto results = decodeOrderResults(aRequest.mBody);
  if (!results.ok()) {
    rejectMalformed(aRequest, results.status());
    return;
  }
  aRequest.mResponder.answer({});
  mOrderRouter.onResults(*results);
}

void cell_node::impl::handleForwardedRecords(const peer_request& aRequest)
{
  const auto records = decodeForwardedRecords(aRequest.mBody);
  if (!records.ok()) {
    rejectMalformed(aRequest, records.status());
    return;
  }
  struct progress
  {
    std::string mResults;
    std::size_t mOpen = 0;
  };
  if (records->empty()) {
    aRequest.mResponder.answer({});
    return;
  }
  const auto all = std::make_shared<progress>(
    progress{ .mResults = std::string(records->size(), '?'), .mOpen = records->size() });
  for (std::size_t index = 0; index < records->size(); ++index) {
    const auto answer = [all, index, responder = aRequest.mResponder](char aResult) {
      all->mResults[index] = aResult;
      if (--all->mOpen == 0) {
        responder.answer({ .mBody = std::move(all->mResults) });
      }
    };
    const auto finish = [answer](caller_outcome aOutcome) {
      auto result = forward_result::unknown;
      if (aOutcome == write_outcome::stored) {
        result = forward_result::stored;
      } else if (aOutcome == write_outcome::refused) {
        result = forward_result::busy;
      } else if (aOutcome == write_outcome::overloaded) {
        result = forward_result::overloaded;
      }
      answer(aOutcome.mRetryAfter.count() > 0 ? encodeRetryAfter(aOutcome.mRetryAfter)
                                              : static_cast<char>(result));
    };
    const auto record = scheduler::decodeRecord((*records)[index]);
    if (!record.ok() || !isCallersRecord(*record) || !acceptLocally(*record, finish)) {
      answer(static_cast<char>(forward_result::refused));
    }
  }
}

void cell_node::impl::handleHello(const peer_request& aRequest)
{
  const auto now = mClock.now();
  const auto from = decodeHello(aRequest.mBody);
  if (!from.ok()) {
    rejectMalformed(aRequest, from.status());
    return;
  }
  if (!from->mAddress.empty()) {
    auto& helper = mHelpers.try_emplace(from->mAddress, now).first->second;
    helper.mLastHello = now;
    helper.mCores = from->mCores;
    helper.mStandby = from->mStandby;
    helper.mViewCurrent = from->mViewCurrent;
  }
  aRequest.mResponder.answer(
    { .mBody = encodeHelloReply(
        { .mOwnerTime =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()),
          .mStoreAge = std::chrono::duration_cast<std::chrono::milliseconds>(
            mStoreConnectivity.timeSinceReply(now)),
          .mInterval = helloInterval(mHelpers.size()),
          .mStandby = mOwner ? std::optional(mStandbys.contains(from->mAddress)) : std::nullopt,
          .mWritesSnapshots = !mStandbys.empty() && *mStandbys.begin() == from->mAddress,
          .mCapacity = mLargestSizes }) });
}

void cell_node::impl::handleWaiting(const peer_request& aRequest)
{
  if (!mOwner) {
    aRequest.mResponder.answer({ .mStatus = 503 });
    return;
  }
  aRequest.mResponder.answer(
    { .mBody = platform::encodeWaiting(mJobs.table().waitingJobs(aRequest.mBody)) });
}

void cell_node::impl::handleStatus(const peer_request& aRequest)
{
  // The body is the id, of fixed length, and the team, which is empty for callers of public routes.
  const std::string_view body = aRequest.mBody;
  const auto id = scheduler::parseJobId(body.substr(0, scheduler::kJobIdDigits));
  const auto* found = id && mOwner ? mJobs.table().find(*id) : nullptr;
  const auto team = body.substr(std::min(body.size(), scheduler::kJobIdDigits));
  if (found == nullptr || !found->mSpec.visibleTo(team)) {
    // The journal may hold a job that another daemon has appended since it was last read.
    const bool current = mOwner && mClock.now() - mJobs.freshAsOf() <= kMaxDenialAge;
    aRequest.mResponder.answer({ .mStatus = static_cast<std::uint16_t>(current ? 404 : 503) });
    return;
  }
  const auto answer = [this, id = *id, responder = aRequest.mResponder] {
    const auto* known = mOwner ? mJobs.table().find(id) : nullptr;
    if (known == nullptr) {
      responder.answer({ .mStatus = 503 });
      return;
    }
    responder.answer({ .mBody = platform::encodeJobState(*known, mOwner->isEndStored(id)) });
  };
  if (mOwner->isEndStored(*id)) {
    answer();
  } else {
    mEndWaiters.add(*id, answer, mClock.now());
  }
}

void cell_node::impl::handleUnstoredEnds(const peer_request& aRequest)
{
  const auto epoch = decodeEpoch(aRequest.mBody);
  if (!epoch.ok()) {
    rejectMalformed(aRequest, epoch.status());
    return;
  }
  if (mEpoch != 0 && mEpoch < *epoch) {
    mElection.stepDown();
    stepDown(fmt::format("superseded by epoch {}", *epoch));
  }
  // An owner of a higher epoch than the caller's holds what its predecessors have handed over.
  aRequest.mResponder.answer(
    { .mBody = encodeEnds(mOwner ? mOwner->unstoredEnds() : mUnstoredReports) });
}

void cell_node::impl::onEndsHandedOver(const std::string& aAddress,
                                       const std::vector<scheduler::run_ended>& aEnds)
{
  mElection.history().onStoodDown(aAddress, mEpoch, mClock.now());
  if (mOwner) {
    mOwner->setLatestActs(mElection.history().latestActs());
    mOwner->adoptEnds(aEnds, mClock.now());
  } else if (mEpoch != 0) {
    mUnstoredReports.insert(mUnstoredReports.end(), aEnds.begin(), aEnds.end());
  }
}

void cell_node::impl::handlePeer(peer_request& aRequest)
{
  if (aRequest.mPath == kPeerHelloPath) {
    handleHello(aRequest);
  } else if (aRequest.mPath == kPeerStorePath) {
    handleForwardedRecords(aRequest);
  } else if (aRequest.mPath == kPeerStatusPath) {
    handleStatus(aRequest);
  } else if (aRequest.mPath == kPeerWaitingPath) {
    handleWaiting(aRequest);
  } else if (aRequest.mPath == kPeerUnstoredEndsPath) {
    handleUnstoredEnds(aRequest);
  } else if (aRequest.mPath == kPeerOrdersPath) {
    handleOrders(aRequest);
  } else if (aRequest.mPath == kPeerResultsPath) {
    handleOrderResults(aRequest);
  } else if (aRequest.mPath == kPeerAdvicePath) {
    const auto request = decodePeerAdvice(aRequest.mBody);
    if (!request.ok()) {
      rejectMalformed(aRequest, request.status());
      return;
    }
    auto call = platform::encodeAdvice(mSettings.mAdviceAddress, *request);
    call.mTimeout -= std::min(kAdviceReplyMargin, call.mTimeout / 2);
    call.mDone = [responder = aRequest.mResponder](edges::loop_reply&& aReply) {
      responder.answer({ .mStatus = static_cast<std::uint16_t>(aReply.mStatus.value_or(504)),
                         .mBody = std::move(aReply.mBody) });
    };
    mLoop.send(std::move(call));
  } else if (aRequest.mPath == kExplainPath || aRequest.mPath == kOwnerExplainPath) {
    handleExplain(aRequest);
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
  auto call = aRequest.mCall;
  if (call.mTimeout && mInputArrival) {
    *call.mTimeout -=
      std::chrono::duration_cast<std::chrono::milliseconds>(mClock.now() - *mInputArrival);
  }
  mRequestHandler.handle(
    call, aRequest.mBody,
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

namespace {

double inSeconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

std::string cell_node::impl::metrics() const
{
  const auto now = mClock.now();
  const auto& counters = mRequestHandler.counters();
  std::string text;
  const auto add = [&text](std::string_view aName, auto aValue) {
    text += fmt::format("endiveusher_{} {}\n", aName, aValue);
  };
  add("failed_steps_total", mFailedSteps);
  add("jobs_submitted_total", counters.mSubmitted);
  add("jobs_accepted_total", counters.mAccepted);
  add("calls_rejected_total", counters.mRejected);
  add("outcomes_unknown_total", counters.mUnknown);
  add("status_calls_total", counters.mStatus);
  add("jobs_cancelled_total", counters.mCancelled);
  add("explanations_total", mExplanations);
  add("jobs_known", mJobs.table().size());
  add("job_table_bytes", mJobs.table().bytes());
  add("job_table_limit_bytes", mJobs.table().limit());
  add("journal_records_passed_over_total", mJobs.passedOver());
  add("store_calls_total", mStore.calls());
  add("store_read_limit_seconds", inSeconds(mStore.readTimeout({})));
  add("operator_age_seconds", inSeconds(now - mOperatorTail->freshAsOf()));
  add("owner_topic_age_seconds", inSeconds(now - mOwnerTail->freshAsOf()));
  if (followsJournal()) {
    add("journal_age_seconds", inSeconds(now - mJobs.freshAsOf()));
  }
  if (mEpoch != 0) {
    add("registry_age_seconds", inSeconds(now - mRegistryTail->freshAsOf()));
  }
  add("log_lines_dropped_total", mLog.dropped());
  add("memory_budget_used_bytes", mBudget->used());
  add("memory_budget_limit_bytes", mBudget->limit());
  add("shed_requests_total", mBudget->shedRequests());
  add("shed_bytes_total", mBudget->shedBytes());
  add("rejected_connections_total", rejectedConnections());
  add("accept_pauses_total", acceptPauses());
  add("connections",
      mCallerServer->connections() + mReadinessServer->connections() + mPeerServer->connections());
  add("reply_bytes", mLoop.replyBytes());
  add("refused_replies_total", mLoop.refusedReplies());
  add("record_bytes", mRequestHandler.recordBytes());
  add("records_without_memory_total", counters.mNoMemory);
  add("ready", mReady ? 1 : 0);
  add("owner", mOwner ? 1 : 0);
  if (mOwner) {
    const auto counts = mOwner->counts(now);
    add("targets", counts.mTargets);
    add("targets_usable", counts.mUsableTargets);
    add("runs_open", counts.mOpenRuns);
    add("steps_waiting", counts.mWaitingSteps);
    add("step_wait_max_seconds", inSeconds(counts.mLongestWait));
    add("target_silence_max_seconds", inSeconds(counts.mLongestSilence));
    add("advice_calls_open", counts.mAdviceCalls);
    add("plan_steps", counts.mLastPass.mSteps);
    add("plan_starts", counts.mLastPass.mStarts);
    add("plan_visits", counts.mLastPass.mVisits);
    add("plan_seconds", inSeconds(counts.mLastPass.mDuration));
    add("steps_delayed", counts.mDelayedSteps);
    add("targets_slow", counts.mSlowTargets);
    add("targets_slow_excluded", counts.mExcludedTargets);
    add("tasks_moved_total", counts.mMovedTasks);
    for (const auto& route : counts.mRunTimes) {
      const auto label = metricLabel(route.mRoute);
      text += fmt::format("endiveusher_run_times_total{{route=\"{}\"}} {}\n", label, route.mRuns);
      text +=
        fmt::format("endiveusher_run_time_ratio{{route=\"{}\"}} {:.4f}\n", label, route.mMeanRatio);
      text +=
        fmt::format("endiveusher_run_time_spread{{route=\"{}\"}} {:.4f}\n", label, route.mSpread);
    }
    for (const auto& team : counts.mTeams) {
      const auto label = metricLabel(team.mName);
      text += fmt::format("endiveusher_team_share{{team=\"{}\"}} {:.4f}\n", label, team.mShare);
      text +=
        fmt::format("endiveusher_team_past_use{{team=\"{}\"}} {:.4f}\n", label, team.mPastUse);
    }
    add("advice_helpers", mHelpers.size());
    add("relays", mOrderRouter.relays());
    add("relayed_orders_open", mOrderRouter.openOrders());
    add("relay_policy_idle", mOrderRouter.policy().load().mIdle);
    add("relay_policy_calls", mOrderRouter.policy().load().mCalls);
    const auto& paths = mOrderRouter.pathCounts();
    add("relay_switches_total", paths.mSwitches);
    add("orders_direct_total", paths.mDirect);
    add("orders_relayed_total", paths.mRelayed);
  }
  text += mProfiler.metrics();
  text += mCallTimes.render("endiveusher_call_seconds", "Time to answer a caller.");
  text += mAppendTimes.render("endiveusher_append_seconds", "Appends of the owner.");
  text += mEndTimes.metrics();
  for (std::size_t lane = 0; lane < kInputLanes; ++lane) {
    const auto name = kInputLaneOptions[lane].mName;
    text += mInputWaits[lane].render(fmt::format("endiveusher_input_wait_{}_seconds", name),
                                     "Time for which inputs wait for the event loop.");
    text += fmt::format("endiveusher_inputs_rejected_total{{lane=\"{}\"}} {}\n", name,
                        mInbox.rejected(static_cast<input_lane>(lane)));
  }
  text += mOrderSender.metrics();
  return text;
}

std::string cell_node::impl::state() const
{
  const auto now = mClock.now();
  return fmt::format("node={} role={} epoch={} config={} config_age_ms={} journal_next={} "
                     "journal_age_ms={} owner_topic_age_ms={} registry_age_ms={} read_limit_ms={} "
                     "jobs={} targets={} closed_zones={} owner={}\n{}",
                     mSettings.mNode, mOwner ? "owner" : "follower", mEpoch,
                     mOperator.config() ? mOperator.config()->mVersion : 0,
                     (now - mOperatorTail->freshAsOf()) / std::chrono::milliseconds(1),
                     mJobs.position(), (now - mJobs.freshAsOf()) / std::chrono::milliseconds(1),
                     (now - mOwnerTail->freshAsOf()) / std::chrono::milliseconds(1),
                     (now - mRegistryTail->freshAsOf()) / std::chrono::milliseconds(1),
                     mStore.readTimeout({}).count(), mJobs.table().size(),
                     mRegistry.targets().size(), mOperator.closedZones().size(),
                     mElection.ownerNode(), mOwner ? mOwner->dump() : std::string());
}

} // namespace endiveusher::node
