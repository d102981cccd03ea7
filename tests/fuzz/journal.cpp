#include "endiveusher/scheduler/journal.h"
#include "endiveusher/scheduler/job_table.h"
#include "input.h"
#include "snapshots.h"

/// Decodes a record of the journal, and of snapshots, and applies it to an empty table.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aCount)
{
  using namespace endiveusher;
  const auto bytes = fuzz::packed(fuzz::textOf(aBytes, aCount));
  if (const auto record = scheduler::decodeRecord(bytes); record.ok()) {
    scheduler::job_table table;
    if (table.hasPlaceFor(*record)) {
      table.apply(*record, time_point{});
    }
    for (const auto& one : table.snapshot(time_point{})) {
      fuzz::require(scheduler::decodeRecord(scheduler::encode(one)).ok());
    }
    table.removeEnded(time_point{} + std::chrono::hours(1));
  }
  static_cast<void>(node::lastSnapshot({ bytes }));
  node::snapshot_index().add({ bytes });
  return 0;
}
