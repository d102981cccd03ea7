#include "endiveusher/edges/http_server.h"

#include "connection_registry.h"
#include "http_connection.h"

#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

namespace endiveusher::edges {

namespace {

constexpr const char* kConnectionData = "endiveusher";

/// Connections that may wait to be accepted. The system drops the first packets of further ones,
/// and they are repeated after a second. It applies its own limit, net.core.somaxconn (4096), too.
constexpr int kListenBacklog = 1024;

/// Disables Pistache's own timeouts, which would answer and close connections independently of this
/// server.
constexpr std::chrono::hours kDisabledTimeout{ 24 * 365 };

/// Longest wait of stop() for the answers that it gives itself to be sent.
constexpr std::chrono::milliseconds kLastSendTimeout{ 100 };

/// Returns the sockets of this process, either listening or connected ones, whose own address is
/// that of a server; aHost may be 0.0.0.0.
std::vector<int> socketsOf(const std::string& aHost, std::uint16_t aPort, bool aListening)
{
  std::vector<int> result;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", error)) {
    const int fd = std::atoi(entry.path().filename().c_str());
    int listening = 0;
    socklen_t listeningSize = sizeof listening;
    sockaddr_in own{};
    socklen_t ownSize = sizeof own;
    std::array<char, INET_ADDRSTRLEN> host{};
    if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &listeningSize) == 0 &&
        (listening != 0) == aListening &&
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&own), &ownSize) == 0 &&
        own.sin_family == AF_INET && ntohs(own.sin_port) == aPort &&
        ::inet_ntop(AF_INET, &own.sin_addr, host.data(), host.size()) != nullptr &&
        (aHost == "0.0.0.0" || aHost == host.data())) {
      result.push_back(fd);
    }
  }
  return result;
}

struct server_parts
{
  std::shared_ptr<internal::server_shared> mShared;
  std::shared_ptr<internal::connection_registry> mRegistry;
};

/// Receives the bytes of connections before Pistache's own request handling, which loses a request
/// that arrives while the previous one is not answered.
class byte_handler : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(byte_handler)

  explicit byte_handler(server_parts aParts) : mParts(std::move(aParts)) {}

  void onRequest(const Pistache::Http::Request& /*aRequest*/,
                 Pistache::Http::ResponseWriter /*aResponse*/) override
  {
  }

private:
  using peer_pointer = std::shared_ptr<Pistache::Tcp::Peer>;

  static std::shared_ptr<internal::connection> connectionOf(const peer_pointer& aPeer)
  {
    return std::static_pointer_cast<internal::connection>(aPeer->tryGetData(kConnectionData));
  }

  void onConnection(const peer_pointer& aPeer) override
  {
    // Pistache's check for idle connections requires a parser in every connection.
    static const auto kUnusedParser = std::make_shared<Pistache::Http::RequestParser>(1);
    aPeer->putData(ParserData, kUnusedParser);
    const int on = 1;
    ::setsockopt(aPeer->fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto created = std::make_shared<internal::connection>(mParts.mShared, aPeer->fd());
    aPeer->putData(kConnectionData, created);
    mParts.mRegistry->add(created);
    if (mParts.mShared->mConnections > mParts.mShared->mOptions.mMaxConnections) {
      created->reject();
    }
  }
  void onInput(const char* aBytes, std::size_t aCount, const peer_pointer& aPeer) override
  {
    if (const auto found = connectionOf(aPeer)) {
      found->receive({ aBytes, aCount });
    }
  }
  void onDisconnection(const peer_pointer& aPeer) override
  {
    if (const auto found = connectionOf(aPeer)) {
      found->close();
      mParts.mRegistry->remove(found);
    }
  }

  server_parts mParts;
};

} // namespace

class http_server::impl
{
public:
  impl(http_server_options aOptions, handler aHandler)
    : mParts{ .mShared = std::make_shared<internal::server_shared>(),
              .mRegistry = std::make_shared<internal::connection_registry>(aOptions.mBudget) },
      mEndpoint(std::make_unique<Pistache::Http::Endpoint>(Pistache::Address(aOptions.mAddress)))
  {
    const int threads = aOptions.mThreads;
    mParts.mShared->mOptions = std::move(aOptions);
    mParts.mShared->mHandler = std::move(aHandler);
    const auto& options = mParts.mShared->mOptions;
    setLimits({ .mMaxHeaderBytes = options.mMaxHeaderBytes,
                .mMaxRequestBytes = options.mMaxRequestBytes,
                .mHeaderTimeout = options.mHeaderTimeout,
                .mIdleTimeout = options.mIdleTimeout });
    if (options.mBudget) {
      options.mBudget->addSource([registry = std::weak_ptr(mParts.mRegistry)](auto& aHolders) {
        if (const auto alive = registry.lock()) {
          alive->appendTo(aHolders);
        }
      });
    }
    mParts.mShared->mWake = [registry = std::weak_ptr(mParts.mRegistry)] {
      if (const auto alive = registry.lock()) {
        alive->wake();
      }
    };
    mEndpoint->init(
      Pistache::Http::Endpoint::options()
        .threads(threads)
        .threadsName("http")
        .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::CloseOnExec)
        .headerTimeout(kDisabledTimeout)
        .bodyTimeout(kDisabledTimeout)
        .keepaliveTimeout(kDisabledTimeout));
    mEndpoint->setHandler(std::make_shared<byte_handler>(mParts));
    mEndpoint->serveThreaded();
    mPort = static_cast<std::uint16_t>(mEndpoint->getPort());
    // Pistache ignores its option for this.
    for (const int listener : socketsOf(host(), mPort, true)) {
      ::listen(listener, kListenBacklog);
      if (const int bytes = options.mReceiveBufferBytes; bytes > 0) {
        // Accepted connections inherit it. Without it the system's default applies.
        ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
      }
      mParts.mRegistry->gate().open(listener);
    }
  }

  ~impl() { stop(std::chrono::milliseconds(0)); }

  stop_report stop(std::chrono::milliseconds aPeriod)
  {
    if (!mEndpoint) {
      return {};
    }
    mParts.mShared->mStopping = true;
    waitUntil(aPeriod, [this] { return !mParts.mRegistry->anyBusy(); });
    mParts.mRegistry->gate().close();
    // Ends accepting and reading. Otherwise callers that get their answers now connect again, and
    // are cut off in the middle of their next request.
    mEndpoint->shutdown();
    stop_report report = mParts.mRegistry->answerStopped();
    waitUntil(kLastSendTimeout, [this] { return mParts.mRegistry->countUnsent() == 0; });
    // Waits for Pistache's threads, and leaves the sockets of open connections to this server.
    mEndpoint.reset();
    adoptSockets();
    // Requests that have arrived meanwhile.
    mParts.mRegistry->answerStopped();
    mParts.mRegistry->stop();
    report.mUnsent = mParts.mRegistry->countUnsent();
    mParts.mRegistry->closeAll();
    return report;
  }

  std::uint16_t port() const { return mPort; }
  void setLimits(const http_limits& aLimits) { mParts.mShared->setLimits(aLimits); }
  std::uint64_t rejectedConnections() const { return mParts.mShared->mRejectedConnections; }
  std::uint64_t acceptPauses() const { return mParts.mRegistry->gate().pauses(); }
  std::size_t connections() const { return mParts.mShared->mConnections; }

private:
  std::string host() const
  {
    const auto& address = mParts.mShared->mOptions.mAddress;
    return address.substr(0, address.rfind(':'));
  }

  /// Takes over the connections that Pistache has accepted and has passed to none of its threads.
  /// It neither closes their sockets nor tells of them.
  void adoptSockets()
  {
    for (const int socket : socketsOf(host(), mPort, false)) {
      if (!mParts.mRegistry->containsSocket(socket)) {
        mParts.mRegistry->add(std::make_shared<internal::connection>(mParts.mShared, socket));
      }
    }
  }

  template<typename Condition>
  static void waitUntil(std::chrono::milliseconds aTimeout, const Condition& aCondition)
  {
    const auto deadline = std::chrono::steady_clock::now() + aTimeout;
    while (std::chrono::steady_clock::now() < deadline && !aCondition()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  server_parts mParts;
  std::unique_ptr<Pistache::Http::Endpoint> mEndpoint;
  std::uint16_t mPort = 0;
};

http_server::http_server(http_server_options aOptions, handler aHandler)
  : mImpl(std::make_unique<impl>(std::move(aOptions), std::move(aHandler)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
  return mImpl->port();
}

void http_server::setLimits(const http_limits& aLimits)
{
  mImpl->setLimits(aLimits);
}

std::uint64_t http_server::rejectedConnections() const
{
  return mImpl->rejectedConnections();
}

std::uint64_t http_server::acceptPauses() const
{
  return mImpl->acceptPauses();
}

std::size_t http_server::connections() const
{
  return mImpl->connections();
}

stop_report http_server::stop(std::chrono::milliseconds aPeriod)
{
  return mImpl->stop(aPeriod);
}

} // namespace endiveusher::edges
