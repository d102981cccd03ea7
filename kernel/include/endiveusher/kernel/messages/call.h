#pragma once

#include "endiveusher/kernel/config.h"
#include "endiveusher/kernel/job.h"
#include "endiveusher/kernel/messages/platform.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace endiveusher {

// Calls of callers and operators. See protocol/schema/endiveusher.capnp for the wire form.

/// Issues request ids on which this daemon decides without the log.
struct ticket_call
{
  std::uint32_t mCount = 1;
};
struct submit_call
{
  /// The team's key as presented; only its digest is compared. Empty for an open team.
  std::string mKey;
  /// mJob.mTeam must be the key's team; empty means the key's team.
  job_spec mJob;
};
struct status_call
{
  std::string mKey;
  request_id mRequest;
};
/// Returns the status once the job has ended or mTimeout has passed, whichever comes first.
struct wait_call
{
  std::string mKey;
  request_id mRequest;
  std::chrono::milliseconds mTimeout{ 0 };
};
struct cancel_call
{
  std::string mKey;
  request_id mRequest;
};
struct publish_call
{
  std::string mOperatorKey;
  std::string mOperationId;
  std::optional<log_offset> mExpectedOffset;
  std::vector<config_change> mChanges;
};
/// Returns the configuration in force and its offset.
struct show_call
{
  std::string mOperatorKey;
};
/// Returns the state dump of this process, JSON.
struct dump_call
{
  std::string mOperatorKey;
};

using call = std::variant<ticket_call, submit_call, status_call, wait_call, cancel_call,
                          publish_call, show_call, dump_call>;

/// Whether the request of an answer ran.
enum class answer_class
{
  ran,     ///< Accepted or ran; see the payload.
  not_run, ///< No part of the request ran or will run; it is safe to send it again.
  unknown, ///< May have run.
};

/// Storage of an accepted job besides the memory of its coordinator.
enum class durability
{
  memory,
  peer,
  log,
};

struct tickets_result
{
  std::vector<request_id> mTickets;
};

struct task_status
{
  std::uint32_t mIndex = 0;
  task_state mState = task_state::waiting;
  std::uint32_t mAttempt = 0;
  target_id mTarget;
  std::int32_t mExitCode = 0;
  std::string mOutput;
};

struct job_status
{
  request_id mRequest;
  team_name mTeam;
  job_kind mKind = job_kind::batch;
  durability mDurability = durability::memory;
  /// Whether every task has ended.
  bool mEnded = false;
  /// At most kMaxTasksShown tasks, lowest index first.
  std::vector<task_status> mTasks;
  std::uint32_t mTaskCount = 0;

  static constexpr std::size_t kMaxTasksShown = 1000;
};

struct publish_result
{
  log_offset mOffset = 0;
  /// Whether every member has acknowledged the offset or is provably stale.
  bool mInForceEverywhere = false;
};

struct team_view
{
  set_team mTeam;
  std::vector<std::string> mKeyDigests;
  /// Offset of the last change of this entry.
  log_offset mOffset = 0;
};
struct zone_view
{
  set_zone_state mZone;
  log_offset mOffset = 0;
};
struct config_view
{
  log_offset mOffset = 0;
  std::vector<team_view> mTeams;
  std::vector<zone_view> mZones;
};

struct dump_result
{
  std::string mJson;
};

/// Error of a call, with the step and the peer at which it occurred.
struct call_error
{
  /// HTTP status.
  std::uint16_t mStatus = 500;
  /// Stable code for programs, for example `key_unknown`.
  std::string mCode;
  std::string mMessage;
  /// Step at which the error occurred, for example `append`.
  std::string mStep;
  /// Daemon, target or platform service at which the error occurred.
  std::string mPeer;
};

struct answer
{
  answer_class mClass = answer_class::unknown;
  std::variant<call_error, tickets_result, job_status, publish_result, config_view, dump_result>
    mBody;
};

} // namespace endiveusher
