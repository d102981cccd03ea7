#pragma once

#include <capnp/compat/json.capnp.h>
#include <capnp/schema.h>

namespace endiveusher::protocol::internal {

/// Throws invalid_message if an object names a field twice, or names two members of a union.
/// JsonCodec itself would let the later one win without a word.
void checkFieldsAreUnique(capnp::json::Value::Reader aValue, capnp::Type aType);

} // namespace endiveusher::protocol::internal
