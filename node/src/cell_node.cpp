#include "cell_node_impl.h"

namespace endiveusher::node {

using namespace internal;

namespace {

/// Interval at which the owner's renewals are read; part of the time to detect the owner's loss.
constexpr std::chrono::milliseconds kOwnerTopicReadInterval{ 100 };
/// Longest time that a read of the operator's records is held open; limits the age of known keys.
constexpr std::chrono::milliseconds kOperatorReadWait{ 700 };
constexpr std::chrono::milliseconds kOperatorReadInterval{ 50 };
/// Longest wait of the event loop.
constexpr std::chrono::milliseconds kMaxLoopWait{ 50 };
/// Time without a reply of the store after which a daemon is not ready, as it could store nothing.
constexpr std::chrono::milliseconds kReadyStoreTimeout{ 2500 };
/// Part of the shutdown period that is left when the server of callers begins to stop. Exceeds the
/// longest stop: kServerStopPeriod, and the time to send the last answers and to end threads.
constexpr std::chrono::milliseconds kShutdownMargin{ 1500 };
/// Time into a shutdown after which no new connections are expected: the platform removes a daemon
/// after two failed readiness checks, a second apart.
constexpr std::chrono::milliseconds kDeregistrationPeriod{ 2800 };
/// Time in which the event loop answers the open requests before the server does. Exceeds the
/// timeout of a status query to the owner, the longest wait of an answer that is not for a record.
constexpr std::chrono::milliseconds kServerStopPeriod{ 400 };
/// Time into kServerStopPeriod after which callers are answered that the outcome is not known.
constexpr std::chrono::milliseconds kRecordStopPeriod{ 200 };
/// Minimum time between two wake-ups of the event loop. Load pattern: thousands of replies a
/// second, each of which would wake the loop; with the minimum, one pass handles several.
constexpr std::chrono::microseconds kMinWakeInterval{ 2000 };
/// Interval at which the loop's time by phase is logged.
constexpr std::chrono::milliseconds kProfileLogInterval{ 5000 };
/// Latency of the store, and time since its last reply, up to which a target that comes back can be
/// acquired again well before its leases end: the owner renews its ownership every 400 ms.
constexpr std::chrono::milliseconds kMaxResponsiveLatency{ 500 };
constexpr std::chrono::milliseconds kMaxResponsiveAge{ 700 };
/// Time after its arrival from which an end of a run is stored before callers' work and planning.
/// An end counts as noted 100 ms after its target has listed it. In a loop that is not behind it is
/// stored sooner with the next starts, in one append.
constexpr std::chrono::milliseconds kMaxEndDelay{ 20 };
/// Minimum time between two log lines on steps of the event loop that have failed.
constexpr std::chrono::milliseconds kFailureLogInterval{ 100 };
/// Interval at which ended jobs are removed whose retention period has passed.
constexpr std::chrono::milliseconds kPurgeInterval{ 1000 };
/// Period over which the claims of different daemons are spread, in milliseconds.
constexpr int kMaxStaggerMs = 250;

/// Part of the machine's memory that received requests and unsent answers may take. The daemon
/// itself takes 20 to 56 MB of the 160 MB of a small VM.
constexpr double kBudgetPart = 0.25;
/// Smallest budget: several of the largest requests of other daemons.
constexpr std::size_t kMinBudgetBytes = std::size_t{ 4 } << 20U;
/// Part of the budget that replies of the store, targets, advice and other daemons may take while
/// they are received, and the least that they may: parts of snapshots take 0.5 MB and pages of
/// topics 1 MB, of which a daemon reads a few at a time, and buffers double.
constexpr std::size_t kReplyPart = 2;
constexpr std::size_t kMinReplyBytes = std::size_t{ 8 } << 20U;
/// Part of the budget that submissions and cancellations may take until they are stored: 20 MB of a
/// small VM, five thousand jobs of ordinary size.
constexpr std::size_t kRecordPart = 2;
std::size_t budgetBytes(const platform::node_settings& aSettings)
{
  const auto bytes = aSettings.mMemoryMb * 1024.0 * 1024.0 * kBudgetPart;
  return std::max(kMinBudgetBytes, static_cast<std::size_t>(bytes));
}

/// Part of a daemon's memory that jobs may take. While a snapshot is made, the same is taken once
/// more, beside the budget and what the daemon takes itself.
constexpr double kJobTablePart = 0.2;
/// Smallest limit, of which a team may use two fifths: the largest job that is valid counts 6 MB.
constexpr std::size_t kMinJobTableBytes = std::size_t{ 16 } << 20U;
/// Largest limit: a later owner may run on a VM with less memory.
constexpr std::size_t kMaxJobTableBytes = std::size_t{ 64 } << 20U;
std::size_t jobTableBytes(const platform::node_settings& aSettings)
{
  const auto bytes = aSettings.mMemoryMb * 1024.0 * 1024.0 * kJobTablePart;
  return std::clamp(static_cast<std::size_t>(bytes), kMinJobTableBytes, kMaxJobTableBytes);
}

std::chrono::milliseconds claimStagger(std::uint64_t aIncarnation)
{
  return std::chrono::milliseconds(aIncarnation % kMaxStaggerMs);
}

} // namespace

cell_node::impl::impl(platform::node_settings aSettings)
  : mSettings(std::move(aSettings)), mLog(mSettings.mNode),
    mBudget(std::make_shared<edges::memory_budget>(budgetBytes(mSettings))),
    mLoop({ .mMaxReplyBytes = std::max(kMinReplyBytes, mBudget->limit() / kReplyPart),
            .mBudget = mBudget,
            .mOnError =
              [this](const std::string& aAddress, const std::exception& aError) {
                onStepFailed("answer", aAddress, aError);
              } }),
    mInbox(mClock, [this] { mLoop.wake(); }),
    mStore(mLoop, mSettings.mStoreAddress, mSettings.mLinkMbps),
    mIncarnation(std::random_device{}()),
    mPeerAddress(fmt::format("{}:{}", mSettings.mIp, mSettings.mPeerPort)),
    mStandby(isLarge(mSettings.mCores)),
    mJobs(mStore, mClock, mLog, mProfiler,
          { .mJournalTopic = kJournalTopic, .mSnapshotTopic = kSnapshotTopic },
          { .mOnChanged = [this](scheduler::job& aJob) { onJobChanged(aJob); },
            // Replies of the owner that arrive in this pass of the loop find the table empty.
            .mOnEmptied = [this] { updateCellStatus(); },
            .mOnLoaded =
              [this](std::uint64_t aBase, std::uint64_t aTopicEnd) {
                mSnapshotWriter.onLoaded(aBase, aTopicEnd);
              },
            .mOnIncomplete =
              [this](std::string_view aReason) {
                mSnapshotWriter.abandon();
                if (mOwner) {
                  mStepDownReason = aReason;
                } else {
                  mJobs.load();
                }
              } }),
    mElection({ .mNode = mSettings.mNode,
                .mIncarnation = mIncarnation,
                .mPeerAddress = mPeerAddress,
                .mStagger = claimStagger(mIncarnation),
                .mLarge = isLarge(mSettings.mCores) }),
    mWriter(mStore, mClock,
            { .mTopic = kJournalTopic,
              .mProducer = fmt::format("{}-{}", mSettings.mNode, mIncarnation) }),
    mOwnerClient(mLoop, mClock, { .mAddress = mPeerAddress, .mCores = mSettings.mCores }),
    mRecordWriter(
      mClock, mStore, mOwnerClient, mWriter, mLog,
      [this](const journal_record& aRecord, const caller_record_writer::done_callback& aDone) {
        return acceptLocally(aRecord, aDone);
      },
      [this](const scheduler::job_spec& aJob) {
        return mJobs.table().find(aJob.mId) != nullptr || mJobs.table().hasRoomFor(aJob);
      }),
    mRequestHandler(mClock, mJobs.table(), mRecordWriter, mLog,
                    { .mMaxConfigAge = mSettings.mRevokePeriod * 3 / 5,
                      .mMaxRecordBytes = mBudget->limit() / kRecordPart,
                      .mBudget = mBudget }),
    mRegistry(mLog, mClock,
              { .mOnListed =
                  [this](const scheduler::target_entry& aEntry) {
                    mCapacityChanged = true;
                    if (mOwner) {
                      mOwner->setTarget(aEntry, mClock.now());
                    }
                  },
                .mOnUnlisted =
                  [this](const std::string& aId) {
                    mCapacityChanged = true;
                    if (mOwner) {
                      mOwner->removeTarget(aId, mClock.now());
                    }
                  },
                .mOnWritten =
                  [this](const std::string& aId, time_point aSince) {
                    if (mOwner) {
                      mOwner->onEntryWritten(aId, aSince);
                    }
                  },
                .mOnRemoved =
                  [this](const std::string& aId) {
                    if (mOwner) {
                      mOwner->onEntryRemoved(aId, mClock.now());
                    }
                  } }),
    mOrderRouter(mLoop, mClock, mOrderSender, mLog,
                 { .mAddress = mPeerAddress, .mCores = mSettings.mCores }),
    mSnapshotWriter(mStore, mClock, mLog,
                    { .mTopic = kSnapshotTopic,
                      .mJournalTopic = kJournalTopic,
                      .mWriter = mIncarnation,
                      .mRetention = mSettings.mRecordRetention }),
    mOwnerView(
      { .mCancelPeriod = mSettings.mCancelPeriod, .mConfigPeriod = mSettings.mConfigPeriod }),
    mHandOver(mLoop, mClock, mLog,
              [this](const std::string& aAddress, const std::vector<scheduler::run_ended>& aEnds) {
                onEndsHandedOver(aAddress, aEnds);
              }),
    mCallerGate(
      mClock, { .mMaxConfigAge = mSettings.mRevokePeriod * 3 / 5, .mMaxDenialAge = kMaxDenialAge })
{
  mJobs.table().setLimit(jobTableBytes(mSettings));
  mRequestHandler.setQueryOwner([this](scheduler::job_id aId, const std::string& aTeam,
                                       std::function<void(owner_answer &&)> aDone) {
    return queryOwner(aId, aTeam, std::move(aDone));
  });
  mRequestHandler.setQueryWaiting(
    [this](const std::string& aRoute, std::function<void(owner_answer &&)> aDone) {
      return queryWaiting(aRoute, std::move(aDone));
    });
  mRequestHandler.setIsStored([this](const caller_record& aRecord) {
    return std::ranges::none_of(mUnstoredCallerRecords, [&aRecord](const auto& aOne) {
      return aOne.second.mRecord == aRecord;
    });
  });
  mRequestHandler.setIsEndStored([this](scheduler::job_id aId) { return isEndStored(aId); });
  mRequestHandler.setAwaitEnd([this](scheduler::job_id aId, std::function<void()> aAnswer) {
    mEndWaiters.add(aId, std::move(aAnswer), mClock.now());
  });
  mOwnerClient.setListener(
    [this](const std::string& aOwner, const hello_reply& aReply, time_point aReceived) {
      onHelloReply(aOwner, aReply, aReceived);
    });
  mOwnerClient.setStandby(mStandby);
  mOrderRouter.setPermission([this] { return !mStepDownReason && mElection.mayAct(mClock.now()); });
  mOrderRouter.setStartPermission([this] { return mClock.now() <= mOwnerView.currentUntil(); });
  makeTails();
  if (mStandby) {
    mJobs.load();
  }
}

cell_node::impl::~impl()
{
  mQuit = true;
  mMayStopServer.release();
  mLoop.wake();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void cell_node::impl::start(std::function<void()> aStopped)
{
  mStopped = std::move(aStopped);
  mLog.write("start", fmt::format("zone={} front={} peer={} store={} incarnation={}",
                                  mSettings.mZone, mSettings.mCallerAddress, mPeerAddress,
                                  mSettings.mStoreAddress, mIncarnation));
  startCallerServer();
  startReadinessServer();
  startPeerServer();
  mThread = std::thread([this] { run(); });
}

void cell_node::impl::stop()
{
  if (mStopping) {
    return;
  }
  mStopSince = mClock.now();
  mStopping = true;
  mLoop.wake();
  mServerStop = std::jthread([this] { stopServer(); });
}

void cell_node::impl::stopServer()
{
  // Not on the event loop, which may be held up at the end of this time.
  static_cast<void>(mMayStopServer.try_acquire_for(mSettings.mShutdownPeriod - kShutdownMargin));
  if (mQuit) {
    return;
  }
  mServerStopSince = mClock.now();
  mServerStopping = true;
  mLoop.wake();
  mServerReport = mCallerServer->stop(kServerStopPeriod);
  mServerStopped = true;
  mLoop.wake();
}

void cell_node::impl::reload(platform::node_settings aSettings)
{
  const std::lock_guard lock(mReloadMutex);
  mReloaded = std::move(aSettings);
}

void cell_node::impl::dumpState()
{
  mDump = true;
  mLoop.wake();
}

void cell_node::impl::makeTails()
{
  mStore.setListener([this](bool aAnswered, const std::string& aError) {
    if (aAnswered) {
      mStoreConnectivity.onReply(mClock.now());
    } else {
      mLastStoreError = aError;
    }
  });
  const auto unreadable = [this](std::string_view aTopic) {
    return [this, aTopic](const std::string& aError) {
      mLog.write("bad_record", fmt::format("topic={} error=\"{}\"", aTopic, aError));
    };
  };
  const auto logEvent = [this](std::string_view aEvent, std::string_view aDetail) {
    mLog.write(aEvent, aDetail);
  };
  mOperatorTail = std::make_unique<log_tail>(
    mStore, mClock,
    log_tail_options{ .mTopic = std::string(platform::kOperatorTopic),
                      .mKeyed = true,
                      .mWait = kOperatorReadWait,
                      .mInterval = kOperatorReadInterval },
    log_tail::callbacks{ .mOnRecords =
                           [this](const auto& aRecords, std::uint64_t) {
                             mOperator.read(aRecords);
                             onOperatorChange();
                           },
                         .mOnNewest =
                           [this](const auto& aRecords) {
                             mOperator.replace(aRecords);
                             onOperatorChange();
                           },
                         .mOnUnreadable = unreadable(platform::kOperatorTopic),
                         .mOnEvent = logEvent });
  mRegistryTail = std::make_unique<log_tail>(
    mStore, mClock,
    log_tail_options{ .mTopic = std::string(platform::kRegistryTopic),
                      .mKeyed = true,
                      .mWait = std::chrono::milliseconds(0) },
    log_tail::callbacks{ .mOnRecords =
                           [this](const auto& aRecords, std::uint64_t) {
                             mRegistry.read(aRecords, mRegistryTail->recordsSince());
                           },
                         .mOnNewest = [this](const auto& aRecords) { mRegistry.replace(aRecords); },
                         .mOnUnreadable = unreadable(platform::kRegistryTopic),
                         .mOnEvent = logEvent });
  mOwnerTail = std::make_unique<log_tail>(
    mStore, mClock, log_tail_options{ .mTopic = kOwnerTopic, .mInterval = kOwnerTopicReadInterval },
    log_tail::callbacks{
      .mOnRecords = [this](const auto& aRecords,
                           std::uint64_t aOffset) { readOwnerRecords(aRecords, aOffset); },
      .mOnReply = [this](std::uint64_t aEnd) { mElection.onEndRead(aEnd, mClock.now()); },
      .mOnFailure = [this] { mElection.onReadFailed(); },
      .mOnEvent = logEvent });
}

void cell_node::impl::tickStoreConnectivity(time_point aNow)
{
  const bool lost = mStoreConnectivity.lost(aNow, mStore.latency());
  if (lost == mStoreLost) {
    return;
  }
  mStoreLost = lost;
  mLog.write(lost ? "store_lost" : "store_regained",
             fmt::format("address={} age_ms={} error=\"{}\"", mStore.address(),
                         mStoreConnectivity.timeSinceReply(aNow) / std::chrono::milliseconds(1),
                         lost ? mLastStoreError : std::string()));
}

bool cell_node::impl::partitioned(time_point aNow) const
{
  return mStoreLost && (mOwner ? mHelpers.empty() : !mOwnerClient.reachable(aNow));
}

void cell_node::impl::updateCapacity()
{
  if (mOwner && std::exchange(mCapacityChanged, false)) {
    mLargestSizes = largestSizes(mRegistry.capacity());
    mRequestHandler.setCapacity(mLargestSizes);
  } else if (!mOwner && mOwnerClient.capacity() != mLargestSizes) {
    mLargestSizes = mOwnerClient.capacity();
    mRequestHandler.setCapacity(mLargestSizes);
  }
}

void cell_node::impl::updateCellStatus()
{
  mRequestHandler.setCellStatus({ .mConfig = mOperator.config(),
                                  .mConfigAsOf = mOperatorTail->freshAsOf(),
                                  .mJournalAsOf = mJobs.freshAsOf(),
                                  .mKnowsJobs = followsJournal(),
                                  .mCaughtUp = caughtUp(),
                                  .mStoreLost = mStoreLost });
  mCallerGate.setConfig(mOperator.config(), mOperatorTail->freshAsOf());
}

void cell_node::impl::readStore(time_point aNow)
{
  const loop_profiler::scope storing(mProfiler, loop_phase::store);
  guarded("operator_read", [&] { mOperatorTail->tick(aNow); });
  guarded("owner_read", [&] { mOwnerTail->tick(aNow); });
  guarded("journal_read", [&] { mJobs.tick(aNow); });
  // Only the owner uses the registry, to which each target writes an entry every heartbeat:
  // the daemons of a large cell together would read more of it than the store can send.
  if (mEpoch != 0) {
    guarded("registry_read", [&] { mRegistryTail->tick(aNow); });
  }
}

void cell_node::impl::writeStore(time_point aNow)
{
  const loop_profiler::scope storing(mProfiler, loop_phase::store);
  // The inputs may have taken long.
  const auto later = mClock.now();
  guarded("journal_write", [&] { mWriter.tick(later); });
  guarded("election", [&] { tickElection(later); });
  if (mOwnerWriter) {
    guarded("owner_write", [&] { mOwnerWriter->tick(later); });
  }
  guarded("snapshot_write", [&] { mSnapshotWriter.tick(aNow, snapshotSource()); });
}

time_point cell_node::impl::decide(time_point aNow)
{
  const auto latest = aNow + kMaxLoopWait;
  if (!mOwner || mStepDownReason || !mElection.mayAct(mClock.now())) {
    return latest;
  }
  const loop_profiler::scope deciding(mProfiler, loop_phase::decisions);
  mOwner->setStoreResponsive(!mStoreLost && mStore.latency() < kMaxResponsiveLatency &&
                             mStoreConnectivity.timeSinceReply(aNow) < kMaxResponsiveAge);
  mOwner->setNewestRecord(mElection.newestRecord());
  const auto next = std::min(latest, mOwner->tick(mClock.now(), wallNow()));
  if (mOwner->fenced()) {
    mStepDownReason = "fenced by a target";
  } else if (mOrderRouter.superseded()) {
    mStepDownReason = "a relay knows a higher epoch";
  }
  return next;
}

void cell_node::impl::onStepFailed(std::string_view aStep, std::string_view aPeer,
                                   const std::exception& aError)
{
  ++mFailedSteps;
  const auto now = mClock.now();
  // A step that fails in each pass would fill the log.
  if (mNextFailureLog <= now) {
    mNextFailureLog = now + kFailureLogInterval;
    mLog.write("step_failed", fmt::format("step={} peer={} failures={} error=\"{}\"", aStep, aPeer,
                                          mFailedSteps, aError.what()));
  }
  if (mEpoch != 0 || mElection.state() == election::role::owner) {
    mStepDownReason = fmt::format("step {} failed", aStep);
  }
}

void cell_node::impl::run()
{
  while (!mQuit) {
    const auto now = mClock.now();
    guarded("reload", [&] { applyReload(); });
    guarded("store_connectivity", [&] { tickStoreConnectivity(now); });
    readStore(now);
    guarded("cell_status", [&] {
      updateCapacity();
      updateCellStatus();
      updateOwnerView(now);
    });
    guarded("inputs", [&] { handleInputs(); });
    guarded("late_ends", [&] { storeLateEnds(); });
    guarded("caller_records", [&] { mRecordWriter.tick(now); });
    guarded("callers", [&] { mRequestHandler.tick(now); });
    guarded("end_waiters", [&] { answerEndWaiters(); });
    writeStore(now);
    guarded("peers", [&] { tickPeers(now); });
    guarded("hand_over", [&] { mHandOver.tick(now); });
    auto next = now + kMaxLoopWait;
    guarded("decisions", [&] { next = decide(now); });
    // Planning may have taken long: a batch carries the time at which it is sent, and relays refuse
    // old ones.
    const auto planned = mClock.now();
    guarded("orders", [&] { mOrderRouter.tick(planned, mOwner && mElection.mayAct(planned)); });
    guarded("relayed_orders", [&] { mOrderRelay.tick(planned); });
    next = std::min(next, mOrderRouter.nextBatch().value_or(next));
    if (mNextPurge <= now) {
      mNextPurge = now + kPurgeInterval;
      guarded("purge", [&] {
        mJobs.table().dropCompleted();
        mJobs.table().removeEnded(now - mSettings.mStatusRetention - kPurgeInterval);
      });
    }
    mReady = !mStopping && mOperator.config() && caughtUp() && !partitioned(now) &&
             mStoreConnectivity.timeSinceReply(now) < kReadyStoreTimeout;
    if (mDump.exchange(false)) {
      guarded("dump", [&] { mLog.writeDump("state", state()); });
    }
    mLog.flush();
    bool stopped = false;
    guarded("shutdown", [&] { stopped = tickShutdown(now); });
    if (stopped) {
      return;
    }
    if (mNextProfileLog <= now) {
      mNextProfileLog = now + kProfileLogInterval;
      mLog.write("loop_time", fmt::format("{} owner={}", mProfiler.report(), mOwner != nullptr));
    }
    guarded("shedding", [&] { logShedding(now); });
    guarded("calls", [&] { serveCalls(next); });
  }
}

void cell_node::impl::handleInputs()
{
  serveInputs(
    mInbox, mLanes, mClock,
    [this](input_lane aLane, inbox<inbox_item>::entry& aInput) {
      mInputWaits[static_cast<std::size_t>(aLane)].record(mClock.now() - aInput.mArrived);
      if (aLane >= input_lane::callers) {
        storeLateEnds();
      }
      mInputArrival = aInput.mArrived;
      if (const auto* request = std::get_if<queued_caller_request>(&aInput.mItem)) {
        handleCaller(*request);
      } else {
        handlePeer(std::get<peer_request>(aInput.mItem));
      }
      mInputArrival.reset();
    },
    [this](input_lane aLane, const std::exception& aError) {
      mInputArrival.reset();
      mLog.write("input_failed",
                 fmt::format("lane={} error=\"{}\"",
                             kInputLaneOptions[static_cast<std::size_t>(aLane)].mName,
                             aError.what()));
      if (mOwner) {
        // Its state may be changed in part; the next owner has that of the journal.
        mStepDownReason = "an input could not be handled";
      }
    });
  const auto left = mInbox.waiting();
  mInputsLeft = std::ranges::any_of(left, [](bool aOne) { return aOne; });
}

void cell_node::impl::answerEndWaiters()
{
  mEndWaiters.tick(mClock.now(), [this](scheduler::job_id aJob) { return isEndStored(aJob); });
}

void cell_node::impl::passOnLateEnds()
{
  const auto now = mClock.now();
  if (!mOwner || !mOldestReport || now - *mOldestReport < kMaxEndDelay || !mElection.mayAct(now)) {
    return;
  }
  const loop_profiler::scope deciding(mProfiler, loop_phase::decisions);
  // Otherwise an append is open, after which this is called again.
  if (mOwner->storeEnds(now)) {
    mOldestReport.reset();
    mEndsUnsent = true;
  }
}

void cell_node::impl::storeLateEnds()
{
  passOnLateEnds();
  if (std::exchange(mEndsUnsent, false)) {
    // Otherwise the append is sent after the callers' work and the planning pass.
    const loop_profiler::scope calling(mProfiler, loop_phase::calls);
    mLoop.progress();
  }
}

void cell_node::impl::serveCalls(time_point aNext)
{
  const loop_profiler::scope calling(mProfiler, loop_phase::calls);
  const bool completed = mLoop.progress();
  if (mInputsLeft) {
    mLoop.wait(std::chrono::milliseconds(0));
    mLastWakeUp = mClock.now();
  } else {
    const loop_profiler::scope waiting(mProfiler, loop_phase::idle);
    if (const auto early = kMinWakeInterval - (mClock.now() - mLastWakeUp); early > duration{ 0 }) {
      std::this_thread::sleep_for(early);
    }
    const auto left = completed ? duration{ 0 } : std::max(aNext - mClock.now(), duration{ 0 });
    mLoop.wait(std::chrono::ceil<std::chrono::milliseconds>(left));
    mLastWakeUp = mClock.now();
  }
  mLoop.progress();
}

bool cell_node::impl::tickShutdown(time_point aNow)
{
  if (!mStopping) {
    return false;
  }
  if (!std::exchange(mStopNoted, true)) {
    // A call for advice may take longer than the rest of the shutdown.
    mOwnerClient.endAdviceOffer();
    mLog.write("stop",
               fmt::format("waiting={} owner={}", mRequestHandler.waiting(), mOwner != nullptr));
  }
  if (mServerStopping) {
    if (aNow - mServerStopSince > kRecordStopPeriod) {
      mRequestHandler.answerWaiting();
    }
    if (!mServerStopped) {
      return false;
    }
    mLog.write("stopped",
               fmt::format("waiting={} inputs_left={} unanswered={} unread={} unsent={} "
                           "server_ms={}",
                           mRequestHandler.waiting(), mInputsLeft, mServerReport.mUnanswered,
                           mServerReport.mUnread, mServerReport.mUnsent,
                           (aNow - mServerStopSince) / std::chrono::milliseconds(1)));
    mLog.flush();
    mStopped();
    return true;
  }
  const auto elapsed = aNow - mStopSince;
  const bool idle =
    mRequestHandler.waiting() == 0 && !mInputsLeft && mElection.state() != election::role::owner;
  if (elapsed > kDeregistrationPeriod && idle && !std::exchange(mServerStopAllowed, true)) {
    mMayStopServer.release();
  }
  return false;
}

void cell_node::impl::applyReload()
{
  std::optional<platform::node_settings> changed;
  {
    const std::lock_guard lock(mReloadMutex);
    changed.swap(mReloaded);
  }
  if (!changed) {
    return;
  }
  mLog.write("reload",
             fmt::format("store={} advice={}", changed->mStoreAddress, changed->mAdviceAddress));
  mStore.setAddress(changed->mStoreAddress);
  mSettings.mStoreAddress = changed->mStoreAddress;
  mSettings.mAdviceAddress = changed->mAdviceAddress;
  mSettings.mStatusRetention = changed->mStatusRetention;
}

cell_node::cell_node(platform::node_settings aSettings)
  : mImpl(std::make_unique<impl>(std::move(aSettings)))
{
}

cell_node::~cell_node() = default;

void cell_node::start(std::function<void()> aStopped)
{
  mImpl->start(std::move(aStopped));
}

void cell_node::stop()
{
  mImpl->stop();
}

void cell_node::reload(platform::node_settings aSettings)
{
  mImpl->reload(std::move(aSettings));
}

void cell_node::dumpState()
{
  mImpl->dumpState();
}

} // namespace endiveusher::node
