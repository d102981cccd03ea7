#include "daemon/src/settings.h"

#include <array>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::daemon;

namespace {

const std::array<std::string, 2> kPolicies{ "best_fit", "spread" };

std::string minimal()
{
  return "vm: e1\n"
         "zone: a\n"
         "http_address: 127.0.0.1:0\n"
         "peer_address: 127.0.0.1:8600\n"
         "log_url: http://127.0.0.1:8700\n"
         "vm_list_url: http://127.0.0.1:8701\n"
         "operator_key_digests: [" +
         std::string(64, 'a') + "]\n";
}

std::vector<settings_error> errorsOf(const std::string& aText)
{
  return readSettings(aText, kPolicies).mErrors;
}

} // namespace

TEST_GROUP(settings){};

// Guards against a value that is checked but not stored.
TEST(settings, everySectionIsStored)
{
  const auto result = readSettings(minimal() + "seeds: [127.0.0.1:1, '[::1]:2']\n"
                                               "policy: spread\n"
                                               "log_level: warning\n"
                                               "timing: { task_lease_ms: 30000 }\n"
                                               "memory: { jobs: 77 }\n",
                                   kPolicies);
  CHECK(result.mErrors.empty());
  const auto& settings = result.mSettings;
  STRCMP_EQUAL("e1", settings.mVm.c_str());
  STRCMP_EQUAL("127.0.0.1:8600", settings.mPeerAddress.c_str());
  CHECK_EQUAL(2, settings.mSeeds.size());
  STRCMP_EQUAL("spread", settings.mPolicy.c_str());
  CHECK(log_level::warning == settings.mLogLevel);
  CHECK(std::chrono::seconds(30) == settings.mTiming.mTaskLease);
  CHECK_EQUAL(77, settings.mMemory.mJobs);
}

// Guards against a check that stops at the first error, and against errors without their line.
TEST(settings, everyErrorIsReportedWithItsLine)
{
  const auto errors = errorsOf(minimal() + "policy: worst_fit\n"
                                           "colour: red\n"
                                           "timing:\n"
                                           "  task_lease_ms: soon\n"
                                           "  task_lease: 1\n"
                                           "zone: b\n");
  CHECK_EQUAL(5, errors.size());
  const std::array<std::pair<int, std::string>, 5> expected{ { { 8, "policy" },
                                                               { 9, "colour" },
                                                               { 11, "timing.task_lease_ms" },
                                                               { 12, "timing.task_lease" },
                                                               { 13, "zone" } } };
  for (std::size_t i = 0; i < errors.size(); ++i) {
    CHECK_EQUAL(expected[i].first, errors[i].mLine);
    STRCMP_EQUAL(expected[i].second.c_str(), errors[i].mKey.c_str());
    CHECK_FALSE(errors[i].mAccepted.empty());
  }
  STRCMP_EQUAL("f.yaml:8: policy has the value 'worst_fit'; accepted: one of best_fit, spread",
               describe("f.yaml", errors[0]).c_str());
}

// Guards against a daemon that starts with incomplete settings.
TEST(settings, missingKeysAndOtherDocumentsAreErrors)
{
  CHECK_EQUAL(7, errorsOf("{}").size());
  CHECK_EQUAL(1, errorsOf("").size());
  CHECK_EQUAL(1, errorsOf("- 1\n").size());
  CHECK_EQUAL(1, errorsOf("vm: [\n").size());
  CHECK_EQUAL(1, errorsOf(minimal() + "---\n" + minimal()).size());
}

// Guards against addresses that need name resolution, and digests that can match no key.
TEST(settings, namesAndShortDigestsAreNotAccepted)
{
  for (const std::string line :
       { "seeds: [localhost:1]", "seeds: [127.0.0.1:0]", "seeds: 127.0.0.1:1", "seeds: [127.0.0.1]",
         "memory: { jobs: -1 }", "memory: { jobs: 1e3 }", "log_level: loud" }) {
    CHECK_EQUAL(1, errorsOf(minimal() + line + "\n").size());
  }
  std::string text = minimal();
  text.replace(text.find("aaaa"), 4, "AAAA");
  CHECK_EQUAL(1, errorsOf(text).size());
}

// Guards against periods that make the protocol's waits too short.
TEST(settings, periodsOutOfOrderAreErrors)
{
  const auto errors = errorsOf(minimal() + "timing: { task_lease_ms: 5000 }\n");
  CHECK_EQUAL(1, errors.size());
  CHECK_EQUAL(8, errors[0].mLine);
}
