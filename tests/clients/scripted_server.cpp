#include "tests/clients/scripted_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <mutex>
#include <netinet/in.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace endiveusher::testing {

namespace {

/// Binds a socket to a free loopback port; returns the socket and its address.
std::pair<int, std::string> bindFreePort()
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (fd < 0 || bind(fd, generic, size) != 0 || getsockname(fd, generic, &size) != 0) {
    throw std::runtime_error("cannot bind a free loopback port");
  }
  return { fd, "127.0.0.1:" + std::to_string(ntohs(address.sin_port)) };
}

} // namespace

std::string unusedAddress()
{
  const auto [fd, address] = bindFreePort();
  close(fd);
  return address;
}

class scripted_server::impl
{
public:
  explicit impl(std::function<scripted_answer(const received_request&)> aScript)
    : mScript(std::move(aScript))
  {
    std::tie(mListener, mAddress) = bindFreePort();
    listen(mListener, 16);
    mAcceptor = std::thread([this] { acceptAll(); });
  }

  ~impl()
  {
    stopListening();
    {
      const std::lock_guard lock(mMutex);
      for (const int fd : mOpenFds) {
        shutdown(fd, SHUT_RDWR);
      }
    }
    for (auto& thread : mConnectionThreads) {
      thread.join();
    }
  }

  void stopListening()
  {
    if (mAcceptor.joinable()) {
      shutdown(mListener, SHUT_RDWR);
      mAcceptor.join();
      close(mListener);
    }
  }

  const std::function<scripted_answer(const received_request&)> mScript;
  std::string mAddress;
  int mListener = -1;
  std::atomic<int> mConnections{ 0 };
  std::atomic<int> mMaxOpenConnections{ 0 };

private:
  void acceptAll()
  {
    for (int fd = 0; (fd = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
      const std::lock_guard lock(mMutex);
      mOpenFds.push_back(fd);
      mMaxOpenConnections = std::max(mMaxOpenConnections.load(), static_cast<int>(mOpenFds.size()));
      mConnectionThreads.emplace_back([this, fd, number = ++mConnections] { serve(fd, number); });
    }
  }

  void serve(int aFd, int aConnection)
  {
    std::string input;
    bool silent = false;
    for (int number = 1;; ++number) {
      const auto request = readRequest(aFd, input);
      if (!request) {
        break;
      }
      if (silent) {
        continue;
      }
      std::unique_lock lock(mScriptMutex);
      const auto answer = mScript({ .mConnection = aConnection,
                                    .mNumber = number,
                                    .mTarget = request->first,
                                    .mBody = request->second });
      if (answer.mReaction == reaction::close) {
        break;
      }
      silent = answer.mReaction != reaction::answer;
      if (answer.mReaction == reaction::headers || answer.mReaction == reaction::pieces) {
        constexpr std::string_view kHeaders = "HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n";
        send(aFd, kHeaders.data(), kHeaders.size(), MSG_NOSIGNAL);
      }
      if (answer.mReaction == reaction::pieces) {
        lock.unlock();
        for (auto piece = answer.mNextPiece(); !piece.empty(); piece = answer.mNextPiece()) {
          send(aFd, piece.data(), piece.size(), MSG_NOSIGNAL);
        }
      }
      if (!silent) {
        const std::string text = "HTTP/1.1 " + std::to_string(answer.mStatus) +
                                 " X\r\nContent-Length: " + std::to_string(answer.mBody.size()) +
                                 "\r\n\r\n" + answer.mBody;
        send(aFd, text.data(), text.size(), MSG_NOSIGNAL);
      }
    }
    const std::lock_guard lock(mMutex);
    std::erase(mOpenFds, aFd);
    close(aFd);
  }

  /// Reads the next request and returns its target and body; absent at the end of the connection.
  static std::optional<std::pair<std::string, std::string>> readRequest(int aFd,
                                                                        std::string& aInput)
  {
    std::size_t requiredBytes = 0;
    for (;;) {
      const auto end = aInput.find("\r\n\r\n");
      if (end != std::string::npos && requiredBytes == 0) {
        const auto length = aInput.find("Content-Length: ");
        requiredBytes = end + 4 + (length < end ? std::stoul(aInput.substr(length + 16)) : 0);
      }
      if (requiredBytes != 0 && aInput.size() >= requiredBytes) {
        const auto from = aInput.find(' ') + 1;
        std::pair result{ aInput.substr(from, aInput.find(' ', from) - from),
                          aInput.substr(end + 4, requiredBytes - end - 4) };
        aInput.erase(0, requiredBytes);
        return result;
      }
      std::array<char, 4096> buffer{};
      const auto got = recv(aFd, buffer.data(), buffer.size(), 0);
      if (got <= 0) {
        return std::nullopt;
      }
      aInput.append(buffer.data(), static_cast<std::size_t>(got));
    }
  }

  std::mutex mMutex;
  std::mutex mScriptMutex;
  std::vector<int> mOpenFds;
  std::vector<std::thread> mConnectionThreads;
  std::thread mAcceptor;
};

scripted_server::scripted_server(std::function<scripted_answer(const received_request&)> aScript)
  : mImpl(std::make_unique<impl>(std::move(aScript)))
{
}

scripted_server::~scripted_server() = default;

std::string scripted_server::address() const
{
  return mImpl->mAddress;
}

int scripted_server::connections() const
{
  return mImpl->mConnections;
}

int scripted_server::maxOpenConnections() const
{
  return mImpl->mMaxOpenConnections;
}

void scripted_server::stopListening()
{
  mImpl->stopListening();
}

} // namespace endiveusher::testing
