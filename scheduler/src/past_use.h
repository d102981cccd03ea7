#pragma once

#include "endiveusher/kernel/resources.h"
#include "endiveusher/scheduler/journal.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace endiveusher::scheduler::internal {

/// Resources that a team uses at present.
struct team_usage_sample
{
  std::string_view mTeam;
  resources mUsed;
};

/// Returns aWeight, or a small positive weight if it is not positive.
double usableWeight(double aWeight);

/// Decayed use of the teams: the dominant share integrated over time, which halves in each
/// half-life. Its unit is the whole cell for one second, so that it does not depend on the
/// half-life, which may change when a daemon restarts.
class past_use
{
public:
  /// Longest time that one advance() counts, also the interval at which the totals are stored. A
  /// clock that steps forward adds no more than this.
  static constexpr std::chrono::seconds kMaxInterval{ 10 };
  /// Use below which a team is dropped, in seconds of the whole cell: one core of a cell of 10,000
  /// for 10 ms.
  static constexpr double kMinUse = 1e-6;

  explicit past_use(std::chrono::seconds aHalfLife);

  /// Replaces the totals by those of a record, decayed by the record's age at aNow. A record from
  /// the future is not decayed.
  void restore(const team_use& aRecord, wall_time aNow);
  /// Decays the totals and adds what the teams have used since the last call. The first call only
  /// sets the time. Above kMaxTeamsInRecord teams, those with the smallest use are dropped.
  void advance(wall_time aNow, std::span<const team_usage_sample> aUsed, const resources& aTotal);
  /// Sets the weights of the teams, and the mean with which they are compared.
  void setWeights(const std::function<double(std::string_view)>& aWeightOf);

  /// Returns the team's use per weight over the mean of the teams that have any; 1 if there is no
  /// such team.
  double ratio(std::string_view aTeam) const;
  /// Returns the team's use, in seconds of the whole cell.
  double use(std::string_view aTeam) const;
  /// Returns the totals at the time of the last advance(), and marks them as recorded.
  team_use takeRecord();
  /// Whether use has been added since the last takeRecord().
  bool changed() const { return mChanged; }
  std::size_t size() const { return mTeams.size(); }

private:
  struct entry
  {
    double mUse = 0;
    double mWeight = 1;
  };

  void decay(std::chrono::duration<double> aTime);
  void dropSmallest();

  const std::chrono::duration<double> mHalfLife;
  /// Time of the last advance(); absent before the first one.
  std::optional<wall_time> mAt;
  std::map<std::string, entry, std::less<>> mTeams;
  /// Mean use per weight of the teams that have any.
  double mMean = 0;
  bool mChanged = false;
};

} // namespace endiveusher::scheduler::internal
