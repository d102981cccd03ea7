#pragma once

#include <span>
#include <string>
#include <utility>

namespace endiveusher::internal {

/// Joins the JSON dumps of the parts into one object; a dump that is not JSON becomes a string.
std::string joinDumps(std::span<const std::pair<std::string, std::string>> aParts);

} // namespace endiveusher::internal
