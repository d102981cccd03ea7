#include "endiveusher/edges/exchange_client.h"

#include "endiveusher/protocol/json.h"
#include "http_requests.h"

#include <utility>

namespace endiveusher::edges {

class exchange_client::impl
{
public:
  explicit impl(exchange_client_options aOptions)
    : mOptions(std::move(aOptions)), mRequests({ .mThreadName = "targets",
                                                 .mQueueLimit = mOptions.mQueueLimit,
                                                 .mBodyLimit = mOptions.mBodyLimit })
  {
  }

  bool send(const exchange_effect& aExchange, std::uint64_t aTag)
  {
    return mRequests.send({
      .mSerialQueue = aExchange.mAddress,
      .mUrl = "http://" + aExchange.mAddress + "/v1/exchange",
      .mBody = protocol::toJson(aExchange.mRequest),
      .mTimeout = mOptions.mTimeout,
      .mDone =
        [this, aTag, id = aExchange.mExchangeId,
         target = aExchange.mRequest.mTarget](internal::http_result&& aResult) {
          exchange_result result{ .mEvent = { .mTarget = target, .mExchangeId = id },
                                  .mTag = aTag,
                                  .mElapsed = aResult.mElapsed };
          if (aResult.mStatus == 200) {
            auto response = protocol::fromJson<exchange_response>(aResult.mBody);
            // The address may have been reused by the VM of another target.
            if (response.ok() && response->mTarget == target) {
              result.mEvent.mResponse = *std::move(response);
            }
          }
          mOptions.mOnResult(std::move(result));
        },
    });
  }

  const channel_counters& counters() const { return mRequests.counters(); }

private:
  const exchange_client_options mOptions;
  internal::http_requests mRequests;
};

exchange_client::exchange_client(exchange_client_options aOptions)
  : mImpl(std::make_unique<impl>(std::move(aOptions)))
{
}

exchange_client::~exchange_client() = default;

bool exchange_client::send(const exchange_effect& aExchange, std::uint64_t aTag)
{
  return mImpl->send(aExchange, aTag);
}

const channel_counters& exchange_client::counters() const
{
  return mImpl->counters();
}

} // namespace endiveusher::edges
