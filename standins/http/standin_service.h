#pragma once

#include "endiveusher/kernel/time.h"

#include <chrono>
#include <map>
#include <string>

namespace endiveusher::standins {

struct standin_request
{
  std::string mMethod;
  /// Path without query, for example `/v1/vms`.
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  std::string mBody;
};

struct standin_reply
{
  int mStatus = 200;
  /// JSON.
  std::string mBody = "{}";
  /// Waiting time before the answer is sent.
  std::chrono::milliseconds mDelay{ 0 };

  static standin_reply error(int aStatus, const std::string& aMessage);
};

/// The HTTP calls of one stand-in, without the server. Thread-safe.
class standin_service
{
public:
  virtual ~standin_service() = default;
  virtual standin_reply handle(const standin_request& aRequest, time_point aNow) = 0;
};

/// An answer that is lost is sent after every caller has given up.
inline constexpr std::chrono::milliseconds kLostAnswerDelay{ 10'000 };

} // namespace endiveusher::standins
