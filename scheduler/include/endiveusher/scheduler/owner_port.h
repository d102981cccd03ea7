#pragma once

#include "endiveusher/scheduler/journal.h"
#include "endiveusher/scheduler/target.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::scheduler {

/// A heartbeat to a target, which may renew the lease of the runs there.
struct heartbeat_order
{
  std::string mTarget;
  std::string mAddress;
  std::uint64_t mEpoch = 0;
  /// Number that the target compares with the highest that it has seen: the epoch, or a later
  /// record of the same owner, see owner::setNewestRecord().
  std::uint64_t mFence = 0;
  /// New end of the lease of all runs at the target, on the target's clock; absent if the lease is
  /// not renewed.
  std::optional<target_time> mLeaseUntil;
  /// Sequence number up to which reported ends are in the journal, so that the target may drop
  /// them.
  std::uint64_t mStoredEndNumber = 0;
  /// How long the target waits for a run to end before it replies.
  std::chrono::milliseconds mWait{ 0 };
};

struct start_order
{
  std::string mTarget;
  std::string mAddress;
  task_key mTask;
  std::uint32_t mRun = 0;
  std::string mPayload;
  target_time mLeaseUntil{ 0 };
  std::uint64_t mEpoch = 0;
  /// As for heartbeats.
  std::uint64_t mFence = 0;
  std::string mCheckpoint;
  /// Proof that the step may run on the target; empty if the route needs none.
  std::string mTicket;
  /// Time on the owner's clock from which the target rejects the ticket. The owner's process uses
  /// it until the order leaves; it is not part of the order.
  time_point mTicketExpiry = time_point::max();
  /// Whether the step's route has the highest priority. Not part of the order either.
  bool mUrgent = false;
};

struct stop_order
{
  std::string mTarget;
  std::string mAddress;
  task_key mTask;
  std::uint32_t mRun = 0;
  std::uint64_t mEpoch = 0;
  /// As for heartbeats.
  std::uint64_t mFence = 0;
};

enum class order_outcome : std::uint8_t
{
  accepted,
  /// No reply: the order may have been or may still be executed.
  unanswered,
  /// The target has seen an order with a higher fence.
  fenced,
  /// The run number is not higher than that of a run of the task that has ended or was stopped
  /// there.
  outdated,
  /// The order's deadline has passed.
  late,
  no_capacity,
  bad_ticket,
  /// Another incarnation of the target replied, or it has had an order with a later number of this
  /// owner; it does not execute the order.
  other_incarnation,
  unhealthy,
  /// The target has rejected the order as malformed.
  invalid,
  /// A reply that the platform does not define, perhaps of something between: it does not tell
  /// whether the order was executed.
  undefined,
  /// The relay of the order has not reported in time whether there was a reply.
  unreported,
  /// The order has not left the owner's process, because its ticket has expired there.
  not_sent,
  /// No connection to the target came about, so that nothing of the order has left.
  unreachable,
};

std::string_view toText(order_outcome aOutcome);

/// A call to the advice service, which answers which of the targets may run a step.
struct advice_request
{
  std::uint64_t mCall = 0;
  /// Daemon that makes the call; empty for the local one.
  std::string mDaemon;
  step_key mStep;
  std::vector<std::string> mTargets;
  std::chrono::milliseconds mTimeout{ 0 };
};

struct advice_ticket
{
  std::string mTarget;
  std::string mToken;
};

struct advice_reply
{
  std::uint64_t mCall = 0;
  bool mOk = false;
  std::vector<advice_ticket> mTickets;
};

/// Actions requested by the owner. Replies are passed to the methods of owner, never from within a
/// call of this interface.
class owner_port
{
public:
  virtual ~owner_port() = default;
  /// Appends the records to the journal, in order. Many records may take several appends, of which
  /// a reader may find the first ones only. owner::onStored() reports completion, in the order of
  /// the calls.
  virtual void store(std::vector<journal_record> aRecords) = 0;
  /// Reports that the record passed to owner::accept() with this token is stored.
  virtual void onRecordStored(std::uint64_t aToken) = 0;
  virtual void sendHeartbeat(const heartbeat_order& aOrder) = 0;
  virtual void start(const start_order& aOrder) = 0;
  virtual void stop(const stop_order& aOrder) = 0;
  virtual void requestAdvice(const advice_request& aRequest) = 0;
  /// Logs a decision.
  virtual void logDecision(std::string_view aEvent, std::string_view aDetail) = 0;
};

} // namespace endiveusher::scheduler
