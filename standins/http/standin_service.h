#pragma once

#include "endiveusher/kernel/time.h"

#include <chrono>
#include <map>
#include <string>

namespace endiveusher::standins {

struct standin_request
{
  std::string mMethod;
  /// Path without the query, such as `/v1/vms`.
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  std::string mBody;
};

struct standin_reply
{
  int mStatus = 200;
  /// JSON body.
  std::string mBody = "{}";
  /// Delay before the reply is sent.
  std::chrono::milliseconds mDelay{ 0 };

  /// Returns a reply with the body `{"error": aMessage}`.
  static standin_reply error(int aStatus, const std::string& aMessage);
};

/// Handles the HTTP calls of one stand-in, independent of the server. Thread-safe.
class standin_service
{
public:
  virtual ~standin_service() = default;
  virtual standin_reply handle(const standin_request& aRequest, time_point aNow) = 0;
};

/// Delay of a lost reply; longer than the timeout of every caller.
inline constexpr std::chrono::milliseconds kLostAnswerDelay{ 10'000 };

} // namespace endiveusher::standins
