#pragma once

#include "soak/simulation.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace endiveusher::standins {

/// Delays, losses and partitions between zones. The platform and the callers each count as a zone.
class network_model
{
public:
  static constexpr const char* kPlatform = "platform";

  explicit network_model(simulation& aSim) : mSim(&aSim) {}

  /// Returns the delay of one message; absent if it is lost.
  std::optional<duration> transmit(const std::string& aFrom, const std::string& aFromZone,
                                   const std::string& aTo, const std::string& aToZone)
  {
    if (isPartitioned(aFromZone, aToZone) || mUnresponsive.contains(link(aFrom, aTo))) {
      return std::nullopt;
    }
    duration delay = mSim->between(std::chrono::microseconds(200), std::chrono::milliseconds(3));
    if (mLossy) {
      if (mSim->chance(0.1)) {
        return std::nullopt;
      }
      delay += mSim->between(duration(0), std::chrono::milliseconds(200));
      if (mSim->chance(0.1)) {
        delay += mSim->between(duration(0), std::chrono::seconds(8));
      }
    }
    return delay;
  }
  bool drawDuplicate() { return mLossy && mSim->chance(0.1); }

  void setLossy(bool aLossy) { mLossy = aLossy; }
  bool lossy() const { return mLossy; }
  void partition(const std::string& aZone, const std::string& aOther)
  {
    mPartitions.insert(link(aZone, aOther));
  }
  void endPartition(const std::string& aZone, const std::string& aOther)
  {
    mPartitions.erase(link(aZone, aOther));
  }
  bool isPartitioned(const std::string& aZone, const std::string& aOther) const
  {
    return mPartitions.contains(link(aZone, aOther));
  }
  /// Makes the open connection between the two drop all messages.
  void makeUnresponsive(const std::string& aFrom, const std::string& aTo)
  {
    mUnresponsive.insert(link(aFrom, aTo));
  }
  /// Replaces the connection between the two by one that delivers messages.
  void reconnect(const std::string& aFrom, const std::string& aTo)
  {
    mUnresponsive.erase(link(aFrom, aTo));
  }
  void heal()
  {
    mPartitions.clear();
    mUnresponsive.clear();
    mLossy = false;
  }

private:
  static std::pair<std::string, std::string> link(const std::string& aFirst,
                                                  const std::string& aSecond)
  {
    return aFirst < aSecond ? std::pair(aFirst, aSecond) : std::pair(aSecond, aFirst);
  }

  simulation* mSim;
  bool mLossy = false;
  std::set<std::pair<std::string, std::string>> mPartitions;
  std::set<std::pair<std::string, std::string>> mUnresponsive;
};

} // namespace endiveusher::standins
