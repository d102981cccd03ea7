#pragma once

#include <fstream>
#include <sstream>
#include <string>

namespace endiveusher::bench {

/// Measured tables of docs/CAPACITY.md. Each replaces the text between `<!-- NAME:begin -->`
/// and `<!-- NAME:end -->`.
struct capacity_page
{
  std::string mSlopes;
  std::string mTwoYears;
  std::string mStorms;

  /// Writes the tables into the file. Returns false if it cannot be read or written or lacks a
  /// marker; without a marker the file is not changed.
  bool writeInto(const std::string& aPath) const
  {
    std::ifstream input(aPath);
    std::stringstream buffer;
    buffer << input.rdbuf();
    std::string text = buffer.str();
    const bool complete =
      replace(text, "slopes",
              "| role | quantity | slope | at size zero | R² | two-year size | "
              "slope x size |\n|---|---|---|---|---|---|---|\n" +
                mSlopes) &&
      replace(text, "two-years",
              "| load | cpu % | worst cpu % | memory MB | B/s | gossip | peer | "
              "exchange | append | read | vm_list |\n"
              "|---|---|---|---|---|---|---|---|---|---|---|\n" +
                mTwoYears) &&
      replace(text, "storms",
              "| storm | gossip | peer | exchange | append | read | vm_list | "
              "appends | refused | worst cpu % | running after |\n"
              "|---|---|---|---|---|---|---|---|---|---|---|\n" +
                mStorms);
    if (!complete) {
      return false;
    }
    std::ofstream output(aPath);
    output << text;
    return output.good();
  }

private:
  static bool replace(std::string& aText, const std::string& aName, const std::string& aRows)
  {
    const std::string begin = "<!-- " + aName + ":begin -->\n";
    const auto from = aText.find(begin);
    const auto to = aText.find("<!-- " + aName + ":end -->");
    if (from == std::string::npos || to == std::string::npos || to < from) {
      return false;
    }
    const auto first = from + begin.size();
    aText.replace(first, to - first, aRows);
    return true;
  }
};

} // namespace endiveusher::bench
