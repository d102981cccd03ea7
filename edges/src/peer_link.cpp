#include "peer_link.h"

#include "endiveusher/protocol/peer_rpc.h"

#include <algorithm>
#include <capnp/rpc-twoparty.h>
#include <deque>
#include <utility>
#include <vector>

namespace endiveusher::edges::internal {

namespace {

kj::Duration toKj(duration aValue)
{
  return aValue.count() * kj::MICROSECONDS;
}

} // namespace

class peer_link::impl
{
public:
  impl(link_context& aContext, std::string aAddress)
    : mContext(aContext), mAddress(std::move(aAddress)),
      mBackOff(aContext.mOptions.mShortestBackOff), mLastAdded(aContext.mTimer.now())
  {
  }

  void add(peer_message&& aMessage)
  {
    mLastAdded = mContext.mTimer.now();
    if (mQueue.size() >= mContext.mOptions.mQueueLimit) {
      mQueue.pop_front();
      ++mContext.mCounters.mDropped;
    }
    mQueue.push_back(std::move(aMessage));
    sendNext();
  }

  bool idle() const
  {
    return !mBusy && mContext.mTimer.now() - mLastAdded > toKj(mContext.mOptions.mIdlePeriod);
  }

private:
  void sendNext()
  {
    if (mBusy || mQueue.empty()) {
      return;
    }
    mBusy = true;
    mContext.mTasks.add(connect()
                          .then([this] { return call(); })
                          .then(
                            [this] {
                              mBackOff = mContext.mOptions.mShortestBackOff;
                              mBusy = false;
                              sendNext();
                              return kj::Promise<void>(kj::READY_NOW);
                            },
                            [this](kj::Exception&&) { return backOff(); }));
  }

  kj::Promise<void> connect()
  {
    if (mClient.get() != nullptr) {
      return kj::READY_NOW;
    }
    auto connecting =
      mContext.mNetwork.parseAddress(mAddress).then([](kj::Own<kj::NetworkAddress>&& aAddress) {
        auto promise = aAddress->connect();
        return promise.attach(kj::mv(aAddress));
      });
    return mContext.mTimer.timeoutAfter(toKj(mContext.mOptions.mCallTimeout), kj::mv(connecting))
      .then([this](kj::Own<kj::AsyncIoStream>&& aStream) {
        mStream = kj::mv(aStream);
        mClient = kj::heap<capnp::TwoPartyClient>(*mStream);
        // Obtained once per connection: bootstrap() throws on a connection that has been closed,
        // whereas a call of the capability then fails like any other call.
        mPeer = mClient->bootstrap().castAs<schema::Peer>();
      });
  }

  kj::Promise<void> call()
  {
    const std::size_t count = std::min(mQueue.size(), mContext.mOptions.mBatchLimit);
    const std::vector<peer_message> batch(
      std::make_move_iterator(mQueue.begin()),
      std::make_move_iterator(mQueue.begin() + static_cast<std::ptrdiff_t>(count)));
    mQueue.erase(mQueue.begin(), mQueue.begin() + static_cast<std::ptrdiff_t>(count));
    auto request = mPeer.deliverRequest();
    protocol::writeBatch(batch, request.initBatch(static_cast<unsigned>(count)));
    mContext.mCounters.mSentBytes += request.asReader().totalSize().wordCount * sizeof(capnp::word);
    return mContext.mTimer
      .timeoutAfter(toKj(mContext.mOptions.mCallTimeout), request.send().ignoreResult())
      .then([this, count] { mContext.mCounters.mSucceeded += count; });
  }

  /// Closes the connection and waits before the next attempt.
  kj::Promise<void> backOff()
  {
    ++mContext.mCounters.mFailed;
    mPeer = nullptr;
    mClient = nullptr;
    mStream = nullptr;
    const auto pause = mBackOff;
    mBackOff = std::min(mBackOff * 2, mContext.mOptions.mLongestBackOff);
    return mContext.mTimer.afterDelay(toKj(pause)).then([this] {
      mBusy = false;
      sendNext();
    });
  }

  link_context& mContext;
  const std::string mAddress;
  std::deque<peer_message> mQueue;
  // Declaration order matters: each member uses the one before it until destroyed.
  kj::Own<kj::AsyncIoStream> mStream;
  kj::Own<capnp::TwoPartyClient> mClient;
  schema::Peer::Client mPeer{ nullptr };
  bool mBusy = false;
  duration mBackOff;
  kj::TimePoint mLastAdded;
};

peer_link::peer_link(link_context& aContext, std::string aAddress)
  : mImpl(std::make_unique<impl>(aContext, std::move(aAddress)))
{
}

peer_link::~peer_link() = default;

void peer_link::add(peer_message&& aMessage)
{
  mImpl->add(std::move(aMessage));
}

bool peer_link::idle() const
{
  return mImpl->idle();
}

} // namespace endiveusher::edges::internal
