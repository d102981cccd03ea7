#include "enum_names.h"

namespace endiveusher::protocol::internal {

/// Id of the annotation `name` declared in /capnp/compat/json.capnp.
constexpr std::uint64_t kNameAnnotation = 0xfa5b1fd61c2e7c3dULL;

std::vector<std::string> jsonNames(capnp::EnumSchema aSchema)
{
  std::vector<std::string> names;
  for (const auto enumerant : aSchema.getEnumerants()) {
    auto name = fromText(enumerant.getProto().getName());
    for (const auto annotation : enumerant.getProto().getAnnotations()) {
      if (annotation.getId() == kNameAnnotation) {
        name = fromText(annotation.getValue().getText());
      }
    }
    names.push_back(std::move(name));
  }
  return names;
}

} // namespace endiveusher::protocol::internal
