#pragma once

#include "endiveusher/ctl/run.h"

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace endiveusher::ctl::internal {

/// Arguments, environment and output streams of a command.
struct command_context
{
  /// Words after the command's name.
  std::vector<std::string> mArguments;
  environment mEnvironment;
  std::ostream& mOut;
  std::ostream& mErrors;
};

struct command
{
  /// One or two words.
  std::string mName;
  std::string mSummary;
  exit_code (*mRun)(command_context&);
};

/// Thrown to end a command early, after its message has been printed.
struct command_ended
{
  exit_code mCode;
};

/// See explain_command.cpp.
exit_code explainPlacement(command_context& aContext);

std::span<const command> jobCommands();
std::span<const command> operatorCommands();

} // namespace endiveusher::ctl::internal
