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

/// A store that takes longer for an answer is slow for all daemons.
inline constexpr std::chrono::milliseconds kSlowStore{ 150 };

/// What a follower knows of the owner from talking to it, besides its records in the store.
///
/// Load pattern: the owner dies under full load. Its records would be missed only after several
/// renewals; a refused connection or silent calls tell sooner.
class owner_link
{
public:
  owner_link(edges::http_loop& aLoop, const clock& aClock, std::string aOwnAddress);

  /// Absent if no owner is known or this daemon is it.
  void setOwner(const std::optional<std::string>& aAddress);
  /// Says hello if it is due.
  void tick(time_point aNow);

  /// Answers calls, so that work can be handed to it.
  bool reachable(time_point aNow) const;
  /// Its process has ended.
  bool refused() const { return mRefused; }
  /// Has not answered for some time.
  bool silent(time_point aNow) const;
  /// Says that the store does not answer it, and it is not only that the store takes aStoreDelay
  /// for everybody.
  bool ownerCutOff(std::chrono::milliseconds aStoreDelay) const;

  /// Changes with the owner.
  std::uint64_t generation() const { return mGeneration; }
  /// Calls the owner; only while reachable().
  void call(std::string_view aPath, std::string aBody, std::chrono::milliseconds aTimeout,
            std::function<void(edges::loop_reply&&)> aDone);

private:
  void helloAnswered(const edges::loop_reply& aReply);

  edges::http_loop& mLoop;
  const clock& mClock;
  const std::string mOwnAddress;
  std::optional<std::string> mOwner;
  time_point mOwnerSince{};
  time_point mLastAnswer{};
  time_point mNextHello{};
  bool mHelloOpen = false;
  bool mRefused = false;
  std::uint64_t mGeneration = 0;
  std::optional<std::chrono::milliseconds> mStoreAge;
};

} // namespace endiveusher::node
