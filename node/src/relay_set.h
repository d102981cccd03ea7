#pragma once

#include "endiveusher/kernel/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::node {

/// A follower that can make calls on the owner's behalf.
struct relay_candidate
{
  std::string mAddress;
  /// Cores that it may use.
  double mCores = 0;
};

/// Chooses the relay through which the orders to a target are sent. A target keeps its relay while
/// that is usable, so that its connections are reused.
class relay_set
{
public:
  /// Sets the number of targets and the followers that may be relays, in any order; chooses as many
  /// of them as the targets need.
  void set(std::size_t aTargets, std::vector<relay_candidate> aCandidates, time_point aNow);
  /// Excludes a relay that does not answer for a while.
  void exclude(const std::string& aRelay, time_point aNow);
  /// Forgets all relays.
  void clear();
  /// Returns the relay of the target; null if orders are sent directly.
  const std::string* relayOf(std::string_view aTarget) const;
  std::size_t size() const { return mChosen.size(); }

private:
  std::vector<relay_candidate> mChosen;
  std::map<std::string, time_point> mExcludedUntil;
};

} // namespace endiveusher::node
