#include "printing.h"

#include "endiveusher/protocol/json.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <ostream>

namespace endiveusher::ctl::internal {

namespace {

const char* nameOf(job_kind aKind)
{
  static constexpr const char* kNames[] = { "service", "batch", "gang" };
  return kNames[static_cast<std::size_t>(aKind)];
}
const char* nameOf(durability aDurability)
{
  static constexpr const char* kNames[] = { "memory", "peer", "log" };
  return kNames[static_cast<std::size_t>(aDurability)];
}
const char* nameOf(task_state aState)
{
  static constexpr const char* kNames[] = { "waiting", "starting",  "running", "succeeded",
                                            "failed",  "cancelled", "unknown" };
  return kNames[static_cast<std::size_t>(aState)];
}
const char* nameOf(answer_class aClass)
{
  static constexpr const char* kNames[] = { "failed", "not run", "unknown" };
  return kNames[static_cast<std::size_t>(aClass)];
}

std::string limitText(std::int64_t aLimit)
{
  return aLimit == limit_vector::kUnlimited ? "unlimited" : std::to_string(aLimit);
}

/// Shortens the output of a task to one line of at most 60 bytes.
std::string excerpt(std::string aText)
{
  constexpr std::size_t kMaxBytes = 60;
  std::ranges::replace_if(
    aText, [](unsigned char aChar) { return aChar < 0x20 || aChar == 0x7F; }, ' ');
  return aText.size() <= kMaxBytes ? aText : aText.substr(0, kMaxBytes - 3) + "...";
}

void print(std::ostream& aOut, const call_error& /*aError*/)
{
  aOut << '\n';
}

void print(std::ostream& aOut, const tickets_result& aResult)
{
  for (const auto& ticket : aResult.mTickets) {
    aOut << ticket << '\n';
  }
}

void print(std::ostream& aOut, const job_status& aJob)
{
  std::map<task_state, std::size_t> counts;
  for (const auto& task : aJob.mTasks) {
    ++counts[task.mState];
  }
  std::string states;
  for (const auto& [state, count] : counts) {
    states += fmt::format("{}{} {}", states.empty() ? "" : ", ", count, nameOf(state));
  }
  aOut << fmt::format("request     {}\nteam        {}\nkind        {}\ndurability  {}\n"
                      "ended       {}\ntasks       {}{}\n",
                      aJob.mRequest, aJob.mTeam, nameOf(aJob.mKind), nameOf(aJob.mDurability),
                      aJob.mEnded ? "yes" : "no", aJob.mTaskCount,
                      states.empty() ? "" : " (" + states + ")");
  if (aJob.mTasks.empty()) {
    return;
  }
  table tasks({ "TASK", "STATE", "ATTEMPT", "TARGET", "EXIT", "OUTPUT" });
  for (const auto& task : aJob.mTasks) {
    const bool ended = task.mState == task_state::succeeded || task.mState == task_state::failed;
    tasks.add({ std::to_string(task.mIndex), nameOf(task.mState), std::to_string(task.mAttempt),
                task.mTarget, ended ? std::to_string(task.mExitCode) : "", excerpt(task.mOutput) });
  }
  aOut << '\n';
  tasks.print(aOut);
  if (aJob.mTasks.size() < aJob.mTaskCount) {
    aOut << fmt::format("... and {} more\n", aJob.mTaskCount - aJob.mTasks.size());
  }
}

void print(std::ostream& aOut, const publish_result& aResult)
{
  aOut << fmt::format("offset    {}\nin force  {}\n", aResult.mOffset,
                      aResult.mInForceEverywhere ? "everywhere" : "not yet everywhere");
}

void print(std::ostream& aOut, const config_view& aConfig)
{
  aOut << fmt::format("offset  {}\n\n", aConfig.mOffset);
  table teams({ "TEAM", "SHARE", "TASKS", "CPU_MILLI", "MEMORY_MB", "ACCELERATORS", "OPEN", "KEYS",
                "OFFSET" });
  for (const auto& one : aConfig.mTeams) {
    const limit_vector& limit = one.mTeam.mLimit;
    teams.add({ one.mTeam.mTeam, fmt::format("{:g}", one.mTeam.mShare), limitText(limit.mTasks),
                limitText(limit.mCpuMilli), limitText(limit.mMemoryMb),
                limitText(limit.mAccelerators), one.mTeam.mOpen ? "yes" : "no",
                std::to_string(one.mKeyDigests.size()), std::to_string(one.mOffset) });
  }
  teams.print(aOut);
  aOut << '\n';
  table zones({ "ZONE", "STATE", "OFFSET" });
  for (const auto& one : aConfig.mZones) {
    zones.add({ one.mZone.mZone, one.mZone.mState == zone_state::in ? "in" : "out",
                std::to_string(one.mOffset) });
  }
  zones.print(aOut);
}

void print(std::ostream& /*aOut*/, const dump_result& /*aDump*/) {}

} // namespace

void table::print(std::ostream& aOut) const
{
  std::vector<std::size_t> widths(mRows.front().size());
  for (const auto& row : mRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : mRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aOut << line << '\n';
  }
}

exit_code exitCodeOf(const outcome& aOutcome)
{
  const auto* error = aOutcome.error();
  switch (aOutcome.mAnswer.mClass) {
    case answer_class::unknown:
      return exit_code::unknown;
    case answer_class::ran:
      return error == nullptr ? exit_code::ran : exit_code::refused;
    case answer_class::not_run:
      break;
  }
  const bool permanent = error != nullptr && error->mStatus >= 400 && error->mStatus < 500 &&
                         error->mStatus != 408 && error->mStatus != 429;
  return permanent ? exit_code::refused : exit_code::not_run;
}

exit_code report(const command_line& aLine, const outcome& aOutcome)
{
  auto& context = aLine.context();
  const bool raw = std::holds_alternative<dump_result>(aOutcome.mAnswer.mBody);
  if (aLine.json() || raw) {
    const auto& body = aOutcome.mBody.empty() ? protocol::toJson(aOutcome.mAnswer) : aOutcome.mBody;
    context.mOut << body << (body.ends_with('\n') ? "" : "\n");
  } else if (const auto* error = aOutcome.error()) {
    context.mErrors << fmt::format("endiveusherctl: {}: {} ({}{}{})\n",
                                   nameOf(aOutcome.mAnswer.mClass), error->mMessage, error->mCode,
                                   error->mStep.empty() ? "" : ", step " + error->mStep,
                                   error->mPeer.empty() ? "" : ", at " + error->mPeer);
  } else {
    std::visit([&](const auto& aBody) { print(context.mOut, aBody); }, aOutcome.mAnswer.mBody);
  }
  return exitCodeOf(aOutcome);
}

} // namespace endiveusher::ctl::internal
