#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace endiveusher::edges {

/// TCP connection to a server on loopback that sends and receives raw bytes.
class raw_client
{
public:
  explicit raw_client(std::uint16_t aPort) : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    mConnected = ::connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  }
  ~raw_client() { disconnect(); }
  raw_client(const raw_client&) = delete;
  raw_client& operator=(const raw_client&) = delete;

  void disconnect()
  {
    if (mSocket >= 0) {
      ::close(mSocket);
    }
    mSocket = -1;
  }
  bool send(std::string_view aBytes) const
  {
    while (!aBytes.empty()) {
      const auto sent = ::send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return mConnected;
  }
  /// Receives until mReceived contains aText; false if the connection ends or times out before.
  bool receiveUntil(std::string_view aText)
  {
    while (mReceived.find(aText) == std::string::npos) {
      if (!receiveSome()) {
        return false;
      }
    }
    return true;
  }
  /// Receives one complete answer and returns its body, or a description of what is missing.
  std::string receiveAnswer()
  {
    if (!receiveUntil("\r\n\r\n")) {
      return "no answer: " + mReceived;
    }
    const auto bodyAt = mReceived.find("\r\n\r\n") + 4;
    const auto lengthAt = mReceived.find("Content-Length: ") + 16;
    const auto end = bodyAt + std::stoul(mReceived.substr(lengthAt));
    while (mReceived.size() < end) {
      if (!receiveSome()) {
        return "truncated answer";
      }
    }
    mHead = mReceived.substr(0, bodyAt);
    auto body = mReceived.substr(bodyAt, end - bodyAt);
    mReceived.erase(0, end);
    return body;
  }
  int socket() const { return mSocket; }
  /// Status of the last answer received.
  int status() const { return mHead.size() > 12 ? std::stoi(mHead.substr(9, 3)) : 0; }
  /// Waits for more data; true if the server closes the connection without sending any.
  bool ended() { return !receiveSome() && mEnded && mReceived.empty(); }

  std::string mReceived;
  std::string mHead;

private:
  bool receiveSome()
  {
    constexpr int kReceiveTimeoutMs = 20'000; // Reached only if an answer is lost.
    pollfd waiting{ .fd = mSocket, .events = POLLIN, .revents = 0 };
    if (::poll(&waiting, 1, kReceiveTimeoutMs) <= 0) {
      return false;
    }
    char buffer[65536];
    const auto count = ::recv(mSocket, buffer, sizeof buffer, 0);
    mEnded = count <= 0;
    if (!mEnded) {
      mReceived.append(buffer, static_cast<std::size_t>(count));
    }
    return !mEnded;
  }

  int mSocket;
  bool mConnected = false;
  bool mEnded = false;
};

inline std::string getRequest(std::string_view aPath)
{
  return "GET " + std::string(aPath) + " HTTP/1.1\r\nHost: t\r\n\r\n";
}
inline std::string postRequest(std::string_view aPath, std::string_view aBody)
{
  return "POST " + std::string(aPath) +
         " HTTP/1.1\r\nHost: t\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         std::string(aBody);
}

} // namespace endiveusher::edges
