#pragma once

#include <string>

namespace endiveusher::ctl::internal {

/// Converts a YAML document to JSON. Plain scalars that are JSON numbers, `true`, `false` or `null`
/// keep their type; all other scalars, and quoted ones, become strings. Throws std::runtime_error
/// if the text is not valid YAML or is nested too deeply.
std::string yamlToJson(const std::string& aYaml);

} // namespace endiveusher::ctl::internal
