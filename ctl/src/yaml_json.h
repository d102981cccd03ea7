#pragma once

#include <string>

namespace endiveusher::ctl::internal {

/// JSON form of a YAML document. Plain scalars that are JSON numbers, `true`, `false` or `null`
/// keep their type; all other scalars, and quoted ones, become strings. Throws std::runtime_error
/// if the text is no YAML or is nested too deeply.
std::string yamlToJson(const std::string& aYaml);

} // namespace endiveusher::ctl::internal
