#include "http/standin_service.h"

#include <nlohmann/json.hpp>

namespace endiveusher::standins {

standin_reply standin_reply::error(int aStatus, const std::string& aMessage)
{
  return { .mStatus = aStatus, .mBody = nlohmann::json{ { "error", aMessage } }.dump() };
}

} // namespace endiveusher::standins
