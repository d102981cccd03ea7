#include "cell_node_impl.h"

namespace endiveusher::node {

using namespace internal;

namespace {

/// Numbered appends of whoever owns the cell share this name, so that an epoch shuts out the lower.
constexpr const char* kOwnerProducer = "owner";
/// How often the owner reads the journal. Callers' records reach it by themselves; only those that
/// a daemon has stored directly are found there.
constexpr std::chrono::milliseconds kOwnerJournalInterval{ 100 };
/// How often the owner reads the registry: it has to know leaving targets within a second or two.
constexpr std::chrono::milliseconds kOwnerRegistryInterval{ 250 };
/// An append of the owner without an answer for this long rejects new jobs at once.
constexpr std::chrono::milliseconds kMaxStoreAge{ 1500 };
/// Appends that take longer are logged.
constexpr std::chrono::milliseconds kSlowAppend{ 200 };
/// A longer lease keeps more work over a cut; a shorter one starts the tasks of lost targets sooner
/// elsewhere. Covers a cut of some five seconds.
constexpr std::chrono::milliseconds kLease{ 7000 };

} // namespace

void cell_node::impl::store(std::vector<journal_record> aRecords)
{
  std::vector<std::string> bytes;
  std::vector<scheduler::job_id> ended;
  for (const auto& record : aRecords) {
    if (const auto* end = std::get_if<scheduler::run_ended>(&record)) {
      ended.push_back(end->mTask.mStep.mJob);
    } else if (const auto* givenUp = std::get_if<scheduler::job_given_up>(&record)) {
      ended.push_back(givenUp->mJob);
    }
    bytes.push_back(encode(record));
  }
  for (const auto id : ended) {
    ++mUnstoredEnds[id];
  }
  mOwnerWriter->write(
    std::move(bytes), [this, ended = std::move(ended), epoch = mEpoch](write_outcome aOutcome) {
      if (!isOwner(epoch)) {
        return;
      }
      if (aOutcome != write_outcome::stored) {
        mLost = "journal fenced";
        return;
      }
      mAppendTimes.record(mOwnerWriter->lastElapsed());
      if (mOwnerWriter->lastElapsed() > kSlowAppend) {
        mLog.write("slow_append",
                   fmt::format("after_ms={} repeats={} waiting={}",
                               mOwnerWriter->lastElapsed() / std::chrono::milliseconds(1),
                               mOwnerWriter->repeats(), mOwnerWriter->waiting()));
      }
      for (const auto id : ended) {
        if (const auto found = mUnstoredEnds.find(id);
            found != mUnstoredEnds.end() && --found->second == 0) {
          mUnstoredEnds.erase(found);
        }
      }
      const loop_load::scope deciding(mLoad, loop_phase::decisions);
      mOwner->stored(mClock.now());
    });
}

void cell_node::impl::accepted(std::uint64_t aToken)
{
  const auto found = mAccepting.find(aToken);
  if (found != mAccepting.end()) {
    const auto done = std::move(found->second.mDone);
    mAccepting.erase(found);
    done(write_outcome::stored);
  }
}

bool cell_node::impl::acceptLocally(const journal_record& aRecord, const job_intake::done& aDone)
{
  const auto now = mClock.now();
  if (!mOwner || !mElection.mayAct(now)) {
    return false;
  }
  if (mOwnerWriter->openSince() && now - *mOwnerWriter->openSince() > kMaxStoreAge) {
    aDone(write_outcome::refused);
    return true;
  }
  mAccepting[++mLastToken] = { .mDone = aDone, .mRecord = recordKey(aRecord) };
  const loop_load::scope deciding(mLoad, loop_phase::decisions);
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

void cell_node::impl::look(const scheduler::look_order& aOrder)
{
  mCalls.look(aOrder,
              [this, target = aOrder.mTarget, sent = mClock.now(), epoch = mEpoch](
                scheduler::order_outcome aOutcome, const scheduler::target_report& aReport) {
                if (isOwner(epoch)) {
                  const loop_load::scope deciding(mLoad, loop_phase::decisions);
                  mOwner->looked(target, sent, aOutcome, aReport, mClock.now());
                }
              });
}

void cell_node::impl::start(const scheduler::start_order& aOrder)
{
  mCalls.start(aOrder, [this, aOrder, epoch = mEpoch](scheduler::order_outcome aOutcome) {
    if (isOwner(epoch)) {
      const loop_load::scope deciding(mLoad, loop_phase::decisions);
      mOwner->startAnswered(aOrder, aOutcome, mClock.now());
    }
  });
}

void cell_node::impl::stop(const scheduler::stop_order& aOrder)
{
  mCalls.stop(aOrder, [this, aOrder, epoch = mEpoch](scheduler::order_outcome aOutcome) {
    if (isOwner(epoch)) {
      const loop_load::scope deciding(mLoad, loop_phase::decisions);
      mOwner->stopAnswered(aOrder, aOutcome, mClock.now());
    }
  });
}

void cell_node::impl::advise(const scheduler::advice_request& aRequest)
{
  mCalls.advise(aRequest, mSettings.mAdviceAddress,
                [this, epoch = mEpoch](const scheduler::advice_answer& aAnswer) {
                  if (isOwner(epoch)) {
                    const loop_load::scope deciding(mLoad, loop_phase::decisions);
                    mOwner->advised(aAnswer, mClock.now());
                  }
                });
}

void cell_node::impl::explain(std::string_view aEvent, std::string_view aDetail)
{
  mLog.write(aEvent, aDetail);
}

void cell_node::impl::operatorChanged()
{
  if (mOwner) {
    if (mOwnerConfig != mOperator.config()) {
      mOwnerConfig = mOperator.config();
      mOwner->configure(mOwnerConfig);
    }
    mOwner->setClosedZones(mOperator.closedZones());
  }
}

void cell_node::impl::readOwners(const std::vector<std::string>& aRecords, std::uint64_t aOffset)
{
  for (const auto& bytes : aRecords) {
    const auto record = decodeOwnerRecord(bytes);
    if (record.ok()) {
      if (record->mKind != owner_record::kind::renewal) {
        mLog.write("owner_record",
                   fmt::format("kind={} node={} offset={}", static_cast<int>(record->mKind),
                               record->mNode, aOffset));
      }
      mElection.sawRecord(*record, aOffset, mClock.now());
    }
    ++aOffset;
  }
}

void cell_node::impl::tickElection(time_point aNow)
{
  if (mOwner && mElection.state() != election::role::owner) {
    giveUp("another owner");
  }
  if (mOwner && mElection.mayAct(aNow) == mPaused) {
    mPaused = !mPaused;
    mLog.write(mPaused ? "owner_paused" : "owner_continues",
               fmt::format("epoch={} renewal_age_ms={}", mEpoch,
                           mElection.renewalAge(aNow) / std::chrono::milliseconds(1)));
  }
  if (mLost) {
    const auto reason = *std::exchange(mLost, std::nullopt);
    mElection.abandon();
    giveUp(reason);
  }
  mLink.setOwner(mOwner ? std::nullopt : mElection.ownerAddress());
  // While the store is slow for all, a change of the owner only costs more calls.
  mElection.setOwnerDoubt(mLink.refused(), mLink.silent(aNow) || mLink.ownerCutOff(mStore.delay()));
  const bool eligible = mJournalTail->caughtUp() && mOperator.config() && !mStoreLost;
  // What has ended is stored before others are let in.
  const bool handOver =
    mStopping && (!mOwnerWriter || (!mOwnerWriter->openSince() && mOwnerWriter->waiting() == 0));
  const auto action = mElection.next(aNow, eligible && !mStopping, handOver);
  if (action != election::action::none) {
    appendOwnerRecord(action, aNow);
  }
  if (mElection.state() == election::role::owner && !mOwner && !mStopping) {
    takeOver();
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
        mElection.appended(aAction, aReply.mOffset, sent);
        if (aAction == election::action::release) {
          giveUp("released");
        }
      } else if (aReply.mOutcome == platform::append_outcome::conflict) {
        mElection.rejected(aAction);
        // A read on its way may be held open by the store.
        mOwnerTail->restart(mOwnerTail->next());
      } else {
        mElection.unanswered(aAction, sent, mClock.now());
      }
    });
}

void cell_node::impl::takeOver()
{
  const auto epoch = mElection.epoch();
  if (mEpoch != epoch) {
    mEpoch = epoch;
    mFencedAt.reset();
    mOwnerWriter = std::make_unique<journal_writer>(
      mStore, mClock,
      journal_writer_options{
        .mTopic = kJournalTopic, .mProducer = kOwnerProducer, .mEpoch = epoch, .mInsist = true });
    mLog.write("take_over", fmt::format("epoch={}", epoch));
    mOwnerWriter->write({}, [this, epoch](write_outcome aOutcome) {
      if (epoch != mEpoch) {
        return;
      }
      if (aOutcome != write_outcome::stored) {
        mLost = "fenced at take-over";
        return;
      }
      mFencedAt = mClock.now();
      // A read on its way may be held open by the store.
      mJournalTail->restart(mJournalTail->next());
    });
    mSnapshotWriter = std::make_unique<journal_writer>(
      mStore, mClock,
      journal_writer_options{
        .mTopic = kSnapshotTopic, .mProducer = kOwnerProducer, .mEpoch = epoch, .mInsist = true });
    mSnapshotOpen = false;
    mSnapshotSchedule.emplace(mSettings.mRecordRetention, mClock.now());
    mRegistryTail->setInterval(kOwnerRegistryInterval);
    mRegistryTail->restart(0);
    mJournalTail->setInterval(kOwnerJournalInterval);
  }
  if (!mFencedAt || !mJournalTail->caughtUp() || mJournalTail->freshAsOf() <= *mFencedAt ||
      !mRegistryTail->caughtUp() || !mOperator.config()) {
    return;
  }
  const auto now = mClock.now();
  mUnstoredEnds.clear();
  mOwner = std::make_unique<scheduler::owner>(
    mBook, static_cast<scheduler::owner_port&>(*this),
    scheduler::owner_options{ .mLease = std::min(mSettings.mMaxLease, kLease),
                              .mEpochs = mElection.epochs() },
    epoch, now);
  mPaused = false;
  mOwnerConfig.reset();
  operatorChanged();
  mBook.forEach([&](scheduler::job& aJob) { mOwner->noticed(aJob, now, wallNow()); });
  for (const auto& [id, entry] : mRegistry.targets()) {
    mOwner->setTarget(entry, now);
  }
  mLog.write("owner", fmt::format("epoch={} jobs={} targets={}", epoch, mBook.size(),
                                  mRegistry.targets().size()));
}

void cell_node::impl::giveUp(std::string_view aReason)
{
  if (!mOwner && mEpoch == 0) {
    return;
  }
  mLog.write("owner_ends", fmt::format("epoch={} reason=\"{}\"", mEpoch, aReason));
  mOwner.reset();
  mOwnerWriter.reset();
  mSnapshotWriter.reset();
  mEpoch = 0;
  mHelpers.clear();
  // What this owner had decided and not stored is forgotten with the rest.
  mUnstoredEnds.clear();
  for (auto& [token, accepting] : std::exchange(mAccepting, {})) {
    accepting.mDone(write_outcome::unknown);
  }
  mJournalTail->setInterval(kJournalInterval);
  loadBook();
  mRegistryTail->setInterval(kRegistryInterval);
}

void cell_node::impl::loadBook()
{
  mBook.clear();
  mJournalTail->restart(0);
  mSnapshots.load([this](std::optional<snapshot> aFound) {
    const auto now = mClock.now();
    if (aFound) {
      for (const auto& record : aFound->mRecords) {
        mBook.apply(record, now);
      }
      mJournalTail->restart(aFound->mBase);
      mSnapshotBase = aFound->mBase;
    }
    mLog.write("state_loaded", fmt::format("base={} jobs={}", mSnapshotBase, mBook.size()));
  });
}

void cell_node::impl::tickSnapshot(time_point aNow)
{
  if (!mOwner || mSnapshotOpen || !mOwner->allStored()) {
    return;
  }
  const auto next = mJournalTail->next();
  if (!mSnapshotSchedule->due(next - std::min(next, mSnapshotBase), aNow)) {
    return;
  }
  mSnapshotOpen = true;
  mSnapshotSchedule->written(aNow);
  auto records = encodeSnapshot({ .mBase = next, .mRecords = mBook.snapshot() });
  mSnapshotWriter->write(std::move(records), [this, next, epoch = mEpoch,
                                              before = mSnapshotBase](write_outcome aOutcome) {
    if (epoch != mEpoch) {
      return;
    }
    mSnapshotOpen = false;
    mLog.write("snapshot", fmt::format("base={} stored={} jobs={}", next,
                                       aOutcome == write_outcome::stored, mBook.size()));
    if (aOutcome == write_outcome::stored) {
      mSnapshotBase = next;
      // Up to the former snapshot, so that daemons that are a little behind find no gap.
      mStore.trim(kJournalTopic, before, [](bool /*aDeleted*/) {});
      mStore.trim(kSnapshotTopic, mSnapshotWriter->lastOffset(), [](bool /*aDeleted*/) {});
    }
  });
}

void cell_node::impl::readJournal(const std::vector<std::string>& aRecords)
{
  const loop_load::scope storing(mLoad, loop_phase::store);
  for (const auto& bytes : aRecords) {
    auto record = scheduler::decodeRecord(bytes);
    if (!record.ok()) {
      mLog.write("bad_record",
                 fmt::format("topic=journal error=\"{}\"", std::string(record.status().message())));
      continue;
    }
    applied(*record);
  }
}

void cell_node::impl::applied(const journal_record& aRecord)
{
  const auto now = mClock.now();
  // Of this owner's own records the book has had the effect when they were made.
  auto* changed = mBook.apply(aRecord, now);
  if (changed != nullptr && mOwner) {
    mOwner->noticed(*changed, now, wallNow());
  }
}

} // namespace endiveusher::node
