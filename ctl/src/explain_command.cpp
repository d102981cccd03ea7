#include "command.h"
#include "command_line.h"

#include "endiveusher/edges/http_client.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <ostream>

namespace endiveusher::ctl::internal {

namespace {

using nlohmann::json;
using text_arg = TCLAP::ValueArg<std::string>;
using positional_arg = TCLAP::UnlabeledValueArg<std::string>;

std::string readFile(const command_line& aLine, const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(file), {} };
  if (!file.is_open() || file.bad()) {
    aLine.fail("cannot read " + aPath);
  }
  return text;
}

/// Asks the daemons in turn until one answers other than 503. An explanation has no effect, so that
/// any call may be repeated.
absl::StatusOr<edges::client_response> askDaemons(const cell_settings& aSettings,
                                                  const std::string& aBody)
{
  edges::http_client client;
  absl::StatusOr<edges::client_response> last = absl::UnavailableError("no daemon was asked");
  for (const auto& daemon : aSettings.mDaemons) {
    last = client.perform({ .mMethod = "POST",
                            .mAddress = daemon,
                            .mPath = "/explain",
                            .mBody = aBody,
                            .mTimeout = aSettings.mTimeout });
    if (last.ok() && last->mStatus != 503) {
      break;
    }
  }
  return last;
}

std::string amount(const json& aAmount)
{
  return fmt::format(
    "{} thousandths of a core, {} MB, {} accelerators", aAmount.at("cpu_milli").get<std::int64_t>(),
    aAmount.at("memory_mb").get<std::int64_t>(), aAmount.at("accelerators").get<std::int64_t>());
}

/// Returns the names of targets or runs; "..." follows if there are more than the answer lists.
std::string names(const json& aPart, const char* aList, const char* aName, std::size_t aAll)
{
  std::string text;
  std::size_t listed = 0;
  for (const auto& one : aPart.value(aList, json::array())) {
    text += (listed++ == 0 ? ": " : ", ") + one.at(aName).get<std::string>();
    if (one.value("tasks", 0) > 0) {
      text += fmt::format(" ({})", one.at("tasks").get<std::int64_t>());
    }
  }
  return listed > 0 && listed < aAll ? text + ", ..." : text;
}

void printStep(std::ostream& aOut, const json& aStep)
{
  aOut << fmt::format("step {}: {} tasks, band {}, latest start in {} ms, behind {} steps with {} "
                      "tasks\n",
                      aStep.at("step").get<std::int64_t>(), aStep.at("tasks").get<std::int64_t>(),
                      aStep.at("band").get<int>(), aStep.at("latest_start_ms").get<std::int64_t>(),
                      aStep.at("steps_before").get<std::size_t>(),
                      aStep.at("tasks_before").get<std::size_t>());
  const auto taken = aStep.at("taken_targets").get<std::size_t>();
  aOut << fmt::format("  starts now: {} tasks on {} targets{}\n",
                      aStep.at("starts").get<std::size_t>(), taken,
                      names(aStep, "taken", "target", taken));
  if (aStep.contains("waits_for")) {
    aOut << "  the other tasks wait: " << aStep.at("waits_for").get<std::string>() << '\n';
  }
  if (aStep.contains("advice")) {
    const auto& advice = aStep.at("advice");
    const auto targets = advice.at("targets").get<std::size_t>();
    aOut << fmt::format("  advice: about {} targets, {} ms{}\n", targets,
                        advice.at("cost_ms").get<std::int64_t>(),
                        names(advice, "first_targets", "target", targets));
  }
  if (aStep.contains("preempts")) {
    const auto& preempts = aStep.at("preempts");
    const auto runs = preempts.at("runs").get<std::size_t>();
    aOut << fmt::format("  preempts after {} ms: {} runs{}\n",
                        preempts.at("after_ms").get<std::int64_t>(), runs,
                        names(preempts, "first_runs", "task", runs));
  }
  aOut << "  targets:";
  for (const auto& [reason, count] : aStep.at("targets").items()) {
    if (count.get<std::size_t>() > 0) {
      aOut << fmt::format(" {}={}", reason, count.get<std::size_t>());
    }
  }
  const auto& team = aStep.at("team");
  aOut << fmt::format("\n  team: room for {} tasks\n    limit     {} (0: unlimited)\n    in use    "
                      "{}\n    reserved  {}\n",
                      team.at("slots").get<std::size_t>(), amount(team.at("limit")),
                      amount(team.at("used")), amount(team.at("reserved")));
}

void print(std::ostream& aOut, const json& aAnswer)
{
  if (aAnswer.at("admitted").get<bool>()) {
    aOut << "admitted\n";
  } else {
    aOut << fmt::format("rejected: {}; Retry-After: {}\n", aAnswer.at("reason").get<std::string>(),
                        aAnswer.at("retry_after_s").get<std::int64_t>());
  }
  aOut << "age of the view:";
  for (const auto& [name, age] : aAnswer.at("view").items()) {
    aOut << fmt::format(" {}={}", name, age.get<std::int64_t>());
  }
  aOut << '\n';
  const auto& steps = aAnswer.at("steps");
  if (const auto all = aAnswer.at("first_steps").get<std::size_t>(); all > steps.size()) {
    aOut << fmt::format("{} of {} first steps are shown\n", steps.size(), all);
  }
  if (const auto ignored = aAnswer.at("ignored_steps").get<std::size_t>(); ignored > 0) {
    aOut << fmt::format("{} waiting steps before them are not taken into account\n", ignored);
  }
  for (const auto& step : steps) {
    printStep(aOut, step);
  }
}

/// Returns the message of an answer that is no explanation.
std::string errorOf(const edges::client_response& aResponse)
{
  const auto body = json::parse(aResponse.mBody, nullptr, false);
  const auto error = body.is_object() ? body.find("error") : body.end();
  return error != body.end() && error->is_string() ? error->get<std::string>()
                                                   : fmt::format("status {}", aResponse.mStatus);
}

} // namespace

exit_code explainPlacement(command_context& aContext)
{
  command_line line(
    aContext, "explain",
    "Shows where a job would be placed now, and why, without submitting it.\n"
    "The daemons are given by their addresses for other daemons, the first port of\n"
    "port_range; the key is that of the caller's request.");
  const text_arg host("", "host", "Host of the caller's request.", true, "", "HOST", line.parser());
  const text_arg path("", "path", "Path of the caller's request, with the job's id.", true, "",
                      "PATH", line.parser());
  const positional_arg file("file", "File with the body of the caller's request.", true, "", "FILE",
                            line.parser());
  line.parse();
  const auto settings = line.settings();
  json call{ { "host", host.getValue() },
             { "path", path.getValue() },
             { "body", readFile(line, file.getValue()) } };
  if (!settings.mKey.empty()) {
    call["key"] = settings.mKey;
  }
  const auto answer =
    askDaemons(settings, call.dump(-1, ' ', false, json::error_handler_t::replace));
  const auto fail = [&](const std::string& aMessage, exit_code aCode) {
    if (line.json()) {
      aContext.mOut << json{ { "error", aMessage } }.dump(-1, ' ', false,
                                                          json::error_handler_t::replace)
                    << '\n';
    } else {
      aContext.mErrors << "not explained: " << aMessage << '\n';
    }
    return aCode;
  };
  if (!answer.ok()) {
    return fail(std::string(answer.status().message()), exit_code::not_run);
  }
  if (answer->mStatus != 200) {
    return fail(errorOf(*answer), answer->mStatus == 503 ? exit_code::not_run : exit_code::refused);
  }
  if (line.json()) {
    aContext.mOut << answer->mBody << '\n';
    return exit_code::ran;
  }
  try {
    print(aContext.mOut, json::parse(answer->mBody));
  } catch (const json::exception& error) {
    return fail(std::string("malformed answer: ") + error.what(), exit_code::unknown);
  }
  return exit_code::ran;
}

} // namespace endiveusher::ctl::internal
