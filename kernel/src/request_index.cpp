#include "request_index.h"

#include "request_ids.h"

namespace endiveusher::internal {

std::uint32_t request_index::coordinatorNumber(const incarnation_id& aCoordinator)
{
  const auto [found, isNew] =
    mCoordinatorNumbers.try_emplace(aCoordinator, static_cast<std::uint32_t>(mCoordinators.size()));
  if (isNew) {
    mCoordinators.push_back(aCoordinator);
  }
  return found->second;
}

bool request_index::apply(const accept_record& aRecord, log_offset aOffset)
{
  const auto& request = aRecord.mJob.mRequest;
  if (parseTicket(request)) {
    // The issuer has already decided on the ticket; the record only makes the job durable.
    if (mEnded.contains(request)) {
      return false;
    }
    mUnfinished.insert_or_assign(request, unfinished_job{ aRecord, true });
    return true;
  }
  const auto [found, isFirst] =
    mDecisions.try_emplace(request, entry{ .mCoordinator = coordinatorNumber(aRecord.mCoordinator),
                                           .mDigest = aRecord.mBodyDigest });
  if (!isFirst) {
    return false;
  }
  mByOffset.emplace_back(aOffset, request);
  if (!mEnded.contains(request)) {
    mUnfinished.insert_or_assign(request, unfinished_job{ aRecord, true });
  }
  return true;
}

void request_index::apply(const ended_record& aRecord)
{
  mUnfinished.erase(aRecord.mRequest);
  if (!mEnded.insert_or_assign(aRecord.mRequest, aRecord).second) {
    return;
  }
  mEndedOrder.push_back(aRecord.mRequest);
  if (mEndedOrder.size() > kMaxEndedKept) {
    mEnded.erase(mEndedOrder.front());
    mEndedOrder.pop_front();
  }
}

void request_index::dropBelow(log_offset aFirst)
{
  while (!mByOffset.empty() && mByOffset.front().first < aFirst) {
    mDecisions.erase(mByOffset.front().second);
    mByOffset.pop_front();
  }
}

void request_index::applyCopy(const accept_record& aRecord, bool aEnded)
{
  if (aEnded) {
    mUnfinished.erase(aRecord.mJob.mRequest);
  } else if (!mEnded.contains(aRecord.mJob.mRequest)) {
    mUnfinished.try_emplace(aRecord.mJob.mRequest, unfinished_job{ aRecord, false });
  }
}

std::optional<request_index::decision> request_index::find(const request_id& aRequest) const
{
  const auto found = mDecisions.find(aRequest);
  if (found == mDecisions.end()) {
    return std::nullopt;
  }
  return decision{ .mCoordinator = mCoordinators.at(found->second.mCoordinator),
                   .mDigest = found->second.mDigest };
}

const ended_record* request_index::findEnded(const request_id& aRequest) const
{
  const auto found = mEnded.find(aRequest);
  return found == mEnded.end() ? nullptr : &found->second;
}

bool request_index::isUnfinished(const request_id& aRequest) const
{
  return mUnfinished.contains(aRequest);
}

std::vector<request_index::unfinished_job> request_index::takeUnfinished(
  const std::function<bool(const incarnation_id&)>& aIsFailedOver)
{
  std::vector<unfinished_job> taken;
  for (auto entry = mUnfinished.begin(); entry != mUnfinished.end();) {
    if (aIsFailedOver(entry->second.mAccept.mCoordinator)) {
      taken.push_back(std::move(entry->second));
      entry = mUnfinished.erase(entry);
    } else {
      ++entry;
    }
  }
  return taken;
}

} // namespace endiveusher::internal
