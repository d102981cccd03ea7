#include "soak/soak_cell.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <sstream>

using namespace endiveusher;
using namespace endiveusher::standins;

int main(int aArgc, char** aArgv)
{
  try {
    TCLAP::CmdLine line(
      "Runs daemon_core instances in simulated time and checks the invariants M1 to M11", ' ');
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "number", line);
    TCLAP::ValueArg<std::uint64_t> runs("", "runs", "number of seeds", false, 1, "number", line);
    TCLAP::ValueArg<std::uint32_t> seconds("", "seconds", "time with load and faults", false, 60,
                                           "s", line);
    TCLAP::ValueArg<std::uint32_t> daemons("", "daemons", "daemons", false, 6, "number", line);
    TCLAP::ValueArg<std::uint32_t> zones("", "zones", "zones", false, 3, "number", line);
    TCLAP::ValueArg<double> jobs("", "jobs", "jobs per second", false, 5.0, "number", line);
    TCLAP::ValueArg<std::uint32_t> trace("", "trace", "number of trace lines kept", false, 60, "n",
                                         line);
    TCLAP::SwitchArg print("", "print", "print the trace even without a violation", line);
    TCLAP::ValueArg<std::string> faults(
      "", "fault", "kinds of fault, separated by commas, or `all`", false, "", "NAME[,NAME]", line);
    line.parse(aArgc, aArgv);

    soak_options options{ .mLength = std::chrono::seconds(seconds.getValue()),
                          .mDaemons = daemons.getValue(),
                          .mZones = zones.getValue(),
                          .mJobsPerSecond = jobs.getValue(),
                          .mTraceLines = trace.getValue() };
    std::istringstream names(faults.getValue());
    for (std::string name; std::getline(names, name, ',');) {
      const auto known = parseFault(name);
      if (!known && name != "all") {
        std::cerr << "unknown kind of fault: " << name << "\n";
        return 2;
      }
      for (std::size_t each = 0; each < kFaultCount; ++each) {
        if (!known || static_cast<std::size_t>(*known) == each) {
          options.mFaults.insert(static_cast<fault>(each));
        }
      }
    }
    bool clean = true;
    for (std::uint64_t run = 0; run < runs.getValue(); ++run) {
      options.mSeed = seed.getValue() + run;
      const auto result = soak_cell(options, coreFactory<all_guards>()).run();
      std::cout << "seed " << options.mSeed;
      for (const auto& [name, count] : result.mCounts) {
        std::cout << " " << name << "=" << count;
      }
      std::cout << " violations=" << result.mViolations.size() << "\n";
      for (const auto& violation : result.mViolations) {
        std::cout << "  " << violation.mInvariant << " at " << violation.mAt.count() / 1000
                  << " ms: " << violation.mText << "\n";
      }
      if (print.getValue() || !result.mViolations.empty()) {
        for (const auto& entry : result.mTrace) {
          std::cout << "    " << entry << "\n";
        }
      }
      std::cout << std::flush;
      clean = clean && result.mViolations.empty();
    }
    return clean ? 0 : 1;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " for argument " << error.argId() << "\n";
    return 2;
  }
}
