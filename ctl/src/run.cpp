#include "endiveusher/ctl/run.h"

#include "command.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace endiveusher::ctl {

namespace {

using internal::command;

constexpr const char* kOverview =
  "endiveusherctl submits work to an endiveusher cell and operates it.\n"
  "\n"
  "Usage: endiveusherctl COMMAND [options]\n"
  "       endiveusherctl COMMAND --help\n";

constexpr const char* kUsageNotes =
  "\nThe daemons are given by --daemons ip:port,... or ENDIVEUSHER_DAEMONS. A key is read from "
  "the\n"
  "file named by --key-file or from ENDIVEUSHER_KEY; it is never given on the command line.\n"
  "\nExit codes: 0 done; 2 wrong usage, nothing was sent; 3 not run, safe to try again; 4 "
  "unknown,\n"
  "ask again with the same id; 5 refused permanently, or the job ended with failed or cancelled\n"
  "tasks.\n";

std::vector<command> allCommands()
{
  std::vector<command> all;
  for (const auto& part : { internal::jobCommands(), internal::operatorCommands() }) {
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

void printOverview(std::ostream& aOut)
{
  aOut << kOverview << "\nCommands:\n";
  for (const auto& entry : allCommands()) {
    aOut << "  " << std::left << std::setw(16) << entry.mName << entry.mSummary << '\n';
  }
  aOut << kUsageNotes;
}

std::string join(std::span<const std::string> aWords)
{
  std::string text;
  for (const auto& word : aWords) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

} // namespace

exit_code run(std::span<const std::string> aArguments, const environment& aEnvironment,
              std::ostream& aOut, std::ostream& aErrors)
{
  if (!aArguments.empty() && (aArguments[0] == "--help" || aArguments[0] == "-h")) {
    printOverview(aOut);
    return exit_code::ran;
  }
  const auto commands = allCommands();
  for (const std::size_t words : { std::size_t{ 2 }, std::size_t{ 1 } }) {
    if (aArguments.size() < words) {
      continue;
    }
    const auto found = std::ranges::find(commands, join(aArguments.first(words)), &command::mName);
    if (found == commands.end()) {
      continue;
    }
    internal::command_context context{
      .mArguments = { aArguments.begin() + static_cast<std::ptrdiff_t>(words), aArguments.end() },
      .mEnvironment = aEnvironment,
      .mOut = aOut,
      .mErrors = aErrors
    };
    try {
      return found->mRun(context);
    } catch (const internal::command_ended& ended) {
      return ended.mCode;
    }
  }
  aErrors << "endiveusherctl: "
          << (aArguments.empty() ? "no command given" : "no such command: " + aArguments[0])
          << "; see endiveusherctl --help\n";
  return exit_code::usage;
}

} // namespace endiveusher::ctl
