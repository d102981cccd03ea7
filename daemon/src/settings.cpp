#include "settings.h"

#include "settings_values.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <yaml-cpp/yaml.h>

namespace endiveusher::daemon {

namespace {

/// One key that a mapping may have.
struct key_rule
{
  std::string mName;
  bool mRequired = false;
  /// What the key accepts, for messages.
  std::string mAccepted;
  /// Takes the value over; false if it is not accepted.
  std::function<bool(const YAML::Node&)> mTake;
};

std::function<bool(const YAML::Node&)> takeText(std::string& aOut,
                                                std::function<bool(std::string_view)> aCheck)
{
  return [&aOut, check = std::move(aCheck)](const YAML::Node& aNode) {
    if (!aNode.IsScalar() || !check(aNode.Scalar())) {
      return false;
    }
    aOut = aNode.Scalar();
    return true;
  };
}

std::function<bool(const YAML::Node&)> takeList(std::vector<std::string>& aOut,
                                                std::function<bool(std::string_view)> aCheck)
{
  return [&aOut, check = std::move(aCheck)](const YAML::Node& aNode) {
    if (!aNode.IsSequence()) {
      return false;
    }
    for (const auto& item : aNode) {
      if (!item.IsScalar() || !check(item.Scalar())) {
        return false;
      }
      aOut.push_back(item.Scalar());
    }
    return true;
  };
}

template<typename Number>
key_rule numberRule(const std::string& aName, Number& aOut, long long aLow, long long aHigh)
{
  return { .mName = aName,
           .mAccepted = fmt::format("a whole number from {} to {}", aLow, aHigh),
           .mTake = [&aOut, aLow, aHigh](const YAML::Node& aNode) {
             if (!aNode.IsScalar()) {
               return false;
             }
             const auto value = internal::parseNumber(aNode.Scalar(), aLow, aHigh);
             if (value) {
               aOut = static_cast<Number>(*value);
             }
             return value.has_value();
           } };
}

key_rule millisecondsRule(const std::string& aName, duration& aOut, long long aLow, long long aHigh)
{
  auto rule = numberRule(aName, aOut, aLow, aHigh);
  rule.mAccepted += " (milliseconds)";
  rule.mTake = [&aOut, aLow, aHigh](const YAML::Node& aNode) {
    if (!aNode.IsScalar()) {
      return false;
    }
    const auto value = internal::parseNumber(aNode.Scalar(), aLow, aHigh);
    if (value) {
      aOut = std::chrono::milliseconds(*value);
    }
    return value.has_value();
  };
  return rule;
}

class checker
{
public:
  checker(settings_result& aResult, std::span<const std::string> aPolicies)
    : mResult(aResult), mPolicies(aPolicies)
  {
  }

  void checkFile(const YAML::Node& aRoot)
  {
    checkMapping(aRoot, "", rootRules());
    checkTiming();
    std::stable_sort(mResult.mFaults.begin(), mResult.mFaults.end(),
                     [](const settings_fault& aLeft, const settings_fault& aRight) {
                       return aLeft.mLine < aRight.mLine;
                     });
  }

private:
  std::vector<key_rule> rootRules()
  {
    auto& out = mResult.mSettings;
    const auto listened = [](std::string_view aText) { return internal::isAddress(aText, true); };
    const auto address = [](std::string_view aText) { return internal::isAddress(aText, false); };
    const std::string name = "1 to 64 letters, digits, '-' or '_'";
    return {
      { "vm", true, name, takeText(out.mVm, internal::isName) },
      { "zone", true, name, takeText(out.mZone, internal::isName) },
      { "http_address", true, "ip:port, port 0 to 65535", takeText(out.mHttpAddress, listened) },
      { "peer_address", true, "ip:port, port 0 to 65535", takeText(out.mPeerAddress, listened) },
      { "log_url", true, "http://ip:port", takeText(out.mLogUrl, internal::isBaseUrl) },
      { "vm_list_url", true, "http://ip:port", takeText(out.mVmListUrl, internal::isBaseUrl) },
      { "seeds", false, "a list of ip:port", takeList(out.mSeeds, address) },
      { "operator_key_digests", true, "a list of SHA-256 digests, 64 lower-case hex digits each",
        takeList(out.mOperatorKeyDigests, internal::isDigest) },
      { "policy", false, fmt::format("one of {}", fmt::join(mPolicies, ", ")),
        takeText(out.mPolicy,
                 [this](std::string_view aText) {
                   return std::find(mPolicies.begin(), mPolicies.end(), aText) != mPolicies.end();
                 }) },
      { "log_level", false, "one of debug, info, warning, error",
        [&out](const YAML::Node& aNode) { return takeLevel(aNode, out.mLogLevel); } },
      { "timing", false, "a mapping of periods",
        [this](const YAML::Node& aNode) { return checkMapping(aNode, "timing.", timingRules()); } },
      { "memory", false, "a mapping of bounds",
        [this](const YAML::Node& aNode) { return checkMapping(aNode, "memory.", memoryRules()); } },
    };
  }

  std::vector<key_rule> timingRules()
  {
    auto& timing = mResult.mSettings.mTiming;
    constexpr long long kMinute = 60'000;
    constexpr long long kHour = 60 * kMinute;
    return {
      millisecondsRule("freshness_period_ms", timing.mFreshnessPeriod, 100, kMinute),
      millisecondsRule("start_by_period_ms", timing.mStartByPeriod, 50, kMinute),
      millisecondsRule("ownership_lease_ms", timing.mOwnershipLease, 200, kHour),
      millisecondsRule("task_lease_ms", timing.mTaskLease, 500, kHour),
      millisecondsRule("exchange_interval_ms", timing.mExchangeInterval, 10, kMinute),
      millisecondsRule("exchange_timeout_ms", timing.mExchangeTimeout, 10, kMinute),
      millisecondsRule("gossip_interval_ms", timing.mGossipInterval, 10, kMinute),
      millisecondsRule("silence_period_ms", timing.mSilencePeriod, 100, kHour),
      millisecondsRule("isolation_limit_ms", timing.mIsolationLimit, 1000, 24 * kHour),
      millisecondsRule("control_read_interval_ms", timing.mControlReadInterval, 10, kMinute),
      millisecondsRule("vm_list_interval_ms", timing.mVmListInterval, 10, kMinute),
      millisecondsRule("reservation_period_ms", timing.mReservationPeriod, 100, kMinute),
      millisecondsRule("safety_margin_ms", timing.mSafetyMargin, 50, kMinute),
      millisecondsRule("shutdown_period_ms", timing.mShutdownPeriod, 100, kHour),
      millisecondsRule("snapshot_interval_ms", timing.mSnapshotInterval, 1000, 24 * kHour),
    };
  }

  std::vector<key_rule> memoryRules()
  {
    auto& memory = mResult.mSettings.mMemory;
    return {
      numberRule("jobs", memory.mJobs, 1, 10'000'000),
      numberRule("ring_events", memory.mRingEvents, 16, 65'536),
      numberRule("request_kb", memory.mRequestKb, 1, 16'384),
      numberRule("open_calls", memory.mOpenCalls, 1, 1'000'000),
      numberRule("peer_messages", memory.mPeerMessages, 16, 65'536),
    };
  }

  static bool takeLevel(const YAML::Node& aNode, log_level& aOut)
  {
    constexpr std::array<std::string_view, 4> kNames{ "debug", "info", "warning", "error" };
    const auto found =
      aNode.IsScalar() ? std::find(kNames.begin(), kNames.end(), aNode.Scalar()) : kNames.end();
    if (found == kNames.end()) {
      return false;
    }
    aOut = static_cast<log_level>(found - kNames.begin());
    return true;
  }

  /// Always true: the faults of the entries are reported one by one.
  bool checkMapping(const YAML::Node& aNode, const std::string& aPrefix,
                    const std::vector<key_rule>& aRules)
  {
    const std::string where = aPrefix.empty() ? "" : aPrefix.substr(0, aPrefix.size() - 1);
    if (!aNode.IsMap()) {
      add(aNode, where, "is not a mapping",
          fmt::format("a mapping with the keys {}", names(aRules)));
      return true;
    }
    std::map<std::string, int> seen;
    for (const auto& entry : aNode) {
      const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
      const auto rule = std::find_if(aRules.begin(), aRules.end(),
                                     [&key](const key_rule& aRule) { return aRule.mName == key; });
      if (rule == aRules.end()) {
        add(entry.first, aPrefix + key, "is not a known key",
            fmt::format("one of {}", names(aRules)));
        continue;
      }
      const auto [first, isFirst] = seen.emplace(key, lineOf(entry.first));
      if (!isFirst) {
        add(entry.first, aPrefix + key,
            fmt::format("is given twice, first in line {}", first->second), "each key once");
        continue;
      }
      mLines[aPrefix + key] = lineOf(entry.first);
      if (!rule->mTake(entry.second)) {
        add(entry.second, aPrefix + key,
            entry.second.IsScalar() ? fmt::format("has the value '{}'", entry.second.Scalar())
                                    : std::string("has an unsuitable value"),
            rule->mAccepted);
      }
    }
    for (const auto& rule : aRules) {
      if (rule.mRequired && !seen.contains(rule.mName)) {
        add(aNode, aPrefix + rule.mName, "is missing", rule.mAccepted);
      }
    }
    return true;
  }

  /// The protocol's proofs rest on these orders between the periods.
  void checkTiming()
  {
    const auto& timing = mResult.mSettings.mTiming;
    requireLess("start_by_period_ms", timing.mStartByPeriod, "freshness_period_ms",
                timing.mFreshnessPeriod);
    requireLess("control_read_interval_ms", timing.mControlReadInterval, "freshness_period_ms",
                timing.mFreshnessPeriod);
    requireLess("exchange_interval_ms", timing.mExchangeInterval, "ownership_lease_ms",
                timing.mOwnershipLease);
    requireLess("exchange_timeout_ms", timing.mExchangeTimeout, "ownership_lease_ms",
                timing.mOwnershipLease);
    requireLess("ownership_lease_ms", timing.mOwnershipLease, "task_lease_ms", timing.mTaskLease);
    requireLess("gossip_interval_ms", timing.mGossipInterval, "silence_period_ms",
                timing.mSilencePeriod);
  }

  void requireLess(const std::string& aShort, duration aShortValue, const std::string& aLong,
                   duration aLongValue)
  {
    if (aShortValue < aLongValue) {
      return;
    }
    const auto inMs = [](duration aValue) {
      return std::chrono::duration_cast<std::chrono::milliseconds>(aValue).count();
    };
    const auto line =
      mLines.contains("timing." + aShort) ? mLines["timing." + aShort] : mLines["timing." + aLong];
    mResult.mFaults.push_back({ .mLine = line,
                                .mKey = "timing." + aShort,
                                .mFault = fmt::format("is {}, not below {} ({})", inMs(aShortValue),
                                                      aLong, inMs(aLongValue)),
                                .mAccepted = fmt::format("less than {}", inMs(aLongValue)) });
  }

  static int lineOf(const YAML::Node& aNode) { return aNode.Mark().line + 1; }

  static std::string names(const std::vector<key_rule>& aRules)
  {
    std::vector<std::string> names;
    names.reserve(aRules.size());
    for (const auto& rule : aRules) {
      names.push_back(rule.mName);
    }
    return fmt::format("{}", fmt::join(names, ", "));
  }

  void add(const YAML::Node& aNode, std::string aKey, std::string aFault, std::string aAccepted)
  {
    mResult.mFaults.push_back({ .mLine = lineOf(aNode),
                                .mKey = std::move(aKey),
                                .mFault = std::move(aFault),
                                .mAccepted = std::move(aAccepted) });
  }

  settings_result& mResult;
  std::span<const std::string> mPolicies;
  std::map<std::string, int> mLines;
};

} // namespace

settings_result readSettings(std::string_view aText, std::span<const std::string> aPolicies)
{
  settings_result result;
  try {
    const auto documents = YAML::LoadAll(std::string(aText));
    if (documents.size() != 1) {
      result.mFaults.push_back({ .mFault = fmt::format("has {} documents", documents.size()),
                                 .mAccepted = "one YAML document" });
      return result;
    }
    checker(result, aPolicies).checkFile(documents.front());
  } catch (const YAML::Exception& error) {
    result.mFaults.push_back({ .mLine = error.mark.line + 1,
                               .mFault = "is not valid YAML: " + error.msg,
                               .mAccepted = "a YAML mapping" });
  }
  return result;
}

std::string describe(std::string_view aFile, const settings_fault& aFault)
{
  return fmt::format("{}:{}: {}{}; accepted: {}", aFile, aFault.mLine,
                     aFault.mKey.empty() ? "the file " : aFault.mKey + " ", aFault.mFault,
                     aFault.mAccepted);
}

} // namespace endiveusher::daemon
