#include "cell_node_impl.h"

namespace endiveusher::node {

using namespace internal;

namespace {

/// Calls that wait for the loop; more are rejected at once.
constexpr std::size_t kInboxCapacity = 2000;
/// How often the owner's renewals are read; part of the time until its loss is seen.
constexpr std::chrono::milliseconds kOwnerTopicInterval{ 100 };
/// How often the operator's records are read at least; bounds the age of keys.
constexpr std::chrono::milliseconds kOperatorWait{ 700 };
constexpr std::chrono::milliseconds kOperatorInterval{ 50 };
/// Wait of the loop when nothing is due.
constexpr std::chrono::milliseconds kLoopWait{ 50 };
/// Without an answer of the store for this long a daemon is not ready: it could take nothing.
constexpr std::chrono::milliseconds kReadyContact{ 2500 };
/// Left of the shutdown period when the process ends.
constexpr std::chrono::milliseconds kShutdownMargin{ 1500 };
/// After this much of a shutdown no new connections are expected any more: the platform needs two
/// misses, a second apart, to take a daemon out.
constexpr std::chrono::milliseconds kLeavePeriod{ 2800 };
/// Load pattern: thousands of answers a second, each of which would wake the loop. It wakes up at
/// most this often, so that one pass handles several.
constexpr std::chrono::microseconds kMinTurn{ 2000 };
/// How often the log tells what the loop spends its time on.
constexpr std::chrono::milliseconds kLoadInterval{ 5000 };
/// How often ended jobs are dropped whose state has been kept long enough.
constexpr std::chrono::milliseconds kForgetInterval{ 1000 };
/// Claims of different daemons are spread over this time.
constexpr int kMaxStaggerMs = 250;
/// The owner's work at several hundred targets takes a quarter of a core; smaller machines claim
/// only if no larger one has done so in this time.
constexpr double kOwnerCores = 0.2;
constexpr std::chrono::milliseconds kSmallMachineStagger{ 400 };

std::chrono::milliseconds staggerOf(std::uint64_t aIncarnation, double aCores)
{
  const std::chrono::milliseconds spread(aIncarnation % kMaxStaggerMs);
  return aCores < kOwnerCores ? spread + kSmallMachineStagger : spread;
}

} // namespace

cell_node::impl::impl(platform::node_settings aSettings)
  : mSettings(std::move(aSettings)), mLog(mSettings.mNode),
    mInbox(kInboxCapacity, [this] { mLoop.wake(); }), mStore(mLoop, mSettings.mStoreAddress),
    mSnapshots(mStore, mClock, kSnapshotTopic), mIncarnation(std::random_device{}()),
    mPeerAddress(fmt::format("{}:{}", mSettings.mIp, mSettings.mPeerPort)),
    mElection({ .mNode = mSettings.mNode,
                .mIncarnation = mIncarnation,
                .mPeerAddress = mPeerAddress,
                .mStagger = staggerOf(mIncarnation, mSettings.mCores) }),
    mWriter(mStore, mClock,
            { .mTopic = kJournalTopic,
              .mProducer = fmt::format("{}-{}", mSettings.mNode, mIncarnation) }),
    mLink(mLoop, mClock, mPeerAddress),
    mIntake(mClock, mStore, mLink, mWriter, mLog,
            [this](const journal_record& aRecord, const job_intake::done& aDone) {
              return acceptLocally(aRecord, aDone);
            }),
    mDesk(mClock, mBook, mIntake, mLog, { .mMaxConfigAge = mSettings.mRevokePeriod * 3 / 5 },
          [this](const journal_record& aRecord) { applied(aRecord); }),
    mRegistry(mLog, { .mListed =
                        [this](const scheduler::target_entry& aEntry) {
                          mCapacityChanged = true;
                          if (mOwner) {
                            mOwner->setTarget(aEntry, mClock.now());
                          }
                        },
                      .mUnlisted =
                        [this](const std::string& aId) {
                          mCapacityChanged = true;
                          if (mOwner) {
                            mOwner->removeTarget(aId, mClock.now());
                          }
                        } })
{
  mDesk.setAskOwner([this](scheduler::job_id aId, const std::string& aTeam,
                           std::function<void(std::optional<std::string>)> aDone) {
    return askOwner(aId, aTeam, std::move(aDone));
  });
  mDesk.setStored([this](const caller_record& aRecord) {
    return std::ranges::none_of(
      mAccepting, [&aRecord](const auto& aOne) { return aOne.second.mRecord == aRecord; });
  });
  mDesk.setEndStored([this](scheduler::job_id aId) { return !mUnstoredEnds.contains(aId); });
  makeTails();
  loadBook();
}

cell_node::impl::~impl()
{
  mQuit = true;
  mLoop.wake();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void cell_node::impl::start(std::function<void()> aStopped)
{
  mStopped = std::move(aStopped);
  mLog.write("start", fmt::format("zone={} front={} peer={} store={} incarnation={}",
                                  mSettings.mZone, mSettings.mFrontAddress, mPeerAddress,
                                  mSettings.mStoreAddress, mIncarnation));
  mFront = std::make_unique<edges::http_server>(
    edges::http_server_options{ .mAddress = mSettings.mFrontAddress,
                                .mThreads = 1,
                                .mMaxConnections = mSettings.mMaxConnections },
    [this](edges::http_request aRequest, const edges::responder& aResponder) {
      inbox_item item = front_request{ .mCall = platform::decodeFrontCall(aRequest),
                                       .mBody = std::move(aRequest.mBody),
                                       .mResponder = aResponder };
      if (!mInbox.push(item)) {
        aResponder.answer({ .mStatus = 503,
                            .mBody = R"({"error":"overloaded"})",
                            .mHeaders = { { "Retry-After", "1" } } });
      }
    });
  mReadiness = std::make_unique<edges::http_server>(
    edges::http_server_options{ .mAddress = mSettings.mReadinessAddress, .mThreads = 1 },
    [this](const edges::http_request& /*aRequest*/, const edges::responder& aResponder) {
      aResponder.answer({ .mStatus = static_cast<std::uint16_t>(mReady ? 200 : 503) });
    });
  mPeers = std::make_unique<edges::http_server>(
    edges::http_server_options{ .mAddress = mPeerAddress, .mThreads = 1 },
    [this](edges::http_request aRequest, const edges::responder& aResponder) {
      inbox_item item = peer_request{ .mPath = aRequest.mPath,
                                      .mBody = std::move(aRequest.mBody),
                                      .mResponder = aResponder };
      if (!mInbox.push(item)) {
        aResponder.answer({ .mStatus = 503 });
      }
    });
  mThread = std::thread([this] { run(); });
}

void cell_node::impl::stop()
{
  mStopping = true;
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
      mContact.answered(mClock.now());
    } else {
      mContactError = aError;
    }
  });
  mOperatorTail =
    std::make_unique<log_tail>(mStore, mClock,
                               log_tail_options{ .mTopic = std::string(platform::kOperatorTopic),
                                                 .mKeyed = true,
                                                 .mWait = kOperatorWait,
                                                 .mInterval = kOperatorInterval },
                               log_tail::callbacks{ .mRecords =
                                                      [this](const auto& aRecords, std::uint64_t) {
                                                        mOperator.read(aRecords);
                                                        operatorChanged();
                                                      },
                                                    .mNewest =
                                                      [this](const auto& aRecords) {
                                                        mOperator.replace(aRecords);
                                                        operatorChanged();
                                                      } });
  mRegistryTail = std::make_unique<log_tail>(
    mStore, mClock,
    log_tail_options{ .mTopic = std::string(platform::kRegistryTopic),
                      .mKeyed = true,
                      .mWait = std::chrono::milliseconds(0),
                      .mInterval = kRegistryInterval },
    log_tail::callbacks{
      .mRecords = [this](const auto& aRecords, std::uint64_t) { mRegistry.read(aRecords); },
      .mNewest = [this](const auto& aRecords) { mRegistry.replace(aRecords); } });
  mOwnerTail = std::make_unique<log_tail>(
    mStore, mClock, log_tail_options{ .mTopic = kOwnerTopic, .mInterval = kOwnerTopicInterval },
    log_tail::callbacks{
      .mRecords = [this](const auto& aRecords,
                         std::uint64_t aOffset) { readOwners(aRecords, aOffset); },
      .mAnswered = [this](std::uint64_t aEnd) { mElection.sawEnd(aEnd, mClock.now()); },
      .mFailed = [this] { mElection.lostStore(); } });
  mJournalTail = std::make_unique<log_tail>(
    mStore, mClock, log_tail_options{ .mTopic = kJournalTopic, .mInterval = kJournalInterval },
    log_tail::callbacks{
      .mRecords = [this](const auto& aRecords, std::uint64_t) { readJournal(aRecords); },
      .mGap =
        [this](std::uint64_t aFirst) {
          mLog.write("journal_gap", fmt::format("first={}", aFirst));
          if (mOwner) {
            mLost = "records of the journal are gone";
          } else {
            loadBook();
          }
        } });
}

void cell_node::impl::tickContact(time_point aNow)
{
  const bool lost = mContact.lost(aNow, mStore.delay());
  if (lost == mStoreLost) {
    return;
  }
  mStoreLost = lost;
  mLog.write(lost ? "store_lost" : "store_regained",
             fmt::format("address={} age_ms={} error=\"{}\"", mStore.address(),
                         mContact.age(aNow) / std::chrono::milliseconds(1),
                         lost ? mContactError : std::string()));
}

bool cell_node::impl::cutOff(time_point aNow) const
{
  return mStoreLost && (mOwner ? mHelpers.empty() : !mLink.reachable(aNow));
}

void cell_node::impl::run()
{
  while (!mQuit) {
    const auto now = mClock.now();
    applyReload();
    tickContact(now);
    {
      const loop_load::scope storing(mLoad, loop_phase::store);
      mOperatorTail->tick(now);
      mOwnerTail->tick(now);
      mSnapshots.tick(now);
      if (!mSnapshots.active()) {
        mJournalTail->tick(now);
      }
      mRegistryTail->tick(now);
    }
    if (std::exchange(mCapacityChanged, false)) {
      mDesk.setCapacity(mRegistry.capacity());
    }
    mDesk.setView({ .mConfig = mOperator.config(),
                    .mConfigAsOf = mOperatorTail->freshAsOf(),
                    .mJournalAsOf = mJournalTail->freshAsOf(),
                    .mCaughtUp = mJournalTail->caughtUp() || mOwner != nullptr,
                    .mStoreLost = mStoreLost });
    for (auto& item : mInbox.takeAll()) {
      if (auto* front = std::get_if<front_request>(&item)) {
        handleFront(*front);
      } else {
        handlePeer(std::get<peer_request>(item));
      }
    }
    mIntake.tick(now);
    mDesk.tick(now);
    {
      const loop_load::scope storing(mLoad, loop_phase::store);
      mWriter.tick(now);
      tickElection(now);
      if (mOwnerWriter) {
        mOwnerWriter->tick(now);
        mSnapshotWriter->tick(now);
      }
      tickSnapshot(now);
    }
    tickPeers(now);
    auto next = now + kLoopWait;
    if (mOwner && mElection.mayAct(mClock.now())) {
      const loop_load::scope deciding(mLoad, loop_phase::decisions);
      next = std::min(next, mOwner->tick(mClock.now(), wallNow()));
      if (mOwner->fenced()) {
        mLost = "fenced by a target";
      }
    }
    if (mNextForget <= now) {
      mNextForget = now + kForgetInterval;
      mBook.forgetEnded(now - mSettings.mStatusRetention - kForgetInterval);
    }
    mReady = !mStopping && mOperator.config() && mJournalTail->caughtUp() && !cutOff(now) &&
             mContact.age(now) < kReadyContact;
    if (mDump.exchange(false)) {
      mLog.write("state", state());
    }
    mLog.flush();
    if (tickShutdown(now)) {
      return;
    }
    if (mNextLoadReport <= now) {
      mNextLoadReport = now + kLoadInterval;
      mLog.write("load", fmt::format("{} owner={}", mLoad.report(), mOwner != nullptr));
    }
    serveCalls(next);
  }
}

void cell_node::impl::serveCalls(time_point aNext)
{
  const loop_load::scope calling(mLoad, loop_phase::calls);
  const bool completed = mLoop.progress();
  {
    const loop_load::scope waiting(mLoad, loop_phase::idle);
    if (const auto early = kMinTurn - (mClock.now() - mTurnSince); early > duration{ 0 }) {
      std::this_thread::sleep_for(early);
    }
    const auto left = completed ? duration{ 0 } : std::max(aNext - mClock.now(), duration{ 0 });
    mLoop.wait(std::chrono::ceil<std::chrono::milliseconds>(left));
    mTurnSince = mClock.now();
  }
  mLoop.progress();
}

bool cell_node::impl::tickShutdown(time_point aNow)
{
  if (!mStopping) {
    return false;
  }
  if (!mStopSince) {
    mStopSince = aNow;
    mLog.write("stop", fmt::format("waiting={} owner={}", mDesk.waiting(), mOwner != nullptr));
  }
  const auto elapsed = aNow - *mStopSince;
  const bool idle = mDesk.waiting() == 0 && mElection.state() != election::role::owner;
  if ((elapsed > kLeavePeriod && idle) || elapsed > mSettings.mShutdownPeriod - kShutdownMargin) {
    mLog.write("stopped", fmt::format("waiting={}", mDesk.waiting()));
    mLog.flush();
    mFront->stop(std::chrono::milliseconds(200));
    mStopped();
    return true;
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
