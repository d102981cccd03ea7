#include "json_check.h"

#include "archive.h"

#include <set>
#include <string_view>

namespace endiveusher::protocol::internal {

namespace {

void checkObject(capnp::List<capnp::json::Value::Field>::Reader aFields,
                 capnp::StructSchema aSchema)
{
  std::set<std::string_view> names;
  bool unionMemberSeen = false;
  for (const auto field : aFields) {
    const auto name = field.getName();
    if (!names.emplace(name.cStr(), name.size()).second) {
      throw invalid_message("field given twice: " + fromText(name));
    }
    KJ_IF_MAYBE (described, aSchema.findFieldByName(name)) {
      const bool isUnionMember =
        described->getProto().getDiscriminantValue() != capnp::schema::Field::NO_DISCRIMINANT;
      if (isUnionMember && unionMemberSeen) {
        throw invalid_message("two alternatives given, the second is " + fromText(name));
      }
      unionMemberSeen = unionMemberSeen || isUnionMember;
      checkFieldsAreUnique(field.getValue(), described->getType());
    }
  }
}

} // namespace

void checkFieldsAreUnique(capnp::json::Value::Reader aValue, capnp::Type aType)
{
  if (aValue.isObject() && aType.isStruct()) {
    checkObject(aValue.getObject(), aType.asStruct());
  } else if (aValue.isArray() && aType.isList()) {
    for (const auto element : aValue.getArray()) {
      checkFieldsAreUnique(element, aType.asList().getElementType());
    }
  }
}

} // namespace endiveusher::protocol::internal
