#include "event_log.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <cstdio>
#include <string>
#include <string_view>
#include <unistd.h>

using namespace endiveusher;
using namespace endiveusher::node;

/// A log whose lines, written to standard output, are read back from a pipe.
TEST_GROUP(event_log)
{
  std::array<int, 2> ends{};
  int output = -1;

  void setup() override
  {
    std::fflush(stdout);
    CHECK_EQUAL(0, ::pipe(ends.data()));
    output = ::dup(STDOUT_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
  }
  void teardown() override
  {
    restore();
    ::close(ends[0]);
  }
  void restore()
  {
    if (output >= 0) {
      ::dup2(output, STDOUT_FILENO);
      ::close(output);
      ::close(ends[1]);
      output = -1;
    }
  }
  /// Writes one event and returns what arrives, without the time.
  std::string lines(std::string_view aDetail)
  {
    event_log log("n");
    log.write("event", aDetail);
    log.flush();
    restore();
    std::string text;
    std::array<char, 4096> buffer{};
    for (ssize_t count = 0; (count = ::read(ends[0], buffer.data(), buffer.size())) > 0;) {
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text.substr(text.find(' ') + 1);
  }
};

// Guards against text from outside that forges lines or can't be displayed.
TEST(event_log, controlCharactersAndOtherBytesAreEscaped)
{
  using namespace std::string_view_literals;
  const auto text = lines("a=b\nc\r\0\x7f\xff\xc3\xa9 \"\\d\""sv);
  STRCMP_EQUAL("n event a=b\\x0ac\\x0d\\x00\\x7f\\xff\\xc3\\xa9 \"\\d\"\n", text.c_str());
}

// Guards against text from outside that fills the log.
TEST(event_log, aLineIsBounded)
{
  const auto text = lines("a=" + std::string(20'000, 'x'));
  CHECK(text.size() < 5000);
  CHECK(text.starts_with("n event a=xxx"));
  STRCMP_EQUAL("...\n", text.substr(text.size() - 4).c_str());
}
