#include "placement_policy.h"

#include <map>

namespace endiveusher::internal {

namespace {

std::map<std::string, policy_factory, std::less<>>& registry()
{
  static std::map<std::string, policy_factory, std::less<>> policies;
  return policies;
}

} // namespace

policy_registration::policy_registration(std::string aName, policy_factory aFactory)
{
  registry().insert_or_assign(std::move(aName), std::move(aFactory));
}

std::unique_ptr<placement_policy> makePolicy(std::string_view aName, std::uint64_t aSeed)
{
  auto found = registry().find(aName);
  if (found == registry().end()) {
    found = registry().find("best_fit");
  }
  return found->second(aSeed);
}

std::vector<std::string> policyNames()
{
  std::vector<std::string> names;
  for (const auto& [name, factory] : registry()) {
    names.push_back(name);
  }
  return names;
}

} // namespace endiveusher::internal
