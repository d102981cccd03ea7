#include "endiveusher/platform/messages.h"
#include "endiveusher/scheduler/journal.h"
#include "input.h"

/// Decodes a caller's header and body. An accepted job can be written to the journal and read.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aBytes, std::size_t aCount)
{
  using namespace endiveusher;
  const auto input = fuzz::textOf(aBytes, aCount);
  const auto middle = input.find('\n');
  const auto value = input.substr(0, middle);
  static_cast<void>(platform::decodeCallerRequest(
    { .mMethod = "POST",
      .mPath = value,
      .mHeaders = { { "host", value }, { "credential", value }, { "deadline-ms", value } } }));
  const auto job = platform::decodeJob(middle == std::string::npos ? input : input.substr(middle));
  if (job.ok()) {
    fuzz::require(
      scheduler::decodeRecord(scheduler::encode(scheduler::job_submitted{ .mSpec = *job })).ok());
  }
  return 0;
}
