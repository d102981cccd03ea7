#pragma once

#include "endiveusher/scheduler/owner.h"
#include "overload/load.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endiveusher::overload {

/// Kinds of input of the owner's event loop, whose processor time is counted separately.
enum class loop_work
{
  submission,
  heartbeat,
  start_reply,
  advice,
  stored,
  tick,
  count,
};
inline constexpr std::size_t kLoopWorks = static_cast<std::size_t>(loop_work::count);
inline constexpr std::array<std::string_view, kLoopWorks> kLoopWorkNames{ "submit", "heartbeat",
                                                                          "start",  "advice",
                                                                          "stored", "tick" };

/// Returns how long the event loop is busy with a piece of work.
template<typename Meter>
concept loop_meter = requires(Meter aMeter, loop_work aKind, std::function<void()> aWork,
                              const scheduler::owner& aOwner, time_point aNow)
{
  {
    aMeter.run(aKind, aWork, aOwner, aNow)
    } -> std::same_as<duration>;
  {
    aMeter.orders(aKind, std::size_t{})
    } -> std::same_as<duration>;
};

/// Lets inputs wait in one lane, in the order of their arrival.
struct arrival_order
{
  static constexpr std::size_t kLanes = 1;
  /// First lane before whose inputs late ends are stored.
  static constexpr std::size_t kLateEndsBefore = kLanes;
  static std::size_t laneOf(loop_work /*aKind*/) { return 0; }
  void beginPass(time_point /*aNow*/) {}
  /// Returns the lane of the next input of a pass of the loop, nothing if it has handled enough.
  /// @param aWaiting whether inputs wait, by lane
  std::optional<std::size_t> next(const std::array<bool, kLanes>& aWaiting, time_point /*aNow*/)
  {
    return aWaiting[0] ? std::optional<std::size_t>(0) : std::nullopt;
  }
};

/// An owner with its targets, advice service, store and callers in simulated time. The event loop
/// handles one input after the other and is busy for as long as the meter says, so that inputs wait
/// for each other as in a daemon. Lanes decides which of them is next, as arrival_order does.
template<loop_meter Meter, typename Lanes = arrival_order>
class overload_cell : private scheduler::owner_port
{
public:
  /// Counts of jobs by the window in which they were first sent.
  struct window
  {
    struct counts
    {
      std::uint32_t mSent = 0;
      std::uint32_t mOnTime = 0;
      std::uint32_t mLate = 0;
      std::uint32_t mRejectedForGood = 0;
    };
    std::map<std::string, counts> mByClass;
    std::uint32_t mRejections = 0;
    std::uint32_t mAccepted = 0;
    std::uint32_t mAdviceCalls = 0;
    std::uint32_t mStarts = 0;
    /// Steps of which a task was started for the first time.
    std::uint32_t mStartedSteps = 0;
    std::uint32_t mBadTickets = 0;
    /// Longest of some planning passes.
    duration mPassTime{ 0 };
    duration mStoreTime{ 0 };
    duration mLongestStoreTime{ 0 };
    /// Longest time from the report of a run's end by its target to its record in the store.
    duration mLongestEndTime{ 0 };
    std::size_t mWaitingSteps = 0;
    std::array<duration, kLoopWorks> mBusy{};
  };

  overload_cell(overload_options aOptions, Meter& aMeter)
    : mOptions(std::move(aOptions)), mMeter(aMeter), mRandom(mOptions.mSeed)
  {
    scheduler::cell_config config;
    for (const auto& one : mOptions.mClasses) {
      config.mRoutes.push_back({ .mName = one.mName,
                                 .mPool = "pool",
                                 .mPriority = one.mPriority,
                                 .mMaxAttempts = 3,
                                 .mStretch = one.mStretch,
                                 .mObjective = one.mObjective,
                                 .mAdvice = one.mAdvice });
    }
    for (std::size_t team = 0; team < mOptions.mTeams; ++team) {
      config.mTeams.push_back({ .mName = teamName(team),
                                .mWeight = teamShare(team),
                                .mUpperLimit = { .mCpuMilli = mOptions.mTeamLimitCpuMilli } });
    }
    config.index();
    mOwner = std::make_unique<scheduler::owner>(
      mTable, static_cast<scheduler::owner_port&>(*this),
      scheduler::owner_options{ .mClock = mMeter.clockOf(mNow) }, 1, mNow);
    mOwner->configure(std::make_shared<scheduler::cell_config>(config));
    std::vector<std::string> helpers;
    for (std::size_t helper = 0; helper < mOptions.mHelpers; ++helper) {
      helpers.push_back("10.1.0." + std::to_string(helper) + ":1");
    }
    mOwner->setAdviceHelpers(helpers);
    for (std::size_t index = 0; index < mOptions.mTargets; ++index) {
      auto id = "i-" + std::to_string(100'000 + index * 7919 % 100'000);
      auto& target = mTargets[id];
      target.mEntry = { .mId = id,
                        .mAddress = "10.2.0.1:1",
                        .mPool = "pool",
                        .mZone = std::string(1, static_cast<char>('a' + index % 5)),
                        .mRack = "r" + std::to_string(index / 8),
                        .mVm = "vm-" + id,
                        .mLabels = { "k" },
                        .mCapacity = { .mCpuMilli = mOptions.mTargetCpuMilli,
                                       .mMemoryMb = mOptions.mTargetMemoryMb },
                        .mIncarnationStart = 1 };
      mOwner->setTarget(target.mEntry, mNow);
    }
  }

  /// Plays the whole length.
  void play()
  {
    mBegin = mNow + std::chrono::seconds(2);
    for (std::size_t at = 0; at < mOptions.mClasses.size(); ++at) {
      scheduleArrival(at, mBegin);
    }
    const auto end = mBegin + mOptions.mLength + mOptions.mDrain;
    while (mNow < end) {
      turn();
    }
  }

  const std::vector<window>& windows() const { return mWindows; }
  static constexpr duration kWindow = std::chrono::seconds(2);
  std::string dump() const { return mOwner->dump(); }

private:
  struct target
  {
    scheduler::target_entry mEntry;
    /// Numbers of the runs, by task.
    std::map<scheduler::task_key, std::uint32_t> mRunning;
    std::deque<scheduler::ended_run> mEnded;
    std::uint64_t mLastEnd = 0;
    std::uint64_t mReportedEnd = 0;
    std::optional<scheduler::heartbeat_order> mOpen;
    time_point mOpenedAt{};
    std::uint64_t mOpenNumber = 0;
  };
  struct caller
  {
    scheduler::job_spec mSpec;
    std::size_t mClass = 0;
    time_point mFirstSent{};
    time_point mSent{};
    int mTries = 0;
    bool mAccepted = false;
    time_point mOnTimeBy{};
    time_point mValueBy{};
    std::map<std::uint32_t, std::uint32_t> mLeftInStep;
    std::uint32_t mLeft = 0;
  };
  struct gang
  {
    std::uint32_t mRun = 0;
    std::vector<std::pair<std::string, scheduler::task_key>> mMembers;
  };
  struct input
  {
    loop_work mKind;
    std::function<void()> mWork;
  };

  /// Time of a message between two processes: network and the batches of relays.
  static constexpr duration kRelayDelay = std::chrono::milliseconds(10);
  static constexpr duration kNetworkDelay = std::chrono::milliseconds(2);
  static constexpr duration kAppendTime = std::chrono::milliseconds(9);
  static constexpr duration kMaxEndDelay = std::chrono::milliseconds(20);
  static constexpr duration kMinWakeInterval = std::chrono::milliseconds(2);
  static constexpr duration kGangTimeout = std::chrono::seconds(5);
  static constexpr int kMaxTries = 5;

  static std::string teamName(std::size_t aTeam) { return "team-" + std::to_string(aTeam); }
  /// A few teams are large.
  static double teamShare(std::size_t aTeam) { return aTeam < 4 ? 8.0 : 1.0; }

  scheduler::wall_time wall() const
  {
    return std::chrono::duration_cast<scheduler::wall_time>(mNow.time_since_epoch());
  }
  window& windowAt(time_point aTime)
  {
    const auto index = static_cast<std::size_t>(std::max(aTime - mBegin, duration{ 0 }) / kWindow);
    if (index >= mWindows.size()) {
      mWindows.resize(index + 1);
    }
    return mWindows[index];
  }
  void at(time_point aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(aTime, std::move(aEvent));
  }
  void receiveLater(loop_work aKind, const std::function<void()>& aWork)
  {
    auto& lane = mInbox[Lanes::laneOf(aKind)];
    // Replies of the store come on a connection of their own, not through the inbox.
    const auto at = aKind == loop_work::stored ? lane.begin() : lane.end();
    lane.insert(at, input{ .mKind = aKind, .mWork = aWork });
  }
  void deliverEvents()
  {
    while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      auto event = std::move(mEvents.extract(mEvents.begin()).mapped());
      event();
    }
  }
  void spend(loop_work aKind, const std::function<void()>& aWork)
  {
    mOrders = 0;
    auto spent = mMeter.run(aKind, aWork, *mOwner, mNow);
    spent += mMeter.orders(aKind, mOrders);
    mNow += spent;
    windowAt(mNow).mBusy[static_cast<std::size_t>(aKind)] += spent;
  }

  /// One turn of the event loop.
  void turn()
  {
    deliverEvents();
    if (mNextCount <= mNow) {
      mNextCount = mNow + std::chrono::milliseconds(500);
      const auto counts = mOwner->counts(mNow);
      auto& one = windowAt(mNow);
      one.mWaitingSteps = counts.mWaitingSteps;
      one.mPassTime = std::max(one.mPassTime, counts.mLastPass.mDuration);
    }
    const auto begin = mNow;
    handleInputs();
    if (mNextTick <= mNow || begin != mNow) {
      spend(loop_work::tick, [this] { mNextTick = mOwner->tick(mNow, wall()); });
    }
    auto next = std::max(mNextTick, begin + kMinWakeInterval);
    if (!mEvents.empty()) {
      next = std::min(next, std::max(mEvents.begin()->first, begin + kMinWakeInterval));
    }
    mNow = std::max(mNow, next);
  }

  void handleInputs()
  {
    mLanes.beginPass(mNow);
    while (const auto lane = mLanes.next(waitingLanes(), mNow)) {
      if (*lane >= Lanes::kLateEndsBefore) {
        storeLateEnds();
      }
      const auto one = std::move(mInbox[*lane].front());
      mInbox[*lane].pop_front();
      spend(one.mKind, one.mWork);
      deliverEvents();
      if (one.mKind == loop_work::stored) {
        storeLateEnds();
      }
    }
    storeLateEnds();
  }
  std::array<bool, Lanes::kLanes> waitingLanes() const
  {
    std::array<bool, Lanes::kLanes> waiting{};
    std::ranges::transform(mInbox, waiting.begin(), [](const auto& aOne) { return !aOne.empty(); });
    return waiting;
  }
  /// As the event loop of a daemon does for ends that have waited for long.
  void storeLateEnds()
  {
    if (mOldestReport && mNow - *mOldestReport >= kMaxEndDelay) {
      spend(loop_work::stored, [this] {
        if (mOwner->storeEnds(mNow)) {
          mOldestReport.reset();
        }
      });
    }
  }

  // Callers.
  double lognormal(double aMean, double aSpread, double aMost)
  {
    const double sigma = std::sqrt(std::log(1 + aSpread * aSpread));
    std::lognormal_distribution<double> draw(std::log(aMean) - sigma * sigma / 2, sigma);
    return std::min(draw(mRandom), aMost);
  }
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(mRandom); }
  std::size_t drawTeam()
  {
    std::vector<double> weights;
    for (std::size_t team = 0; team < mOptions.mTeams; ++team) {
      weights.push_back(teamShare(team) * teamFactor(static_cast<int>(team)));
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(mRandom);
  }
  double teamFactor(int aTeam) const
  {
    double factor = 1;
    for (const auto& burst : mOptions.mBursts) {
      const auto time = mNow - mBegin;
      factor *= burst.mTeam == aTeam && burst.mFrom <= time && time < burst.mTo ? burst.mFactor : 1;
    }
    return factor;
  }
  double classRate(const load_class& aClass) const
  {
    double rate = aClass.mPerSecond;
    const auto time = mNow - mBegin;
    for (const auto& burst : mOptions.mBursts) {
      if (burst.mFrom > time || time >= burst.mTo) {
        continue;
      }
      if (burst.mTeam < 0 && burst.mClass == aClass.mName) {
        rate *= burst.mFactor;
      } else if (burst.mTeam >= 0) {
        double all = 0;
        for (std::size_t team = 0; team < mOptions.mTeams; ++team) {
          all += teamShare(team);
        }
        rate += aClass.mPerSecond * (burst.mFactor - 1) *
                teamShare(static_cast<std::size_t>(burst.mTeam)) / all;
      }
    }
    return rate;
  }
  void scheduleArrival(std::size_t aClass, time_point aFrom)
  {
    const auto pause = -std::log(1 - uniform()) / classRate(mOptions.mClasses[aClass]);
    const auto when =
      aFrom + std::chrono::duration_cast<duration>(std::chrono::duration<double>(pause));
    if (when >= mBegin + mOptions.mLength) {
      return;
    }
    at(when, [this, aClass, when] {
      arrive(aClass, when);
      scheduleArrival(aClass, when);
    });
  }
  void arrive(std::size_t aClass, time_point aWhen)
  {
    const auto& one = mOptions.mClasses[aClass];
    const auto id = static_cast<scheduler::job_id>(0x9e3779b97f4a7c15ULL * ++mLastJob);
    caller sent{ .mClass = aClass, .mFirstSent = aWhen };
    auto& spec = sent.mSpec;
    spec.mId = id;
    spec.mRoute = one.mName;
    spec.mTeam = teamName(drawTeam());
    spec.mPayload = std::string(300, 'p');
    const auto route = scheduler::route_config{ .mName = one.mName,
                                                .mPool = "pool",
                                                .mPriority = one.mPriority,
                                                .mMaxAttempts = 3,
                                                .mStretch = one.mStretch,
                                                .mObjective = one.mObjective,
                                                .mAdvice = one.mAdvice };
    spec.mAcceptedBy = route;
    const auto steps = 1 + (uniform() < one.mSteps - 1 ? 1U : 0U);
    std::chrono::milliseconds chain{ 0 };
    for (std::uint32_t step = 0; step < steps; ++step) {
      const auto work =
        std::chrono::milliseconds(static_cast<int>(lognormal(one.mWorkMs, 0.5, one.mMaxWorkMs)));
      chain += work;
      scheduler::step_spec added{
        .mCount = std::max(
          1U, static_cast<std::uint32_t>(lognormal(one.mWidth, one.mWidthSpread, one.mMaxWidth))),
        .mNeeds = { .mCpuMilli = static_cast<std::int64_t>(
                      lognormal(one.mCpuMilli, one.mCpuSpread, one.mMaxCpuMilli)),
                    .mMemoryMb =
                      static_cast<std::int64_t>(lognormal(one.mMemoryMb, 0.5, one.mMaxMemoryMb)) },
        .mEstimate = std::chrono::milliseconds(
          static_cast<int>(static_cast<double>(work.count()) * (0.8 + 0.4 * uniform()))),
        .mCheckpointing = uniform() < one.mCheckpointingShare,
        .mGang = uniform() < one.mGangShare,
      };
      if (step > 0) {
        added.mAfter = { step - 1 };
      }
      sent.mLeftInStep[step] = added.mCount;
      sent.mLeft += added.mCount;
      mWork[{ id, step }] = work;
      spec.mSteps.push_back(std::move(added));
    }
    const auto period =
      std::chrono::duration_cast<duration>(one.mStretch * chain) + duration(one.mObjective);
    sent.mOnTimeBy = aWhen + period;
    sent.mValueBy = aWhen + 3 * period;
    ++windowAt(aWhen).mByClass[one.mName].mSent;
    mCallers.emplace(id, std::move(sent));
    send(id);
  }
  void send(scheduler::job_id aId)
  {
    auto& one = mCallers.at(aId);
    ++one.mTries;
    one.mSent = mNow;
    at(mNow + kNetworkDelay,
       [this, aId] { receiveLater(loop_work::submission, [this, aId] { receive(aId); }); });
  }
  void receive(scheduler::job_id aId)
  {
    auto& one = mCallers.at(aId);
    one.mSpec.mSubmitted =
      std::chrono::duration_cast<scheduler::wall_time>(one.mSent.time_since_epoch());
    if (const auto retryAfter = mOwner->rejection(one.mSpec, mNow)) {
      ++windowAt(mNow).mRejections;
      if (one.mTries < kMaxTries) {
        at(mNow + *retryAfter, [this, aId] { send(aId); });
      } else {
        ++windowAt(one.mFirstSent).mByClass[mOptions.mClasses[one.mClass].mName].mRejectedForGood;
      }
      return;
    }
    one.mAccepted = true;
    mTokens[++mLastToken] = aId;
    mOwner->accept(scheduler::job_submitted{ .mSpec = one.mSpec }, mLastToken, mNow, wall());
  }
  void onTaskDone(const scheduler::task_key& aTask)
  {
    const auto found = mCallers.find(aTask.mStep.mJob);
    if (found == mCallers.end()) {
      return;
    }
    auto& one = found->second;
    if (--one.mLeft > 0) {
      return;
    }
    auto& counts = windowAt(one.mFirstSent).mByClass[mOptions.mClasses[one.mClass].mName];
    counts.mOnTime += mNow <= one.mOnTimeBy ? 1 : 0;
    counts.mLate += mNow > one.mOnTimeBy && mNow <= one.mValueBy ? 1 : 0;
  }

  // owner_port.
  void store(std::vector<scheduler::journal_record> aRecords) override
  {
    mOrders += aRecords.size() / 4 + 1;
    std::vector<time_point> ends;
    for (const auto& record : aRecords) {
      if (const auto* end = std::get_if<scheduler::run_ended>(&record)) {
        if (const auto found = mListedAt.extract(end->mTask)) {
          ends.push_back(found.mapped());
        }
      }
    }
    at(mNow + kAppendTime, [this, ends = std::move(ends)] {
      for (const auto ended : ends) {
        auto& longest = windowAt(ended).mLongestEndTime;
        longest = std::max(longest, mNow - ended);
      }
      receiveLater(loop_work::stored, [this] { mOwner->onStored(mNow); });
    });
  }
  void onRecordStored(std::uint64_t aToken) override
  {
    const auto found = mTokens.extract(aToken);
    auto& one = mCallers.at(found.mapped());
    auto& counts = windowAt(one.mSent);
    ++counts.mAccepted;
    counts.mStoreTime += mNow - one.mSent;
    counts.mLongestStoreTime = std::max(counts.mLongestStoreTime, mNow - one.mSent);
  }
  void sendHeartbeat(const scheduler::heartbeat_order& aOrder) override
  {
    ++mOrders;
    at(mNow + kRelayDelay, [this, aOrder, sent = mNow] { openHeartbeat(aOrder, sent); });
  }
  void openHeartbeat(const scheduler::heartbeat_order& aOrder, time_point aSent)
  {
    auto& one = mTargets.at(aOrder.mTarget);
    while (!one.mEnded.empty() && one.mEnded.front().mNumber <= aOrder.mStoredEndNumber) {
      one.mEnded.pop_front();
    }
    one.mOpen = aOrder;
    one.mOpenedAt = aSent;
    const auto number = ++one.mOpenNumber;
    const bool hasNews = !one.mEnded.empty() && one.mEnded.back().mNumber > one.mReportedEnd;
    if (hasNews || aOrder.mWait.count() == 0) {
      answerHeartbeat(one);
    } else {
      at(mNow + aOrder.mWait, [this, &one, number] {
        if (one.mOpen && one.mOpenNumber == number) {
          answerHeartbeat(one);
        }
      });
    }
  }
  void answerHeartbeat(target& aTarget)
  {
    scheduler::target_report report{ .mClock = std::chrono::duration_cast<target_time>(
                                       mNow.time_since_epoch()),
                                     .mIncarnationStart = 1 };
    for (const auto& [task, run] : aTarget.mRunning) {
      report.mRunning.push_back({ .mTask = task, .mRun = run });
    }
    report.mEnded.assign(aTarget.mEnded.begin(), aTarget.mEnded.end());
    for (const auto& ended : aTarget.mEnded) {
      if (ended.mNumber > aTarget.mReportedEnd) {
        mListedAt[ended.mTask] = mNow;
      }
    }
    aTarget.mReportedEnd = aTarget.mLastEnd;
    aTarget.mOpen.reset();
    at(mNow + kRelayDelay,
       [this, id = aTarget.mEntry.mId, sent = aTarget.mOpenedAt, report = std::move(report)] {
         receiveLater(loop_work::heartbeat, [this, id, sent, report, arrived = mNow] {
           if (!report.mEnded.empty()) {
             mOldestReport = std::min(mOldestReport.value_or(arrived), arrived);
           }
           mOwner->onHeartbeatReply(id, sent, scheduler::order_outcome::accepted, report, mNow);
         });
       });
  }
  void start(const scheduler::start_order& aOrder) override
  {
    ++mOrders;
    ++windowAt(mNow).mStarts;
    windowAt(mNow).mStartedSteps += mStartedSteps.insert(aOrder.mTask.mStep).second ? 1 : 0;
    at(mNow + kRelayDelay, [this, aOrder] {
      const auto outcome = execute(aOrder);
      at(mNow + kRelayDelay, [this, aOrder, outcome] {
        receiveLater(loop_work::start_reply,
                     [this, aOrder, outcome] { mOwner->onStartReply(aOrder, outcome, mNow); });
      });
    });
  }
  scheduler::order_outcome execute(const scheduler::start_order& aOrder)
  {
    const auto ticket = mTickets.find(aOrder.mTicket);
    if (ticket == mTickets.end() || ticket->second <= mNow) {
      ++windowAt(mNow).mBadTickets;
      return scheduler::order_outcome::bad_ticket;
    }
    auto& one = mTargets.at(aOrder.mTarget);
    if (!one.mRunning.try_emplace(aOrder.mTask, aOrder.mRun).second) {
      return scheduler::order_outcome::accepted;
    }
    const auto& key = aOrder.mTask.mStep;
    const auto& step = mCallers.at(key.mJob).mSpec.mSteps[key.mStep];
    const auto work = mWork.at({ key.mJob, key.mStep });
    if (!step.mGang) {
      scheduleEnd(one, aOrder.mTask, aOrder.mRun, mNow + work);
      return scheduler::order_outcome::accepted;
    }
    auto& present = mGangs[key];
    if (present.mRun != aOrder.mRun) {
      present = { .mRun = aOrder.mRun };
      at(mNow + kGangTimeout, [this, key, run = aOrder.mRun] { breakGang(key, run); });
    }
    present.mMembers.emplace_back(aOrder.mTarget, aOrder.mTask);
    if (present.mMembers.size() == step.mCount) {
      for (const auto& [id, task] : present.mMembers) {
        scheduleEnd(mTargets.at(id), task, aOrder.mRun, mNow + work);
      }
      mGangs.erase(key);
    }
    return scheduler::order_outcome::accepted;
  }
  void breakGang(const scheduler::step_key& aKey, std::uint32_t aRun)
  {
    const auto found = mGangs.find(aKey);
    if (found == mGangs.end() || found->second.mRun != aRun) {
      return;
    }
    for (const auto& [id, task] : found->second.mMembers) {
      end(mTargets.at(id), task, aRun, scheduler::reported_end::gang_incomplete);
    }
    mGangs.erase(found);
  }
  void scheduleEnd(target& aTarget, const scheduler::task_key& aTask, std::uint32_t aRun,
                   time_point aWhen)
  {
    at(aWhen, [this, &aTarget, aTask, aRun] {
      if (end(aTarget, aTask, aRun, scheduler::reported_end::done)) {
        onTaskDone(aTask);
      }
    });
  }
  bool end(target& aTarget, const scheduler::task_key& aTask, std::uint32_t aRun,
           scheduler::reported_end aOutcome)
  {
    const auto found = aTarget.mRunning.find(aTask);
    if (found == aTarget.mRunning.end() || found->second != aRun) {
      return false;
    }
    aTarget.mRunning.erase(found);
    aTarget.mEnded.push_back(
      { .mNumber = ++aTarget.mLastEnd, .mTask = aTask, .mRun = aRun, .mOutcome = aOutcome });
    if (aTarget.mOpen) {
      answerHeartbeat(aTarget);
    }
    return true;
  }
  void stop(const scheduler::stop_order& aOrder) override
  {
    ++mOrders;
    at(mNow + kRelayDelay, [this, aOrder] {
      if (auto gang = mGangs.find(aOrder.mTask.mStep);
          gang != mGangs.end() && gang->second.mRun == aOrder.mRun) {
        std::erase_if(gang->second.mMembers,
                      [&aOrder](const auto& aOne) { return aOne.second == aOrder.mTask; });
      }
      end(mTargets.at(aOrder.mTarget), aOrder.mTask, aOrder.mRun, scheduler::reported_end::stopped);
      at(mNow + kRelayDelay, [this, aOrder] {
        receiveLater(loop_work::start_reply, [this, aOrder] {
          mOwner->onStopReply(aOrder, scheduler::order_outcome::accepted, mNow);
        });
      });
    });
  }
  void requestAdvice(const scheduler::advice_request& aRequest) override
  {
    mOrders += 8;
    ++windowAt(mNow).mAdviceCalls;
    const auto& caller = mCallers.at(aRequest.mStep.mJob);
    const auto& one = mOptions.mClasses[caller.mClass];
    auto& busy = mHelperBusy[aRequest.mDaemon];
    busy = std::max(busy, mNow + kNetworkDelay) + one.mAdvice.mPerCall +
           static_cast<int>(aRequest.mTargets.size()) * one.mAdvice.mPerTarget;
    const auto expiry = busy + one.mAdvice.mTicketLifetime;
    const bool timedOut = busy - mNow > aRequest.mTimeout;
    at(timedOut ? mNow + aRequest.mTimeout : busy + kNetworkDelay,
       [this, aRequest, timedOut, expiry, share = one.mGoodShare] {
         scheduler::advice_reply reply{ .mCall = aRequest.mCall, .mOk = !timedOut };
         for (const auto& id : aRequest.mTargets) {
           const auto hash = std::hash<std::string>{}(toText(aRequest.mStep) + id);
           if (!timedOut && static_cast<double>(hash % 10'000) < share * 10'000) {
             auto token = "t" + std::to_string(++mLastTicket);
             mTickets[token] = expiry;
             reply.mTickets.push_back({ .mTarget = id, .mToken = std::move(token) });
           }
         }
         receiveLater(loop_work::advice, [this, reply] { mOwner->onAdviceReply(reply, mNow); });
       });
  }
  void logDecision(std::string_view /*aEvent*/, std::string_view /*aDetail*/) override {}

  overload_options mOptions;
  Meter& mMeter;
  std::mt19937_64 mRandom;
  time_point mNow{ std::chrono::seconds(1000) };
  time_point mBegin = mNow;
  time_point mNextTick{};
  time_point mNextCount{};
  std::size_t mOrders = 0;
  scheduler::job_table mTable;
  std::map<std::string, target> mTargets;
  std::multimap<time_point, std::function<void()>> mEvents;
  Lanes mLanes;
  std::array<std::deque<input>, Lanes::kLanes> mInbox;
  /// Arrival of the oldest report with ends that the owner has not been asked to store.
  std::optional<time_point> mOldestReport;
  std::map<scheduler::job_id, caller> mCallers;
  std::map<std::pair<scheduler::job_id, std::uint32_t>, std::chrono::milliseconds> mWork;
  std::map<scheduler::step_key, gang> mGangs;
  std::map<scheduler::task_key, time_point> mListedAt;
  std::set<scheduler::step_key> mStartedSteps;
  std::unordered_map<std::string, time_point> mTickets;
  std::map<std::string, time_point> mHelperBusy;
  std::map<std::uint64_t, scheduler::job_id> mTokens;
  std::uint64_t mLastToken = 0;
  std::uint64_t mLastJob = 0;
  std::uint64_t mLastTicket = 0;
  std::vector<window> mWindows;
  std::unique_ptr<scheduler::owner> mOwner;
};

} // namespace endiveusher::overload
