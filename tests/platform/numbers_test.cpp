#include "endiveusher/platform/messages.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <string_view>

using namespace endiveusher;
using namespace endiveusher::platform;

namespace {

/// Numbers that no field of an entry may have.
constexpr const char* kOddNumbers[] = { "-1",
                                        "-0.6",
                                        "1e300",
                                        "-1e300",
                                        "9223372036854775807",
                                        "9223372036854775808",
                                        "1e400",
                                        "NaN",
                                        "nan",
                                        "1e19",
                                        "18446744073709551615",
                                        "-9223372036854775808",
                                        "1e18",
                                        "\"4\"",
                                        "Infinity",
                                        "[]",
                                        "{}",
                                        "true" };

std::string entry(const std::string& aCapacity, const std::string& aBorn = "1")
{
  return R"({"service":"s","addr":"10.0.0.9:80","zone":"z","state":"ready","capacity":{)" +
         aCapacity + R"(},"born":)" + aBorn + "}";
}

bool contains(const absl::Status& aStatus, std::string_view aText)
{
  return std::string(aStatus.message()).find(aText) != std::string::npos;
}

} // namespace

/// Numbers from outside that are out of range. Converting them is undefined, and its result differs
/// between processors.
TEST_GROUP(platform_numbers){};

// Guards against targets whose capacity is negative or so large that sums of capacities overflow.
TEST(platform_numbers, aCapacityOutOfRangeNamesNoTarget)
{
  for (const char* number : kOddNumbers) {
    for (const char* name : { "cpu", "mem_mb", "gpu" }) {
      const auto decoded = decodeTargetEntry("i", entry('"' + std::string(name) + "\":" + number));
      CHECK_TEXT(!decoded.ok(), number);
    }
  }
  const auto negative = decodeTargetEntry("i", entry(R"("mem_mb":-1)"));
  CHECK(contains(negative.status(), "mem_mb"));
  CHECK_EQUAL(16, decodeTargetEntry("i", entry(R"("cpu":15.6)"))->mCapacity.mCpuMilli);
  CHECK_EQUAL(0, decodeTargetEntry("i", entry(R"("cpu":0)"))->mCapacity.mCpuMilli);
  CHECK_EQUAL(1e12, decodeTargetEntry("i", entry(R"("cpu":1e12)"))->mCapacity.mCpuMilli);
}

// Guards against a capacity that isn't an object, which would count as one of 0.
TEST(platform_numbers, aCapacityOfAnotherTypeNamesNoTarget)
{
  for (const char* capacity : { "1", "null", "[]", "\"1\"" }) {
    CHECK_FALSE(
      decodeTargetEntry("i", std::string(R"({"service":"s","addr":"10.0.0.9:80","zone":"z",
                "state":"ready","capacity":)") +
                               capacity + "}")
        .ok());
  }
}

// Guards against an incarnation that seems newer than all others.
TEST(platform_numbers, aStartOutOfRangeNamesNoTarget)
{
  for (const char* number : kOddNumbers) {
    CHECK_TEXT(!decodeTargetEntry("i", entry(R"("cpu":1)", number)).ok(), number);
  }
  CHECK(decodeTargetEntry("i", entry(R"("cpu":1)", "1768871666056"))->mIncarnationStart ==
        1768871666056);
}

// Guards against jobs whose sums of needs, estimates or due times overflow.
TEST(platform_numbers, aJobOutOfRangeIsMalformed)
{
  for (const char* number : kOddNumbers) {
    for (const char* name :
         { "count", "cpu", "mem_mb", "gpu", "estimate_ms", "anti_affinity", "max_unavailable" }) {
      const auto body = R"({"steps":[{")" + std::string(name) + "\":" + number + "}]}";
      CHECK_TEXT(!decodeJob(body).ok(), body.c_str());
    }
    for (const char* name : { "first_ms", "interval_ms", "repeat_count" }) {
      const auto body = R"({"steps":[{}],")" + std::string(name) + "\":" + number + "}";
      CHECK_TEXT(!decodeJob(body).ok(), body.c_str());
    }
    const auto after = R"({"steps":[{},{"after":[)" + std::string(number) + "]}]}";
    CHECK_TEXT(!decodeJob(after).ok(), after.c_str());
  }
  CHECK(decodeJob(R"({"steps":[{}],"first_ms":1768871666056,"interval_ms":60000,
                      "repeat_count":1000000})")
          .ok());
  // The last occurrence would be due in 317,000 years.
  CHECK_FALSE(decodeJob(R"({"steps":[{}],"interval_ms":10000000000,"repeat_count":1000000})").ok());
}

// Guards against configurations of which a number is truncated to another one.
TEST(platform_numbers, aConfigurationOutOfRangeIsRejected)
{
  const auto accepts = [](const std::string& aName, const std::string& aNumber) {
    return decodeConfig(R"({"version":1,"routes":[{"name":"r",")" + aName + "\":" + aNumber + "}]}")
      .ok();
  };
  for (const char* number : { "1e300", "-1e300", "1e400", "9223372036854775807",
                              "18446744073709551615", "4294967296", "NaN" }) {
    CHECK_TEXT(!accepts("priority", number), number);
    CHECK_TEXT(!accepts("max_attempts", number), number);
  }
  CHECK(accepts("max_attempts", "4294967295"));
  CHECK_FALSE(accepts("max_attempts", "-1"));
  for (const char* number : { "-1", "1e300", "1e18", "9223372036854775808" }) {
    CHECK_TEXT(!accepts("slo_ms", number), number);
    CHECK_TEXT(!accepts("timeout_ms", number), number);
    CHECK_TEXT(!accepts("stretch", number), number);
    for (const char* name : { "decide_ms", "each_ms", "valid_ms" }) {
      CHECK_TEXT(!accepts("advice", R"({")" + std::string(name) + "\":" + number + "}"), number);
    }
    CHECK_TEXT(!decodeConfig(R"({"version":)" + std::string(number) + R"(,"routes":[]})").ok(),
               number);
  }
  // A limit that isn't positive is none.
  CHECK(decodeConfig(R"({"routes":[],"tenants":[{"name":"t","upper_limit":{"cpu":-1}}]})").ok());
  CHECK_FALSE(
    decodeConfig(R"({"routes":[],"tenants":[{"name":"t","upper_limit":{"cpu":1e300}}]})").ok());
}

// Guards against reports of which a number is truncated to that of another run.
TEST(platform_numbers, aReportOutOfRangeIsMalformed)
{
  const std::string task = R"("5c0e7a21d94b36f8.0.1.17")";
  for (const char* number : kOddNumbers) {
    CHECK_TEXT(!decodeReport(R"({"wall_clock_ms":)" + std::string(number) + "}").ok(), number);
    CHECK_TEXT(!decodeReport(R"({"born":)" + std::string(number) + "}").ok(), number);
    CHECK_TEXT(!decodeReport(R"({"running":[[)" + task + "," + number + R"(,"",1,1]]})").ok(),
               number);
    CHECK_TEXT(!decodeReport(R"({"ended":[[1,)" + task + "," + number + R"(,"done",""]]})").ok(),
               number);
  }
  for (const char* number : { "-1", "1e300", "18446744073709551616", "\"1\"", "-0.6" }) {
    CHECK_TEXT(
      !decodeReport(R"({"ended":[[)" + std::string(number) + "," + task + R"(,1,"done",""]]})")
         .ok(),
      number);
  }
  CHECK_FALSE(decodeReport(R"({"running":[[)" + task + R"(,4294967297,"",1,1]]})").ok());
}

// Guards against a caller's time limit that overflows when it is added to the time.
TEST(platform_numbers, aTimeLimitOfACallerIsBounded)
{
  for (const char* text : { "9223372036854775807", "-9223372036854775808", "-1" }) {
    edges::http_request request{ .mMethod = "GET" };
    request.mHeaders.emplace_back("deadline-ms", text);
    const auto timeout = decodeCallerRequest(request).mTimeout;
    CHECK_TEXT(timeout && timeout->count() >= 0 && timeout->count() <= 31'622'400'000, text);
  }
}
