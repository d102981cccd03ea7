#pragma once

#include "endiveusher/edges/http_server.h"
#include "endiveusher/kernel/messages/call.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace endiveusher::edges {

/// Takes the answer to one call: once, at any time, from any thread.
class answer_sink
{
public:
  explicit answer_sink(responder aResponder);

  void operator()(const answer& aAnswer) const;
  /// Calls aCallback if the caller hangs up before the answer (see responder::whenDropped).
  void whenDropped(std::function<void()> aCallback) const;

private:
  responder mResponder;
};

struct call_api_options
{
  /// Hands a call on. Runs on the server's threads, several at once, and must not block. A call of
  /// which all sinks are gone is answered with class `unknown`.
  std::function<void(call, answer_sink)> mSubmit;
  /// Text of `GET /v1/metrics`.
  std::function<std::string()> mMetrics;
  /// Longest wait_call; longer ones are shortened to it. Load balancers cut connections that stay
  /// silent for a minute or more.
  std::chrono::milliseconds mMaxWait{ 50'000 };
  std::uint32_t mMaxTickets = 1000;
  std::uint32_t mMaxTasks = 100'000;
};

/// The HTTP interface of callers and operators; bodies as in protocol/schema/endiveusher.capnp.
///
///   POST /v1/tickets       TicketCall (may be empty)
///   POST /v1/submit        SubmitCall
///   GET  /v1/status/{id}   the id is percent-encoded
///   POST /v1/wait          WaitCall
///   POST /v1/cancel        CancelCall
///   POST /v1/publish       PublishCall
///   GET  /v1/show
///   GET  /v1/dump          the body is the dump itself
///   GET  /v1/metrics       text
///   GET  /healthz          text
///
/// Keys come as `Authorization: Bearer`. The body of every other answer is an Answer; an error
/// sets the HTTP status. What cannot be a valid call gets a status of 4xx with class `not_run`.
///
/// Usage: `http_server server(options, call_api({ .mSubmit = submit }).handler());`
class call_api
{
public:
  explicit call_api(call_api_options aOptions);
  ~call_api();

  /// The handler for http_server; it may outlive this object.
  http_server::handler handler() const;

private:
  class impl;
  std::shared_ptr<const impl> mImpl;
};

} // namespace endiveusher::edges
