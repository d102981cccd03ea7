#include "event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <fmt/format.h>
#include <iterator>

namespace endiveusher::node {

namespace {

/// Limit of the lines buffered for a slow reader; holds a few seconds of a busy daemon's log.
constexpr std::size_t kMaxPendingBytes = std::size_t{ 1 } << 20U;

/// Length to which a detail is cut, in bytes. Details quote text from outside.
constexpr std::size_t kMaxDetailBytes = 4096;

/// Returns aText cut to kMaxDetailBytes, with bytes other than printable ASCII as `\xNN`.
std::string printable(std::string_view aText)
{
  std::string result;
  for (const char one : aText.substr(0, kMaxDetailBytes)) {
    if (one >= ' ' && one <= '~') {
      result += one;
    } else {
      fmt::format_to(std::back_inserter(result), "\\x{:02x}", static_cast<unsigned char>(one));
    }
  }
  return result + (aText.size() > kMaxDetailBytes ? "..." : "");
}

std::int64_t wallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

event_log::event_log(std::string_view aNode) : mNode(aNode)
{
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void event_log::write(std::string_view aEvent, std::string_view aDetail)
{
  append(aEvent, printable(aDetail));
}

void event_log::writeDump(std::string_view aEvent, std::string_view aText)
{
  append(aEvent, aText);
}

void event_log::append(std::string_view aEvent, std::string_view aDetail)
{
  if (mPending.size() > kMaxPendingBytes) {
    ++mDropped;
    return;
  }
  fmt::format_to(std::back_inserter(mPending), "{} {} {} {}\n", wallMs(), mNode, aEvent, aDetail);
}

void event_log::flush()
{
  if (mPending.empty()) {
    return;
  }
  const auto written = ::write(STDOUT_FILENO, mPending.data(), mPending.size());
  if (written > 0) {
    mPending.erase(0, static_cast<std::size_t>(written));
  }
  if (mPending.empty() && mDropped > mReported) {
    mReported = mDropped;
    write("log_lines_dropped", fmt::format("total={}", mDropped));
  }
}

} // namespace endiveusher::node
