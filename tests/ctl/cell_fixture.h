#pragma once

#include "endiveusher/ctl/run.h"
#include "endiveusher/edges/call_api.h"
#include "endiveusher/edges/http_server.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace endiveusher::ctl {

/// Daemon whose answers the test chooses. Without an answer, the caller's connection is closed.
class fake_daemon
{
public:
  using answer_function = std::function<std::optional<answer>(const call&)>;

  explicit fake_daemon(answer_function aAnswerFunction)
    : mAnswerFunction(std::move(aAnswerFunction)),
      mServer({}, edges::call_api({ .mSubmit =
                                      [this](call aCall, const edges::answer_sink& aSink) {
                                        const std::lock_guard lock(mMutex);
                                        mCalls.push_back(aCall);
                                        if (const auto reply = mAnswerFunction(aCall)) {
                                          aSink(*reply);
                                        }
                                      },
                                    .mMetrics = [] { return std::string("up 1\n"); } })
                    .handler())
  {
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(mServer.port()); }
  void stop() { mServer.stop(); }
  template<typename Call>
  std::vector<Call> calls()
  {
    const std::lock_guard lock(mMutex);
    std::vector<Call> found;
    for (const auto& one : mCalls) {
      if (const auto* match = std::get_if<Call>(&one)) {
        found.push_back(*match);
      }
    }
    return found;
  }

private:
  std::mutex mMutex;
  std::vector<call> mCalls;
  answer_function mAnswerFunction;
  edges::http_server mServer;
};

/// Runs commands in-process and captures their output.
struct cell_fixture
{
  exit_code run(std::vector<std::string> aArguments)
  {
    mOut.str("");
    mErrors.str("");
    const auto environment = [this](const std::string& aName) -> std::optional<std::string> {
      if (aName == "ENDIVEUSHER_DAEMONS") {
        return mDaemons;
      }
      return aName == "ENDIVEUSHER_KEY" ? std::optional(mKey) : std::nullopt;
    };
    return ctl::run(aArguments, environment, mOut, mErrors);
  }
  bool printed(const std::string& aText) const
  {
    return mOut.str().find(aText) != std::string::npos;
  }

  std::string mDaemons;
  std::string mKey = "secret";
  std::ostringstream mOut;
  std::ostringstream mErrors;
};

/// Temporary file that is removed with this object.
class temporary_file
{
public:
  explicit temporary_file(const std::string& aText)
  {
    std::string name = std::filesystem::temp_directory_path() / "endiveusher-XXXXXX";
    const int descriptor = ::mkstemp(name.data());
    if (descriptor >= 0) {
      ::close(descriptor);
    }
    mPath = name;
    std::ofstream(mPath) << aText;
  }
  ~temporary_file() { std::filesystem::remove(mPath); }
  temporary_file(const temporary_file&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;
  const std::string& path() const { return mPath; }

private:
  std::string mPath;
};

} // namespace endiveusher::ctl
