#pragma once

#include "endiveusher/edges/http_server.h"
#include "http_connection.h"

#include <cstdint>
#include <memory>

namespace endiveusher::edges {

/// State shared by all copies of a responder. The destructor reports that there was no answer.
class responder::impl
{
public:
  impl(std::shared_ptr<internal::connection> aConnection, std::uint64_t aRequest);
  ~impl();
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  bool answer(http_answer aAnswer);
  void onDisconnect(std::function<void()> aCallback);

private:
  const std::shared_ptr<internal::connection> mConnection;
  const std::uint64_t mRequest;
};

} // namespace endiveusher::edges
