#pragma once

#include "endiveusher/kernel/messages/call.h"
#include "endiveusher/kernel/messages/platform.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace endiveusher {

// One-way messages between daemons. Any message may be lost, repeated, delayed or reordered.

struct team_usage
{
  team_name mTeam;
  /// Resources charged to this daemon's slice; mSlots is the number of tasks.
  resources mUsed;
  /// Resources of the tasks in this daemon's queue.
  resources mWaiting;
  /// Part of the slice that is not charged. Daemons that need a larger slice use it to choose whom
  /// to ask.
  limit_vector mUnusedSlice;
};

/// State of the sender as far as other daemons need it; replaces the previous state of the sender.
struct gossip
{
  std::string mVm;
  zone_name mZone;
  std::string mPeerAddress;
  /// Number of this probe; echoed by the receiver.
  std::uint64_t mProbe = 0;
  /// Number of the receiver's latest probe, which this message answers; zero if none.
  std::uint64_t mEchoedProbe = 0;
  /// Offset up to which the sender has applied stream control.
  log_offset mControlOffset = 0;
  /// Time for which the sender remains fresh after sending this message; zero if it is stale.
  std::chrono::milliseconds mFreshFor{ 0 };
  bool mLogReachable = false;
  /// Free resources of all owned targets whose zone is not out.
  resources mFree;
  /// Total usable resources of all owned targets.
  resources mTotal;
  /// Largest free capacity on a single target.
  resources mLargestFree;
  /// At most kMaxTeams teams: those whose numbers changed first, the others in rotation. The
  /// receiver keeps its numbers of teams that are not named.
  std::vector<team_usage> mTeams;
  /// Targets that the sender owns, whose tables it has read after mReconciledOffset had settled,
  /// and that hold no attempt of another placer. Sent only to a receiver that succeeds another
  /// daemon.
  std::vector<target_id> mOwnedTargets;
  log_offset mReconciledOffset = 0;
  bool mLeaving = false;

  static constexpr std::size_t kMaxTeams = 16;
};

/// Delegates tasks to a placer. Repeated until a task_report names them.
struct delegate
{
  std::vector<task_attempt> mTasks;
  /// Start deadline of each task, measured from sending; zero if none.
  std::vector<std::chrono::milliseconds> mStartWithin;
  /// Increases with every delegate and reserve message of one coordinator.
  std::uint64_t mSequence = 0;
};

enum class placed_state
{
  queued,
  starting,
  running,
  returned, ///< Was never started by this placer and never will be.
  ended,    ///< mOutcome is valid; kept until the coordinator acknowledges it.
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

/// All tasks of one coordinator that the sender holds.
struct task_report
{
  incarnation_id mCoordinator;
  std::uint64_t mSequence = 0;
  /// Offset up to which the sender had applied stream control.
  log_offset mControlOffset = 0;
  std::vector<placed_task> mTasks;
};
/// Acknowledges the end of tasks to their placer, which then forgets them.
struct report_ack
{
  std::vector<placed_task> mTasks;
  /// Delegate and reserve messages of the coordinator with a lower number are ignored if they
  /// arrive later; a late copy would start a forgotten task again.
  std::uint64_t mClosedBefore = 0;
};
/// Recalls tasks from a placer: queued tasks are returned, running tasks are stopped if mStop is
/// set.
/// Always answered with a task_report, also if mTasks is empty.
struct recall
{
  std::vector<task_key> mTasks;
  bool mStop = false;
};

/// Reserves capacity for tasks of a gang on the receiver's targets.
struct reserve
{
  std::uint64_t mReservation = 0;
  std::vector<task_attempt> mTasks;
  /// Time for which the gang has waited; the gang that has waited longest comes first.
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

/// Copy of an accepted job, kept by a peer until the record is in the log.
struct job_copy
{
  accept_record mAccept;
  bool mEnded = false;
};
struct job_copy_ack
{
  request_id mRequest;
};

/// Call forwarded to the daemon that decides on its request id.
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
  /// Time for which a gang has waited that needs the amount as a whole; zero if queued tasks need
  /// it.
  std::chrono::milliseconds mWaited{ 0 };
};

/// Control records for a peer that is behind, consecutive from mFrom.
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
  /// Empty for gossip to an address whose incarnation is not known yet.
  incarnation_id mTo;
  peer_body mBody;
};

} // namespace endiveusher
