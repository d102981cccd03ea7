#include "epoch_history.h"

#include "election.h"

#include <algorithm>
#include <utility>

namespace endiveusher::node {

void epoch_history::onRecord(const owner_record& aRecord, std::uint64_t aOffset, time_point aNow)
{
  if (aRecord.mKind == owner_record::kind::claim) {
    mTenures.try_emplace(epochOf(aOffset), tenure{ .mNode = aRecord.mNode,
                                                   .mIncarnation = aRecord.mIncarnation,
                                                   .mAddress = aRecord.mPeerAddress });
  }
  bool isNewest = true;
  for (auto at = mTenures.rbegin(); at != mTenures.rend(); ++at) {
    auto& [epoch, tenure] = *at;
    if (tenure.mNode != aRecord.mNode || epoch > epochOf(aOffset)) {
      continue;
    }
    if (tenure.mIncarnation != aRecord.mIncarnation || !std::exchange(isNewest, false)) {
      // Records are appended under a condition, so that none of an earlier process or tenure can
      // follow.
      tenure.mEnded = std::min(tenure.mEnded, aNow);
      continue;
    }
    tenure.mLastRecord = std::max(tenure.mLastRecord, aNow);
    if (aRecord.mKind == owner_record::kind::release) {
      tenure.mEnded = std::min(tenure.mEnded, aNow);
    }
  }
}

void epoch_history::onStoodDown(std::string_view aAddress, std::uint64_t aEpoch, time_point aNow)
{
  for (auto& [epoch, tenure] : mTenures) {
    if (tenure.mAddress == aAddress && epoch < aEpoch) {
      tenure.mEnded = std::min(tenure.mEnded, aNow);
    }
  }
}

std::map<std::uint64_t, time_point> epoch_history::latestActs() const
{
  std::map<std::uint64_t, time_point> acts;
  for (const auto& [epoch, tenure] : mTenures) {
    acts[epoch] = std::min<time_point>(tenure.mEnded, tenure.mLastRecord + mMaxRenewalAge);
  }
  return acts;
}

} // namespace endiveusher::node
