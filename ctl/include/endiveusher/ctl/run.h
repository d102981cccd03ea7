#pragma once

#include <functional>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>

namespace endiveusher::ctl {

/// Exit codes of endiveusherctl.
enum class exit_code
{
  ran = 0,     ///< Done, or the job ended well.
  usage = 2,   ///< The command line or a file named on it is wrong; nothing was sent.
  not_run = 3, ///< Nothing of the request ran or will run; it is safe to try again.
  unknown = 4, ///< The request may have run; ask again with the same id.
  refused = 5, ///< Refused for good, or the job ended with failed or cancelled tasks.
};

/// Value of an environment variable.
using environment = std::function<std::optional<std::string>(const std::string&)>;

/// Runs one command. aArguments excludes the program's name.
///
/// Usage: `return static_cast<int>(run(arguments, environment, std::cout, std::cerr));`
exit_code run(std::span<const std::string> aArguments, const environment& aEnvironment,
              std::ostream& aOut, std::ostream& aErrors);

} // namespace endiveusher::ctl
