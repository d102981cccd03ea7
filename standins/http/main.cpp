#include "endiveusher/edges/http_server.h"
#include "http/delayed_replies.h"
#include "http/platform_services.h"
#include "http/targets_service.h"

#include "endiveusher/protocol/json.h"

#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

using namespace endiveusher;
using namespace endiveusher::standins;

namespace {

time_point now()
{
  return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

std::unique_ptr<edges::http_server> serve(const std::string& aIp, std::uint32_t aPort,
                                          standin_service& aService, delayed_replies& aReplies)
{
  return std::make_unique<edges::http_server>(
    edges::http_server_options{ .mAddress = aIp + ":" + std::to_string(aPort), .mThreads = 1 },
    [&](edges::http_request aRequest, const edges::responder& aResponder) {
      auto reply = aService.handle({ .mMethod = std::move(aRequest.mMethod),
                                     .mPath = std::move(aRequest.mPath),
                                     .mQuery = std::move(aRequest.mQuery),
                                     .mBody = std::move(aRequest.mBody) },
                                   now());
      const auto delay = reply.mDelay;
      aReplies.after(delay, [aResponder, reply = std::move(reply)] {
        aResponder.answer(
          { .mStatus = static_cast<std::uint16_t>(reply.mStatus), .mBody = reply.mBody });
      });
    });
}

/// Prints the port and waits for SIGTERM or SIGINT.
void waitForSignal(const std::vector<std::unique_ptr<edges::http_server>>& aServers)
{
  std::cout << "listening on port " << aServers.front()->port() << std::endl;
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

vm_list parseVms(const std::string& aFile, const std::vector<std::string>& aEntries)
{
  vm_list list;
  if (!aFile.empty()) {
    std::ifstream file(aFile);
    const std::string text{ std::istreambuf_iterator<char>(file), {} };
    auto parsed = protocol::fromJson<vm_list>(text);
    if (!parsed.ok()) {
      throw std::runtime_error(aFile + ": " + std::string(parsed.status().message()));
    }
    list = std::move(*parsed);
  }
  for (const auto& entry : aEntries) {
    vm_entry vm;
    std::string role;
    std::istringstream parts(entry);
    std::getline(parts, vm.mName, ',');
    std::getline(parts, vm.mZone, ',');
    std::getline(parts, role, ',');
    if (!std::getline(parts, vm.mAddress, ',') || (role != "entry" && role != "target")) {
      throw std::runtime_error(entry + ": expected name,zone,entry|target,ip:port");
    }
    vm.mRole = role == "entry" ? vm_role::entry : vm_role::target;
    list.mVms.push_back(vm);
  }
  return list;
}

void run(const std::string& aKind, std::vector<std::string>& aArguments)
{
  TCLAP::CmdLine line("Stand-in for the " + aKind, ' ');
  TCLAP::ValueArg<std::string> ip("", "ip", "address to listen on", false, "127.0.0.1", "ip", line);
  TCLAP::ValueArg<std::uint32_t> port("", "port", "first port; 0 selects free ports", false, 0,
                                      "port", line);
  delayed_replies replies;
  std::vector<std::unique_ptr<edges::http_server>> servers;
  if (aKind == "log") {
    TCLAP::ValueArg<std::int64_t> retention("", "retention-s", "", false, 3600, "s", line);
    TCLAP::ValueArg<double> rate("", "appends-per-second", "", false, 400, "number", line);
    line.parse(aArguments);
    log_service service({ .mRetention = std::chrono::seconds(retention.getValue()),
                          .mAppendsPerSecond = rate.getValue() });
    servers.push_back(serve(ip.getValue(), port.getValue(), service, replies));
    waitForSignal(servers);
    servers.clear();
  } else if (aKind == "vms") {
    TCLAP::ValueArg<std::int64_t> lag("", "lag-ms", "", false, 1000, "ms", line);
    TCLAP::ValueArg<std::string> file("", "file", "list as JSON", false, "", "path", line);
    TCLAP::MultiArg<std::string> vms("", "vm", "name,zone,entry|target,ip:port", false, "vm", line);
    line.parse(aArguments);
    vm_list_service service(std::chrono::milliseconds(lag.getValue()),
                            parseVms(file.getValue(), vms.getValue()));
    servers.push_back(serve(ip.getValue(), port.getValue(), service, replies));
    waitForSignal(servers);
    servers.clear();
  } else {
    TCLAP::ValueArg<std::uint32_t> count("", "count", "number of targets", false, 1, "number",
                                         line);
    TCLAP::ValueArg<std::string> prefix("", "prefix", "prefix of the target names", false, "t",
                                        "text", line);
    TCLAP::ValueArg<std::int64_t> slots("", "slots", "", false, 8, "number", line);
    TCLAP::ValueArg<std::int64_t> cpu("", "cpu-milli", "", false, 32'000, "number", line);
    TCLAP::ValueArg<std::int64_t> memory("", "memory-mb", "", false, 64'000, "MB", line);
    TCLAP::ValueArg<std::int64_t> accelerators("", "accelerators", "", false, 0, "number", line);
    TCLAP::SwitchArg accepting("", "accept-all", "execute all orders without checks", line);
    line.parse(aArguments);
    std::vector<target_options> options;
    for (std::uint32_t index = 1; index <= count.getValue(); ++index) {
      options.push_back(
        { .mTarget = prefix.getValue() + std::to_string(index),
          .mCapacity = { slots.getValue(), cpu.getValue(), memory.getValue(),
                         accelerators.getValue() },
          .mRefuses = accepting.getValue() ? target_refusals::none() : target_refusals{} });
    }
    targets_service service(options, now());
    for (std::uint32_t index = 0; index < count.getValue(); ++index) {
      const auto targetPort = port.getValue() == 0 ? 0 : port.getValue() + index;
      servers.push_back(serve(ip.getValue(), targetPort, service.endpoint(index), replies));
    }
    waitForSignal(servers);
    servers.clear();
  }
}

} // namespace

int main(int aArgc, char** aArgv)
{
  // Blocked before any thread starts, so that only waitForSignal receives these signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::vector<std::string> arguments(aArgv, aArgv + aArgc);
  const std::string kind = aArgc > 1 ? arguments[1] : "";
  if (kind != "log" && kind != "vms" && kind != "targets") {
    std::cerr << "usage: endiveusher-standin log|vms|targets [--help]\n";
    return 2;
  }
  arguments.erase(arguments.begin() + 1);
  try {
    run(kind, arguments);
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "endiveusher-standin " << kind << ": " << error.what() << "\n";
  }
  return 1;
}
