#include "cell_node_impl.h"

namespace endiveusher::node {

using namespace internal;

namespace {

/// Producer name shared by all owners of the cell, so that a higher epoch fences off lower ones.
constexpr const char* kOwnerProducer = "owner";
/// Interval at which the owner reads the journal. It needs to read only the callers' records that
/// another daemon has stored directly; others are forwarded to it.
constexpr std::chrono::milliseconds kOwnerJournalReadInterval{ 100 };
/// Interval at which the owner reads the registry; it has to know of leaving targets within a
/// second or two.
constexpr std::chrono::milliseconds kOwnerRegistryReadInterval{ 250 };
/// Records of callers are refused while an append of the owner has been unanswered for longer.
constexpr std::chrono::milliseconds kMaxAppendAge{ 1500 };
/// Duration above which an append is logged.
constexpr std::chrono::milliseconds kSlowAppendThreshold{ 200 };
/// Time from the arrival of an end to its completed append above which it is logged: after it, an
/// end counts as noted.
constexpr std::chrono::milliseconds kMaxEndStoreTime{ 100 };
/// Time since the last accepted renewal up to which the store takes this daemon's appends: more
/// than two renewals. An owner that cannot read hands the cell over only then.
constexpr std::chrono::milliseconds kMaxBlindRenewalAge{ 1000 };
/// Lease of the tasks on a target; covers a network partition of some five seconds. With a longer
/// lease more tasks survive a partition; with a shorter one the tasks of lost targets are restarted
/// sooner on others.
constexpr std::chrono::milliseconds kLease{ 7000 };

/// Number of the targets' registry intervals between a silent target's last write and its removal,
/// at least: the registry waits for three, and measures them on another clock.
constexpr int kMinSilentIntervals = 2;

/// Time since an owner's last record in which it may hold ends that the journal lacks, and targets
/// may be waiting for their leases to end that it has renewed.
constexpr std::chrono::seconds kHandOverPeriod{ 15 };

} // namespace

void cell_node::impl::store(std::vector<journal_record> aRecords)
{
  std::vector<std::string> bytes;
  std::vector<scheduler::run_ended> ends;
  for (const auto& record : aRecords) {
    if (const auto* end = std::get_if<scheduler::run_ended>(&record)) {
      ends.push_back(*end);
    }
    bytes.push_back(encode(record));
  }
  if (!ends.empty()) {
    mOldestReport.reset();
  }
  mOwnerWriter->write(
    std::move(bytes), [this, ends = std::move(ends), epoch = mEpoch](write_outcome aOutcome) {
      if (!isOwner(epoch)) {
        return;
      }
      if (aOutcome != write_outcome::stored) {
        mStepDownReason = "journal fenced";
        return;
      }
      mAppendTimes.record(mOwnerWriter->lastElapsed());
      if (mOwnerWriter->lastElapsed() > kSlowAppendThreshold) {
        mLog.write("slow_append",
                   fmt::format("after_ms={} repeats={} waiting={}",
                               mOwnerWriter->lastElapsed() / std::chrono::milliseconds(1),
                               mOwnerWriter->repeats(), mOwnerWriter->waiting()));
      }
      const auto now = mClock.now();
      if (const auto took = mEndTimes.onStored(ends, now); took && *took > kMaxEndStoreTime) {
        mLog.write("ends_stored_late",
                   fmt::format("ends={} longest_ms={} append_ms={}", ends.size(),
                               *took / std::chrono::milliseconds(1),
                               mOwnerWriter->lastElapsed() / std::chrono::milliseconds(1)));
      }
      {
        const loop_profiler::scope deciding(mProfiler, loop_phase::decisions);
        mOwner->onStored(now);
      }
      answerEndWaiters();
      passOnLateEnds();
    });
}

void cell_node::impl::onRecordStored(std::uint64_t aToken)
{
  const auto found = mUnstoredCallerRecords.find(aToken);
  if (found != mUnstoredCallerRecords.end()) {
    const auto done = std::move(found->second.mDone);
    mUnstoredCallerRecords.erase(found);
    done(write_outcome::stored);
  }
}

bool cell_node::impl::acceptLocally(const journal_record& aRecord,
                                    const caller_record_writer::done_callback& aDone)
{
  const auto now = mClock.now();
  if (!mOwner || mStepDownReason || !mElection.mayAct(now)) {
    return false;
  }
  const auto* submitted = std::get_if<scheduler::job_submitted>(&aRecord);
  // A job that is known was accepted before; its repetition is confirmed.
  const bool known = submitted != nullptr && mJobs.table().find(submitted->mSpec.mId) != nullptr;
  if (!known && mOwnerWriter->pendingSince() &&
      now - *mOwnerWriter->pendingSince() > kMaxAppendAge) {
    aDone(write_outcome::refused);
    return true;
  }
  if (submitted != nullptr && !known) {
    if (const auto retryAfter = mOwner->rejection(submitted->mSpec, now)) {
      if (!mJobs.table().hasRoomFor(submitted->mSpec)) {
        mLog.write("job_rejected",
                   fmt::format("job={} team={} reason=job_table_full bytes={} limit={}",
                               toText(submitted->mSpec.mId), submitted->mSpec.mTeam,
                               mJobs.table().bytes(), mJobs.table().limit()));
      }
      aDone({ write_outcome::overloaded, *retryAfter });
      return true;
    }
  }
  if (const auto* cancelled = std::get_if<scheduler::job_cancelled>(&aRecord)) {
    const auto* job = mJobs.table().find(cancelled->mJob);
    mLog.write("cancellation_accepted",
               fmt::format("job={} epoch={} phase={}", toText(cancelled->mJob), mEpoch,
                           job == nullptr ? -1 : static_cast<int>(job->mPhase)));
  }
  mUnstoredCallerRecords[++mLastToken] = { .mDone = aDone, .mRecord = recordKey(aRecord) };
  const loop_profiler::scope deciding(mProfiler, loop_phase::decisions);
  mOwner->accept(aRecord, mLastToken, now, wallNow());
  return true;
}

caller_record cell_node::impl::recordKey(const journal_record& aRecord)
{
  if (const auto* cancelled = std::get_if<scheduler::job_cancelled>(&aRecord)) {
    return { .mJob = cancelled->mJob, .mCancel = true };
  }
  const auto* submitted = std::get_if<scheduler::job_submitted>(&aRecord);
  return { .mJob = submitted == nullptr ? scheduler::job_id{} : submitted->mSpec.mId };
}

void cell_node::impl::sendHeartbeat(const scheduler::heartbeat_order& aOrder)
{
  mOrderRouter.sendHeartbeat(aOrder, [this, target = aOrder.mTarget, sent = mClock.now(),
                                      epoch = mEpoch](scheduler::order_outcome aOutcome,
                                                      const scheduler::target_report& aReport) {
    if (isOwner(epoch)) {
      const loop_profiler::scope deciding(mProfiler, loop_phase::decisions);
      if (!aReport.mEnded.empty()) {
        const auto arrived = mInputArrival.value_or(mClock.now());
        if (mEndTimes.onReported(aReport.mEnded, arrived)) {
          mOldestReport = std::min(mOldestReport.value_or(arrived), arrived);
        }
      }
      mOwner->onHeartbeatReply(target, sent, aOutcome, aReport, mClock.now());
    }
  });
}

void cell_node::impl::start(const scheduler::start_order& aOrder)
{
  mOrderRouter.sendStart(aOrder, [this, aOrder, epoch = mEpoch](scheduler::order_outcome aOutcome) {
    if (isOwner(epoch)) {
      const loop_profiler::scope deciding(mProfiler, loop_phase::decisions);
      mOwner->onStartReply(aOrder, aOutcome, mClock.now());
    }
  });
}

void cell_node::impl::stop(const scheduler::stop_order& aOrder)
{
  mOrderRouter.sendStop(aOrder, [this, aOrder, epoch = mEpoch](scheduler::order_outcome aOutcome) {
    if (isOwner(epoch)) {
      const loop_profiler::scope deciding(mProfiler, loop_phase::decisions);
      mOwner->onStopReply(aOrder, aOutcome, mClock.now());
    }
  });
}

void cell_node::impl::requestAdvice(const scheduler::advice_request& aRequest)
{
  mOrderSender.requestAdvice(aRequest, mSettings.mAdviceAddress,
                             [this, epoch = mEpoch](const scheduler::advice_reply& aReply) {
                               if (isOwner(epoch)) {
                                 const loop_profiler::scope deciding(mProfiler,
                                                                     loop_phase::decisions);
                                 mOwner->onAdviceReply(aReply, mClock.now());
                               }
                             });
}

void cell_node::impl::logDecision(std::string_view aEvent, std::string_view aDetail)
{
  mLog.write(aEvent, aDetail);
}

void cell_node::impl::onOperatorChange()
{
  updateCallerLimits();
  if (mOwner) {
    if (mOwnerConfig != mOperator.config()) {
      mOwnerConfig = mOperator.config();
      mOwner->configure(mOwnerConfig);
    }
    mOwner->setClosedZones(mOperator.closedZones());
  }
}

void cell_node::impl::readOwnerRecords(const std::vector<std::string>& aRecords,
                                       std::uint64_t aOffset)
{
  for (const auto& bytes : aRecords) {
    const auto record = decodeOwnerRecord(bytes);
    if (record.ok()) {
      if (record->mKind != owner_record::kind::renewal) {
        mLog.write("owner_record",
                   fmt::format("kind={} node={} offset={}", static_cast<int>(record->mKind),
                               record->mNode, aOffset));
      }
      mElection.onRecordRead(*record, aOffset, mClock.now());
      if (record->mKind == owner_record::kind::claim) {
        mOrderRelay.setEpoch(epochOf(aOffset));
      }
    } else {
      mLog.write("bad_record", fmt::format("topic=owner offset={} error=\"{}\"", aOffset,
                                           std::string(record.status().message())));
      mElection.onUnreadableRecord(aOffset, mClock.now());
    }
    ++aOffset;
  }
}

bool cell_node::impl::followerIsCurrent() const
{
  return std::ranges::any_of(mHelpers, [](const auto& aOne) { return aOne.second.mViewCurrent; });
}

void cell_node::impl::updateOwnerView(time_point aNow)
{
  const bool wasCurrent = mOwnerView.current();
  const bool othersKnowMore = !mOwner || followerIsCurrent();
  // What a daemon does not follow it reads when it becomes owner, before it schedules.
  mOwnerView.update({ .mJournal = followsJournal() ? mJobs.freshAsOf() : aNow,
                      .mOperator = mOperatorTail->freshAsOf() },
                    mStore.latency(), othersKnowMore, aNow);
  mElection.setViewCurrent(mOwnerView.current());
  // Another daemon would have to load the jobs first.
  mOwnerClient.setViewCurrent(mJobs.complete() && mOwnerView.current());
  if (!mOwner) {
    return;
  }
  mOwner->setViewCurrentUntil(mOwnerView.currentUntil());
  if (mOwnerView.current() != wasCurrent) {
    mLog.write(wasCurrent ? "owner_view_old" : "owner_view_current",
               fmt::format("epoch={} store_delay_ms={} {}", mEpoch, mStore.latency().count(),
                           mOwnerView.describe()));
  }
}

void cell_node::impl::tickElection(time_point aNow)
{
  if (mEpoch != 0 && mElection.state() != election::role::owner) {
    stepDown("another daemon has claimed ownership");
  }
  if (mOwner && mElection.mayAct(aNow) == mPaused) {
    mPaused = !mPaused;
    mLog.write(mPaused ? "owner_paused" : "owner_resumed",
               fmt::format("epoch={} renewal_age_ms={}", mEpoch,
                           mElection.renewalAge(aNow) / std::chrono::milliseconds(1)));
  }
  if (mStepDownReason) {
    const auto reason = *std::exchange(mStepDownReason, std::nullopt);
    mElection.stepDown();
    stepDown(reason);
  }
  mOwnerClient.setOwner(mOwner ? std::nullopt : mElection.ownerAddress());
  mOwnerClient.setStoreLost(mStoreLost);
  // While the store is slow for all daemons, a new owner would only add calls to it.
  mElection.setOwnerSuspected(
    mOwnerClient.refusedAt(),
    mOwnerClient.unresponsive(aNow) || mOwnerClient.ownerPartitioned(mStore.latency()), aNow);
  const bool eligible = caughtUp() && mOperator.config() && !mStoreLost;
  // The leases are renewed until another daemon can do better. A store that is slow makes the views
  // of others old as well; one that does not take renewals ends the ownership anyway.
  const bool isBlind = mOwner && mOwnerView.lost() &&
                       mElection.renewalAge(aNow) < kMaxBlindRenewalAge &&
                       mStore.latency() < kSlowStoreLatency && followerIsCurrent();
  // Pending records are stored before another daemon may become owner, unless the store does not
  // take them: the next epoch fences off copies that are under way.
  const bool allWritten =
    !mOwnerWriter || (!mOwnerWriter->pendingSince() && mOwnerWriter->waiting() == 0);
  const bool isStuck = mOwnerWriter && mOwnerWriter->pendingSince() &&
                       aNow - *mOwnerWriter->pendingSince() > kMaxAppendAge;
  const bool mayRelease = (mStopping && allWritten) || (isBlind && (allWritten || isStuck));
  const auto action = mElection.next(aNow, eligible && !mStopping, mayRelease);
  if (action != election::action::none) {
    appendOwnerRecord(action, aNow);
  }
  if (mElection.state() == election::role::owner && !mOwner && !mStopping) {
    becomeOwner();
  }
}

void cell_node::impl::appendOwnerRecord(election::action aAction, time_point aNow)
{
  if (aAction == election::action::claim) {
    mLog.write("claim", fmt::format("expected_end={} last_owner={}", mElection.expectedEnd(),
                                    mElection.ownerNode()));
  }
  const std::array records{ encode(mElection.record(aAction)) };
  mStore.append(
    { .mTopic = kOwnerTopic, .mRecords = records, .mExpectedEnd = mElection.expectedEnd() },
    [this, aAction, sent = aNow](platform::append_reply&& aReply) {
      if (aReply.mOutcome == platform::append_outcome::appended) {
        mElection.onAppended(aAction, aReply.mOffset, sent);
        if (aAction == election::action::release) {
          stepDown(mStopping ? "released" : "released because its view of the cell is too old");
        }
      } else if (aReply.mOutcome == platform::append_outcome::conflict) {
        mElection.onRejected(aAction);
        // The store may be holding the read in flight open.
        mOwnerTail->restart(mOwnerTail->next());
      } else {
        mElection.onUnanswered(aAction, sent, mClock.now());
      }
    });
}

void cell_node::impl::becomeOwner()
{
  const auto epoch = mElection.epoch();
  if (mEpoch != epoch) {
    if (!followsJournal()) {
      mJobs.load();
    }
    mEpoch = epoch;
    mFencedAt.reset();
    mOwnerWriter =
      std::make_unique<journal_writer>(mStore, mClock,
                                       journal_writer_options{ .mTopic = kJournalTopic,
                                                               .mProducer = kOwnerProducer,
                                                               .mEpoch = epoch,
                                                               .mRetryRefused = true,
                                                               .mSharedProducer = true });
    mOrderRouter.begin(epoch);
    mHandOver.begin(epoch, mElection.formerOwners(mClock.now(), kHandOverPeriod));
    mLog.write("owner_starting", fmt::format("epoch={}", epoch));
    mOwnerWriter->write({}, [this, epoch](write_outcome aOutcome) {
      if (epoch != mEpoch) {
        return;
      }
      if (aOutcome != write_outcome::stored) {
        mStepDownReason = "journal fenced while becoming owner";
        return;
      }
      mFencedAt = mClock.now();
      mJobs.readNow();
    });
    mRegistryTail->setInterval(kOwnerRegistryReadInterval);
    mRegistryTail->restart(0);
    mJobs.setReadInterval(kOwnerJournalReadInterval);
  }
  if (!mFencedAt || !mJobs.complete() || mJobs.freshAsOf() <= *mFencedAt ||
      !mRegistryTail->caughtUp() || !mOperator.config() || mHandOver.awaited(mClock.now())) {
    return;
  }
  const auto now = mClock.now();
  mOwner = std::make_unique<scheduler::owner>(
    mJobs.table(), static_cast<scheduler::owner_port&>(*this),
    scheduler::owner_options{ .mLease = std::min(mSettings.mMaxLease, kLease),
                              .mMaxLease = mSettings.mMaxLease,
                              .mEpochs = mElection.epochs(),
                              .mLatestActs = mElection.history().latestActs(),
                              .mMinEntryLapse = kMinSilentIntervals * mSettings.mRegistryInterval,
                              .mClock = &mClock,
                              .mPastUseHalfLife = mSettings.mPastUseHalfLife,
                              .mOrderByShare = mSettings.mOrderByShare,
                              .mLearnRunTimes = mSettings.mLearnRunTimes,
                              .mAvoidSlowTargets = mSettings.mAvoidSlowTargets },
    epoch, now);
  mPaused = false;
  mOwnerConfig.reset();
  onOperatorChange();
  mJobs.table().forEach(
    [&](scheduler::job& aJob) { mOwner->onRecordApplied(aJob, now, wallNow()); });
  mOwner->adoptEnds(std::exchange(mUnstoredReports, {}), now);
  updateHelpers(now);
  for (const auto& [id, entry] : mRegistry.targets()) {
    mOwner->setTarget(entry, now);
  }
  updateOwnerView(now);
  mLog.write("owner_started", fmt::format("epoch={} jobs={} targets={}", epoch,
                                          mJobs.table().size(), mRegistry.targets().size()));
}

void cell_node::impl::stepDown(std::string_view aReason)
{
  if (!mOwner && mEpoch == 0) {
    return;
  }
  mLog.write("owner_stopped", fmt::format("epoch={} reason=\"{}\"", mEpoch, aReason));
  if (mOwner) {
    // The next owner asks for them.
    mUnstoredReports = mOwner->unstoredEnds();
  }
  mHandOver.end();
  mEndTimes.clear();
  mOldestReport.reset();
  mOwner.reset();
  mOwnerWriter.reset();
  mEpoch = 0;
  mHelpers.clear();
  mStandbys.clear();
  // Decisions that were not stored are discarded with the rest of the owner's state, before a
  // caller's record is stored in another way and applied.
  mJobs.setReadInterval(kJournalReadInterval);
  if (mStandby) {
    mJobs.load();
  } else {
    mJobs.drop();
  }
  for (auto& [token, record] : std::exchange(mUnstoredCallerRecords, {})) {
    record.mDone(write_outcome::unknown);
  }
  mEndWaiters.answerAll();
}

std::optional<snapshot_source> cell_node::impl::snapshotSource() const
{
  const bool writes = mOwner ? mStandbys.empty() && mOwner->allStored()
                             : mStandby && mWritesSnapshots && !mJobs.hasLost();
  if (!writes || !mJobs.complete()) {
    return std::nullopt;
  }
  return snapshot_source{ .mTable = mJobs.table(),
                          .mPosition = mJobs.position(),
                          .mFreshAsOf = mJobs.freshAsOf() };
}

void cell_node::impl::onJobChanged(scheduler::job& aJob)
{
  if (mOwner) {
    mOwner->onRecordApplied(aJob, mClock.now(), wallNow());
  }
}

} // namespace endiveusher::node
