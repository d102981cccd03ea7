#include "node/src/store_connectivity.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::node;
using std::chrono::milliseconds;

TEST_GROUP(store_connectivity){};

// Guards against a partitioned daemon that accepts calls until a read times out.
TEST(store_connectivity, isLostAfterMissingReplies)
{
  store_connectivity connectivity;
  const time_point start{ std::chrono::seconds(50) };
  connectivity.onReply(start);
  CHECK_FALSE(connectivity.lost(start + milliseconds(500), milliseconds(5)));
  CHECK(connectivity.lost(start + milliseconds(700), milliseconds(5)));
  connectivity.onReply(start + milliseconds(800));
  CHECK_FALSE(connectivity.lost(start + milliseconds(900), milliseconds(5)));
}

// Load pattern: the store takes a third of a second for each call of all daemons. Guards against
// daemons that reject records that it would still store.
TEST(store_connectivity, isKeptWhileTheStoreIsSlow)
{
  store_connectivity connectivity;
  const time_point start{ std::chrono::seconds(50) };
  connectivity.onReply(start);
  CHECK_FALSE(connectivity.lost(start + milliseconds(1300), milliseconds(360)));
  CHECK(connectivity.lost(start + milliseconds(1500), milliseconds(360)));
}

// Guards against a daemon that counts as partitioned before its first call.
TEST(store_connectivity, isNotLostBeforeTheFirstAnswer)
{
  CHECK_FALSE(store_connectivity().lost(time_point(std::chrono::seconds(50)), milliseconds(5)));
}
