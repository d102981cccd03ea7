#pragma once

#include "endiveusher/kernel/messages/call.h"
#include "endiveusher/kernel/messages/platform.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace endiveusher {

// One-way messages between daemons. Any may be lost, repeated, delayed or reordered.

struct team_usage
{
  team_name mTeam;
  /// Use of this daemon's charged tasks: tasks in mSlots.
  resources mUsed;
  /// Use waiting in this daemon's queue.
  resources mWaiting;
  /// Slice not charged; tells a short daemon whom to ask.
  limit_vector mUnusedSlice;
};

/// The sender's whole state as far as others need it; replaces what was known of the sender.
struct gossip
{
  std::string mVm;
  zone_name mZone;
  std::string mPeerAddress;
  /// Names the sending of this probe; echoed by the receiver.
  std::uint64_t mProbe = 0;
  /// The receiver's latest probe that this answers; zero if none.
  std::uint64_t mEchoedProbe = 0;
  /// Offset up to which the sender has applied stream control.
  log_offset mControlOffset = 0;
  /// How long the sender stays fresh from the sending of this message; zero if stale.
  std::chrono::milliseconds mFreshFor{ 0 };
  bool mLogReachable = false;
  /// Free resources over all targets owned, zone not out.
  resources mFree;
  /// Total usable resources over all targets owned.
  resources mTotal;
  /// Largest room on a single target.
  resources mLargestRoom;
  /// At most kMaxTeams teams, those whose numbers changed first, the others in turn. The receiver
  /// keeps what it knows of teams not named.
  std::vector<team_usage> mTeams;
  /// Targets the sender owns, whose tables it has read since mSweptOffset had settled, and that
  /// hold no attempt of another placer. Only sent to a receiver that succeeds another daemon.
  std::vector<target_id> mOwnedTargets;
  log_offset mSweptOffset = 0;
  bool mLeaving = false;

  static constexpr std::size_t kMaxTeams = 16;
};

/// Hands tasks to a placer. Repeated until a task_report names them.
struct delegate
{
  std::vector<task_attempt> mTasks;
  /// Urgency deadline of each, measured from the sending; zero if none.
  std::vector<std::chrono::milliseconds> mStartWithin;
  /// Grows with every delegate and reserve of one home.
  std::uint64_t mSequence = 0;
};

enum class placed_state
{
  queued,
  starting,
  running,
  returned, ///< Never started here and never will be.
  ended,    ///< mOutcome is valid; kept until the home acknowledges.
  unknown,  ///< The outcome is lost.
};

struct placed_task
{
  task_key mKey;
  std::uint32_t mAttempt = 1;
  placed_state mState = placed_state::queued;
  target_id mTarget;
  attempt_outcome mOutcome = attempt_outcome::succeeded;
  std::int32_t mExitCode = 0;
  std::string mOutput;
  std::string mCheckpoint;
};

/// All tasks of one home that the sender holds.
struct task_report
{
  incarnation_id mHome;
  std::uint64_t mSequence = 0;
  /// Offset up to which the sender had applied stream control.
  log_offset mControlOffset = 0;
  std::vector<placed_task> mTasks;
};
/// The home has taken over the end of these tasks; the placer forgets them.
struct report_ack
{
  std::vector<placed_task> mTasks;
  /// Delegates and reserves of the home numbered below this are void if they arrive later; a late
  /// copy would start a forgotten task again.
  std::uint64_t mClosedBefore = 0;
};
/// The home wants these back: queued ones are returned, running ones stopped if mStop.
struct recall
{
  std::vector<task_key> mTasks;
  bool mStop = false;
};

/// Reserves room for tasks of a gang on the receiver's targets.
struct reserve
{
  std::uint64_t mReservation = 0;
  std::vector<task_attempt> mTasks;
  /// Rank among waiting gangs: longest waiting first.
  std::chrono::milliseconds mWaited{ 0 };
};
struct reserve_answer
{
  std::uint64_t mReservation = 0;
  request_id mRequest;
  bool mReserved = false;
};
struct commit
{
  std::uint64_t mReservation = 0;
  request_id mRequest;
};
struct release
{
  std::uint64_t mReservation = 0;
  request_id mRequest;
};

/// Copy of an accepted job, kept by a zone peer until the log has it.
struct job_copy
{
  accept_record mAccept;
  bool mEnded = false;
};
struct job_copy_ack
{
  request_id mRequest;
};

/// A call sent to the daemon that decides for its request id.
struct forward_call
{
  std::uint64_t mCallId = 0;
  call mCall;
};
struct forward_answer
{
  std::uint64_t mCallId = 0;
  answer mAnswer;
};

struct slice_request
{
  team_name mTeam;
  limit_vector mWanted;
};

/// Control records for a peer that is behind; consecutive from mFrom.
struct records
{
  log_offset mFrom = 0;
  std::vector<stored_record<control_record>> mRecords;
  log_offset mEnd = 0;
};

using peer_body = std::variant<gossip, delegate, task_report, report_ack, recall, reserve,
                               reserve_answer, commit, release, job_copy, job_copy_ack,
                               forward_call, forward_answer, slice_request, records>;

struct peer_message
{
  incarnation_id mFrom;
  /// Empty for the first gossip to an address whose incarnation is not known yet.
  incarnation_id mTo;
  peer_body mBody;
};

} // namespace endiveusher
