#pragma once

#include "endiveusher/kernel/events.h"
#include "endiveusher/kernel/time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveusher::internal {

/// Appends records to stream control until they have been read back. An append whose answer was
/// lost is repeated with the same record ids; readers drop duplicate records.
class control_writer
{
public:
  explicit control_writer(incarnation_id aSelf) : mSelf(std::move(aSelf)) {}

  /// Queues a record and returns its id.
  template<typename Body>
  std::string add(Body aBody)
  {
    std::string id = mSelf + "/" + std::to_string(++mLastNumber);
    mPending.push_back({ .mId = id, .mBody = std::move(aBody) });
    return id;
  }

  /// Removes a record that has been read back.
  void seen(std::string_view aId)
  {
    std::erase_if(mPending, [&](const control_record& aRecord) { return aRecord.mId == aId; });
    std::erase(mStored, aId);
  }
  /// Abandons a record; it may have been stored already.
  void cancel(std::string_view aId) { seen(aId); }

  /// Returns the next append, if one is due.
  std::optional<append_control_effect> next(time_point aNow)
  {
    if (mInFlight != 0 || aNow < mRetryAt) {
      return std::nullopt;
    }
    append_control_effect append{ .mAppendId = 0, .mRecords = {} };
    for (const control_record& record : mPending) {
      if (std::ranges::find(mStored, record.mId) == mStored.end()) {
        append.mRecords.push_back(record);
      }
    }
    if (append.mRecords.empty()) {
      return std::nullopt;
    }
    mInFlight = kIdBase + ++mLastAppend;
    append.mAppendId = mInFlight;
    mSending = append.mRecords;
    return append;
  }

  /// Returns whether aEvent answers an append of this writer.
  bool handle(const append_event& aEvent, time_point aNow)
  {
    if (aEvent.mAppendId < kIdBase) {
      return false;
    }
    if (aEvent.mAppendId != mInFlight) {
      return true;
    }
    mInFlight = 0;
    switch (aEvent.mStatus) {
      case append_status::stored:
        for (const control_record& record : mSending) {
          mStored.push_back(record.mId);
        }
        break;
      case append_status::rejected:
      case append_status::unknown:
        mRetryAt = aNow + kRetryInterval;
        break;
    }
    mSending.clear();
    return true;
  }

  bool idle() const { return mPending.empty(); }

  /// Lowest append id of this writer; keeps its ids distinct from those of stream jobs.
  static constexpr std::uint64_t kIdBase = std::uint64_t{ 1 } << 62U;

private:
  static constexpr duration kRetryInterval = std::chrono::milliseconds(300);

  incarnation_id mSelf;
  std::uint64_t mLastNumber = 0;
  std::uint64_t mLastAppend = 0;
  std::uint64_t mInFlight = 0;
  time_point mRetryAt{};
  std::deque<control_record> mPending;
  std::vector<control_record> mSending;
  /// Ids of records that are stored in the stream but have not been read back yet.
  std::vector<std::string> mStored;
};

} // namespace endiveusher::internal
