#include "endiveusher/ctl/run.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <vector>

int main(int aArgc, char** aArgv)
{
  using namespace endiveusher::ctl;
  try {
    const std::vector<std::string> arguments(aArgv + 1, aArgv + aArgc);
    const auto code = run(
      arguments,
      [](const std::string& aName) -> std::optional<std::string> {
        const char* value = std::getenv(aName.c_str());
        return value == nullptr ? std::nullopt : std::optional<std::string>(value);
      },
      std::cout, std::cerr);
    return static_cast<int>(code);
  } catch (const std::exception& exception) {
    std::cerr << "endiveusherctl: " << exception.what() << '\n';
    // An unexpected failure may occur after a request was sent.
    return static_cast<int>(exit_code::unknown);
  }
}
