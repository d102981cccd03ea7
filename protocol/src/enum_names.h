#pragma once

#include "archive.h"

#include <capnp/schema.h>

#include <string>
#include <vector>

namespace endiveusher::protocol::internal {

/// JSON names of the enumerants of a schema enum: their Json.name, or else their names.
std::vector<std::string> jsonNames(capnp::EnumSchema aSchema);

template<typename E>
const std::vector<std::string>& jsonNamesOf()
{
  static const auto kNames = jsonNames(capnp::Schema::from<typename enum_codec<E>::wire>());
  return kNames;
}

} // namespace endiveusher::protocol::internal
