#include "node/src/store_contact.h"

#include <CppUTest/TestHarness.h>

using namespace endiveusher;
using namespace endiveusher::node;
using std::chrono::milliseconds;

TEST_GROUP(store_contact){};

// Guards against a daemon that is cut off and goes on taking calls until a reading times out.
TEST(store_contact, isLostAfterBriefSilence)
{
  store_contact contact;
  const time_point start{ std::chrono::seconds(50) };
  contact.answered(start);
  CHECK_FALSE(contact.lost(start + milliseconds(500), milliseconds(5)));
  CHECK(contact.lost(start + milliseconds(700), milliseconds(5)));
  contact.answered(start + milliseconds(800));
  CHECK_FALSE(contact.lost(start + milliseconds(900), milliseconds(5)));
}

// Load pattern: the store takes a third of a second for all. Guards against daemons that reject
// what it would still store.
TEST(store_contact, isKeptWhileTheStoreIsSlow)
{
  store_contact contact;
  const time_point start{ std::chrono::seconds(50) };
  contact.answered(start);
  CHECK_FALSE(contact.lost(start + milliseconds(1300), milliseconds(360)));
  CHECK(contact.lost(start + milliseconds(1500), milliseconds(360)));
}

// Guards against a daemon that counts as cut off before its first call.
TEST(store_contact, isNotLostBeforeTheFirstAnswer)
{
  CHECK_FALSE(store_contact().lost(time_point(std::chrono::seconds(50)), milliseconds(5)));
}
