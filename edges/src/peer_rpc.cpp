#include "endiveusher/edges/peer_rpc.h"

#include "endiveusher/protocol/peer_rpc.h"
#include "peer_link.h"

#include <absl/status/status.h>

#include <atomic>
#include <capnp/rpc-twoparty.h>
#include <future>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <readerwriterqueue/readerwriterqueue.h>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace endiveusher::edges {

namespace {

/// Largest number of messages between send() and the event loop; more are dropped.
constexpr std::size_t kRingLimit = 4096;
/// TCP keep-alive: idle time after which an incoming connection is probed.
constexpr int kKeepAliveSeconds = 30;
/// Delay before accepting again after a failed accept().
constexpr auto kAcceptRetryDelay = 100 * kj::MILLISECONDS;
/// Interval at which idle links are removed.
constexpr auto kIdleCheckInterval = 10 * kj::SECONDS;

class peer_service final : public schema::Peer::Server
{
public:
  peer_service(const peer_rpc_options& aOptions, channel_counters& aCounters)
    : mOptions(aOptions), mCounters(aCounters)
  {
  }

  kj::Promise<void> deliver(DeliverContext aContext) override
  {
    const auto params = aContext.getParams();
    mCounters.mReceivedBytes += params.totalSize().wordCount * sizeof(capnp::word);
    auto batch = protocol::readBatch(params.getBatch());
    mCounters.mDropped += batch.mDropped;
    for (auto& message : batch.mMessages) {
      mOptions.mOnMessage(std::move(message));
    }
    return kj::READY_NOW;
  }

private:
  const peer_rpc_options& mOptions;
  channel_counters& mCounters;
};

/// Discards the log lines of KJ about lost connections; failures are counted instead.
class log_discarder final : public kj::ExceptionCallback
{
public:
  void logMessage(kj::LogSeverity, const char*, int, int, kj::String&&) override {}
};

/// The event loop of the RPC thread.
class event_loop final : private kj::TaskSet::ErrorHandler
{
public:
  event_loop(const peer_rpc_options& aOptions, channel_counters& aCounters)
    : mOptions(aOptions), mIo(kj::setupAsyncIo()),
      mServer(kj::heap<peer_service>(aOptions, aCounters)),
      mTasks(*this), mContext{ .mOptions = aOptions,
                               .mNetwork = mIo.provider->getNetwork(),
                               .mTimer = mIo.provider->getTimer(),
                               .mTasks = mTasks,
                               .mCounters = aCounters }
  {
  }

  /// Starts listening and returns the address; throws kj::Exception.
  std::string listen()
  {
    auto address = mContext.mNetwork.parseAddress(mOptions.mAddress).wait(mIo.waitScope);
    mListener = address->listen();
    const std::string ip = mOptions.mAddress.substr(0, mOptions.mAddress.rfind(':'));
    return ip + ":" + std::to_string(mListener->getPort());
  }

  /// Runs until aOnWake returns false. aOnWake is called whenever aWakeFd has been written to.
  template<typename OnWake>
  void run(int aWakeFd, OnWake aOnWake)
  {
    auto wake = mIo.lowLevelProvider->wrapInputFd(aWakeFd);
    mTasks.add(accept());
    mTasks.add(removeIdleLinks());
    std::uint64_t count = 0;
    do {
      wake->read(&count, sizeof(count)).wait(mIo.waitScope);
    } while (aOnWake());
  }

  void send(const std::string& aAddress, peer_message&& aMessage)
  {
    auto& link = mLinks[aAddress];
    if (!link) {
      link = std::make_unique<internal::peer_link>(mContext, aAddress);
    }
    link->add(std::move(aMessage));
  }

private:
  kj::Promise<void> accept()
  {
    return mListener->accept().then(
      [this](kj::Own<kj::AsyncIoStream>&& aStream) {
        const int on = 1;
        const int seconds = kKeepAliveSeconds;
        aStream->setsockopt(SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
        aStream->setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
        mServer.accept(kj::mv(aStream));
        return accept();
      },
      // The cause may be temporary, such as a lack of file descriptors.
      [this](kj::Exception&&) {
        return mContext.mTimer.afterDelay(kAcceptRetryDelay).then([this] { return accept(); });
      });
  }

  kj::Promise<void> removeIdleLinks()
  {
    return mContext.mTimer.afterDelay(kIdleCheckInterval).then([this] {
      std::erase_if(mLinks, [](const auto& aLink) { return aLink.second->idle(); });
      return removeIdleLinks();
    });
  }

  void taskFailed(kj::Exception&&) override { ++mContext.mCounters.mFailed; }

  const peer_rpc_options& mOptions;
  kj::AsyncIoContext mIo;
  kj::Own<kj::ConnectionReceiver> mListener;
  capnp::TwoPartyServer mServer;
  // Pending tasks refer to links, and links to the context, so that tasks are declared after the
  // links and destroyed before them.
  std::map<std::string, std::unique_ptr<internal::peer_link>> mLinks;
  kj::TaskSet mTasks;
  internal::link_context mContext;
};

} // namespace

class peer_rpc::impl
{
public:
  explicit impl(peer_rpc_options aOptions)
    : mOptions(std::move(aOptions)), mRing(kRingLimit),
      mWakeFd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
  {
  }

  ~impl()
  {
    if (mThread.joinable()) {
      mStopping = true;
      wake();
      mThread.join();
    }
    close(mWakeFd);
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  absl::Status start()
  {
    std::promise<absl::StatusOr<std::string>> started;
    auto address = started.get_future();
    mThread = std::thread([this, &started] { run(started); });
    pthread_setname_np(mThread.native_handle(), "peers");
    auto result = address.get();
    if (!result.ok()) {
      return result.status();
    }
    mAddress = *std::move(result);
    return absl::OkStatus();
  }

  void send(std::string&& aAddress, peer_message&& aMessage)
  {
    if (!mRing.try_enqueue({ std::move(aAddress), std::move(aMessage) })) {
      ++mCounters.mDropped;
      return;
    }
    // One write per batch: the event loop clears the flag before it empties the ring.
    if (!mWakePending.exchange(true)) {
      wake();
    }
  }

  std::string mAddress;
  channel_counters mCounters;

private:
  void run(std::promise<absl::StatusOr<std::string>>& aStarted)
  {
    const log_discarder discarder;
    std::unique_ptr<event_loop> loop;
    try {
      loop = std::make_unique<event_loop>(mOptions, mCounters);
      aStarted.set_value(loop->listen());
    } catch (const kj::Exception& error) {
      aStarted.set_value(absl::UnavailableError("listen on " + mOptions.mAddress + ": " +
                                                error.getDescription().cStr()));
      return;
    }
    loop->run(mWakeFd, [this, &loop] {
      mWakePending = false;
      std::pair<std::string, peer_message> next;
      while (mRing.try_dequeue(next)) {
        loop->send(next.first, std::move(next.second));
      }
      return !mStopping;
    });
  }

  void wake() const
  {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(mWakeFd, &one, sizeof(one));
  }

  const peer_rpc_options mOptions;
  moodycamel::ReaderWriterQueue<std::pair<std::string, peer_message>, 64> mRing;
  std::atomic<bool> mWakePending{ false };
  std::atomic<bool> mStopping{ false };
  int mWakeFd;
  std::thread mThread;
};

absl::StatusOr<std::unique_ptr<peer_rpc>> peer_rpc::start(peer_rpc_options aOptions)
{
  auto created = std::make_unique<impl>(std::move(aOptions));
  if (const auto status = created->start(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<peer_rpc>(new peer_rpc(std::move(created)));
}

peer_rpc::peer_rpc(std::unique_ptr<impl> aImpl) : mImpl(std::move(aImpl)) {}

peer_rpc::~peer_rpc() = default;

void peer_rpc::send(std::string aAddress, peer_message aMessage)
{
  mImpl->send(std::move(aAddress), std::move(aMessage));
}

const std::string& peer_rpc::address() const
{
  return mImpl->mAddress;
}

const channel_counters& peer_rpc::counters() const
{
  return mImpl->mCounters;
}

} // namespace endiveusher::edges
