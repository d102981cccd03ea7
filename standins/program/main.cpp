#include "delayed_answers.h"
#include "endiveusher/edges/http_server.h"
#include "endiveusher/protocol/json.h"
#include "http/platform_services.h"
#include "http/targets_service.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace {

using namespace endiveusher;
using namespace endiveusher::standins;

constexpr const char* kUsage = "Usage: endiveusher-standin log IP:PORT\n"
                               "       endiveusher-standin vms IP:PORT FILE\n"
                               "       endiveusher-standin targets NAME=IP:PORT...\n"
                               "Serves a stand-in of the log, of the VM list (FILE holds the list\n"
                               "as JSON) or of targets until SIGTERM.\n";
constexpr int kUsageError = 2;
/// How much the VM list lags behind the real state.
constexpr auto kVmListLag = std::chrono::milliseconds(500);
constexpr std::size_t kLargestRequest = std::size_t{ 8 } << 20U;

time_point now()
{
  return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

/// The servers of this process.
class servers
{
public:
  void add(const std::string& aAddress, standin_service& aService)
  {
    mServers.push_back(std::make_unique<edges::http_server>(
      edges::http_server_options{
        .mAddress = aAddress, .mThreads = 1, .mMaxRequestBytes = kLargestRequest },
      [this, &aService](edges::http_request aRequest, const edges::responder& aResponder) {
        auto reply = aService.handle({ .mMethod = std::move(aRequest.mMethod),
                                       .mPath = std::move(aRequest.mPath),
                                       .mQuery = std::move(aRequest.mQuery),
                                       .mBody = std::move(aRequest.mBody) },
                                     now());
        edges::http_answer answer{ .mStatus = static_cast<std::uint16_t>(reply.mStatus),
                                   .mBody = std::move(reply.mBody) };
        if (reply.mDelay.count() == 0) {
          aResponder.answer(std::move(answer));
        } else {
          mDelayed.give(aResponder, std::move(answer), reply.mDelay);
        }
      }));
  }

  static void waitForSignal()
  {
    sigset_t ending;
    sigemptyset(&ending);
    sigaddset(&ending, SIGTERM);
    sigaddset(&ending, SIGINT);
    int received = 0;
    sigwait(&ending, &received);
  }

private:
  delayed_answers mDelayed;
  std::vector<std::unique_ptr<edges::http_server>> mServers;
};

int serveVms(const std::string& aAddress, const std::string& aPath)
{
  std::ifstream file(aPath);
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  auto list = protocol::fromJson<vm_list>(text);
  if (!list.ok()) {
    fmt::print(stderr, "{}: {}\n", aPath, std::string(list.status().message()));
    return kUsageError;
  }
  vm_list_service service(kVmListLag, *std::move(list));
  servers all;
  all.add(aAddress, service);
  servers::waitForSignal();
  return EXIT_SUCCESS;
}

int serveTargets(std::span<const std::string> aTargets)
{
  std::vector<target_options> options;
  for (const auto& target : aTargets) {
    options.push_back({ .mTarget = target.substr(0, target.find('=')) });
  }
  targets_service service(options, now());
  servers all;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    all.add(aTargets[i].substr(aTargets[i].find('=') + 1), service.endpoint(i));
  }
  servers::waitForSignal();
  return EXIT_SUCCESS;
}

int run(const std::vector<std::string>& aWords)
{
  // Before any thread, which inherits the mask.
  sigset_t ending;
  sigemptyset(&ending);
  sigaddset(&ending, SIGTERM);
  sigaddset(&ending, SIGINT);
  pthread_sigmask(SIG_BLOCK, &ending, nullptr);
  if (aWords.size() == 2 && aWords[0] == "log") {
    log_service service{ log_options{} };
    servers all;
    all.add(aWords[1], service);
    servers::waitForSignal();
    return EXIT_SUCCESS;
  }
  if (aWords.size() == 3 && aWords[0] == "vms") {
    return serveVms(aWords[1], aWords[2]);
  }
  if (aWords.size() >= 2 && aWords[0] == "targets") {
    return serveTargets(std::span(aWords).subspan(1));
  }
  fmt::print(stderr, "{}", kUsage);
  return kUsageError;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  try {
    return run({ aArgv + 1, aArgv + aArgc });
  } catch (const std::exception& error) {
    fmt::print(stderr, "endiveusher-standin: {}\n", error.what());
    return EXIT_FAILURE;
  }
}
