#include "endiveusher/platform/messages.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <string_view>

using namespace endiveusher;
using namespace endiveusher::platform;

/// Fields of entries of another form than agreed.
TEST_GROUP(platform_entries){ static bool accepts(const std::string& aAddress){
  return decodeTargetEntry("i", R"({"service":"s","addr":")" + aAddress +
                                  R"(","zone":"z","state":"ready","capacity":{"cpu":1}})")
    .ok();
}
static bool acceptsField(const std::string& aName, const std::string& aValue)
{
  std::string body = "{";
  const char* const fields[][2] = { { "service", "\"s\"" },        { "addr", "\"10.0.0.9:80\"" },
                                    { "zone", "\"z\"" },           { "state", "\"ready\"" },
                                    { "machine", "\"m\"" },        { "labels", "[\"a\"]" },
                                    { "capacity", "{\"cpu\":1}" }, { "born", "1" } };
  for (const auto& [name, value] : fields) {
    body += (body.size() > 1 ? ",\"" : "\"") + std::string(name) +
            "\":" + (aName == name ? aValue : std::string(value));
  }
  return decodeTargetEntry("i", body + "}").ok();
}
}
;

// Guards against orders to an address that isn't that of a target.
TEST(platform_entries, anAddressIsAnIpAndAPort)
{
  for (const char* address :
       { "10.0.0.9:1", "127.0.0.1:7420", "10.0.0.9:65535", "[::1]:80", "[fd00::12]:80" }) {
    CHECK_TEXT(accepts(address), address);
  }
  for (const char* address : { "",
                               ":",
                               ":80",
                               "10.0.0.9",
                               "10.0.0.9:",
                               "10.0.0.9:0",
                               "10.0.0.9:65536",
                               "10.0.0.9:99999999999",
                               "10.0.0.9:-1",
                               "10.0.0.9:+80",
                               "10.0.0.9: 80",
                               "10.0.0.9:80 ",
                               "10.0.0.9:8o",
                               "10.0.0.9:80/x",
                               "10.0.0.9:80@10.0.0.1:80",
                               "10.0.0:80",
                               "10.0.0.256:80",
                               "host:80",
                               "localhost:80",
                               "::1:80",
                               "[::1]",
                               "[::1:80",
                               "::1]:80",
                               "[10.0.0.9]:80",
                               "[]:80",
                               "http://10.0.0.9:80",
                               "10.0.0.9:80\\u0000",
                               "10.0.0.9\\u0000:80",
                               "10.0.0.9:80\\r\\nX: y",
                               "[fe80::1%25eth0]:80" }) {
    CHECK_TEXT(!accepts(address), address);
  }
}

// Guards against the end of the process by a field of another type.
TEST(platform_entries, aFieldOfAnotherTypeNamesNoTarget)
{
  for (const char* name : { "service", "addr", "zone", "state", "machine" }) {
    for (const char* value : { "1", "1.5", "true", "[]", "{}", "[\"a\"]" }) {
      CHECK_TEXT(!acceptsField(name, value), name);
    }
  }
  for (const char* value : { "1", "\"a\"", "[1]", "[null]", "[[\"a\"]]" }) {
    CHECK_TEXT(!acceptsField("labels", value), value);
  }
  CHECK(acceptsField("none", ""));
}

// Guards against text that fills the journal and the log.
TEST(platform_entries, aLongTextNamesNoTarget)
{
  const std::string longText(1'000'000, 'x');
  for (const char* name : { "service", "zone", "machine", "state", "addr" }) {
    CHECK_FALSE_TEXT(acceptsField(name, '"' + longText + '"'), name);
  }
  CHECK_FALSE(acceptsField("labels", "[\"" + longText + "\"]"));
}

// Guards against the end of the process when an id is sent to the advice service as JSON, and
// against header lines that an id adds to an order.
TEST(platform_entries, anIdIsVisibleAscii)
{
  const auto acceptsId = [](std::string_view aId) {
    return decodeTargetEntry(aId, R"({"service":"s","addr":"10.0.0.9:80","zone":"z",
                                      "state":"ready","capacity":{"cpu":1}})")
      .ok();
  };
  CHECK(acceptsId("i-0a3f1.z_1:2/3"));
  for (const std::string_view id :
       { "", " ", "i 1", "i\n1", "i\r\nX: y", "\xff", "i\x80", "\xc3\xa9", "i\x7f" }) {
    CHECK_FALSE(acceptsId(id));
  }
  CHECK_FALSE(acceptsId(std::string_view("i\0i", 3)));
}

// Guards against log lines as long as an entry, of several lines or of invalid UTF-8.
TEST(platform_entries, errorsAreShortPrintableText)
{
  const std::string longText(1'000'000, 'x');
  for (const std::string& body :
       { '"' + longText, "{\"state\":\"" + longText + "\"}", std::string("{\"a\":\"\xff\xfe"),
         std::string("{\"state\":\"a\\nb\"}"), std::string("\x01\x02\n"),
         std::string("\n\n\xc3") }) {
    const auto message = std::string(decodeTargetEntry("i", body).status().message());
    CHECK(!message.empty() && message.size() <= 1000);
    for (const char one : message) {
      CHECK(one >= ' ' && one <= '~');
    }
  }
}
