#pragma once

#include "endiveusher/kernel/resources.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::internal {

/// A target on which the task could start now.
struct placement_candidate
{
  /// Position among the placer's targets; stable as long as the set of targets does not change.
  std::size_t mIndex = 0;
  resources mFreeCapacity;
  resources mCapacity;
  /// Share of recent starts that failed, in [0, 1].
  double mFailureRatio = 0.0;
};

/// Chooses among targets with enough free capacity.
class placement_policy
{
public:
  virtual ~placement_policy() = default;
  /// Returns the position in aCandidates of the target to use; aCandidates is not empty.
  virtual std::size_t choose(const resources& aSize,
                             std::span<const placement_candidate> aCandidates) = 0;
};

using policy_factory = std::function<std::unique_ptr<placement_policy>(std::uint64_t aSeed)>;

/// Returns the policy registered as aName, or best_fit if there is none.
std::unique_ptr<placement_policy> makePolicy(std::string_view aName, std::uint64_t aSeed);
std::vector<std::string> policyNames();

/// Registers a policy during static initialisation.
///
/// Usage: `const policy_registration kMine("mine", [](std::uint64_t) { ... });`
struct policy_registration
{
  policy_registration(std::string aName, policy_factory aFactory);
};

} // namespace endiveusher::internal
