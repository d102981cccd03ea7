#include "responder_impl.h"

#include <utility>

namespace endiveusher::edges {

responder::impl::impl(std::shared_ptr<internal::connection> aConnection, std::uint64_t aRequest)
  : mConnection(std::move(aConnection)), mRequest(aRequest)
{
}

responder::impl::~impl()
{
  mConnection->answer(
    mRequest, { .mStatus = 500,
                .mBody = internal::errorBody(answer_class::unknown, 500, "no_answer",
                                             "the request was given up without an answer") });
}

bool responder::impl::answer(http_answer aAnswer)
{
  return mConnection->answer(mRequest, std::move(aAnswer));
}

void responder::impl::onDisconnect(std::function<void()> aCallback)
{
  mConnection->onDisconnect(mRequest, std::move(aCallback));
}

responder::responder(std::shared_ptr<impl> aImpl) : mImpl(std::move(aImpl)) {}

bool responder::answer(http_answer aAnswer) const
{
  return mImpl->answer(std::move(aAnswer));
}

void responder::onDisconnect(std::function<void()> aCallback) const
{
  mImpl->onDisconnect(std::move(aCallback));
}

} // namespace endiveusher::edges
