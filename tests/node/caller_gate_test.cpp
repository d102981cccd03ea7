#include "caller_gate.h"
#include "endiveusher/platform/messages.h"
#include "manual_clock.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace endiveusher;
using namespace endiveusher::node;
using testing::manual_clock;

TEST_GROUP(caller_gate)
{
  manual_clock mClock;
  caller_gate mGate{ mClock, {} };

  void setup() override
  {
    auto config = platform::decodeConfig(
      R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/b/"},)"
      R"({"name":"p","host":"h","path_prefix":"/p/","public":true}],)"
      R"("tenants":[{"name":"red","api_keys":["kred"]}]})");
    mGate.setConfig(std::make_shared<const scheduler::cell_config>(*std::move(config)),
                    mClock.now());
  }
  /// Status of the refusal; 0 if the body is to be received, 1 if the request is trusted too.
  int decide(const char* aPath, const char* aKey) const
  {
    const auto admission =
      mGate.decide({ .mMethod = "POST",
                     .mPath = aPath,
                     .mHeaders = { { "host", "h" }, { "credential", aKey } } });
    return admission.mRefusal ? admission.mRefusal->mStatus : admission.mTrusted ? 1 : 0;
  }
};

// Guards against bodies of unknown callers that are received.
TEST(caller_gate, unknownRoutesAndKeysAreRefused)
{
  CHECK_EQUAL(1, decide("/b/1", "kred"));
  CHECK_EQUAL(401, decide("/b/1", "other"));
  CHECK_EQUAL(401, decide("/b/1", ""));
  CHECK_EQUAL(404, decide("/c/1", "kred"));
  CHECK_EQUAL(1, decide("/p/1", ""));
}

// Guards against denials by a daemon whose configuration may lack the newest key or route.
TEST(caller_gate, outdatedConfigurationDeniesNothing)
{
  mClock.mNow += std::chrono::milliseconds(1501);
  CHECK_EQUAL(0, decide("/b/1", "other"));
  CHECK_EQUAL(0, decide("/c/1", "kred"));
  CHECK_EQUAL(1, decide("/b/1", "kred"));
  mClock.mNow += std::chrono::milliseconds(1500);
  // The key may have been withdrawn.
  CHECK_EQUAL(0, decide("/b/1", "kred"));
  mGate.setConfig(nullptr, mClock.now());
  CHECK_EQUAL(0, decide("/b/1", "kred"));
}
