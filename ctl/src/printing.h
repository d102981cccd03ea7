#pragma once

#include "cell_client.h"
#include "command_line.h"

#include <string>
#include <vector>

namespace endiveusher::ctl::internal {

/// Rows of cells, printed in columns as wide as their widest cell.
class table
{
public:
  explicit table(std::vector<std::string> aTitles) { mRows.push_back(std::move(aTitles)); }
  void add(std::vector<std::string> aRow) { mRows.push_back(std::move(aRow)); }
  void print(std::ostream& aOut) const;

private:
  std::vector<std::vector<std::string>> mRows;
};

/// Prints what came of a call, as JSON or as text, and returns its exit code. Errors go to the
/// error stream unless JSON is asked for.
exit_code report(const command_line& aLine, const outcome& aOutcome);

/// Exit code of a call by the class and error of its answer.
exit_code codeOf(const outcome& aOutcome);

} // namespace endiveusher::ctl::internal
