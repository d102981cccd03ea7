#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiveusher::standins {

struct store_append
{
  std::string mTopic;
  std::vector<std::string> mRecords;
  std::optional<std::uint64_t> mExpectedEnd;
  std::string mProducer;
  std::uint64_t mEpoch = 0;
  std::uint64_t mSequence = 0;
};

struct store_answer
{
  /// HTTP status.
  int mStatus = 200;
  std::string mReason;
  std::uint64_t mOffset = 0;
  std::uint64_t mEnd = 0;
  /// Sequence number that is taken next, if the reason is `seq`.
  std::uint64_t mExpected = 0;
};

/// Model of the platform's log, with one partition per topic: conditional appends, producers with
/// epochs, and trimming. Does no I/O and does not depend on time.
///
/// Usage: `store.append({ .mTopic = "t", .mRecords = { "a" } }); store.read("t", 0);`
class store_model
{
public:
  store_answer append(const store_append& aAppend)
  {
    auto& topic = mTopics[aAppend.mTopic];
    const auto end = topic.end();
    if (aAppend.mExpectedEnd && *aAppend.mExpectedEnd != end) {
      return { .mStatus = 412, .mEnd = end };
    }
    if (!aAppend.mProducer.empty()) {
      auto& producer = topic.mProducers[aAppend.mProducer];
      if (aAppend.mEpoch < producer.mEpoch) {
        return { .mStatus = 409, .mReason = "fenced", .mEnd = end };
      }
      // A sequence number among the last five is a retry, whatever its epoch.
      for (const auto& [sequence, answer] : producer.mRecentAppends) {
        if (sequence == aAppend.mSequence) {
          return answer;
        }
      }
      if (aAppend.mEpoch == producer.mEpoch && producer.mSequence != 0 &&
          aAppend.mSequence != producer.mSequence + 1) {
        return {
          .mStatus = 409, .mReason = "seq", .mEnd = end, .mExpected = producer.mSequence + 1
        };
      }
      producer.mEpoch = aAppend.mEpoch;
      producer.mSequence = aAppend.mSequence;
    }
    for (const auto& record : aAppend.mRecords) {
      topic.mRecords.push_back(record);
    }
    const store_answer answer{ .mOffset = end, .mEnd = topic.end() };
    if (!aAppend.mProducer.empty() && !aAppend.mRecords.empty()) {
      auto& last = topic.mProducers[aAppend.mProducer].mRecentAppends;
      last.emplace_back(aAppend.mSequence, answer);
      if (last.size() > kDeduplicationWindow) {
        last.pop_front();
      }
    }
    return answer;
  }

  /// Returns the records from aFrom on; absent if some of them have been trimmed.
  std::optional<std::vector<std::string>> read(const std::string& aTopic, std::uint64_t aFrom)
  {
    const auto& topic = mTopics[aTopic];
    if (aFrom < topic.mFirst) {
      return std::nullopt;
    }
    std::vector<std::string> records;
    for (auto at = aFrom; at < topic.end(); ++at) {
      records.push_back(topic.mRecords[at - topic.mFirst]);
    }
    return records;
  }

  std::uint64_t first(const std::string& aTopic) { return mTopics[aTopic].mFirst; }
  std::uint64_t end(const std::string& aTopic) { return mTopics[aTopic].end(); }

  void trim(const std::string& aTopic, std::uint64_t aBefore)
  {
    auto& topic = mTopics[aTopic];
    while (topic.mFirst < aBefore && !topic.mRecords.empty()) {
      topic.mRecords.pop_front();
      ++topic.mFirst;
    }
  }

private:
  static constexpr std::size_t kDeduplicationWindow = 5;

  struct producer_state
  {
    std::uint64_t mEpoch = 0;
    std::uint64_t mSequence = 0;
    std::deque<std::pair<std::uint64_t, store_answer>> mRecentAppends;
  };
  struct topic_state
  {
    std::uint64_t mFirst = 0;
    std::deque<std::string> mRecords;
    std::map<std::string, producer_state> mProducers;

    std::uint64_t end() const { return mFirst + mRecords.size(); }
  };

  std::map<std::string, topic_state> mTopics;
};

} // namespace endiveusher::standins
