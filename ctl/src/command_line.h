#pragma once

#include "cell_client.h"
#include "command.h"

#include <tclap/CmdLine.h>

#include <chrono>
#include <memory>
#include <string>

namespace endiveusher::ctl::internal {

/// The command line of one command: TCLAP with the options that all commands share.
///
/// Usage:
///   command_line line(aContext, "cancel", "Cancels a job.");
///   TCLAP::UnlabeledValueArg<std::string> id("id", "Request id.", true, "", "ID", line.parser());
///   line.parse();
class command_line
{
public:
  command_line(command_context& aContext, const std::string& aName,
               const std::string& aDescription);
  ~command_line();

  TCLAP::CmdLine& parser() { return mParser; }
  /// Throws command_ended after --help and after wrong usage.
  void parse();
  /// Prints aMessage and throws command_ended with exit_code::usage.
  [[noreturn]] void fail(const std::string& aMessage) const;

  /// Returns the daemons, key and time limit given by options or environment. Calls fail() if they
  /// are invalid.
  cell_settings settings() const;
  bool json() const { return mJson.getValue(); }
  command_context& context() const { return mContext; }

private:
  std::string readKey() const;

  command_context& mContext;
  std::string mName;
  std::unique_ptr<TCLAP::CmdLineOutput> mOutput;
  TCLAP::CmdLine mParser;
  TCLAP::SwitchArg mJson;
  TCLAP::ValueArg<double> mTimeout;
  TCLAP::ValueArg<std::string> mKeyFile;
  TCLAP::ValueArg<std::string> mDaemons;
};

/// Returns the first line of a file, without the line end. Calls aLine.fail if it is empty or
/// cannot be read.
std::string readKeyFile(const command_line& aLine, const std::string& aPath);

/// Parses a time such as `500ms`, `90s`, `15m` or `2h`. Calls aLine.fail if aText has another form.
std::chrono::milliseconds parseTime(const command_line& aLine, const std::string& aOption,
                                    const std::string& aText);

} // namespace endiveusher::ctl::internal
