/// Prints the processor time of a call through http_loop, by the number of cached connections.
///
/// Load pattern: the owner of 350 targets holds a heartbeat open at each, answered after 250 ms,
/// and sends 700 orders a second. Bursts leave several idle connections to each target.

#include "endiveusher/edges/http_loop.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace endiveusher::edges;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kTargets = 350;
constexpr double kOrdersPerSecond = 700;
constexpr milliseconds kHeartbeatWait{ 250 };
constexpr milliseconds kWarmUp{ 2000 };
constexpr milliseconds kDuration{ 5000 };

/// Answers requests on all loopback addresses from one thread, heartbeats after kHeartbeatWait.
class target_server
{
public:
  target_server()
  {
    sockaddr_in address{ .sin_family = AF_INET, .sin_port = 0, .sin_addr = {}, .sin_zero = {} };
    socklen_t length = sizeof address;
    if (::bind(mListener, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
        ::listen(mListener, SOMAXCONN) != 0) {
      throw std::runtime_error("http_loop_bench: cannot listen on loopback");
    }
    ::getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &length);
    mPort = ntohs(address.sin_port);
    watch(mListener);
    mThread = std::jthread([this](const std::stop_token& aStop) { run(aStop); });
  }
  std::string address(int aTarget) const
  {
    return fmt::format("127.0.{}.{}:{}", 1 + aTarget / 100, 1 + aTarget % 100, mPort);
  }

private:
  void watch(int aSocket) const
  {
    epoll_event event{ .events = EPOLLIN, .data = { .fd = aSocket } };
    ::epoll_ctl(mEpoll, EPOLL_CTL_ADD, aSocket, &event);
  }
  void answer(int aSocket) const
  {
    static const std::string kBody(240, ' ');
    static const std::string kAnswer =
      fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", kBody.size(), kBody);
    [[maybe_unused]] const auto sent = ::write(aSocket, kAnswer.data(), kAnswer.size());
  }
  void read(int aSocket)
  {
    std::array<char, 4096> bytes{};
    const auto count = ::read(aSocket, bytes.data(), bytes.size());
    if (count <= 0) {
      ::close(aSocket);
    } else if (std::string_view(bytes.data(), static_cast<std::size_t>(count))
                 .starts_with("POST /hold")) {
      mHeld.emplace_back(steady_clock::now() + kHeartbeatWait, aSocket);
    } else {
      answer(aSocket);
    }
  }
  void run(const std::stop_token& aStop)
  {
    std::array<epoll_event, 256> events{};
    while (!aStop.stop_requested()) {
      const int count = ::epoll_wait(mEpoll, events.data(), static_cast<int>(events.size()), 2);
      for (int at = 0; at < count; ++at) {
        const int socket = events[static_cast<std::size_t>(at)].data.fd;
        if (socket == mListener) {
          watch(::accept(mListener, nullptr, nullptr));
        } else {
          read(socket);
        }
      }
      for (; !mHeld.empty() && mHeld.front().first <= steady_clock::now(); mHeld.pop_front()) {
        answer(mHeld.front().second);
      }
    }
  }

  const int mListener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const int mEpoll = ::epoll_create1(0);
  int mPort = 0;
  std::deque<std::pair<steady_clock::time_point, int>> mHeld;
  std::jthread mThread;
};

std::chrono::duration<double, std::micro> threadTime()
{
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// Plays the load with aConnections idle connections to each target.
void measure(const target_server& aServer, int aConnections)
{
  http_loop loop;
  int completed = 0;
  const auto call = [&](int aTarget, const std::string& aPath, std::function<void()> aNext) {
    loop.send({ .mMethod = "POST",
                .mAddress = aServer.address(aTarget % kTargets),
                .mPath = aPath,
                .mBody = std::string(120, 'x'),
                .mTimeout = milliseconds(4000),
                .mDone = [&completed, next = std::move(aNext)](loop_reply&& aReply) {
                  completed += aReply.ok() ? 1 : 0;
                  next();
                } });
  };
  std::function<void(int)> hold = [&](int aTarget) {
    call(aTarget, "/hold", [&hold, aTarget] { hold(aTarget); });
  };
  for (int target = 0; target < kTargets; ++target) {
    for (int one = 1; one < aConnections; ++one) {
      call(target, "/hold", [] {});
    }
    hold(target);
  }
  const auto start = steady_clock::now();
  int sent = 0;
  int before = -1;
  auto cpuBefore = threadTime();
  for (auto elapsed = steady_clock::duration{}; elapsed < kWarmUp + kDuration;
       elapsed = steady_clock::now() - start) {
    if (before < 0 && elapsed > kWarmUp) {
      before = completed;
      cpuBefore = threadTime();
    }
    for (; sent < std::chrono::duration<double>(elapsed).count() * kOrdersPerSecond; ++sent) {
      call(sent * 37, "/order", [] {});
    }
    loop.run(milliseconds(2));
  }
  const auto calls = completed - before;
  fmt::print("connections_per_target {} calls_per_s {:.0f} cpu_us_per_call {:.1f}\n", aConnections,
             calls / std::chrono::duration<double>(kDuration).count(),
             (threadTime() - cpuBefore).count() / calls);
}

} // namespace

int main()
{
  const target_server server;
  for (const int connections : { 1, 3, 5 }) {
    measure(server, connections);
  }
}
