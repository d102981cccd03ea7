#pragma once

#include "endiveusher/kernel/events.h"
#include "endiveusher/kernel/guards.h"
#include "endiveusher/kernel/membership.h"
#include "endiveusher/kernel/placer.h"
#include "endiveusher/kernel/timing.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace endiveusher {

struct daemon_options
{
  timing_options mTiming;
  incarnation_id mIncarnation;
  std::string mVm;
  zone_name mZone;
  /// `ip:port` of this daemon's peer RPC listener.
  std::string mPeerAddress;
  std::vector<std::string> mSeeds;
  /// Lower-case hex SHA-256 digests of the operators' keys.
  std::vector<std::string> mOperatorKeyDigests;
  std::string mPolicy = "best_fit";
  std::uint64_t mSeed = 1;
  /// Largest number of unfinished jobs; further submissions are refused.
  std::size_t mJobLimit = 200'000;
};

/// Decision logic of one daemon: a deterministic state machine without I/O.
///
/// Usage:
///   basic_daemon_core<> core(options);
///   core.handle(event, clock.now());
///   core.tick(clock.now());
///   for (auto& effect : core.takeEffects()) { ... }
template<guard_policy Guards = all_guards>
class basic_daemon_core
{
public:
  explicit basic_daemon_core(daemon_options aOptions);
  ~basic_daemon_core();
  basic_daemon_core(basic_daemon_core&&) noexcept;
  basic_daemon_core& operator=(basic_daemon_core&&) noexcept;

  void handle(const event& aEvent, time_point aNow);
  /// Handles deadlines that have passed. Must be called at least every 50 ms.
  void tick(time_point aNow);
  std::vector<effect> takeEffects();

  const incarnation_id& incarnation() const;
  bool fresh(time_point aNow) const;
  const control_state& control() const;
  std::string dump(time_point aNow) const;

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

using daemon_core = basic_daemon_core<all_guards>;

} // namespace endiveusher
