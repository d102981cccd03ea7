#pragma once

#include "kernel/src/membership_impl.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace endiveusher::tests {

/// Several basic_membership instances over an in-memory log and network. Time advances in steps of
/// 50 ms.
template<guard_policy Guards = all_guards>
class membership_cell
{
public:
  using membership_type = basic_membership<Guards>;

  void add(const std::string& aName, const std::string& aZone, const std::string& aVm = {})
  {
    const std::string vm = aVm.empty() ? aName : aVm;
    mNodes.emplace(aName, node{ .mMembership = std::make_unique<membership_type>(
                                  membership_options{ .mTiming = {},
                                                      .mSelf = aName,
                                                      .mVm = vm,
                                                      .mZone = aZone,
                                                      .mPeerAddress = vm + ":1",
                                                      .mSeeds = seeds() }),
                                .mAddress = vm + ":1",
                                .mZone = aZone });
    mVms.mVms.push_back(
      { .mName = vm, .mZone = aZone, .mRole = vm_role::entry, .mAddress = vm + ":1" });
  }

  membership_type& at(const std::string& aName) { return *mNodes.at(aName).mMembership; }
  time_point now() const { return mNow; }

  void run(duration aSpan)
  {
    const time_point end = mNow + aSpan;
    while (mNow < end) {
      mNow += std::chrono::milliseconds(50);
      for (auto& [name, node] : mNodes) {
        if (!mPaused.contains(name)) {
          node.mMembership->tick({}, {}, mNow);
        }
      }
      for (auto& [name, node] : mNodes) {
        if (!mPaused.contains(name)) {
          deliver(name, node);
        }
      }
    }
  }

  void removeVm(const std::string& aVm)
  {
    std::erase_if(mVms.mVms, [&](const vm_entry& aEntry) { return aEntry.mName == aVm; });
  }

  std::set<std::string> mPaused;
  /// Daemons that cannot reach the log.
  std::set<std::string> mWithoutLog;
  /// Whether a message from the first daemon reaches the second.
  std::function<bool(const std::string&, const std::string&)> mConnected =
    [](const std::string&, const std::string&) { return true; };
  std::vector<stored_record<control_record>> mLog;
  log_offset mFirstRetained = 0;
  bool mLosesAppendAnswers = false;
  /// Whether messages with control records are lost.
  bool mDropsRecords = false;
  vm_list mVms;

private:
  struct node
  {
    std::unique_ptr<membership_type> mMembership;
    std::string mAddress;
    std::string mZone;
  };

  std::vector<std::string> seeds() const
  {
    std::vector<std::string> addresses;
    for (const auto& [name, node] : mNodes) {
      addresses.push_back(node.mAddress);
    }
    return addresses;
  }

  void deliver(const std::string& aName, node& aNode)
  {
    for (effect& next : aNode.mMembership->takeEffects()) {
      if (auto* read = std::get_if<read_effect>(&next)) {
        aNode.mMembership->handle(answerRead(aName, *read), mNow);
      } else if (auto* append = std::get_if<append_control_effect>(&next)) {
        aNode.mMembership->handle(answerAppend(aName, *append), mNow);
      } else if (std::holds_alternative<read_vm_list_effect>(next)) {
        aNode.mMembership->handle(vm_list_event{ .mList = mVms }, mNow);
      } else if (auto* sent = std::get_if<send_effect>(&next)) {
        deliverMessage(aName, *sent);
      }
    }
  }

  control_read_event answerRead(const std::string& aName, const read_effect& aRead) const
  {
    if (mWithoutLog.contains(aName)) {
      return { .mReadId = aRead.mReadId, .mPage = {} };
    }
    control_page page{ .mRecords = {}, .mEnd = mLog.size(), .mFirst = mFirstRetained };
    for (log_offset at = std::max(aRead.mFrom, mFirstRetained); at < mLog.size(); ++at) {
      page.mRecords.push_back(mLog[at]);
    }
    return { .mReadId = aRead.mReadId, .mPage = page };
  }

  append_event answerAppend(const std::string& aName, const append_control_effect& aAppend)
  {
    if (mWithoutLog.contains(aName)) {
      return { .mAppendId = aAppend.mAppendId, .mStatus = append_status::unknown };
    }
    const log_offset first = mLog.size();
    for (const control_record& record : aAppend.mRecords) {
      mLog.push_back({ .mOffset = mLog.size(), .mRecord = record });
    }
    if (mLosesAppendAnswers) {
      return { .mAppendId = aAppend.mAppendId, .mStatus = append_status::unknown };
    }
    return { .mAppendId = aAppend.mAppendId, .mStatus = append_status::stored, .mOffset = first };
  }

  void deliverMessage(const std::string& aFrom, const send_effect& aSent)
  {
    for (auto& [name, node] : mNodes) {
      const bool meant = aSent.mMessage.mTo.empty() || aSent.mMessage.mTo == name;
      if (node.mAddress != aSent.mAddress || !meant || name == aFrom || mPaused.contains(name) ||
          !mConnected(aFrom, name)) {
        continue;
      }
      if (const auto* gossiped = std::get_if<gossip>(&aSent.mMessage.mBody)) {
        node.mMembership->handleGossip(aFrom, *gossiped, mNow);
      } else if (const auto* sent = std::get_if<records>(&aSent.mMessage.mBody);
                 sent != nullptr && !mDropsRecords) {
        node.mMembership->handleRecords(*sent, mNow);
      } else if (const auto* request = std::get_if<slice_request>(&aSent.mMessage.mBody)) {
        node.mMembership->handleSliceRequest(aFrom, *request, internal::kZeroLimits, mNow);
      }
    }
  }

  std::map<std::string, node> mNodes;
  time_point mNow{ std::chrono::seconds(100) };
};

} // namespace endiveusher::tests
