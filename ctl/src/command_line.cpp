#include "command_line.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <ranges>
#include <sstream>

namespace endiveusher::ctl::internal {

namespace {

/// Prints help to the command's output stream.
class help_output : public TCLAP::CmdLineOutput
{
public:
  help_output(std::ostream& aOut, std::string aName) : mOut(aOut), mName(std::move(aName)) {}

  void usage(TCLAP::CmdLineInterface& aLine) override
  {
    std::ostringstream own;
    std::ostringstream shared;
    std::string positional;
    for (TCLAP::Arg* argument : std::views::reverse(aLine.getArgList())) {
      const std::string name = argument->getName();
      if (name == "ignore_rest" || name == "version") {
        continue;
      }
      const std::string id = argument->longID();
      if (id.find("--") == std::string::npos) {
        positional += " " + id;
      }
      static constexpr const char* kShared[] = { "help", "json", "timeout", "key-file", "daemons" };
      auto& section = std::ranges::find(kShared, name) == std::end(kShared) ? own : shared;
      // TCLAP adds remarks such as "(required)" to names and descriptions.
      const std::string description = argument->getDescription();
      const auto remark = description.starts_with("(required)") ? std::strlen("(required)") : 0;
      section << "  " << std::left << std::setw(30) << id.substr(0, id.find("  (")) << ' '
              << description.substr(description.find_first_not_of(' ', remark)) << '\n';
    }
    mOut << "Usage: endiveusherctl " << mName << positional << " [options]\n\n"
         << aLine.getMessage() << "\n\n"
         << own.str() << shared.str();
  }
  void version(TCLAP::CmdLineInterface& aLine) override { mOut << aLine.getVersion() << '\n'; }
  void failure(TCLAP::CmdLineInterface& /*aLine*/, TCLAP::ArgException& /*aException*/) override {}

private:
  std::ostream& mOut;
  std::string mName;
};

std::vector<std::string> split(const std::string& aList)
{
  std::vector<std::string> parts;
  std::istringstream stream(aList);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

} // namespace

command_line::command_line(command_context& aContext, const std::string& aName,
                           const std::string& aDescription)
  : mContext(aContext), mName(aName), mOutput(std::make_unique<help_output>(aContext.mOut, aName)),
    mParser(aDescription, ' ', "0.1.0"), mJson("", "json", "Print the answer as JSON.", mParser),
    mTimeout("", "timeout", "Time limit of one attempt at one daemon. Default: 5.", false, 5.0,
             "SECONDS", mParser),
    mKeyFile("", "key-file", "File with the key on its first line. Default: ENDIVEUSHER_KEY.",
             false, "", "FILE", mParser),
    mDaemons("", "daemons", "Daemons, in order of preference. Default: ENDIVEUSHER_DAEMONS.", false,
             "", "IP:PORT,...", mParser)
{
  mParser.setExceptionHandling(false);
  mParser.setOutput(mOutput.get());
}

command_line::~command_line() = default;

void command_line::parse()
{
  std::vector<std::string> words{ mName };
  words.insert(words.end(), mContext.mArguments.begin(), mContext.mArguments.end());
  try {
    mParser.parse(words);
  } catch (const TCLAP::ArgException& exception) {
    fail(exception.error() + (exception.argId() == " " ? "" : " " + exception.argId()));
  } catch (const TCLAP::ExitException&) {
    throw command_ended{ exit_code::ran };
  }
}

void command_line::fail(const std::string& aMessage) const
{
  mContext.mErrors << "endiveusherctl " << mName << ": " << aMessage << '\n';
  throw command_ended{ exit_code::usage };
}

cell_settings command_line::settings() const
{
  const std::string daemons = mDaemons.isSet()
                                ? mDaemons.getValue()
                                : mContext.mEnvironment("ENDIVEUSHER_DAEMONS").value_or("");
  cell_settings settings{ .mDaemons = split(daemons), .mKey = readKey() };
  if (settings.mDaemons.empty()) {
    fail("no daemons given; use --daemons or ENDIVEUSHER_DAEMONS");
  }
  if (!(mTimeout.getValue() > 0 && mTimeout.getValue() <= 3600)) {
    fail("--timeout must be above 0 and at most 3600 seconds");
  }
  settings.mTimeout = std::chrono::milliseconds(
    std::max<std::int64_t>(1, static_cast<std::int64_t>(mTimeout.getValue() * 1000)));
  return settings;
}

std::string command_line::readKey() const
{
  std::string key = mKeyFile.isSet() ? readKeyFile(*this, mKeyFile.getValue())
                                     : mContext.mEnvironment("ENDIVEUSHER_KEY").value_or("");
  // A line end in the key would inject another line into the HTTP header.
  if (!std::ranges::all_of(key, [](unsigned char aChar) { return aChar > 0x20 && aChar < 0x7F; })) {
    fail("the key contains spaces, control characters or characters outside ASCII");
  }
  return key;
}

std::string readKeyFile(const command_line& aLine, const std::string& aPath)
{
  std::ifstream file(aPath);
  std::string key;
  if (!file || !std::getline(file, key)) {
    aLine.fail("cannot read a key from " + aPath);
  }
  key.erase(std::find(key.begin(), key.end(), '\r'), key.end());
  if (key.empty()) {
    aLine.fail("the first line of " + aPath + " is empty");
  }
  return key;
}

std::chrono::milliseconds parseTime(const command_line& aLine, const std::string& aOption,
                                    const std::string& aText)
{
  double number = 0;
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  const std::string unit(parsed.ptr, end);
  const double factor = unit == "ms"  ? 1
                        : unit == "s" ? 1e3
                        : unit == "m" ? 60e3
                        : unit == "h" ? 3600e3
                                      : 0;
  constexpr double kMaxMs = 1e12;
  if (parsed.ec != std::errc() || factor == 0 || !(number >= 0 && number * factor <= kMaxMs)) {
    aLine.fail(aOption + " takes a time such as 500ms, 90s, 15m or 2h, not '" + aText + "'");
  }
  return std::chrono::milliseconds(static_cast<std::int64_t>(number * factor));
}

} // namespace endiveusher::ctl::internal
