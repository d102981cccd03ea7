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

namespace endiveusher::node {

/// A store whose replies take at least this long counts as slow for all daemons.
inline constexpr std::chrono::milliseconds kSlowStoreLatency{ 150 };

/// Calls from a follower to the owner, and the liveness of the owner as seen from them, in addition
/// to its records in the store.
///
/// Load pattern: the owner dies under full load. The store shows this only after several missed
/// renewals; a refused connection or unanswered calls show it sooner.
class owner_client
{
public:
  owner_client(edges::http_loop& aLoop, const clock& aClock, std::string aOwnAddress);

  /// Sets the owner's address; absent if no owner is known or this daemon is the owner.
  void setOwner(const std::optional<std::string>& aAddress);
  /// Ends the offer to make calls for advice on the owner's behalf.
  void endAdviceOffer() { mOffersAdvice = false; }
  /// Sends the next hello if it is due.
  void tick(time_point aNow);

  /// Whether the owner has answered recently enough for records to be forwarded to it.
  bool reachable(time_point aNow) const;
  /// Whether the owner's machine refuses connections: its process has ended.
  bool connectionRefused() const { return mConnectionRefused; }
  /// Whether the owner has not answered within its timeout.
  bool unresponsive(time_point aNow) const;
  /// Whether the owner reports that the store does not answer it, although aStoreLatency, the
  /// latency that this daemon sees, shows that the store is not slow for all.
  bool ownerPartitioned(std::chrono::milliseconds aStoreLatency) const;

  /// Incremented with each change of the owner.
  std::uint64_t generation() const { return mGeneration; }
  /// Calls the owner. Precondition: reachable().
  void call(std::string_view aPath, std::string aBody, std::chrono::milliseconds aTimeout,
            std::function<void(edges::loop_reply&&)> aDone);

private:
  void onHelloReply(const edges::loop_reply& aReply);

  edges::http_loop& mLoop;
  const clock& mClock;
  const std::string mOwnAddress;
  std::optional<std::string> mOwner;
  time_point mOwnerSince{};
  time_point mLastReply{};
  time_point mNextHello{};
  bool mHelloInFlight = false;
  bool mOffersAdvice = true;
  bool mConnectionRefused = false;
  std::uint64_t mGeneration = 0;
  /// Time since the store last answered the owner, from the owner's last reply to a hello.
  std::optional<std::chrono::milliseconds> mOwnerStoreAge;
};

} // namespace endiveusher::node
