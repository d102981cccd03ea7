#pragma once

#include "endiveusher/edges/http_server.h"
#include "endiveusher/kernel/messages/call.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace endiveusher::edges {

/// Sends the answer to one call: at most once, at any time, from any thread.
class answer_sink
{
public:
  explicit answer_sink(responder aResponder);

  void operator()(const answer& aAnswer) const;
  /// Calls aCallback if the caller disconnects before it is answered (see responder::onDisconnect).
  void onDisconnect(std::function<void()> aCallback) const;

private:
  responder mResponder;
};

struct call_api_options
{
  /// Receives each valid call. Runs on the server's threads, concurrently, and must not block. If
  /// all copies of the sink are destroyed without an answer, the caller gets class `unknown`.
  std::function<void(call, answer_sink)> mSubmit;
  /// Returns the text of `GET /v1/metrics`.
  std::function<std::string()> mMetrics;
  /// Upper limit of wait_call::mTimeout; longer timeouts are reduced to it. Load balancers close
  /// connections that are idle for a minute or more.
  std::chrono::milliseconds mMaxWait{ 50'000 };
  /// Largest number of tickets in one call.
  std::uint32_t mMaxTickets = 1000;
  /// Largest number of tasks in one job.
  std::uint32_t mMaxTasks = 100'000;
};

/// HTTP interface for callers and operators; bodies are encoded as in
/// protocol/schema/endiveusher.capnp.
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
/// Keys are sent as `Authorization: Bearer`. The body of every other answer is an Answer; an error
/// sets the HTTP status. An invalid call is answered with a 4xx status and class `not_run`.
///
/// Usage: `http_server server(options, call_api({ .mSubmit = submit }).handler());`
class call_api
{
public:
  explicit call_api(call_api_options aOptions);
  ~call_api();

  /// Returns the handler for http_server; it may outlive this object.
  http_server::handler handler() const;

private:
  class impl;
  std::shared_ptr<const impl> mImpl;
};

} // namespace endiveusher::edges
