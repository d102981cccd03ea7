#pragma once

#include "cell_client.h"
#include "command_line.h"

#include <string>
#include <vector>

namespace endiveusher::ctl::internal {

/// Text table, printed in columns as wide as their longest entry.
class table
{
public:
  explicit table(std::vector<std::string> aTitles) { mRows.push_back(std::move(aTitles)); }
  void add(std::vector<std::string> aRow) { mRows.push_back(std::move(aRow)); }
  void print(std::ostream& aOut) const;

private:
  std::vector<std::vector<std::string>> mRows;
};

/// Prints the outcome of a call as JSON or as text and returns its exit code. Errors go to the
/// error stream, with --json to the output stream.
exit_code report(const command_line& aLine, const outcome& aOutcome);

/// Returns the exit code of a call by the class and error of its answer.
exit_code exitCodeOf(const outcome& aOutcome);

} // namespace endiveusher::ctl::internal
