#pragma once

#include "endiveusher/kernel/daemon_core.h"
#include "endiveusher/standins/target_model.h"
#include "kernel/src/request_ids.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher::tests {

inline constexpr const char* kOperatorKey = "operator";
inline constexpr const char* kKey = "key of a";

/// Several daemon cores over an in-memory log, network and targets. Time advances in steps of 10
/// ms; the results of a core's effects are delivered in the next step.
template<guard_policy Guards = all_guards>
class core_cell
{
public:
  void add(const std::string& aName, const zone_name& aZone = "z1")
  {
    const auto address = aName + ":1";
    mNodes[aName] = { .mCore = std::make_unique<basic_daemon_core<Guards>>(daemon_options{
                        .mTiming = {},
                        .mIncarnation = aName,
                        .mVm = aName,
                        .mZone = aZone,
                        .mPeerAddress = address,
                        .mSeeds = {},
                        .mOperatorKeyDigests = { internal::keyDigest(kOperatorKey) },
                        .mSeed = mNodes.size() + 1 }) };
    mVms.mVms.push_back(
      { .mName = aName, .mZone = aZone, .mRole = vm_role::entry, .mAddress = address });
  }
  standins::target_model& addTarget(const std::string& aName, const zone_name& aZone = "z1",
                                    std::int64_t aSlots = 8)
  {
    mVms.mVms.push_back({ .mName = aName, .mZone = aZone, .mAddress = aName + ":2" });
    standins::target_options options{ .mTarget = aName };
    options.mCapacity.mSlots = aSlots;
    return *mTargets.emplace(aName, std::make_unique<standins::target_model>(options, mNow))
              .first->second;
  }

  /// Lets all daemons join and publishes team a with kKey.
  void start()
  {
    run(std::chrono::seconds(5));
    publish({ set_team{ .mTeam = "a" },
              grant_key{ .mTeam = "a", .mKeyDigest = internal::keyDigest(kKey) } });
    run(std::chrono::seconds(4));
  }
  std::uint64_t publish(std::vector<config_change> aChanges, const std::string& aAt = {})
  {
    return call(aAt.empty() ? mNodes.begin()->first : aAt,
                publish_call{ .mOperatorKey = kOperatorKey,
                              .mOperationId = "op" + std::to_string(mNextCall),
                              .mChanges = std::move(aChanges) });
  }

  std::uint64_t call(const std::string& aAt, endiveusher::call aCall)
  {
    const auto id = mNextCall++;
    mNodes.at(aAt).mCore->handle(call_event{ .mCallId = id, .mCall = std::move(aCall) }, mNow);
    collect(aAt);
    return id;
  }
  /// Makes a call and waits for its answer, at most 4 s.
  answer ask(const std::string& aAt, endiveusher::call aCall)
  {
    const auto id = call(aAt, std::move(aCall));
    for (int i = 0; i < 400 && !mAnswers.contains(id); ++i) {
      run(std::chrono::milliseconds(10));
    }
    return mAnswers.contains(id) ? mAnswers.at(id) : answer{};
  }
  request_id ticket(const std::string& aAt)
  {
    const auto answer = ask(aAt, ticket_call{});
    const auto* result = std::get_if<tickets_result>(&answer.mBody);
    return result == nullptr ? request_id{} : result->mTickets.front();
  }
  answer submit(const std::string& aAt, const job_spec& aJob)
  {
    return ask(aAt, submit_call{ .mKey = kKey, .mJob = aJob });
  }
  job_status status(const std::string& aAt, const request_id& aRequest)
  {
    const auto answer = ask(aAt, status_call{ .mKey = kKey, .mRequest = aRequest });
    const auto* result = std::get_if<job_status>(&answer.mBody);
    return result == nullptr ? job_status{} : *result;
  }

  void run(duration aSpan)
  {
    const auto end = mNow + aSpan;
    while (mNow < end) {
      step();
    }
  }

  void kill(const std::string& aName, bool aRemoveVm = true)
  {
    mNodes.erase(aName);
    if (aRemoveVm) {
      std::erase_if(mVms.mVms, [&](const vm_entry& aVm) { return aVm.mName == aName; });
    }
  }
  basic_daemon_core<Guards>& at(const std::string& aName) { return *mNodes.at(aName).mCore; }
  bool has(const std::string& aName) const { return mNodes.contains(aName); }
  standins::target_model& target(const std::string& aName) { return *mTargets.at(aName); }

  /// Number of starts of a task, over all targets.
  std::uint32_t starts(const task_key& aKey) const
  {
    std::uint32_t count = 0;
    for (const auto& [name, target] : mTargets) {
      const auto found = target->starts().find(aKey);
      count += found == target->starts().end() ? 0 : found->second;
    }
    return count;
  }
  std::uint32_t starts(const request_id& aRequest, std::uint32_t aTasks) const
  {
    std::uint32_t count = 0;
    for (std::uint32_t i = 0; i < aTasks; ++i) {
      count += starts({ aRequest, i });
    }
    return count;
  }
  std::size_t running() const
  {
    std::size_t count = 0;
    for (const auto& [name, target] : mTargets) {
      count += target->running().size();
    }
    return count;
  }
  template<typename Effect>
  std::size_t effects(const std::string& aName) const
  {
    std::size_t count = 0;
    const auto found = mOther.find(aName);
    if (found != mOther.end()) {
      for (const auto& one : found->second) {
        count += std::holds_alternative<Effect>(one) ? 1 : 0;
      }
    }
    return count;
  }

  time_point now() const { return mNow; }

  /// Returns false for a message that is dropped.
  std::function<bool(const peer_message&)> mPasses = [](const peer_message&) { return true; };
  /// Returns the number of times that a message is delivered.
  std::function<int(const peer_message&)> mCopies = [](const peer_message&) { return 1; };
  bool mLogDown = false;
  bool mLosesAppendAnswers = false;
  /// Daemons that cannot reach the log.
  std::set<std::string> mWithoutLog;
  /// Daemons that receive nothing and do nothing.
  std::set<std::string> mPaused;
  std::vector<stored_record<job_record>> mJobs;
  std::uint64_t mJobAppends = 0;
  std::map<std::uint64_t, answer> mAnswers;
  std::map<std::string, std::vector<effect>> mOther;
  std::size_t mMessages = 0;

private:
  struct node
  {
    std::unique_ptr<basic_daemon_core<Guards>> mCore;
    std::deque<event> mInbox;
  };

  void step()
  {
    mNow += std::chrono::milliseconds(10);
    for (auto& [name, target] : mTargets) {
      target->advance(mNow);
    }
    std::vector<std::string> names;
    names.reserve(mNodes.size());
    for (const auto& [name, node] : mNodes) {
      names.push_back(name);
    }
    for (const auto& name : names) {
      auto& node = mNodes.at(name);
      auto inbox = std::exchange(node.mInbox, {});
      if (mPaused.contains(name)) {
        node.mInbox = std::move(inbox);
        continue;
      }
      for (const auto& one : inbox) {
        node.mCore->handle(one, mNow);
        collect(name);
      }
      node.mCore->tick(mNow);
      collect(name);
    }
  }

  void collect(const std::string& aName)
  {
    for (auto& one : mNodes.at(aName).mCore->takeEffects()) {
      std::visit([&](auto& aBody) { perform(aName, aBody); }, one);
    }
  }
  void reply(const std::string& aName, event aEvent)
  {
    mNodes.at(aName).mInbox.push_back(std::move(aEvent));
  }
  bool reachesLog(const std::string& aName) const
  {
    return !mLogDown && !mWithoutLog.contains(aName);
  }

  void perform(const std::string&, answer_effect& aEffect)
  {
    mAnswers[aEffect.mCallId] = aEffect.mAnswer;
  }
  void perform(const std::string&, send_effect& aEffect)
  {
    const auto to = mNodes.find(aEffect.mAddress.substr(0, aEffect.mAddress.find(':')));
    if (to == mNodes.end() || !mPasses(aEffect.mMessage)) {
      return;
    }
    for (int i = mCopies(aEffect.mMessage); i > 0; --i) {
      ++mMessages;
      to->second.mInbox.push_back(peer_event{ aEffect.mMessage });
    }
  }
  void perform(const std::string& aName, exchange_effect& aEffect)
  {
    const auto found = mTargets.find(aEffect.mRequest.mTarget);
    exchange_event answer{ .mTarget = aEffect.mRequest.mTarget,
                           .mExchangeId = aEffect.mExchangeId };
    if (found != mTargets.end()) {
      answer.mResponse = found->second->exchange(aEffect.mRequest, mNow);
    }
    reply(aName, std::move(answer));
  }
  template<typename Record>
  void appendTo(const std::string& aName, std::uint64_t aId, const std::vector<Record>& aRecords,
                std::vector<stored_record<Record>>& aStream)
  {
    append_event answer{ .mAppendId = aId, .mStatus = append_status::rejected };
    if (reachesLog(aName)) {
      answer.mStatus = mLosesAppendAnswers ? append_status::unknown : append_status::stored;
      answer.mOffset = aStream.size();
      for (const auto& record : aRecords) {
        aStream.push_back({ .mOffset = aStream.size(), .mRecord = record });
      }
    }
    reply(aName, answer);
  }
  void perform(const std::string& aName, append_control_effect& aEffect)
  {
    appendTo(aName, aEffect.mAppendId, aEffect.mRecords, mControl);
  }
  void perform(const std::string& aName, append_jobs_effect& aEffect)
  {
    ++mJobAppends;
    appendTo(aName, aEffect.mAppendId, aEffect.mRecords, mJobs);
  }
  template<typename Page, typename Record>
  std::optional<Page> page(const std::vector<stored_record<Record>>& aStream, log_offset aFrom)
  {
    Page result{ .mEnd = aStream.size() };
    for (auto at = aFrom; at < aStream.size(); ++at) {
      result.mRecords.push_back(aStream[at]);
    }
    return result;
  }
  void perform(const std::string& aName, read_effect& aEffect)
  {
    const bool reached = reachesLog(aName);
    if (aEffect.mStream == log_stream::control) {
      reply(aName,
            control_read_event{ .mReadId = aEffect.mReadId,
                                .mPage = reached ? page<control_page>(mControl, aEffect.mFrom)
                                                 : std::nullopt });
    } else {
      reply(aName, jobs_read_event{ .mReadId = aEffect.mReadId,
                                    .mPage = reached ? page<jobs_page>(mJobs, aEffect.mFrom)
                                                     : std::nullopt });
    }
  }
  void perform(const std::string& aName, read_vm_list_effect&)
  {
    reply(aName, vm_list_event{ .mList = mVms });
  }
  template<typename Effect>
  void perform(const std::string& aName, Effect& aEffect)
  {
    mOther[aName].emplace_back(std::move(aEffect));
  }

  time_point mNow{ std::chrono::seconds(1000) };
  std::map<std::string, node> mNodes;
  std::map<std::string, std::unique_ptr<standins::target_model>> mTargets;
  vm_list mVms;
  std::vector<stored_record<control_record>> mControl;
  std::uint64_t mNextCall = 1;
};

/// Returns a job of team a with one core per task.
inline job_spec jobOf(request_id aRequest, job_kind aKind = job_kind::batch,
                      std::uint32_t aTasks = 1)
{
  return { .mRequest = std::move(aRequest),
           .mTeam = "a",
           .mKind = aKind,
           .mTaskCount = aTasks,
           .mPerTask = { .mSlots = 1, .mCpuMilli = 1000, .mMemoryMb = 1000 },
           .mRunTime = std::chrono::milliseconds(200),
           .mCommand = "run=200ms" };
}

inline std::string codeOf(const answer& aAnswer)
{
  const auto* error = std::get_if<call_error>(&aAnswer.mBody);
  return error == nullptr ? std::string("-") : error->mCode;
}

} // namespace endiveusher::tests
