#pragma once

#include "archive.h"

#include <capnp/schema.h>

#include <string>
#include <vector>

namespace endiveusher::protocol::internal {

/// Returns the JSON names of the enumerants: the Json.name annotation, or the schema name without
/// one.
std::vector<std::string> jsonNames(capnp::EnumSchema aSchema);

template<typename E>
const std::vector<std::string>& jsonNamesOf()
{
  static const auto kNames = jsonNames(capnp::Schema::from<typename enum_codec<E>::wire>());
  return kNames;
}

} // namespace endiveusher::protocol::internal
