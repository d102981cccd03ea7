#pragma once

#include "archive.h"
#include "endiveusher/kernel/job.h"

namespace endiveusher::protocol::internal {

template<>
struct enum_codec<job_kind>
{
  using wire = schema::JobKind;
  static constexpr auto kLast = job_kind::gang;
};
template<>
struct enum_codec<attempt_outcome>
{
  using wire = schema::AttemptOutcome;
  static constexpr auto kLast = attempt_outcome::lease_expired;
};
template<>
struct enum_codec<task_state>
{
  using wire = schema::TaskState;
  static constexpr auto kLast = task_state::unknown;
};
template<>
struct codec<resources>
{
  using wire = schema::Resources;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive.amount(aValue.mSlots, ENDIVEUSHER_FIELD(Slots));
    aArchive.amount(aValue.mCpuMilli, ENDIVEUSHER_FIELD(CpuMilli));
    aArchive.amount(aValue.mMemoryMb, ENDIVEUSHER_FIELD(MemoryMb));
    aArchive.amount(aValue.mAccelerators, ENDIVEUSHER_FIELD(Accelerators));
  }
};
/// Serializes the declared size of one task without slots, because every task takes one slot.
struct task_size
{
  resources mSize{ .mSlots = 1 };
};
template<>
struct codec<task_size>
{
  using wire = schema::TaskSize;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive.amount(aValue.mSize.mCpuMilli, ENDIVEUSHER_FIELD(CpuMilli));
    aArchive.amount(aValue.mSize.mMemoryMb, ENDIVEUSHER_FIELD(MemoryMb));
    aArchive.amount(aValue.mSize.mAccelerators, ENDIVEUSHER_FIELD(Accelerators));
  }
};
template<>
struct codec<job_spec>
{
  using wire = schema::JobSpec;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mRequest, ENDIVEUSHER_FIELD(Request));
    aArchive(aValue.mTeam, ENDIVEUSHER_FIELD(Team));
    aArchive(aValue.mKind, ENDIVEUSHER_FIELD(Kind));
    aArchive(aValue.mTaskCount, ENDIVEUSHER_FIELD(TaskCount));
    task_size perTask{ aValue.mPerTask };
    aArchive(perTask, ENDIVEUSHER_FIELD(PerTask));
    if constexpr (!std::is_const_v<std::remove_reference_t<decltype(aValue)>>) {
      aValue.mPerTask = perTask.mSize;
    }
    aArchive(aValue.mRunTime, ENDIVEUSHER_FIELD(RunTimeMs));
    aArchive(aValue.mUrgent, ENDIVEUSHER_FIELD(Urgent));
    aArchive(aValue.mStartWithin, ENDIVEUSHER_FIELD(StartWithinMs));
    aArchive(aValue.mIdempotent, ENDIVEUSHER_FIELD(Idempotent));
    aArchive(aValue.mZones, ENDIVEUSHER_FIELD(Zones));
    aArchive(aValue.mCommand, ENDIVEUSHER_FIELD(Command));
  }
};
template<>
struct codec<task_key>
{
  using wire = schema::TaskKey;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mRequest, ENDIVEUSHER_FIELD(Request));
    aArchive(aValue.mIndex, ENDIVEUSHER_FIELD(Index));
  }
};
template<>
struct codec<task_attempt>
{
  using wire = schema::TaskAttempt;
  static void fields(auto& aArchive, auto& aValue)
  {
    aArchive(aValue.mKey, ENDIVEUSHER_FIELD(Key));
    aArchive(aValue.mAttempt, ENDIVEUSHER_FIELD(Attempt));
    aArchive(aValue.mTeam, ENDIVEUSHER_FIELD(Team));
    aArchive(aValue.mKind, ENDIVEUSHER_FIELD(Kind));
    aArchive(aValue.mUrgent, ENDIVEUSHER_FIELD(Urgent));
    aArchive(aValue.mIdempotent, ENDIVEUSHER_FIELD(Idempotent));
    aArchive(aValue.mSize, ENDIVEUSHER_FIELD(Size));
    aArchive(aValue.mRunTime, ENDIVEUSHER_FIELD(RunTimeMs));
    aArchive(aValue.mCommand, ENDIVEUSHER_FIELD(Command));
    aArchive(aValue.mCheckpoint, ENDIVEUSHER_FIELD(Checkpoint));
    aArchive(aValue.mCoordinator, ENDIVEUSHER_FIELD(Home));
    aArchive(aValue.mPlacer, ENDIVEUSHER_FIELD(Placer));
  }
};

} // namespace endiveusher::protocol::internal
