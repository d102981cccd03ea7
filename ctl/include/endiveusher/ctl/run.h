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
  ran = 0,     ///< Done, or the job ended and all its tasks succeeded.
  usage = 2,   ///< The command line or a file named on it is wrong; nothing was sent.
  not_run = 3, ///< The request was not and will not be carried out; it is safe to retry.
  unknown = 4, ///< The request may have been carried out; ask again with the same id.
  refused = 5, ///< Refused permanently, or the job ended with failed or cancelled tasks.
};

/// Returns the value of an environment variable; absent if it is not set.
using environment = std::function<std::optional<std::string>(const std::string&)>;

/// Runs one command. aArguments excludes the program's name.
///
/// Usage: `return static_cast<int>(run(arguments, environment, std::cout, std::cerr));`
exit_code run(std::span<const std::string> aArguments, const environment& aEnvironment,
              std::ostream& aOut, std::ostream& aErrors);

} // namespace endiveusher::ctl
