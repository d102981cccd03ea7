#include "endiveusher/protocol/json.h"

#include "codec_answer.h"
#include "codec_call.h"
#include "codec_platform.h"
#include "codec_target.h"
#include "json_check.h"
#include "utf8.h"

#include <capnp/compat/json.h>
#include <capnp/message.h>

#include <absl/status/status.h>

#include <exception>

namespace endiveusher::protocol {

namespace {

/// Deepest message of the schema is 7; deeper input is an attack on the stack.
constexpr std::size_t kMaxDepth = 16;

template<typename Wire>
const capnp::JsonCodec& jsonCodec()
{
  // Building the handlers walks the schema, so it is done once; encode and decode are const.
  static const auto* sCodec = [] {
    auto* made = new capnp::JsonCodec; // Never destroyed: other threads may use it at exit.
    made->handleByAnnotation<Wire>();
    made->setRejectUnknownFields(true);
    made->setMaxNestingDepth(kMaxDepth);
    return made;
  }();
  return *sCodec;
}

absl::Status invalid(std::string_view aWhat)
{
  return absl::InvalidArgumentError(absl::string_view(aWhat.data(), aWhat.size()));
}

} // namespace

template<typename T>
std::string toJson(const T& aValue)
{
  using wire = typename internal::codec<T>::wire;
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire>();
  internal::writeStruct(aValue, root);
  const kj::String text = jsonCodec<wire>().encode(root.asReader());
  return { text.cStr(), text.size() };
}

template<typename T>
absl::StatusOr<T> fromJson(std::string_view aText)
{
  using wire = typename internal::codec<T>::wire;
  if (!internal::isUtf8(aText)) {
    return invalid("not UTF-8");
  }
  try {
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire>();
    capnp::MallocMessageBuilder raw;
    auto value = raw.initRoot<capnp::json::Value>();
    jsonCodec<wire>().decodeRaw(kj::arrayPtr(aText.data(), aText.size()), value);
    internal::checkFieldsAreUnique(value.asReader(), capnp::Schema::from<wire>());
    jsonCodec<wire>().decode(value.asReader(), root);
    return internal::readStruct<T>(root.asReader(), internal::strictness::strict);
  } catch (const kj::Exception& exception) {
    return invalid(exception.getDescription().cStr());
  } catch (const std::exception& exception) {
    return invalid(exception.what());
  }
}

#define ENDIVEUSHER_JSON(Type)                                                                     \
  template std::string toJson(const Type&);                                                        \
  template absl::StatusOr<Type> fromJson(std::string_view);

ENDIVEUSHER_JSON(exchange_request)
ENDIVEUSHER_JSON(exchange_response)
ENDIVEUSHER_JSON(control_record)
ENDIVEUSHER_JSON(job_record)
ENDIVEUSHER_JSON(vm_list)
ENDIVEUSHER_JSON(append_request)
ENDIVEUSHER_JSON(append_response)
ENDIVEUSHER_JSON(read_response)
ENDIVEUSHER_JSON(answer)
ENDIVEUSHER_JSON(ticket_call)
ENDIVEUSHER_JSON(submit_call)
ENDIVEUSHER_JSON(status_call)
ENDIVEUSHER_JSON(wait_call)
ENDIVEUSHER_JSON(cancel_call)
ENDIVEUSHER_JSON(publish_call)
ENDIVEUSHER_JSON(show_call)
ENDIVEUSHER_JSON(dump_call)

} // namespace endiveusher::protocol
