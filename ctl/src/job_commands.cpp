#include "command.h"
#include "command_line.h"
#include "printing.h"

#include "endiveusher/edges/url.h"
#include "endiveusher/protocol/json.h"

#include <algorithm>
#include <ostream>

namespace endiveusher::ctl::internal {

namespace {

/// Longest wait that one call requests.
constexpr std::chrono::milliseconds kMaxWaitPerCall{ 20'000 };

using text_arg = TCLAP::ValueArg<std::string>;
using number_arg = TCLAP::ValueArg<std::int64_t>;
using positional_arg = TCLAP::UnlabeledValueArg<std::string>;

job_kind parseKind(const command_line& aLine, const std::string& aText)
{
  if (aText == "service") {
    return job_kind::service;
  }
  if (aText == "batch") {
    return job_kind::batch;
  }
  if (aText == "gang") {
    return job_kind::gang;
  }
  aLine.fail("--kind takes service, batch or gang, not '" + aText + "'");
}

template<typename Number>
Number inRange(const command_line& aLine, const number_arg& aArgument, std::int64_t aLowest,
               std::int64_t aHighest)
{
  const auto value = aArgument.getValue();
  if (value < aLowest || value > aHighest) {
    aLine.fail("--" + aArgument.getName() + " must be " + std::to_string(aLowest) + " to " +
               std::to_string(aHighest) + ", not " + std::to_string(value));
  }
  return static_cast<Number>(value);
}

/// Options that describe a job.
struct job_options
{
  explicit job_options(TCLAP::CmdLine& aParser)
    : mId("", "id", "Request id to use instead of a ticket; needs the log to be reachable.", false,
          "", "ID", aParser),
      mTeam("", "team", "Team; default: the team of the key.", false, "", "TEAM", aParser),
      mKind("", "kind", "service, batch or gang. Default: batch.", false, "batch", "KIND", aParser),
      mTasks("", "tasks", "Number of tasks. Default: 1.", false, 1, "N", aParser),
      mCpu("", "cpu-milli", "Processor time per task, thousandths of a core.", false, 0, "N",
           aParser),
      mMemory("", "memory-mb", "Memory per task, MB.", false, 0, "N", aParser),
      mAccelerators("", "accelerators", "Accelerators per task.", false, 0, "N", aParser),
      mRunTime("", "run-time", "Expected run time of a task, such as 90s.", false, "0s", "TIME",
               aParser),
      mUrgent("", "urgent", "Start before other work of the team; may preempt batch tasks.",
              aParser),
      mStartWithin("", "start-within",
                   "Time in which the job should start, such as 1500ms; implies --urgent.", false,
                   "0s", "TIME", aParser),
      mNonIdempotent("", "non-idempotent", "Run each task at most once.", aParser),
      mZone("", "zone", "Zone that may run the job; may be given several times. Default: all.",
            false, "ZONE", aParser),
      mCommand("command", "Command that the target runs; opaque to the scheduler.", true, "",
               "COMMAND", aParser)
  {
  }

  job_spec make(const command_line& aLine) const
  {
    constexpr std::int64_t kMaxAmount = std::int64_t{ 1 } << 40;
    job_spec job;
    job.mTeam = mTeam.getValue();
    job.mKind = parseKind(aLine, mKind.getValue());
    job.mTaskCount = inRange<std::uint32_t>(aLine, mTasks, 1, 100'000);
    job.mPerTask.mCpuMilli = inRange<std::int64_t>(aLine, mCpu, 0, kMaxAmount);
    job.mPerTask.mMemoryMb = inRange<std::int64_t>(aLine, mMemory, 0, kMaxAmount);
    job.mPerTask.mAccelerators = inRange<std::int64_t>(aLine, mAccelerators, 0, kMaxAmount);
    job.mRunTime = parseTime(aLine, "--run-time", mRunTime.getValue());
    job.mStartWithin = parseTime(aLine, "--start-within", mStartWithin.getValue());
    job.mUrgent = mUrgent.getValue() || job.mStartWithin.count() > 0;
    job.mIdempotent = !mNonIdempotent.getValue();
    job.mZones = mZone.getValue();
    job.mCommand = mCommand.getValue();
    return job;
  }

  text_arg mId;
  text_arg mTeam;
  text_arg mKind;
  number_arg mTasks;
  number_arg mCpu;
  number_arg mMemory;
  number_arg mAccelerators;
  text_arg mRunTime;
  TCLAP::SwitchArg mUrgent;
  text_arg mStartWithin;
  TCLAP::SwitchArg mNonIdempotent;
  TCLAP::MultiArg<std::string> mZone;
  positional_arg mCommand;
};

exit_code submit(command_context& aContext)
{
  command_line line(aContext, "submit",
                    "Submits a job. The request id is a ticket of the first daemon that answers,\n"
                    "unless --id is given. If a daemon does not answer, the same request with the\n"
                    "same id goes to the next one, so the job is accepted at most once.");
  const job_options options(line.parser());
  line.parse();
  submit_call call{ .mJob = options.make(line) };
  cell_client client(line.settings());
  call.mJob.mRequest = options.mId.getValue();
  if (call.mJob.mRequest.empty()) {
    const auto tickets = client.post("/v1/tickets", protocol::toJson(ticket_call{}));
    const auto* result = std::get_if<tickets_result>(&tickets.mAnswer.mBody);
    if (result == nullptr || result->mTickets.empty()) {
      report(line, tickets);
      // A ticket that was issued but not received has no effect.
      return exitCodeOf(tickets) == exit_code::refused ? exit_code::refused : exit_code::not_run;
    }
    call.mJob.mRequest = result->mTickets.front();
  }
  const auto submitted = client.post("/v1/submit", protocol::toJson(call));
  const auto code = report(line, submitted);
  if (code == exit_code::unknown && !line.json()) {
    aContext.mErrors << "request " << call.mJob.mRequest
                     << " may have been accepted; check with: endiveusherctl status "
                     << call.mJob.mRequest << '\n';
  }
  return code;
}

exit_code status(command_context& aContext)
{
  command_line line(aContext, "status", "Shows the state of a job and of its tasks.");
  const positional_arg id("id", "Request id.", true, "", "ID", line.parser());
  line.parse();
  cell_client client(line.settings());
  return report(line, client.get("/v1/status/" + edges::percentEncode(id.getValue())));
}

exit_code cancel(command_context& aContext)
{
  command_line line(aContext, "cancel",
                    "Cancels a job: waiting tasks never start, running ones are stopped.");
  const positional_arg id("id", "Request id.", true, "", "ID", line.parser());
  line.parse();
  cell_client client(line.settings());
  return report(
    line, client.post("/v1/cancel", protocol::toJson(cancel_call{ .mRequest = id.getValue() })));
}

/// Returns the exit code of a job by the states of its tasks.
exit_code exitCodeOf(const job_status& aJob)
{
  const auto any = [&aJob](task_state aState) {
    return std::ranges::any_of(aJob.mTasks,
                               [aState](const auto& aTask) { return aTask.mState == aState; });
  };
  if (!aJob.mEnded || any(task_state::unknown)) {
    return exit_code::unknown;
  }
  return any(task_state::failed) || any(task_state::cancelled) ? exit_code::refused
                                                               : exit_code::ran;
}

exit_code wait(command_context& aContext)
{
  command_line line(aContext, "wait",
                    "Waits until a job has ended. Exits with 5 if tasks failed or were cancelled,\n"
                    "and with 4 if the outcome of a task is lost or the job has not ended yet.");
  const text_arg atMost("", "at-most", "Longest time to wait. Default: 1h.", false, "1h", "TIME",
                        line.parser());
  const positional_arg id("id", "Request id.", true, "", "ID", line.parser());
  line.parse();
  const auto deadline =
    std::chrono::steady_clock::now() + parseTime(line, "--at-most", atMost.getValue());
  cell_client client(line.settings());
  for (;;) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
    const auto period = std::clamp(left, std::chrono::milliseconds(0), kMaxWaitPerCall);
    const auto waited = client.post(
      "/v1/wait", protocol::toJson(wait_call{ .mRequest = id.getValue(), .mTimeout = period }),
      period);
    const auto* job = std::get_if<job_status>(&waited.mAnswer.mBody);
    if (job == nullptr) {
      return report(line, waited);
    }
    if (job->mEnded || period == std::chrono::milliseconds(0)) {
      report(line, waited);
      return exitCodeOf(*job);
    }
  }
}

exit_code ticket(command_context& aContext)
{
  command_line line(aContext, "ticket",
                    "Fetches tickets: request ids that one daemon decides about without the log.");
  const number_arg count("", "count", "Number of tickets. Default: 1.", false, 1, "N",
                         line.parser());
  line.parse();
  const ticket_call call{ .mCount = inRange<std::uint32_t>(line, count, 1, 1000) };
  cell_client client(line.settings());
  return report(line, client.post("/v1/tickets", protocol::toJson(call)));
}

} // namespace

std::span<const command> jobCommands()
{
  static const command kCommands[] = {
    { "submit", "submit a job", &submit },
    { "status", "show a job", &status },
    { "wait", "wait until a job has ended", &wait },
    { "cancel", "cancel a job", &cancel },
    { "ticket", "fetch request ids", &ticket },
    { "explain", "show where a job would be placed, and why", &explainPlacement },
  };
  return kCommands;
}

} // namespace endiveusher::ctl::internal
