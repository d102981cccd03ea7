#include "endiveusher/edges/call_api.h"

#include "call_checks.h"
#include "endiveusher/edges/url.h"
#include "endiveusher/protocol/json.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace endiveusher::edges {

namespace {

constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::string_view kStatusPath = "/v1/status/";

void reject(const responder& aResponder, std::uint16_t aStatus, std::string aCode,
            std::string aMessage)
{
  aResponder.answer(
    { .mStatus = aStatus,
      .mBody = protocol::toJson(answer{ .mClass = answer_class::not_run,
                                        .mBody = call_error{ .mStatus = aStatus,
                                                             .mCode = std::move(aCode),
                                                             .mMessage = std::move(aMessage),
                                                             .mStep = "request" } }) });
}

std::uint16_t statusOf(const answer& aAnswer)
{
  const auto* error = std::get_if<call_error>(&aAnswer.mBody);
  if (error == nullptr) {
    return 200;
  }
  return error->mStatus >= 400 && error->mStatus < 600 ? error->mStatus : std::uint16_t{ 500 };
}

} // namespace

answer_sink::answer_sink(responder aResponder) : mResponder(std::move(aResponder)) {}

void answer_sink::operator()(const answer& aAnswer) const
{
  if (const auto* dump = std::get_if<dump_result>(&aAnswer.mBody)) {
    mResponder.answer({ .mBody = dump->mJson });
    return;
  }
  mResponder.answer({ .mStatus = statusOf(aAnswer), .mBody = protocol::toJson(aAnswer) });
}

void answer_sink::onDisconnect(std::function<void()> aCallback) const
{
  mResponder.onDisconnect(std::move(aCallback));
}

class call_api::impl
{
public:
  explicit impl(call_api_options aOptions) : mOptions(std::move(aOptions)) {}

  void handle(const http_request& aRequest, const responder& aResponder) const
  {
    const bool isStatus = aRequest.mPath.starts_with(kStatusPath);
    const auto route = routes().find(isStatus ? kStatusPath : aRequest.mPath);
    if (route == routes().end()) {
      reject(aResponder, 404, "no_such_path", "no such path: " + aRequest.mPath);
    } else if (aRequest.mMethod != route->second.mMethod) {
      reject(aResponder, 405, "wrong_method",
             std::string("this path takes ") + route->second.mMethod);
    } else if (aRequest.mBearer.size() > kMaxKeyBytes) {
      reject(aResponder, 400, "malformed_key", "a key has at most 512 bytes");
    } else {
      (this->*route->second.mHandle)(aRequest, aResponder);
    }
  }

private:
  struct route
  {
    const char* mMethod;
    void (impl::*mHandle)(const http_request&, const responder&) const;
  };

  static const std::map<std::string_view, route>& routes()
  {
    static const std::map<std::string_view, route> kRoutes{
      { "/v1/tickets", { "POST", &impl::handleBody<ticket_call> } },
      { "/v1/submit", { "POST", &impl::handleBody<submit_call> } },
      { "/v1/wait", { "POST", &impl::handleBody<wait_call> } },
      { "/v1/cancel", { "POST", &impl::handleBody<cancel_call> } },
      { "/v1/publish", { "POST", &impl::handleBody<publish_call> } },
      { kStatusPath, { "GET", &impl::handleStatus } },
      { "/v1/show", { "GET", &impl::handleEmpty<show_call> } },
      { "/v1/dump", { "GET", &impl::handleEmpty<dump_call> } },
      { "/v1/metrics", { "GET", &impl::handleMetrics } },
      { "/healthz", { "GET", &impl::handleHealth } },
    };
    return kRoutes;
  }

  template<typename Call>
  void handleBody(const http_request& aRequest, const responder& aResponder) const
  {
    // A ticket call without a body asks for one ticket; all other calls have required fields.
    const bool mayBeEmpty = std::is_same_v<Call, ticket_call>;
    auto read =
      protocol::fromJson<Call>(mayBeEmpty && aRequest.mBody.empty() ? "{}" : aRequest.mBody);
    if (!read.ok()) {
      reject(aResponder, 400, "malformed_body", std::string(read.status().message()));
      return;
    }
    checkAndSubmit(std::move(*read), aRequest, aResponder);
  }

  void handleStatus(const http_request& aRequest, const responder& aResponder) const
  {
    const auto id = percentDecode(std::string_view(aRequest.mPath).substr(kStatusPath.size()));
    checkAndSubmit(status_call{ .mRequest = id.value_or("") }, aRequest, aResponder);
  }

  template<typename Call>
  void handleEmpty(const http_request& aRequest, const responder& aResponder) const
  {
    submit(Call{}, aRequest, aResponder);
  }

  void handleMetrics(const http_request& /*aRequest*/, const responder& aResponder) const
  {
    aResponder.answer({ .mBody = mOptions.mMetrics ? mOptions.mMetrics() : "",
                        .mContentType = "text/plain; version=0.0.4" });
  }

  void handleHealth(const http_request& /*aRequest*/, const responder& aResponder) const
  {
    aResponder.answer({ .mBody = "ok\n", .mContentType = "text/plain" });
  }

  template<typename Call>
  void checkAndSubmit(Call aCall, const http_request& aRequest, const responder& aResponder) const
  {
    if (auto error = internal::validationError(aCall, mOptions); !error.empty()) {
      reject(aResponder, 400, "invalid_call", std::move(error));
      return;
    }
    if constexpr (std::is_same_v<Call, wait_call>) {
      aCall.mTimeout = std::min(aCall.mTimeout, mOptions.mMaxWait);
    }
    submit(std::move(aCall), aRequest, aResponder);
  }

  template<typename Call>
  void submit(Call aCall, const http_request& aRequest, const responder& aResponder) const
  {
    if constexpr (requires { aCall.mOperatorKey; }) {
      aCall.mOperatorKey = aRequest.mBearer;
    } else if constexpr (requires { aCall.mKey; }) {
      aCall.mKey = aRequest.mBearer;
    }
    mOptions.mSubmit(std::move(aCall), answer_sink(aResponder));
  }

  const call_api_options mOptions;
};

call_api::call_api(call_api_options aOptions)
  : mImpl(std::make_shared<const impl>(std::move(aOptions)))
{
}

call_api::~call_api() = default;

http_server::handler call_api::handler() const
{
  return [impl = mImpl](const http_request& aRequest, const responder& aResponder) {
    impl->handle(aRequest, aResponder);
  };
}

} // namespace endiveusher::edges
