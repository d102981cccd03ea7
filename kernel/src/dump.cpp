#include "dump.h"

#include <nlohmann/json.hpp>

namespace endiveusher::internal {

std::string joinDumps(std::span<const std::pair<std::string, std::string>> aParts)
{
  nlohmann::json whole = nlohmann::json::object();
  for (const auto& [name, text] : aParts) {
    auto part = nlohmann::json::parse(text, nullptr, false);
    whole[name] = part.is_discarded() ? nlohmann::json(text) : std::move(part);
  }
  return whole.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace endiveusher::internal
