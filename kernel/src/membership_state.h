#pragma once

#include "control_writer.h"
#include "failover_policy.h"
#include "freshness.h"
#include "peer_table.h"
#include "publisher.h"
#include "slice_transfers.h"

#include "endiveusher/kernel/membership.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <ranges>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher {

template<guard_policy Guards>
class basic_membership<Guards>::impl
{
public:
  using peer_entry = internal::peer_entry;

  explicit impl(membership_options aOptions)
    : mOptions(std::move(aOptions)), mWriter(mOptions.mSelf), mFreshness(mOptions.mTiming),
      mFailoverPolicy(mOptions.mTiming, mOptions.mSelf), mSliceTransfers(mOptions.mSelf),
      mPublisher(settlePeriod())
  {
  }

  /// Time after which every daemon has applied a stored record or is stale: W of
  /// docs/design.md, 4.2.
  duration settlePeriod() const
  {
    const auto& timing = mOptions.mTiming;
    return std::chrono::duration_cast<duration>(timing.mFreshnessPeriod *
                                                (1.0 + timing.mClockDrift)) +
           timing.mSafetyMargin;
  }

  // --- Stream control ---

  void controlRead(const control_read_event& aEvent, time_point aNow)
  {
    if (aEvent.mReadId != mReadInFlight) {
      return;
    }
    mReadInFlight = 0;
    if (!aEvent.mPage) {
      mLogReachable = false;
      mNextReadAt = aNow + mOptions.mTiming.mControlReadInterval;
      return;
    }
    mLogReachable = true;
    const control_page& page = *aEvent.mPage;
    if (!page.mRecords.empty() && page.mRecords.front().mOffset > mControl.next() &&
        restoreFrom(page.mRecords, aNow)) {
      mSearchFrom = 0;
      mNextReadAt = aNow;
      return;
    }
    for (const auto& record : page.mRecords) {
      applyRecord(record, aNow);
    }
    const log_offset reached = page.mRecords.empty() ? mReadFrom : page.mRecords.back().mOffset + 1;
    if (mControl.next() >= page.mEnd) {
      mFreshness.readToEnd(mReadSentAt);
      mNextReadAt = std::max(aNow, mReadSentAt + mOptions.mTiming.mControlReadInterval);
      mSearchFrom = 0;
    } else if (reached < page.mEnd && reached > mReadFrom) {
      // Either more pages follow, or the search for a snapshot continues.
      mSearchFrom = reached > mControl.next() ? reached : 0;
      mNextReadAt = aNow;
    } else {
      mSearchFrom = 0;
      mNextReadAt = aNow + mOptions.mTiming.mControlReadInterval;
    }
  }

  void applyRecord(const stored_record<control_record>& aRecord, time_point aNow)
  {
    if (aRecord.mOffset != mControl.next()) {
      return;
    }
    mControl.apply(aRecord);
    mRecent.push_back(aRecord);
    if (mRecent.size() > kRecordsKept) {
      mRecent.pop_front();
    }
    mSettling.emplace_back(mControl.next(), aNow);
    mWriter.seen(aRecord.mRecord.mId);
    const auto receiver = mSliceTransfers.finish(aRecord.mRecord.mId);
    if (receiver) {
      sendRecords(mControl.resolve(*receiver), aNow);
    }
    if (std::holds_alternative<snapshot_record>(aRecord.mRecord.mBody)) {
      mLastSnapshotAt = aNow;
    }
    recordFailovers(aNow);
  }

  /// Restores the latest usable snapshot in aRecords; returns whether the state was replaced.
  template<typename Records>
  bool restoreFrom(const Records& aRecords, time_point aNow)
  {
    for (const auto& record : std::views::reverse(aRecords)) {
      const auto* snapshot = std::get_if<snapshot_record>(&record.mRecord.mBody);
      if (snapshot == nullptr) {
        continue;
      }
      if constexpr (!Guards::kChecksOffsets) {
        mControl = {};
      }
      if (mControl.restore(snapshot->mState)) {
        mRecent.clear();
        mSettling.emplace_back(mControl.next(), aNow);
        recordFailovers(aNow);
        return true;
      }
    }
    return false;
  }

  /// Records the ended members whose work fails over to this daemon.
  void recordFailovers(time_point aNow)
  {
    if (!mControl.isMember(mOptions.mSelf)) {
      return;
    }
    for (const auto& [dead, entry] : mControl.successions()) {
      if (mControl.resolve(dead) != mOptions.mSelf || mRecordedFailovers.contains(dead)) {
        continue;
      }
      mRecordedFailovers.insert(dead);
      failed_over_member item{ .mDead = dead,
                               .mEffectiveFrom = entry.mGraceful ? aNow : aNow + settlePeriod(),
                               .mGraceful = entry.mGraceful,
                               .mOffset = entry.mOffset,
                               .mMembersAtFailover = {} };
      for (const auto& id : std::views::keys(mControl.members())) {
        item.mMembersAtFailover.insert(id);
      }
      mFailedOverMembers.push_back(std::move(item));
      log(log_level::info, "Failing over the work of " + dead + " to this daemon.");
    }
  }

  void startRead(time_point aNow)
  {
    mReadInFlight = ++mLastRead;
    mReadSentAt = aNow;
    mReadFrom = mSearchFrom != 0 ? mSearchFrom : mControl.next();
    mEffects.emplace_back(
      read_effect{ .mReadId = mReadInFlight, .mStream = log_stream::control, .mFrom = mReadFrom });
  }

  void advanceLog(time_point aNow)
  {
    if (mReadInFlight != 0 && aNow - mReadSentAt > kReadDeadline) {
      mReadInFlight = 0;
      mLogReachable = false;
      mNextReadAt = aNow;
    }
    if (mReadInFlight == 0 && aNow >= mNextReadAt) {
      startRead(aNow);
    }
    if (auto append = mWriter.next(aNow)) {
      mEffects.emplace_back(std::move(*append));
    }
  }

  void advanceJoin(time_point aNow)
  {
    const bool mayJoin = mLogReachable && aNow < mFreshness.until() && mJoinId.empty() &&
                         !mControl.isMember(mOptions.mSelf) && !mControl.hasEnded(mOptions.mSelf);
    if (mayJoin) {
      mListeningSince = aNow;
      mJoinId = mWriter.add(join_record{ .mIncarnation = mOptions.mSelf,
                                         .mVm = mOptions.mVm,
                                         .mZone = mOptions.mZone,
                                         .mPeerAddress = mOptions.mPeerAddress });
    }
  }

  void advanceSnapshot(time_point aNow)
  {
    if (mLastSnapshotAt == time_point{}) {
      mLastSnapshotAt = aNow;
    }
    const bool first = mControl.members().begin()->first == mOptions.mSelf;
    const bool due = aNow - mLastSnapshotAt >= mOptions.mTiming.mSnapshotInterval;
    if (first && due && mLogReachable) {
      mLastSnapshotAt = aNow;
      mWriter.add(snapshot_record{ .mAsOf = mControl.next(), .mState = mControl.encode() });
    }
  }

  void advanceFailovers(time_point aNow)
  {
    if (!mLogReachable || mLeaving || aNow >= mFreshness.until()) {
      return;
    }
    for (const incarnation_id& dead :
         mFailoverPolicy.candidates(mControl, mPeers, mVms, mListeningSince, aNow)) {
      if (mFailoverRecordIds.contains(dead)) {
        continue;
      }
      mFailoverRecordIds[dead] =
        mWriter.add(takeover_record{ .mDead = dead, .mSuccessor = mOptions.mSelf });
    }
    std::erase_if(mFailoverRecordIds,
                  [&](const auto& aEntry) { return !mControl.isMember(aEntry.first); });
  }

  // --- Gossip ---

  void onGossip(const incarnation_id& aFrom, const gossip& aGossip, time_point aNow)
  {
    if (aFrom == mOptions.mSelf || mControl.hasEnded(aFrom)) {
      sendRecordsToEnded(aFrom, aGossip, aNow);
      return;
    }
    mPeers.merge(aFrom, aGossip, aNow);
    peer_entry& peer = mPeers.entries().at(aFrom);
    considerPeerFreshness(peer);
    if (!aGossip.mLogReachable) {
      peer.mNextProbeAt = std::min(peer.mNextProbeAt, aNow + mOptions.mTiming.mGossipInterval / 2);
      if (aGossip.mControlOffset < mControl.next() && aNow < mFreshness.until()) {
        sendRecords(aFrom, aNow);
      }
    }
  }

  /// Sends control records to a daemon that has not learnt yet that it was ended.
  void sendRecordsToEnded(const incarnation_id& aFrom, const gossip& aGossip, time_point aNow)
  {
    if (aFrom != mOptions.mSelf && aGossip.mControlOffset < mControl.next() &&
        !aGossip.mPeerAddress.empty()) {
      sendRecordsTo(aFrom, aGossip.mPeerAddress, aGossip.mControlOffset, aNow);
    }
  }

  void considerPeerFreshness(const peer_entry& aPeer)
  {
    const bool caughtUp = mControl.next() >= aPeer.mLast.mControlOffset;
    if (aPeer.mAnsweredProbeAt && caughtUp && aPeer.mLast.mFreshFor.count() > 0) {
      mFreshness.peerIsFresh(*aPeer.mAnsweredProbeAt, aPeer.mLast.mFreshFor);
    }
  }

  void sendRecords(const incarnation_id& aTo, time_point aNow)
  {
    const auto found = mPeers.entries().find(aTo);
    if (found == mPeers.entries().end() || aNow < found->second.mNextRecordsAt) {
      return;
    }
    found->second.mNextRecordsAt = aNow + kRecordsInterval;
    sendRecordsTo(aTo, addressOf(aTo), found->second.mLast.mControlOffset, aNow);
  }

  void sendRecordsTo(const incarnation_id& aTo, const std::string& aAddress, log_offset aFrom,
                     time_point /*aNow*/)
  {
    records message{ .mFrom = aFrom, .mRecords = {}, .mEnd = mControl.next() };
    if (mRecent.empty() || mRecent.front().mOffset > aFrom) {
      message.mFrom = mControl.next();
      message.mRecords.push_back(
        { .mOffset = mControl.next(),
          .mRecord = {
            .mId = "",
            .mBody = snapshot_record{ .mAsOf = mControl.next(), .mState = mControl.encode() } } });
    } else {
      std::ranges::copy_if(mRecent, std::back_inserter(message.mRecords),
                           [&](const auto& aRecord) { return aRecord.mOffset >= aFrom; });
      if (message.mRecords.size() > kRecordsPerMessage) {
        message.mRecords.resize(kRecordsPerMessage);
      }
    }
    send(aTo, aAddress, std::move(message));
  }

  void recordsReceived(const records& aRecords, time_point aNow)
  {
    if (!aRecords.mRecords.empty() && aRecords.mRecords.front().mOffset > mControl.next()) {
      restoreFrom(aRecords.mRecords, aNow);
    }
    for (const auto& record : aRecords.mRecords) {
      // A snapshot made for this message has no id and is not a record of the stream.
      if (!record.mRecord.mId.empty()) {
        applyRecord(record, aNow);
      }
    }
    for (const auto& peer : std::views::values(mPeers.entries())) {
      considerPeerFreshness(peer);
    }
  }

  void advanceGossip(const placer_summary& aSummary, time_point aNow)
  {
    for (const auto& [id, member] : mControl.members()) {
      if (id == mOptions.mSelf) {
        continue;
      }
      peer_entry& peer = mPeers.entries()[id];
      if (peer.mMemberSince == time_point{}) {
        peer.mMemberSince = aNow;
      }
      if (aNow < peer.mNextProbeAt) {
        continue;
      }
      const bool close = member.mZone == mOptions.mZone || !mLogReachable ||
                         (peer.mHeardAt != time_point{} && !peer.mLast.mLogReachable);
      peer.mNextProbeAt =
        aNow + (close ? mOptions.mTiming.mGossipInterval : kRemoteZoneGossipInterval);
      send(id, member.mPeerAddress, gossipFor(id, peer, aSummary, aNow));
    }
    if (aNow >= mNextUnknownPeerProbeAt) {
      mNextUnknownPeerProbeAt = aNow + kRemoteZoneGossipInterval;
      for (const auto& address : unknownPeerAddresses()) {
        send({}, address, gossipFor({}, mSeedEntry, aSummary, aNow));
      }
      // Incarnations that are not members yet are answered, so that they learn about the cell.
      for (auto& [id, peer] : mPeers.entries()) {
        if (!mControl.isMember(id) && !peer.mLast.mPeerAddress.empty()) {
          send(id, peer.mLast.mPeerAddress, gossipFor(id, peer, aSummary, aNow));
        }
      }
    }
  }

  /// Addresses of seeds and listed entry VMs at which no member is known.
  std::vector<std::string> unknownPeerAddresses() const
  {
    std::set<std::string> known{ mOptions.mPeerAddress };
    for (const auto& member : std::views::values(mControl.members())) {
      known.insert(member.mPeerAddress);
    }
    std::vector<std::string> unknown;
    const auto consider = [&](const std::string& aAddress) {
      if (known.insert(aAddress).second) {
        unknown.push_back(aAddress);
      }
    };
    std::ranges::for_each(mOptions.mSeeds, consider);
    std::ranges::for_each(mEntryAddresses, consider);
    return unknown;
  }

  gossip gossipFor(const incarnation_id& aTo, peer_entry& aPeer, const placer_summary& aSummary,
                   time_point aNow)
  {
    gossip message{ .mVm = mOptions.mVm,
                    .mZone = mOptions.mZone,
                    .mPeerAddress = mOptions.mPeerAddress,
                    .mProbe = mPeers.startProbe(aTo, aNow),
                    .mEchoedProbe = aPeer.mProbeToEcho,
                    .mControlOffset = mControl.next(),
                    .mFreshFor = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::max(duration{ 0 }, mFreshness.until() - aNow)),
                    .mLogReachable = mLogReachable,
                    .mFree = aSummary.mFree,
                    .mTotal = aSummary.mTotal,
                    .mLargestFree = aSummary.mLargestFree,
                    .mLeaving = mLeaving };
    addTeams(message, aPeer, aSummary);
    if (std::ranges::any_of(mControl.successions(), [&](const auto& aEntry) {
          return mControl.resolve(aEntry.first) == aTo;
        })) {
      message.mOwnedTargets = aSummary.mOwnedTargets;
      message.mReconciledOffset = aSummary.mReconciledOffset;
    }
    return message;
  }

  static void addTeams(gossip& aMessage, peer_entry& aPeer, const placer_summary& aSummary)
  {
    const std::size_t count = aSummary.mTeams.size();
    const std::size_t shown = std::min(count, gossip::kMaxTeams);
    for (std::size_t step = 0; step < shown; ++step) {
      aMessage.mTeams.push_back(aSummary.mTeams[(aPeer.mTeamCursor + step) % count]);
    }
    aPeer.mTeamCursor = count == 0 ? 0 : (aPeer.mTeamCursor + shown) % count;
  }

  void send(const incarnation_id& aTo, const std::string& aAddress, peer_body aBody)
  {
    if (!aAddress.empty()) {
      mEffects.emplace_back(send_effect{
        .mAddress = aAddress,
        .mMessage = { .mFrom = mOptions.mSelf, .mTo = aTo, .mBody = std::move(aBody) } });
    }
  }

  std::string addressOf(const incarnation_id& aMember) const
  {
    const auto member = mControl.members().find(aMember);
    if (member != mControl.members().end()) {
      return member->second.mPeerAddress;
    }
    const peer_entry* peer = mPeers.find(aMember);
    return peer == nullptr ? std::string{} : peer->mLast.mPeerAddress;
  }

  // --- VM list ---

  void vmListRead(const vm_list_event& aEvent, time_point aNow)
  {
    mVmListInFlight = false;
    if (!aEvent.mList) {
      return;
    }
    mVms.mReadAt = aNow;
    mVms.mEverRead = true;
    mVms.mPresent.clear();
    mEntryAddresses.clear();
    mTargetVms.clear();
    for (const vm_entry& vm : aEvent.mList->mVms) {
      if (vm.mRole == vm_role::target) {
        mTargetVms.push_back(vm);
        continue;
      }
      mVms.mPresent.insert(vm.mName);
      mVms.mEverSeen.insert(vm.mName);
      mVms.mMissingSince.erase(vm.mName);
      mEntryAddresses.push_back(vm.mAddress);
    }
    for (const std::string& vm : mVms.mEverSeen) {
      if (!mVms.mPresent.contains(vm)) {
        mVms.mMissingSince.try_emplace(vm, aNow);
      }
    }
  }

  // --- Slices ---

  void transferSlice(const incarnation_id& aFrom, const slice_request& aRequest,
                     const limit_vector& aCharged)
  {
    const bool mayLend = mLogReachable && mControl.isMember(aFrom) &&
                         mControl.teams().contains(aRequest.mTeam) &&
                         !mSliceTransfers.transferPending(aRequest.mTeam, aFrom);
    if (!mayLend) {
      return;
    }
    const limit_vector amount = mSliceTransfers.offer(mControl, aRequest, aCharged);
    if (amount == internal::kZeroLimits) {
      return;
    }
    const slice_transfer_record transfer{
      .mFrom = mOptions.mSelf, .mTo = aFrom, .mTeam = aRequest.mTeam, .mAmount = amount
    };
    mSliceTransfers.begin(mWriter.add(transfer), transfer);
  }

  void advanceShortages(std::span<const slice_request> aShortages, time_point aNow)
  {
    for (const slice_request& request : aShortages) {
      time_point& nextAt = mNextSliceRequestAt[{ request.mTeam, request.mWaited.count() > 0 }];
      if (aNow < nextAt) {
        continue;
      }
      nextAt = aNow + kSliceRequestInterval;
      const incarnation_id lender = bestLender(request, aNow);
      if (!lender.empty()) {
        send(lender, addressOf(lender), request);
      }
    }
  }

  /// Returns the live member with the largest unused amount of the first wanted component; empty if
  /// none has any.
  incarnation_id bestLender(const slice_request& aRequest, time_point aNow) const
  {
    incarnation_id best;
    std::int64_t most = 0;
    for (const auto& [id, peer] : mPeers.entries()) {
      if (!mControl.isMember(id) || !mPeers.heardWithin(id, mOptions.mTiming.mPeerTimeout, aNow)) {
        continue;
      }
      const auto usage = std::ranges::find(peer.mLast.mTeams, aRequest.mTeam, &team_usage::mTeam);
      if (usage == peer.mLast.mTeams.end()) {
        continue;
      }
      const std::int64_t unused = unusedOf(aRequest.mWanted, usage->mUnusedSlice);
      if (unused > most) {
        most = unused;
        best = id;
      }
    }
    return best;
  }

  static std::int64_t unusedOf(const limit_vector& aWanted, const limit_vector& aUnused)
  {
    for (const auto component : internal::kLimitComponents) {
      if (aWanted.*component > 0 && aWanted.*component != limit_vector::kUnlimited &&
          aUnused.*component != limit_vector::kUnlimited) {
        return aUnused.*component;
      }
    }
    return 0;
  }

  // --- Time ---

  void tick(const placer_summary& aSummary, std::span<const slice_request> aShortages,
            time_point aNow)
  {
    if (mLastTick != time_point{} && aNow - mLastTick > kMaxTickGap) {
      // Messages may have been missed during a pause of this process, so the timeouts of the peers
      // start again.
      mListeningSince = aNow;
    }
    mLastTick = aNow;
    advanceLog(aNow);
    advanceVmList(aNow);
    advanceJoin(aNow);
    mPeers.expire(mControl, aNow);
    if (joined()) {
      if (!mLogReachable) {
        mFreshness.considerOutage(mOptions.mSelf, mControl, mPeers, mVms, aNow);
      }
      advanceSnapshot(aNow);
      advanceFailovers(aNow);
      updateProvedDead(aNow);
      advanceShortages(aShortages, aNow);
    }
    if (!ended()) {
      advanceGossip(aSummary, aNow);
    }
    advancePublished(aNow);
    settle(aNow);
  }

  void advanceVmList(time_point aNow)
  {
    const bool overdue = mVmListInFlight && aNow - mVmListSentAt > kReadDeadline;
    if ((!mVmListInFlight || overdue) && aNow - mVmListSentAt >= mOptions.mTiming.mVmListInterval) {
      mVmListInFlight = true;
      mVmListSentAt = aNow;
      mEffects.emplace_back(read_vm_list_effect{});
    }
  }

  /// Updates for each failed-over member whether its process is confirmed gone (E1 or E2).
  void updateProvedDead(time_point aNow)
  {
    for (failed_over_member& item : mFailedOverMembers) {
      if (item.mConfirmedDead) {
        continue;
      }
      const auto entry = mControl.successions().find(item.mDead);
      if (entry == mControl.successions().end()) {
        continue;
      }
      const std::string& vm = entry->second.mVm;
      const bool replaced = std::ranges::any_of(mControl.members(), [&](const auto& aMember) {
        return aMember.second.mVm == vm && aMember.first != item.mDead;
      });
      const auto missing = mVms.mMissingSince.find(vm);
      const bool gone = mVms.dropped(vm) && missing != mVms.mMissingSince.end() &&
                        aNow - missing->second >= mOptions.mTiming.mSafetyMargin;
      item.mConfirmedDead = item.mGraceful || replaced || gone;
    }
  }

  void settle(time_point aNow)
  {
    while (!mSettling.empty() && aNow - mSettling.front().second >= settlePeriod()) {
      mSettledOffset = std::max(mSettledOffset, mSettling.front().first);
      mSettling.pop_front();
    }
  }

  void advancePublished(time_point aNow)
  {
    auto results = mPublisher.advance(
      mControl, [&](log_offset aOffset) { return allMembersAt(aOffset + 1); }, aNow);
    for (auto& [callId, result] : results) {
      mPublished.push_back({ .mCallId = callId, .mAnswer = std::move(result) });
    }
    for (const std::string& record : mPublisher.takeAbandoned()) {
      mWriter.cancel(record);
    }
  }

  bool allMembersAt(log_offset aNext) const
  {
    return std::ranges::all_of(mControl.members(), [&](const auto& aMember) {
      const peer_entry* peer = mPeers.find(aMember.first);
      return aMember.first == mOptions.mSelf ||
             (peer != nullptr && peer->mLast.mControlOffset >= aNext);
    });
  }

  void publish(std::uint64_t aCallId, const publish_call& aCall, time_point aNow)
  {
    std::string record;
    if (!mControl.operation(aCall.mOperationId)) {
      if (!mLogReachable) {
        mPublished.push_back({ .mCallId = aCallId, .mAnswer = internal::publisher::unreachable() });
        return;
      }
      record = mWriter.add(config_record{ .mOperationId = aCall.mOperationId,
                                          .mExpectedOffset = aCall.mExpectedOffset,
                                          .mChanges = aCall.mChanges });
    }
    mPublisher.begin(aCallId, aCall.mOperationId, std::move(record), aNow);
  }

  void beginLeave(time_point aNow)
  {
    if (std::exchange(mLeaving, true)) {
      return;
    }
    mLeaveBegunAt = aNow;
    if (joined()) {
      mWriter.add(leave_record{ .mIncarnation = mOptions.mSelf, .mSuccessor = successor(aNow) });
    }
  }

  bool left() const
  {
    return mLeaving && (!mControl.isMember(mOptions.mSelf) || !mLogReachable ||
                        mLastTick - mLeaveBegunAt > kLeaveDeadline);
  }

  incarnation_id successor(time_point aNow) const
  {
    const auto self = mControl.members().find(mOptions.mSelf);
    if (self == mControl.members().end()) {
      return {};
    }
    return mFailoverPolicy.successorOf(self->second, mControl, mPeers, aNow, { mOptions.mSelf });
  }

  bool joined() const { return mControl.isMember(mOptions.mSelf); }
  bool ended() const { return mControl.hasEnded(mOptions.mSelf); }

  std::set<incarnation_id> live(time_point aNow) const
  {
    std::set<incarnation_id> ids;
    for (const auto& id : std::views::keys(mControl.members())) {
      if (id == mOptions.mSelf || mPeers.heardWithin(id, mOptions.mTiming.mPeerTimeout, aNow)) {
        ids.insert(id);
      }
    }
    return ids;
  }

  // --- View ---

  cell_view view(time_point aNow) const
  {
    cell_view view{ .mSelf = mOptions.mSelf,
                    .mZone = mOptions.mZone,
                    .mFreshUntil = freshUntil(),
                    .mRenewUntil = mFreshness.until() + mOptions.mTiming.mIsolationLimit,
                    .mControlOffset = mControl.next(),
                    .mSettledOffset = mSettledOffset,
                    .mLive = live(aNow) };
    for (const auto& [name, team] : mControl.teams()) {
      view.mTeams.emplace(name, team_info{ .mShare = team.mTeam.mShare,
                                           .mSlice = mSliceTransfers.usable(mControl, name) });
    }
    for (const incarnation_id& id : view.mLive) {
      if (id != mOptions.mSelf) {
        addElsewhere(view, mPeers.find(id)->mLast);
      }
    }
    addTargets(view);
    for (const auto& dead : std::views::keys(mControl.successions())) {
      view.mSuccessors.emplace(dead, mControl.resolve(dead));
    }
    for (const auto& [id, member] : mControl.members()) {
      if (!view.mLive.contains(id)) {
        view.mPresumedSuccessors.emplace(
          id, mFailoverPolicy.successorOf(member, mControl, mPeers, aNow, {}));
      }
    }
    return view;
  }

  time_point freshUntil() const
  {
    if constexpr (!Guards::kChecksFreshness) {
      return time_point::max();
    }
    return joined() && !ended() ? mFreshness.until() : time_point{};
  }

  static void addElsewhere(cell_view& aView, const gossip& aGossip)
  {
    aView.mTotalElsewhere += aGossip.mTotal;
    for (const team_usage& usage : aGossip.mTeams) {
      const auto team = aView.mTeams.find(usage.mTeam);
      if (team != aView.mTeams.end()) {
        team->second.mUsedElsewhere += usage.mUsed;
      }
    }
  }

  void addTargets(cell_view& aView) const
  {
    std::map<zone_name, std::vector<incarnation_id>> owners;
    for (const incarnation_id& id : aView.mLive) {
      const peer_entry* peer = mPeers.find(id);
      if (peer == nullptr || !peer->mLast.mLeaving) {
        owners[mControl.members().at(id).mZone].push_back(id);
      }
    }
    for (const vm_entry& vm : mTargetVms) {
      auto& candidates = owners[vm.mZone];
      if (candidates.empty()) {
        candidates.push_back(internal::rendezvousPick(vm.mZone, aView.mLive));
      }
      const bool isCandidate = std::ranges::find(candidates, mOptions.mSelf) != candidates.end();
      if (!isCandidate && vm.mZone != mOptions.mZone) {
        continue;
      }
      aView.mTargets.push_back(
        { .mTarget = vm.mName,
          .mZone = vm.mZone,
          .mAddress = vm.mAddress,
          .mLeaving = vm.mLeaving || mControl.zoneState(vm.mZone) == zone_state::out,
          .mPreferredOwner = internal::rendezvousPick(vm.mName, candidates) });
    }
  }

  std::set<target_id> reconciledElsewhere(log_offset aOffset, time_point aNow) const
  {
    std::set<target_id> targets;
    for (const incarnation_id& id : live(aNow)) {
      const peer_entry* peer = mPeers.find(id);
      if (peer != nullptr && peer->mLast.mReconciledOffset > aOffset) {
        targets.insert(peer->mLast.mOwnedTargets.begin(), peer->mLast.mOwnedTargets.end());
      }
    }
    return targets;
  }

  std::string dump(time_point aNow) const
  {
    nlohmann::json members = nlohmann::json::array();
    for (const auto& [id, member] : mControl.members()) {
      const peer_entry* peer = mPeers.find(id);
      nlohmann::json item{ { "incarnation", id }, { "zone", member.mZone } };
      if (peer != nullptr && peer->mHeardAt != time_point{}) {
        item["heard_ms_ago"] = milliseconds(aNow - peer->mHeardAt);
        item["offset"] = peer->mLast.mControlOffset;
        item["log_reachable"] = peer->mLast.mLogReachable;
      }
      members.push_back(std::move(item));
    }
    nlohmann::json failedOver = nlohmann::json::array();
    for (const failed_over_member& item : mFailedOverMembers) {
      failedOver.push_back({ { "dead", item.mDead }, { "proved_dead", item.mConfirmedDead } });
    }
    const nlohmann::json json{ { "incarnation", mOptions.mSelf },
                               { "joined", joined() },
                               { "log_reachable", mLogReachable },
                               { "offset", mControl.next() },
                               { "fresh_for_ms", milliseconds(mFreshness.until() - aNow) },
                               { "members", members },
                               { "inherited", failedOver } };
    return json.dump();
  }

  static std::int64_t milliseconds(duration aSpan)
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
  }

  void log(log_level aLevel, std::string aText)
  {
    mEffects.emplace_back(
      log_effect{ .mLevel = aLevel, .mPart = "membership", .mText = std::move(aText) });
  }

  /// A log that does not answer a read within this time counts as unreachable.
  static constexpr duration kReadDeadline = std::chrono::milliseconds(1500);
  /// A longer time between two ticks counts as a pause of this process.
  static constexpr duration kMaxTickGap = std::chrono::seconds(1);
  static constexpr duration kLeaveDeadline = std::chrono::seconds(3);
  static constexpr duration kRemoteZoneGossipInterval = std::chrono::seconds(1);
  static constexpr duration kRecordsInterval = std::chrono::milliseconds(200);
  static constexpr duration kSliceRequestInterval = std::chrono::milliseconds(300);
  static constexpr std::size_t kRecordsKept = 1024;
  static constexpr std::size_t kRecordsPerMessage = 256;

  membership_options mOptions;
  control_state mControl;
  internal::control_writer mWriter;
  internal::freshness mFreshness;
  internal::peer_table mPeers;
  internal::failover_policy mFailoverPolicy;
  internal::slice_transfers mSliceTransfers;
  internal::publisher mPublisher;
  internal::entry_vm_view mVms;
  peer_entry mSeedEntry;
  std::vector<std::string> mEntryAddresses;
  std::vector<vm_entry> mTargetVms;
  std::vector<effect> mEffects;
  std::vector<published> mPublished;
  std::vector<failed_over_member> mFailedOverMembers;
  std::set<incarnation_id> mRecordedFailovers;
  std::map<incarnation_id, std::string> mFailoverRecordIds;
  /// By team and whether a gang needs the slice: requests of the queue don't delay those of a gang.
  std::map<std::pair<team_name, bool>, time_point> mNextSliceRequestAt;
  /// The latest kRecordsKept applied records, for peers that are behind.
  std::deque<stored_record<control_record>> mRecent;
  /// Offsets and the times at which they were applied, until settlePeriod() has passed.
  std::deque<std::pair<log_offset, time_point>> mSettling;
  log_offset mSettledOffset = 0;
  std::string mJoinId;
  std::uint64_t mLastRead = 0;
  std::uint64_t mReadInFlight = 0;
  time_point mReadSentAt{};
  log_offset mReadFrom = 0;
  /// Offset at which the search for a snapshot continues; zero if there is no search.
  log_offset mSearchFrom = 0;
  time_point mNextReadAt{};
  time_point mNextUnknownPeerProbeAt{};
  time_point mLastSnapshotAt{};
  time_point mLastTick{};
  /// Earliest time from which peer timeouts are counted.
  time_point mListeningSince{};
  time_point mLeaveBegunAt{};
  time_point mVmListSentAt{ -std::chrono::hours(1) };
  bool mVmListInFlight = false;
  bool mLogReachable = false;
  bool mLeaving = false;
};

} // namespace endiveusher
