#pragma once

#include "endiveusher/edges/http_client.h"
#include "endiveusher/kernel/messages/call.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace endiveusher::ctl::internal {

struct cell_settings
{
  /// `ip:port` each, in order of preference.
  std::vector<std::string> mDaemons;
  std::string mKey;
  /// For one attempt at one daemon.
  std::chrono::milliseconds mTimeout{ 5000 };
};

/// What came of a call.
struct outcome
{
  /// Made here if no daemon answered.
  answer mAnswer;
  /// The body as the daemon sent it; empty if none answered.
  std::string mBody;

  const call_error* error() const { return std::get_if<call_error>(&mAnswer.mBody); }
};

/// Form of the body of a successful answer.
enum class body_form
{
  answer,
  other, ///< Passed on as it is.
};

/// Makes calls, at another daemon if one cannot be reached or does not decide. Every attempt is the
/// same request with the same id, so that at most one of them takes effect.
class cell_client
{
public:
  explicit cell_client(cell_settings aSettings);

  outcome get(const std::string& aPath, body_form aForm = body_form::answer);
  /// aExtraTime is added to the time limit of each attempt.
  outcome post(const std::string& aPath, const std::string& aBody,
               std::chrono::milliseconds aExtraTime = std::chrono::milliseconds(0));

private:
  outcome perform(edges::client_request aRequest, body_form aForm);

  cell_settings mSettings;
  edges::http_client mClient;
  /// The daemon that answered last; it is asked first, as it decides about the tickets it issued.
  std::size_t mPreferred = 0;
};

} // namespace endiveusher::ctl::internal
