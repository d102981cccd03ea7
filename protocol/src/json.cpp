#include "endiveusher/protocol/json.h"

#include "codec_answer.h"
#include "codec_call.h"
#include "codec_platform.h"
#include "codec_target.h"
#include "json_archive.h"

#include <absl/status/status.h>

namespace endiveusher::protocol {

template<typename T>
std::string toJson(const T& aValue)
{
  std::string text;
  internal::json_writer::writeObject(text, aValue);
  return text;
}

template<typename T>
absl::StatusOr<T> fromJson(std::string_view aText)
{
  try {
    T value;
    internal::json_reader::readObject(value, internal::parseJson(aText), "the body");
    return value;
  } catch (const internal::invalid_message& error) {
    return absl::InvalidArgumentError(error.what());
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
