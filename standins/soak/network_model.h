#pragma once

#include "soak/simulation.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace endiveusher::standins {

/// Delays, losses and cuts between zones. The platform is a zone of its own, and so are callers.
class network_model
{
public:
  static constexpr const char* kPlatform = "platform";

  explicit network_model(simulation& aSim) : mSim(&aSim) {}

  /// Delay of one message, or nothing if it is lost.
  std::optional<duration> pass(const std::string& aFrom, const std::string& aFromZone,
                               const std::string& aTo, const std::string& aToZone)
  {
    if (isCut(aFromZone, aToZone) || mSilent.contains(link(aFrom, aTo))) {
      return std::nullopt;
    }
    duration delay = mSim->between(std::chrono::microseconds(200), std::chrono::milliseconds(3));
    if (mRough) {
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
  bool duplicates() { return mRough && mSim->chance(0.1); }

  void setRough(bool aRough) { mRough = aRough; }
  bool rough() const { return mRough; }
  void cut(const std::string& aZone, const std::string& aOther)
  {
    mCuts.insert(link(aZone, aOther));
  }
  void join(const std::string& aZone, const std::string& aOther)
  {
    mCuts.erase(link(aZone, aOther));
  }
  bool isCut(const std::string& aZone, const std::string& aOther) const
  {
    return mCuts.contains(link(aZone, aOther));
  }
  /// The open connection between the two delivers nothing any more.
  void silence(const std::string& aFrom, const std::string& aTo)
  {
    mSilent.insert(link(aFrom, aTo));
  }
  /// A new connection replaces the old one.
  void reconnect(const std::string& aFrom, const std::string& aTo)
  {
    mSilent.erase(link(aFrom, aTo));
  }
  void heal()
  {
    mCuts.clear();
    mSilent.clear();
    mRough = false;
  }

private:
  static std::pair<std::string, std::string> link(const std::string& aFirst,
                                                  const std::string& aSecond)
  {
    return aFirst < aSecond ? std::pair(aFirst, aSecond) : std::pair(aSecond, aFirst);
  }

  simulation* mSim;
  bool mRough = false;
  std::set<std::pair<std::string, std::string>> mCuts;
  std::set<std::pair<std::string, std::string>> mSilent;
};

} // namespace endiveusher::standins
