#pragma once

#include "membership_state.h"

namespace endiveusher {

template<guard_policy Guards>
basic_membership<Guards>::basic_membership(membership_options aOptions)
  : mImpl(std::make_unique<impl>(std::move(aOptions)))
{
}
template<guard_policy Guards>
basic_membership<Guards>::~basic_membership() = default;
template<guard_policy Guards>
basic_membership<Guards>::basic_membership(basic_membership&&) noexcept = default;
template<guard_policy Guards>
basic_membership<Guards>& basic_membership<Guards>::operator=(basic_membership&&) noexcept =
  default;

template<guard_policy Guards>
void basic_membership<Guards>::handle(const control_read_event& aEvent, time_point aNow)
{
  mImpl->controlRead(aEvent, aNow);
}
template<guard_policy Guards>
bool basic_membership<Guards>::handle(const append_event& aEvent, time_point aNow)
{
  const bool handled = mImpl->mWriter.handle(aEvent, aNow);
  if (handled && aEvent.mStatus == append_status::stored) {
    mImpl->mNextReadAt = aNow;
  }
  return handled;
}
template<guard_policy Guards>
void basic_membership<Guards>::handle(const vm_list_event& aEvent, time_point aNow)
{
  mImpl->vmListRead(aEvent, aNow);
}
template<guard_policy Guards>
void basic_membership<Guards>::handleGossip(const incarnation_id& aFrom, const gossip& aGossip,
                                            time_point aNow)
{
  mImpl->onGossip(aFrom, aGossip, aNow);
}
template<guard_policy Guards>
void basic_membership<Guards>::handleRecords(const records& aRecords, time_point aNow)
{
  mImpl->recordsReceived(aRecords, aNow);
}
template<guard_policy Guards>
void basic_membership<Guards>::handleSliceRequest(const incarnation_id& aFrom,
                                                  const slice_request& aRequest,
                                                  const limit_vector& aCharged, time_point aNow)
{
  if (fresh(aNow)) {
    mImpl->transferSlice(aFrom, aRequest, aCharged);
  }
}
template<guard_policy Guards>
void basic_membership<Guards>::tick(const placer_summary& aSummary,
                                    std::span<const slice_request> aShortages, time_point aNow)
{
  mImpl->tick(aSummary, aShortages, aNow);
}
template<guard_policy Guards>
std::vector<effect> basic_membership<Guards>::takeEffects()
{
  return std::exchange(mImpl->mEffects, {});
}
template<guard_policy Guards>
bool basic_membership<Guards>::joined() const
{
  return mImpl->joined();
}
template<guard_policy Guards>
bool basic_membership<Guards>::ended() const
{
  return mImpl->ended();
}
template<guard_policy Guards>
bool basic_membership<Guards>::fresh(time_point aNow) const
{
  return aNow < mImpl->freshUntil();
}
template<guard_policy Guards>
time_point basic_membership<Guards>::freshUntil() const
{
  return mImpl->freshUntil();
}
template<guard_policy Guards>
bool basic_membership<Guards>::logReachable() const
{
  return mImpl->mLogReachable;
}
template<guard_policy Guards>
const control_state& basic_membership<Guards>::control() const
{
  return mImpl->mControl;
}
template<guard_policy Guards>
cell_view basic_membership<Guards>::view(time_point aNow) const
{
  return mImpl->view(aNow);
}
template<guard_policy Guards>
std::set<incarnation_id> basic_membership<Guards>::live(time_point aNow) const
{
  return mImpl->live(aNow);
}
template<guard_policy Guards>
const gossip* basic_membership<Guards>::lastGossip(const incarnation_id& aMember) const
{
  const auto* peer = mImpl->mPeers.find(aMember);
  return peer == nullptr || peer->mHeardAt == time_point{} ? nullptr : &peer->mLast;
}
template<guard_policy Guards>
std::string basic_membership<Guards>::addressOf(const incarnation_id& aMember) const
{
  return mImpl->addressOf(aMember);
}
template<guard_policy Guards>
const std::vector<typename basic_membership<Guards>::failed_over_member>&
basic_membership<Guards>::failedOverMembers() const
{
  return mImpl->mFailedOverMembers;
}
template<guard_policy Guards>
void basic_membership<Guards>::markReconciled(const incarnation_id& aDead)
{
  mImpl->mSliceTransfers.markReconciled(aDead);
}
template<guard_policy Guards>
std::set<target_id> basic_membership<Guards>::reconciledElsewhere(log_offset aOffset,
                                                                  time_point aNow) const
{
  return mImpl->reconciledElsewhere(aOffset, aNow);
}
template<guard_policy Guards>
void basic_membership<Guards>::publish(std::uint64_t aCallId, const publish_call& aCall,
                                       time_point aNow)
{
  mImpl->publish(aCallId, aCall, aNow);
}
template<guard_policy Guards>
std::vector<typename basic_membership<Guards>::published> basic_membership<Guards>::takePublished()
{
  return std::exchange(mImpl->mPublished, {});
}
template<guard_policy Guards>
void basic_membership<Guards>::beginLeave(time_point aNow)
{
  mImpl->beginLeave(aNow);
}
template<guard_policy Guards>
bool basic_membership<Guards>::left() const
{
  return mImpl->left();
}
template<guard_policy Guards>
incarnation_id basic_membership<Guards>::successor(time_point aNow) const
{
  return mImpl->successor(aNow);
}
template<guard_policy Guards>
std::string basic_membership<Guards>::dump(time_point aNow) const
{
  return mImpl->dump(aNow);
}

} // namespace endiveusher
