#include "snapshots.h"

#include "endiveusher/kernel/msgpack.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace endiveusher::node {

namespace {

using nlohmann::json;

/// First element of a header; distinct from the kinds of journal records, which are small numbers.
constexpr int kHeaderKind = 100;
constexpr auto kRetryPause = std::chrono::milliseconds(100);

struct header
{
  std::uint64_t mBase = 0;
  std::size_t mCount = 0;
};

std::optional<header> decodeHeader(const std::string& aBytes)
{
  try {
    const auto value = parseMsgpack(aBytes);
    if (!value.is_array() || value.size() != 3 || value[0] != kHeaderKind) {
      return std::nullopt;
    }
    return header{ .mBase = value[1], .mCount = value[2] };
  } catch (const std::exception& /*aError*/) {
    return std::nullopt; // Not a header, as are most of the topic's records.
  }
}

} // namespace

std::vector<std::string> encodeSnapshot(const snapshot& aSnapshot)
{
  std::vector<std::string> records(1);
  json::to_msgpack(json::array({ kHeaderKind, aSnapshot.mBase, aSnapshot.mRecords.size() }),
                   records.front());
  records.reserve(aSnapshot.mRecords.size() + 1);
  for (const auto& record : aSnapshot.mRecords) {
    records.push_back(encode(record));
  }
  return records;
}

std::optional<snapshot> lastSnapshot(const std::vector<std::string>& aRecords)
{
  // Searches from the end, because only the last complete snapshot counts.
  for (std::size_t at = aRecords.size(); at-- > 0;) {
    const auto found = decodeHeader(aRecords[at]);
    if (!found || aRecords.size() - at - 1 < found->mCount) {
      continue;
    }
    snapshot result{ .mBase = found->mBase };
    for (std::size_t next = at + 1; next <= at + found->mCount; ++next) {
      auto record = scheduler::decodeRecord(aRecords[next]);
      if (!record.ok()) {
        break;
      }
      result.mRecords.push_back(*std::move(record));
    }
    if (result.mRecords.size() == found->mCount) {
      return result;
    }
  }
  return std::nullopt;
}

snapshot_loader::snapshot_loader(platform::store& aStore, const clock& aClock, std::string aTopic)
  : mStore(aStore), mClock(aClock), mTopic(std::move(aTopic))
{
}

void snapshot_loader::load(done_callback aDone)
{
  ++mGeneration;
  mDone = std::move(aDone);
  mReadInFlight = false;
  mNext = 0;
  mRetryAt = time_point{};
  mRecords.clear();
}

void snapshot_loader::tick(time_point aNow)
{
  if (!mDone || mReadInFlight || mRetryAt > aNow) {
    return;
  }
  mReadInFlight = true;
  mStore.read(
    mTopic, mNext, std::chrono::milliseconds(0),
    [this, alive = std::weak_ptr(mAlive), generation = mGeneration](platform::read_reply&& aReply) {
      if (!alive.expired() && generation == mGeneration) {
        onReadReply(std::move(aReply));
      }
    });
}

void snapshot_loader::onReadReply(platform::read_reply&& aReply)
{
  mReadInFlight = false;
  switch (aReply.mOutcome) {
    case platform::read_reply::outcome::failed:
      mRetryAt = mClock.now() + kRetryPause;
      return;
    case platform::read_reply::outcome::deleted:
      mNext = std::max(mNext + 1, aReply.mFirst);
      mRecords.clear();
      return;
    case platform::read_reply::outcome::ok:
      break;
  }
  mNext += aReply.mRecords.size();
  std::ranges::move(aReply.mRecords, std::back_inserter(mRecords));
  if (mNext >= aReply.mEnd) {
    const auto finished = std::exchange(mDone, nullptr);
    finished(lastSnapshot(std::exchange(mRecords, {})));
  }
}

} // namespace endiveusher::node
