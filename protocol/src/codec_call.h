#pragma once

#include "archive.h"
#include "codec_config.h"
#include "codec_job.h"
#include "endiveusher/kernel/messages/call.h"

namespace endiveusher::protocol::internal {

template<>
struct codec<ticket_call>
{
  using wire = schema::TicketCall;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mCount, ENDIVEUSHER_FIELD(Count));
  }
};
template<>
struct codec<submit_call>
{
  using wire = schema::SubmitCall;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mJob, ENDIVEUSHER_FIELD(Job));
  }
};
template<>
struct codec<status_call>
{
  using wire = schema::StatusCall;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mRequest, ENDIVEUSHER_FIELD(Request));
  }
};
template<>
struct codec<wait_call>
{
  using wire = schema::WaitCall;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mRequest, ENDIVEUSHER_FIELD(Request));
    aArchive(aValue.mTimeout, ENDIVEUSHER_FIELD(TimeoutMs));
  }
};
template<>
struct codec<cancel_call>
{
  using wire = schema::CancelCall;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mRequest, ENDIVEUSHER_FIELD(Request));
  }
};
template<>
struct codec<publish_call>
{
  using wire = schema::PublishCall;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mOperationId, ENDIVEUSHER_FIELD(OperationId));
    aArchive.optionalNumber(aValue.mExpectedOffset, ENDIVEUSHER_FIELD(ExpectedOffset));
    aArchive(aValue.mChanges, ENDIVEUSHER_FIELD(Changes));
  }
};
template<>
struct codec<show_call>
{
  using wire = schema::ShowCall;
  static void fields(auto& /*aArchive*/, auto& /*aValue*/) {}
};
template<>
struct codec<dump_call>
{
  using wire = schema::DumpCall;
  static void fields(auto& /*aArchive*/, auto& /*aValue*/) {}
};
/// Returns the key of a call; empty for a call that needs none.
inline std::string keyOf(const call& aCall)
{
  return std::visit(
    [](const auto& aOne) -> std::string {
      if constexpr (requires { aOne.mOperatorKey; }) {
        return aOne.mOperatorKey;
      } else if constexpr (requires { aOne.mKey; }) {
        return aOne.mKey;
      } else {
        return {};
      }
    },
    aCall);
}
inline void setKey(call& aCall, const std::string& aKey)
{
  std::visit(
    [&aKey](auto& aOne) {
      if constexpr (requires { aOne.mOperatorKey; }) {
        aOne.mOperatorKey = aKey;
      } else if constexpr (requires { aOne.mKey; }) {
        aOne.mKey = aKey;
      }
    },
    aCall);
}

// The codecs of the single calls leave out the key, because HTTP callers send it in a header.
template<>
struct codec<call>
{
  using wire = schema::Call;
  static void fields(auto& aArchive, auto& aValue)
  {
    std::string key = keyOf(aValue);
    aArchive(key, ENDIVEUSHER_FIELD(Key));
    aArchive.alternatives(aValue, ENDIVEUSHER_FIELD(Ticket), ENDIVEUSHER_FIELD(Submit),
                          ENDIVEUSHER_FIELD(Status), ENDIVEUSHER_FIELD(Wait),
                          ENDIVEUSHER_FIELD(Cancel), ENDIVEUSHER_FIELD(Publish),
                          ENDIVEUSHER_FIELD(Show), ENDIVEUSHER_FIELD(Dump));
    if constexpr (!std::is_const_v<std::remove_reference_t<decltype(aValue)>>) {
      setKey(aValue, key);
    }
  }
};

} // namespace endiveusher::protocol::internal
