#pragma once

#include "endiveusher/edges/http_loop.h"
#include "endiveusher/kernel/time.h"
#include "peer_api.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace endiveusher::node {

/// A store whose replies take at least this long counts as slow for all daemons.
inline constexpr std::chrono::milliseconds kSlowStoreLatency{ 150 };

/// Shortest interval of hellos, at which standbys send them.
inline constexpr std::chrono::milliseconds kHelloInterval{ 250 };

/// Calls from a follower to the owner, and the liveness of the owner as seen from them, in addition
/// to its records in the store.
///
/// Load pattern: the owner dies under full load. The store shows this only after several missed
/// renewals; a refused connection or unanswered calls show it sooner.
class owner_client
{
public:
  owner_client(edges::http_loop& aLoop, const clock& aClock, hello aHello);

  /// Sets the owner's address; absent if no owner is known or this daemon is the owner.
  void setOwner(const std::optional<std::string>& aAddress);
  /// Ends the offer to make calls for advice on the owner's behalf.
  void endAdviceOffer() { mHello.mAddress.clear(); }
  /// Sends the next hello if it is due.
  void tick(time_point aNow);
  /// Sets whether this daemon is a standby. A standby sends hellos at the shortest interval,
  /// because it is the one that has to notice the loss of the owner; other daemons send them at the
  /// interval that the owner requests.
  void setStandby(bool aStandby) { mHello.mStandby = aStandby; }
  /// Sets whether this daemon knows enough of what others have stored to own the cell.
  void setViewCurrent(bool aCurrent) { mHello.mViewCurrent = aCurrent; }
  /// Sets whether the store does not answer this daemon. Only the owner then connects it to the
  /// cell, so hellos are sent at the shortest interval.
  void setStoreLost(bool aLost);

  /// Whether the owner has answered recently enough for records to be forwarded to it.
  bool reachable(time_point aNow) const;
  /// Whether the owner became known so recently that its first reply may still be under way.
  bool awaitsFirstReply(time_point aNow) const;
  /// Time at which the last hello was sent, if the owner's machine has refused it: its process has
  /// ended, or it is cut off in a way that looks the same.
  std::optional<time_point> refusedAt() const
  {
    return mConnectionRefused ? std::optional(mLastHelloAt) : std::nullopt;
  }
  /// Whether the owner has not answered within its timeout.
  bool unresponsive(time_point aNow) const;
  /// Whether the owner reports that the store does not answer it, although aStoreLatency, the
  /// latency that this daemon sees, shows that the store is not slow for all.
  bool ownerPartitioned(std::chrono::milliseconds aStoreLatency) const;

  /// Sets a function that is called with each readable reply of the owner to a hello.
  using reply_listener =
    std::function<void(const std::string& aOwner, const hello_reply& aReply, time_point aReceived)>;
  void setListener(reply_listener aListener) { mListener = std::move(aListener); }
  /// Largest sizes of the targets, as last reported by an owner; empty while they are unknown.
  const cell_capacity& capacity() const { return mCapacity; }

  /// Incremented with each change of the owner.
  std::uint64_t generation() const { return mGeneration; }
  /// Calls the owner; any answer shows that it is reachable. Precondition: reachable().
  void call(std::string_view aPath, std::string aBody, std::chrono::milliseconds aTimeout,
            std::function<void(edges::loop_reply&&)> aDone);

private:
  void onHelloReply(const edges::loop_reply& aReply);
  std::chrono::milliseconds interval() const;
  /// Time added to all timeouts, which are stated for the shortest interval.
  std::chrono::milliseconds extraInterval() const;

  edges::http_loop& mLoop;
  const clock& mClock;
  hello mHello;
  bool mStoreLost = false;
  std::chrono::milliseconds mRequestedInterval{ 0 };
  /// Interval that was in force at the end of the last hello, so that the loss of the store does
  /// not make the last reply too old before the next one is due.
  std::chrono::milliseconds mLastInterval;
  cell_capacity mCapacity;
  reply_listener mListener;
  std::optional<std::string> mOwner;
  time_point mOwnerSince{};
  time_point mLastReply{};
  time_point mNextHello{};
  /// Time at which the last answered or failed hello was sent.
  time_point mLastHelloAt{};
  bool mHelloInFlight = false;
  bool mConnectionRefused = false;
  std::uint64_t mGeneration = 0;
  /// Time since the store last answered the owner, from the owner's last reply to a hello.
  std::optional<std::chrono::milliseconds> mOwnerStoreAge;
};

} // namespace endiveusher::node
