#include "endiveusher/edges/http_server.h"

#include "connection_registry.h"
#include "http_connection.h"

#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <thread>
#include <utility>

namespace endiveusher::edges {

namespace {

constexpr const char* kConnectionData = "endiveusher";

/// Disables Pistache's own timeouts, which would answer and close connections independently of this
/// server.
constexpr std::chrono::hours kDisabledTimeout{ 24 * 365 };

/// Longest wait of stop() for Pistache to close the sockets of ended connections.
constexpr std::chrono::milliseconds kCloseTimeout{ 1000 };

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
              .mRegistry = std::make_shared<internal::connection_registry>() },
      mEndpoint(std::make_unique<Pistache::Http::Endpoint>(Pistache::Address(aOptions.mAddress)))
  {
    const int threads = aOptions.mThreads;
    mParts.mShared->mOptions = std::move(aOptions);
    mParts.mShared->mHandler = std::move(aHandler);
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
  }

  ~impl() { stop(std::chrono::milliseconds(0)); }

  void stop(std::chrono::milliseconds aPeriod)
  {
    if (!mEndpoint) {
      return;
    }
    mParts.mShared->mStopping = true;
    const auto deadline = std::chrono::steady_clock::now() + aPeriod;
    while (std::chrono::steady_clock::now() < deadline && mParts.mRegistry->anyBusy()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    // Before Pistache closes the sockets, so that no late answer is sent to a reused descriptor.
    const auto closed = mParts.mRegistry->closeAll();
    // Pistache closes a socket when it notices the end of the connection, not in shutdown().
    // Callers may go on to connect; these connections are not waited for.
    const auto closeDeadline = std::chrono::steady_clock::now() + kCloseTimeout;
    while (std::chrono::steady_clock::now() < closeDeadline &&
           mParts.mRegistry->containsAny(closed)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    mEndpoint->shutdown();
    mParts.mRegistry->closeAll();
    mEndpoint.reset();
    mParts.mRegistry->stop();
  }

  std::uint16_t port() const { return mPort; }

private:
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

void http_server::stop(std::chrono::milliseconds aPeriod)
{
  mImpl->stop(aPeriod);
}

} // namespace endiveusher::edges
