#include "input_lanes.h"

namespace endiveusher::node {

void input_lanes::beginPass(time_point aNow)
{
  mShares = {};
  mCurrent.reset();
  mSince = aNow;
}

std::optional<input_lane> input_lanes::next(const waiting_lanes& aWaiting, time_point aNow)
{
  if (mCurrent) {
    mShares[static_cast<std::size_t>(*mCurrent)].mUsed += aNow - mSince;
  }
  mSince = aNow;
  mCurrent.reset();
  for (std::size_t lane = 0; lane < kInputLanes && !mCurrent; ++lane) {
    auto& share = mShares[lane];
    const auto& options = mOptions[lane];
    if (aWaiting[lane] && (share.mUsed < options.mBudget || share.mInputs < options.mMinInputs)) {
      ++share.mInputs;
      mCurrent = static_cast<input_lane>(lane);
    }
  }
  return mCurrent;
}

} // namespace endiveusher::node
