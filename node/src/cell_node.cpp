#include "endiveusher/node/cell_node.h"

#include "boot_clock.h"
#include "daemon/src/quantile_summary.h"
#include "election.h"
#include "endiveusher/edges/http_loop.h"
#include "endiveusher/edges/http_server.h"
#include "endiveusher/scheduler/owner.h"
#include "event_log.h"
#include "front_desk.h"
#include "inbox.h"
#include "job_intake.h"
#include "log_tail.h"
#include "operator_view.h"
#include "owner_calls.h"
#include "owner_link.h"
#include "peer_api.h"
#include "registry_view.h"
#include "snapshots.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <thread>
#include <utility>
#include <variant>

namespace endiveusher::node {

namespace {

using scheduler::journal_record;

constexpr const char* kJournalTopic = "journal";
constexpr const char* kOwnerTopic = "owner";
constexpr const char* kSnapshotTopic = "snapshot";
/// Numbered appends of whoever owns the cell share this name, so that an epoch shuts out the lower.
constexpr const char* kOwnerProducer = "owner";

/// Calls that wait for the loop; more are rejected at once.
constexpr std::size_t kInboxCapacity = 2000;
/// How often the journal is read: by the owner, which acts on it, and by others, which tell states.
/// Callers' records reach the owner by itself, and states of live jobs are asked from it.
constexpr std::chrono::milliseconds kOwnerJournalInterval{ 100 };
constexpr std::chrono::milliseconds kJournalInterval{ 200 };
/// How often the registry is read: the owner has to know leaving targets within a second or two.
constexpr std::chrono::milliseconds kOwnerRegistryInterval{ 250 };
constexpr std::chrono::milliseconds kRegistryInterval{ 8000 };
constexpr std::chrono::milliseconds kOwnerTopicInterval{ 100 };
/// How often the operator's records are read at least; bounds the age of keys.
constexpr std::chrono::milliseconds kOperatorWait{ 700 };
constexpr std::chrono::milliseconds kOperatorInterval{ 50 };
/// A daemon that has not said hello for this long gets no calls for advice.
constexpr std::chrono::milliseconds kHelloRetention{ 1000 };
/// How long a caller waits for the owner's view of a job before it gets this daemon's.
constexpr std::chrono::milliseconds kStatusTimeout{ 300 };
/// An append of the owner without an answer for this long rejects new jobs at once.
constexpr std::chrono::milliseconds kMaxStoreAge{ 1500 };
/// Wait of the loop when nothing is due.
constexpr std::chrono::milliseconds kLoopWait{ 50 };
/// Without an answer of the store for this long a daemon is not ready: it could take nothing.
constexpr std::chrono::milliseconds kReadyContact{ 2500 };
/// Left of the shutdown period when the process ends.
constexpr std::chrono::milliseconds kShutdownMargin{ 1500 };
/// After this much of a shutdown no new connections are expected any more: the platform needs two
/// misses, a second apart, to take a daemon out.
constexpr std::chrono::milliseconds kLeavePeriod{ 2800 };
/// A failed call means that the store is lost only if none was answered for this long.
constexpr std::chrono::milliseconds kLostContact{ 500 };
/// A store that takes longer is slow for the owner as well.
constexpr std::chrono::milliseconds kSlowStore{ 150 };
/// Appends that take longer are logged.
constexpr std::chrono::milliseconds kSlowAppend{ 200 };
/// A snapshot is written when the journal has grown by so many records, but not more often than
/// this; and in time before the store deletes the last one.
constexpr std::uint64_t kSnapshotRecords = 4000;
constexpr std::chrono::seconds kSnapshotInterval{ 20 };
constexpr int kSnapshotsPerRetention = 4;
constexpr std::chrono::milliseconds kForgetInterval{ 1000 };
/// Claims of different daemons are spread over this time.
constexpr int kMaxStaggerMs = 250;
/// A longer lease keeps more work over a cut; a shorter one starts the tasks of lost targets sooner
/// elsewhere. Covers a cut of some five seconds.
constexpr std::chrono::milliseconds kLease{ 7000 };

scheduler::wall_time wallNow()
{
  return std::chrono::duration_cast<scheduler::wall_time>(
    std::chrono::system_clock::now().time_since_epoch());
}

/// A call that a server thread hands to the loop.
struct front_request
{
  platform::front_call mCall;
  std::string mBody;
  edges::responder mResponder;
};
struct peer_request
{
  std::string mPath;
  std::string mBody;
  edges::responder mResponder;
};
using inbox_item = std::variant<front_request, peer_request>;

} // namespace

class cell_node::impl : private scheduler::owner_port
{
public:
  explicit impl(platform::node_settings aSettings)
    : mSettings(std::move(aSettings)), mLog(mSettings.mNode),
      mInbox(kInboxCapacity, [this] { mLoop.wake(); }), mStore(mLoop, mSettings.mStoreAddress),
      mSnapshots(mStore, mClock, kSnapshotTopic), mIncarnation(std::random_device{}()),
      mPeerAddress(fmt::format("{}:{}", mSettings.mIp, mSettings.mPeerPort)),
      mElection({ .mNode = mSettings.mNode,
                  .mIncarnation = mIncarnation,
                  .mPeerAddress = mPeerAddress,
                  .mStagger = std::chrono::milliseconds(mIncarnation % kMaxStaggerMs) }),
      mWriter(mStore, mClock,
              { .mTopic = kJournalTopic,
                .mProducer = fmt::format("{}-{}", mSettings.mNode, mIncarnation) }),
      mLink(mLoop, mClock, mPeerAddress),
      mIntake(mClock, mLink, mWriter, mLog,
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

  ~impl() override
  {
    mQuit = true;
    mLoop.wake();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void start(std::function<void()> aStopped)
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

  void stop()
  {
    mStopping = true;
    mLoop.wake();
  }

  void reload(platform::node_settings aSettings)
  {
    const std::lock_guard lock(mReloadMutex);
    mReloaded = std::move(aSettings);
  }

  void dumpState()
  {
    mDump = true;
    mLoop.wake();
  }

private:
  // owner_port; the answers go to the owner that asked, if it still is one.
  void store(std::vector<journal_record> aRecords) override
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
        if (epoch != mEpoch || !mOwner) {
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
        mOwner->stored(mClock.now());
      });
  }

  void accepted(std::uint64_t aToken) override
  {
    const auto found = mAccepting.find(aToken);
    if (found != mAccepting.end()) {
      const auto done = std::move(found->second.mDone);
      mAccepting.erase(found);
      done(write_outcome::stored);
    }
  }

  /// False if this daemon is not the owner.
  bool acceptLocally(const journal_record& aRecord, const job_intake::done& aDone)
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
    mOwner->accept(aRecord, mLastToken, now, wallNow());
    return true;
  }

  static caller_record recordKey(const journal_record& aRecord)
  {
    if (const auto* cancelled = std::get_if<scheduler::job_cancelled>(&aRecord)) {
      return { .mJob = cancelled->mJob, .mCancel = true };
    }
    const auto* submitted = std::get_if<scheduler::job_submitted>(&aRecord);
    return { .mJob = submitted == nullptr ? scheduler::job_id{} : submitted->mSpec.mId };
  }

  bool askOwner(scheduler::job_id aId, const std::string& aTeam,
                std::function<void(std::optional<std::string>)> aDone)
  {
    if (mOwner || !mLink.reachable(mClock.now())) {
      return false;
    }
    mLink.call(kPeerStatusPath, toText(aId) + aTeam, kStatusTimeout,
               [done = std::move(aDone)](edges::loop_reply&& aReply) {
                 done(aReply.ok() ? std::optional(std::move(aReply.mBody)) : std::nullopt);
               });
    return true;
  }

  void look(const scheduler::look_order& aOrder) override
  {
    mCalls.look(aOrder,
                [this, target = aOrder.mTarget, sent = mClock.now(), epoch = mEpoch](
                  scheduler::order_outcome aOutcome, const scheduler::target_report& aReport) {
                  if (isOwner(epoch)) {
                    mOwner->looked(target, sent, aOutcome, aReport, mClock.now());
                  }
                });
  }

  void start(const scheduler::start_order& aOrder) override
  {
    mCalls.start(aOrder, [this, aOrder, epoch = mEpoch](scheduler::order_outcome aOutcome) {
      if (isOwner(epoch)) {
        mOwner->startAnswered(aOrder, aOutcome, mClock.now());
      }
    });
  }

  void stop(const scheduler::stop_order& aOrder) override
  {
    mCalls.stop(aOrder, [this, aOrder, epoch = mEpoch](scheduler::order_outcome aOutcome) {
      if (isOwner(epoch)) {
        mOwner->stopAnswered(aOrder, aOutcome, mClock.now());
      }
    });
  }

  void advise(const scheduler::advice_request& aRequest) override
  {
    mCalls.advise(aRequest, mSettings.mAdviceAddress,
                  [this, epoch = mEpoch](const scheduler::advice_answer& aAnswer) {
                    if (isOwner(epoch)) {
                      mOwner->advised(aAnswer, mClock.now());
                    }
                  });
  }

  /// Answers to an owner of another epoch have no meaning.
  bool isOwner(std::uint64_t aEpoch) const { return aEpoch == mEpoch && mOwner != nullptr; }

  void explain(std::string_view aEvent, std::string_view aDetail) override
  {
    mLog.write(aEvent, aDetail);
  }

  void makeTails()
  {
    mStore.setListener([this](bool aAnswered, const std::string& aError) {
      if (aAnswered) {
        contact();
      } else {
        contactFailed(aError);
      }
    });
    const auto failed = [](const std::string& /*aError*/) {};
    const auto answered = [](std::uint64_t /*aEnd*/) {};
    mOperatorTail = std::make_unique<log_tail>(
      mStore, mClock,
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
                             [this](auto&& aRecords) {
                               mOperator.replace(aRecords);
                               operatorChanged();
                             },
                           .mGap = [](std::uint64_t) {},
                           .mAnswered = answered,
                           .mFailed = failed });
    mRegistryTail = std::make_unique<log_tail>(
      mStore, mClock,
      log_tail_options{ .mTopic = std::string(platform::kRegistryTopic),
                        .mKeyed = true,
                        .mWait = std::chrono::milliseconds(0),
                        .mInterval = kRegistryInterval },
      log_tail::callbacks{
        .mRecords = [this](const auto& aRecords, std::uint64_t) { mRegistry.read(aRecords); },
        .mNewest = [this](auto&& aRecords) { mRegistry.replace(aRecords); },
        .mGap = [](std::uint64_t) {},
        .mAnswered = answered,
        .mFailed = failed });
    mOwnerTail = std::make_unique<log_tail>(
      mStore, mClock, log_tail_options{ .mTopic = kOwnerTopic, .mInterval = kOwnerTopicInterval },
      log_tail::callbacks{
        .mRecords = [this](const auto& aRecords,
                           std::uint64_t aOffset) { readOwners(aRecords, aOffset); },
        .mNewest = [](auto&&) {},
        .mGap = [](std::uint64_t) {},
        .mAnswered = [this](std::uint64_t aEnd) { mElection.sawEnd(aEnd, mClock.now()); },
        .mFailed = [this](const std::string& /*aError*/) { mElection.lostStore(); } });
    mJournalTail = std::make_unique<log_tail>(
      mStore, mClock, log_tail_options{ .mTopic = kJournalTopic, .mInterval = kJournalInterval },
      log_tail::callbacks{
        .mRecords = [this](const auto& aRecords, std::uint64_t) { readJournal(aRecords); },
        .mNewest = [](auto&&) {},
        .mGap =
          [this](std::uint64_t aFirst) {
            mLog.write("journal_gap", fmt::format("first={}", aFirst));
            if (mOwner) {
              mLost = "records of the journal are gone";
            } else {
              loadBook();
            }
          },
        .mAnswered = answered,
        .mFailed = failed });
  }

  void contact()
  {
    mLastContact = mClock.now();
    if (mStoreLost) {
      mStoreLost = false;
      mLog.write("store_regained", fmt::format("address={}", mStore.address()));
    }
  }

  void contactFailed(const std::string& aError)
  {
    if (!mStoreLost && mClock.now() - mLastContact > kLostContact) {
      mStoreLost = true;
      mLog.write("store_lost", fmt::format("address={} error=\"{}\"", mStore.address(), aError));
    }
  }

  void operatorChanged()
  {
    if (mOwner) {
      if (mOwnerConfig != mOperator.config()) {
        mOwnerConfig = mOperator.config();
        mOwner->configure(mOwnerConfig);
      }
      mOwner->setClosedZones(mOperator.closedZones());
    }
  }

  // Ownership.
  void readOwners(const std::vector<std::string>& aRecords, std::uint64_t aOffset)
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

  void tickElection(time_point aNow)
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
    const bool ownerCutOff = mLink.ownerLostStore() && mStore.delay() < kSlowStore;
    mElection.setOwnerDoubt(mLink.refused(), mLink.silent(aNow) || ownerCutOff);
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

  void appendOwnerRecord(election::action aAction, time_point aNow)
  {
    if (aAction == election::action::claim) {
      mLog.write("claim", fmt::format("expected_end={} last_owner={}", mElection.expectedEnd(),
                                      mElection.ownerNode()));
    }
    mStore.append({ .mTopic = kOwnerTopic,
                    .mRecords = { encode(mElection.record(aAction)) },
                    .mExpectedEnd = mElection.expectedEnd() },
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

  /// First shuts the former owner out of the journal, then reads what it has written.
  void takeOver()
  {
    const auto epoch = mElection.epoch();
    if (mEpoch != epoch) {
      mEpoch = epoch;
      mFenceEnd.reset();
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
        mFenceEnd = true;
      });
      mSnapshotWriter =
        std::make_unique<journal_writer>(mStore, mClock,
                                         journal_writer_options{ .mTopic = kSnapshotTopic,
                                                                 .mProducer = kOwnerProducer,
                                                                 .mEpoch = epoch,
                                                                 .mInsist = true });
      mSnapshotOpen = false;
      mSnapshotAt = mClock.now();
      mRegistryTail->setInterval(kOwnerRegistryInterval);
      mRegistryTail->restart(0);
      mJournalTail->setInterval(kOwnerJournalInterval);
    }
    if (!mFenceEnd || !mJournalTail->caughtUp() || mJournalTail->freshAsOf() <= mFencedAt ||
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

  void giveUp(std::string_view aReason)
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

  // State of the cell.
  void loadBook()
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

  void tickSnapshot(time_point aNow)
  {
    if (!mOwner || mSnapshotOpen || !mOwner->allStored()) {
      return;
    }
    const auto age = aNow - mSnapshotAt;
    const auto next = mJournalTail->next();
    const bool grown = next > mSnapshotBase + kSnapshotRecords && age > kSnapshotInterval;
    if (!grown && age < mSettings.mRecordRetention / kSnapshotsPerRetention) {
      return;
    }
    mSnapshotOpen = true;
    mSnapshotAt = aNow;
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

  void readJournal(const std::vector<std::string>& aRecords)
  {
    for (const auto& bytes : aRecords) {
      auto record = scheduler::decodeRecord(bytes);
      if (!record.ok()) {
        mLog.write("bad_record", fmt::format("topic=journal error=\"{}\"",
                                             std::string(record.status().message())));
        continue;
      }
      applied(*record);
    }
  }

  void applied(const journal_record& aRecord)
  {
    const auto now = mClock.now();
    // Of this owner's own records the book has had the effect when they were made.
    auto* changed = mBook.apply(aRecord, now);
    if (changed != nullptr && mOwner) {
      mOwner->noticed(*changed, now, wallNow());
    }
  }

  // Peers.
  void tickPeers(time_point aNow)
  {
    if (mOwner) {
      std::erase_if(mHelpers,
                    [aNow](const auto& aOne) { return aOne.second + kHelloRetention < aNow; });
      std::vector<std::string> names;
      names.reserve(mHelpers.size());
      for (const auto& [name, seen] : mHelpers) {
        names.push_back(name);
      }
      mOwner->setHelpers(names);
      return;
    }
    mLink.tick(aNow);
  }

  void handleStore(const peer_request& aRequest)
  {
    auto record = scheduler::decodeRecord(aRequest.mBody);
    const auto answer = [responder = aRequest.mResponder](write_outcome aOutcome) {
      // 504: may be stored, 503: surely is not.
      std::uint16_t status = 504;
      if (aOutcome == write_outcome::stored) {
        status = 200;
      } else if (aOutcome == write_outcome::refused) {
        status = 503;
      }
      responder.answer({ .mStatus = status });
    };
    if (!record.ok() || !acceptLocally(*record, answer)) {
      answer(write_outcome::refused);
    }
  }

  void handleStatus(const peer_request& aRequest)
  {
    // The id has a fixed length; the team follows, empty for callers of public routes.
    const std::string_view body = aRequest.mBody;
    const auto id = scheduler::parseJobId(body.substr(0, scheduler::kJobIdDigits));
    const auto* found = id && mOwner ? mBook.find(*id) : nullptr;
    const auto team = body.substr(std::min(body.size(), scheduler::kJobIdDigits));
    if (found == nullptr || (!team.empty() && team != found->mSpec.mTeam)) {
      aRequest.mResponder.answer({ .mStatus = 404 });
      return;
    }
    aRequest.mResponder.answer(
      { .mBody = platform::encodeJobState(*found, !mUnstoredEnds.contains(*id)) });
  }

  void handlePeer(peer_request& aRequest)
  {
    if (aRequest.mPath == kPeerHelloPath) {
      const auto now = mClock.now();
      mHelpers[aRequest.mBody] = now;
      aRequest.mResponder.answer(
        { .mBody = std::to_string((now - mLastContact) / std::chrono::milliseconds(1)) });
    } else if (aRequest.mPath == kPeerStorePath) {
      handleStore(aRequest);
    } else if (aRequest.mPath == kPeerStatusPath) {
      handleStatus(aRequest);
    } else if (aRequest.mPath == kPeerAdvicePath) {
      const auto request = decodePeerAdvice(aRequest.mBody);
      if (!request.ok()) {
        aRequest.mResponder.answer({ .mStatus = 400 });
        return;
      }
      auto call = platform::encodeAdvice(mSettings.mAdviceAddress, *request);
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

  void handleFront(const front_request& aRequest)
  {
    mDesk.handle(
      aRequest.mCall, std::move(aRequest.mBody),
      [this, responder = aRequest.mResponder, since = mClock.now()](front_answer&& aAnswer) {
        mCallTimes.record(mClock.now() - since);
        edges::http_answer answer{
          .mStatus = static_cast<std::uint16_t>(aAnswer.mStatus),
          .mBody = std::move(aAnswer.mBody),
          .mClose = mStopping,
        };
        if (aAnswer.mRetryAfter) {
          answer.mHeaders.emplace_back("Retry-After", std::to_string(aAnswer.mRetryAfter->count()));
        }
        responder.answer(std::move(answer));
      });
  }

  void run()
  {
    while (!mQuit) {
      const auto now = mClock.now();
      applyReload();
      mOperatorTail->tick(now);
      mOwnerTail->tick(now);
      mSnapshots.tick(now);
      if (!mSnapshots.active()) {
        mJournalTail->tick(now);
      }
      mRegistryTail->tick(now);
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
      mWriter.tick(now);
      mDesk.tick(now);
      tickElection(now);
      if (mOwnerWriter) {
        mOwnerWriter->tick(now);
        mSnapshotWriter->tick(now);
      }
      tickSnapshot(now);
      tickPeers(now);
      auto next = now + kLoopWait;
      if (mOwner && mElection.mayAct(mClock.now())) {
        next = std::min(next, mOwner->tick(mClock.now(), wallNow()));
        if (mOwner->fenced()) {
          mLost = "fenced by a target";
        }
      }
      if (mNextForget <= now) {
        mNextForget = now + kForgetInterval;
        mBook.forgetEnded(now - mSettings.mStatusRetention - kForgetInterval);
      }
      mReady = !mStopping && mOperator.config() && mJournalTail->caughtUp() &&
               now - mLastContact < kReadyContact;
      if (mDump.exchange(false)) {
        mLog.write("state", state());
      }
      mLog.flush();
      if (tickShutdown(now)) {
        return;
      }
      const auto wait =
        std::chrono::ceil<std::chrono::milliseconds>(std::max(next - mClock.now(), duration{ 0 }));
      mLoop.run(wait);
    }
  }

  /// True when the loop has to end.
  bool tickShutdown(time_point aNow)
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

  void applyReload()
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

  std::string metrics() const
  {
    const auto& counters = mDesk.counters();
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
    add("jobs_known", mBook.size());
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
      add("advice_helpers", mHelpers.size());
    }
    text += mCallTimes.render("endiveusher_call_seconds", "Time to answer a caller.");
    text += mAppendTimes.render("endiveusher_append_seconds", "Appends of the owner.");
    text += mCalls.metrics();
    return text;
  }

  std::string state() const
  {
    const auto now = mClock.now();
    return fmt::format("node={} role={} epoch={} config={} config_age_ms={} journal_next={} "
                       "journal_age_ms={} jobs={} targets={} closed_zones={} owner={}\n{}",
                       mSettings.mNode, mOwner ? "owner" : "follower", mEpoch,
                       mOperator.config() ? mOperator.config()->mVersion : 0,
                       (now - mOperatorTail->freshAsOf()) / std::chrono::milliseconds(1),
                       mJournalTail->next(),
                       (now - mJournalTail->freshAsOf()) / std::chrono::milliseconds(1),
                       mBook.size(), mRegistry.targets().size(), mOperator.closedZones().size(),
                       mElection.ownerNode(), mOwner ? mOwner->dump() : std::string());
  }

  platform::node_settings mSettings;
  boot_clock mClock;
  event_log mLog;
  edges::http_loop mLoop;
  inbox<inbox_item> mInbox;
  platform::store mStore;
  snapshot_loader mSnapshots;
  const std::uint64_t mIncarnation;
  const std::string mPeerAddress;
  scheduler::job_book mBook;
  election mElection;
  journal_writer mWriter;
  owner_link mLink;
  job_intake mIntake;
  front_desk mDesk;
  std::unique_ptr<log_tail> mOperatorTail;
  std::unique_ptr<log_tail> mRegistryTail;
  std::unique_ptr<log_tail> mOwnerTail;
  std::unique_ptr<log_tail> mJournalTail;

  operator_view mOperator{ mLog };
  registry_view mRegistry;
  owner_calls mCalls{ mLoop, mLog };
  /// The configuration that the owner has.
  std::shared_ptr<const scheduler::cell_config> mOwnerConfig;
  bool mCapacityChanged = false;

  /// Of the own ownership; 0 if there is none.
  std::uint64_t mEpoch = 0;
  std::optional<bool> mFenceEnd;
  time_point mFencedAt{};
  std::unique_ptr<journal_writer> mOwnerWriter;
  std::unique_ptr<journal_writer> mSnapshotWriter;
  bool mSnapshotOpen = false;
  time_point mSnapshotAt{};
  /// Where the journal goes on after the newest snapshot known.
  std::uint64_t mSnapshotBase = 0;
  std::unique_ptr<scheduler::owner> mOwner;
  /// No renewal has been accepted for so long that nothing may be sent to targets.
  bool mPaused = false;
  std::optional<std::string> mLost;
  /// Callers' records on their way into the journal with the owner's.
  struct accepting_record
  {
    job_intake::done mDone;
    caller_record mRecord;
  };
  std::map<std::uint64_t, accepting_record> mAccepting;
  std::uint64_t mLastToken = 0;
  /// Jobs with ends that are on their way into the journal, and how many calls hold some.
  std::map<scheduler::job_id, std::uint32_t> mUnstoredEnds;
  /// Daemons that make calls for advice, and when each was last heard of.
  std::map<std::string, time_point> mHelpers;

  time_point mLastContact{};
  bool mStoreLost = false;
  time_point mNextForget{};
  std::optional<time_point> mStopSince;

  daemon::quantile_summary mCallTimes;
  daemon::quantile_summary mAppendTimes;

  std::mutex mReloadMutex;
  std::optional<platform::node_settings> mReloaded;
  std::atomic<bool> mQuit{ false };
  std::atomic<bool> mStopping{ false };
  std::atomic<bool> mDump{ false };
  std::atomic<bool> mReady{ false };
  std::function<void()> mStopped;
  std::unique_ptr<edges::http_server> mFront;
  std::unique_ptr<edges::http_server> mReadiness;
  std::unique_ptr<edges::http_server> mPeers;
  std::thread mThread;
};

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
