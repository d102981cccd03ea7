#include "endiveusher/standins/vm_list_model.h"

#include <algorithm>

namespace endiveusher::standins {

vm_list_model::vm_list_model(duration aLag, vm_list aInitial) : mLag(aLag)
{
  mHistory.emplace_back(time_point::min(), std::move(aInitial));
}

vm_list& vm_list_model::appendCopy(time_point aNow)
{
  vm_list copy = mHistory.back().second;
  return mHistory.emplace_back(aNow, std::move(copy)).second;
}

void vm_list_model::set(const vm_entry& aVm, time_point aNow)
{
  auto& vms = appendCopy(aNow).mVms;
  const auto found = std::find_if(
    vms.begin(), vms.end(), [&aVm](const vm_entry& aEntry) { return aEntry.mName == aVm.mName; });
  if (found == vms.end()) {
    vms.push_back(aVm);
  } else {
    *found = aVm;
  }
}

void vm_list_model::setLeaving(const std::string& aName, bool aLeaving, time_point aNow)
{
  for (auto& vm : appendCopy(aNow).mVms) {
    if (vm.mName == aName) {
      vm.mLeaving = aLeaving;
    }
  }
}

void vm_list_model::remove(const std::string& aName, time_point aNow)
{
  std::erase_if(appendCopy(aNow).mVms,
                [&aName](const vm_entry& aVm) { return aVm.mName == aName; });
}

std::optional<vm_list> vm_list_model::list(time_point aNow)
{
  if (mDown) {
    return std::nullopt;
  }
  while (mHistory.size() > 1 && mHistory[1].first <= aNow - mLag) {
    mHistory.pop_front();
  }
  return mHistory.front().second;
}

} // namespace endiveusher::standins
