#include "connection_registry.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace endiveusher::edges::internal {

namespace {

/// Longest time between two visits of a connection; the resolution of the timeouts.
constexpr std::chrono::milliseconds kMaintenanceInterval{ 100 };

/// Descriptors that each server holds back for other uses while the system refuses further ones:
/// the store, advice and the owner take a few connections each.
constexpr std::size_t kReservedDescriptors = 16;

int createEventFd()
{
  const int fd = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (fd < 0) {
    throw std::runtime_error("http_server: cannot create an eventfd");
  }
  return fd;
}

} // namespace

connection_registry::connection_registry(std::shared_ptr<memory_budget> aBudget)
  : mBudget(std::move(aBudget)), mWakeFd(createEventFd()), mGate(kReservedDescriptors),
    mThread([this] { run(); })
{
}

connection_registry::~connection_registry()
{
  stop();
  ::close(mWakeFd);
}

void connection_registry::add(std::shared_ptr<connection> aConnection)
{
  const std::lock_guard lock(mMutex);
  mConnections.insert(std::move(aConnection));
}

void connection_registry::appendTo(std::vector<std::shared_ptr<sheddable>>& aHolders) const
{
  const std::lock_guard lock(mMutex);
  aHolders.insert(aHolders.end(), mConnections.begin(), mConnections.end());
}

void connection_registry::remove(const std::shared_ptr<connection>& aConnection)
{
  const std::lock_guard lock(mMutex);
  mConnections.erase(aConnection);
}

void connection_registry::wake() const
{
  const std::uint64_t one = 1;
  // Fails only if the counter is saturated, in which case the thread is already awake.
  [[maybe_unused]] const auto bytes = ::write(mWakeFd, &one, sizeof one);
}

bool connection_registry::anyBusy() const
{
  return std::ranges::any_of(snapshot(), [](const auto& aOne) { return aOne->busy(); });
}

stop_report connection_registry::answerStopped()
{
  stop_report report;
  for (const auto& one : snapshot()) {
    one->answerStopped(report);
  }
  return report;
}

std::size_t connection_registry::countUnsent() const
{
  const auto all = snapshot();
  return static_cast<std::size_t>(
    std::ranges::count_if(all, [](const auto& aOne) { return aOne->socketToWrite() >= 0; }));
}

bool connection_registry::containsSocket(int aSocket) const
{
  const std::lock_guard lock(mMutex);
  return std::ranges::any_of(mConnections,
                             [aSocket](const auto& aOne) { return aOne->socket() == aSocket; });
}

void connection_registry::closeAll()
{
  for (const auto& one : snapshot()) {
    one->close();
    one->closeSocket();
    remove(one);
  }
}

void connection_registry::stop()
{
  mStopped = true;
  wake();
  if (mThread.joinable()) {
    mThread.join();
  }
}

std::vector<std::shared_ptr<connection>> connection_registry::snapshot() const
{
  const std::lock_guard lock(mMutex);
  return { mConnections.begin(), mConnections.end() };
}

void connection_registry::run()
{
  std::vector<pollfd> sockets;
  while (!mStopped) {
    sockets.assign(1, { .fd = mWakeFd, .events = POLLIN, .revents = 0 });
    for (const auto& one : snapshot()) {
      if (const int socket = one->socketToWrite(); socket >= 0) {
        sockets.push_back({ .fd = socket, .events = POLLOUT, .revents = 0 });
      }
    }
    ::poll(sockets.data(), sockets.size(), static_cast<int>(kMaintenanceInterval.count()));
    std::uint64_t wakes = 0;
    [[maybe_unused]] const auto bytes = ::read(mWakeFd, &wakes, sizeof wakes);
    const auto now = std::chrono::steady_clock::now();
    mGate.update(now);
    for (const auto& one : snapshot()) {
      one->maintain(now);
    }
    // Answers are buffered also beyond the limit: a connection cannot shed others while it sends.
    if (mBudget && mBudget->used() > mBudget->limit()) {
      mBudget->makeRoom(0, nullptr);
    }
  }
}

} // namespace endiveusher::edges::internal
