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

/// A look at a target that renews the lease of what runs there.
struct look_order
{
  std::string mTarget;
  std::string mAddress;
  std::uint64_t mEpoch = 0;
  /// Until when all that runs there may go on; absent for no renewal.
  std::optional<target_time> mLeaseUntil;
  /// Ends up to this number are stored.
  std::uint64_t mStoredEnds = 0;
  /// How long the target waits for an end before it answers.
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
  std::string mCheckpoint;
  /// Shows that the step may run there; empty if none is needed.
  std::string mTicket;
};

struct stop_order
{
  std::string mTarget;
  std::string mAddress;
  task_key mTask;
  std::uint32_t mRun = 0;
  std::uint64_t mEpoch = 0;
};

enum class order_outcome : std::uint8_t
{
  accepted,
  /// May have been or may still be carried out.
  unanswered,
  /// A higher epoch has been seen.
  fenced,
  /// The run is not higher than one that has ended or was stopped there.
  outdated,
  /// Its deadline has passed.
  late,
  no_room,
  bad_ticket,
  /// Another incarnation answered, which does not carry it out.
  other_incarnation,
  unhealthy,
  invalid,
};

std::string_view toText(order_outcome aOutcome);

/// Asks which of the targets may run a step.
struct advice_request
{
  std::uint64_t mCall = 0;
  /// Daemon that makes the call; empty for this one.
  std::string mHelper;
  step_key mStep;
  std::vector<std::string> mTargets;
  std::chrono::milliseconds mTimeout{ 0 };
};

struct advice_ticket
{
  std::string mTarget;
  std::string mToken;
};

struct advice_answer
{
  std::uint64_t mCall = 0;
  bool mOk = false;
  std::vector<advice_ticket> mGood;
};

/// What the owner wants done. The answers come back through the methods of owner; none is called
/// from within these methods.
class owner_port
{
public:
  virtual ~owner_port() = default;
  /// Stores the records in order, all or none; answered by owner::stored() in the order of calls.
  virtual void store(std::vector<journal_record> aRecords) = 0;
  /// The record that accept() was given with this token is stored.
  virtual void accepted(std::uint64_t aToken) = 0;
  virtual void look(const look_order& aOrder) = 0;
  virtual void start(const start_order& aOrder) = 0;
  virtual void stop(const stop_order& aOrder) = 0;
  virtual void advise(const advice_request& aRequest) = 0;
  /// Writes one line that explains a decision.
  virtual void explain(std::string_view aEvent, std::string_view aDetail) = 0;
};

} // namespace endiveusher::scheduler
