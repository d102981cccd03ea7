#pragma once

#include "admission.h"
#include "endiveusher/edges/http_server.h"
#include "endiveusher/scheduler/cell_config.h"
#include "endiveusher/scheduler/placement_explanation.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace endiveusher::node {

/// Explains where a job would be placed. The body is a JSON object with the `host`, `path`, `key`
/// and `body` of a caller's submission. Any daemon answers, with the owner's answer.
inline constexpr std::string_view kExplainPath = "/explain";
/// The same, forwarded to the owner by another daemon. Forwarded no further.
inline constexpr std::string_view kOwnerExplainPath = "/explain/owner";
/// Time within which the owner has to answer a forwarded call.
inline constexpr std::chrono::milliseconds kExplainTimeout{ 2000 };
/// Largest body of an answer.
inline constexpr std::size_t kMaxExplanationBytes = std::size_t{ 64 } << 10U;

/// Returns the answer to a call that failed.
edges::http_answer explainError(std::uint16_t aStatus, std::string_view aMessage);

/// Decodes the job of a call by the rules for callers' submissions; returns the answer if there is
/// none.
/// @param aCurrent whether the configuration is recent enough to deny that there is a route or key
std::variant<scheduler::job_spec, edges::http_answer> decodeExplainedJob(
  std::string_view aBody, const scheduler::cell_config& aConfig, bool aCurrent);

std::string encode(const scheduler::placement_explanation& aExplanation);

} // namespace endiveusher::node
