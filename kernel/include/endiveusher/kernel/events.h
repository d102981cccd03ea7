#pragma once

#include "endiveusher/kernel/messages/call.h"
#include "endiveusher/kernel/messages/peer.h"
#include "endiveusher/kernel/messages/platform.h"
#include "endiveusher/kernel/messages/target.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace endiveusher {

// Inputs of a daemon_core.

struct call_event
{
  /// Chosen by the edge; repeated in the answer_effect.
  std::uint64_t mCallId = 0;
  call mCall;
};
/// The caller has disconnected; its answer is no longer needed.
struct call_dropped_event
{
  std::uint64_t mCallId = 0;
};
struct peer_event
{
  peer_message mMessage;
};
struct exchange_event
{
  target_id mTarget;
  /// Id of the exchange_effect that this event completes.
  std::uint64_t mExchangeId = 0;
  /// Absent if the exchange timed out or the connection failed.
  std::optional<exchange_response> mResponse;
};
enum class append_status
{
  stored,
  rejected, ///< Confirmed not to be in the log.
  unknown,  ///< May be in the log.
};
struct append_event
{
  std::uint64_t mAppendId = 0;
  append_status mStatus = append_status::unknown;
  /// Offset of the first record, if stored.
  log_offset mOffset = 0;
};
struct control_read_event
{
  std::uint64_t mReadId = 0;
  /// Absent if the log could not be read.
  std::optional<control_page> mPage;
};
struct jobs_read_event
{
  std::uint64_t mReadId = 0;
  std::optional<jobs_page> mPage;
};
struct vm_list_event
{
  /// Absent if the list could not be read.
  std::optional<vm_list> mList;
};
/// Request for a graceful shutdown.
struct shutdown_event
{};

using event = std::variant<call_event, call_dropped_event, peer_event, exchange_event, append_event,
                           control_read_event, jobs_read_event, vm_list_event, shutdown_event>;

// Outputs of a daemon_core: actions for the process around it.

struct answer_effect
{
  std::uint64_t mCallId = 0;
  answer mAnswer;
};
struct send_effect
{
  /// `ip:port` of the receiver's peer RPC listener.
  std::string mAddress;
  peer_message mMessage;
};
struct exchange_effect
{
  std::uint64_t mExchangeId = 0;
  std::string mAddress;
  exchange_request mRequest;
};
struct append_control_effect
{
  std::uint64_t mAppendId = 0;
  std::vector<control_record> mRecords;
};
struct append_jobs_effect
{
  std::uint64_t mAppendId = 0;
  std::vector<job_record> mRecords;
};
struct read_effect
{
  std::uint64_t mReadId = 0;
  log_stream mStream = log_stream::control;
  log_offset mFrom = 0;
};
struct read_vm_list_effect
{};
/// The graceful shutdown is complete.
struct stopped_effect
{};
/// The daemon was succeeded by another or lost its state; the process must start a new incarnation.
struct rejoin_effect
{};
enum class log_level
{
  debug,
  info,
  warning,
  error,
};
struct log_effect
{
  log_level mLevel = log_level::info;
  /// Name of the part that logs, for example `placer`; prefix of the log line.
  std::string mPart;
  std::string mText;
};

using effect = std::variant<answer_effect, send_effect, exchange_effect, append_control_effect,
                            append_jobs_effect, read_effect, read_vm_list_effect, stopped_effect,
                            rejoin_effect, log_effect>;

} // namespace endiveusher
