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
  /// Description of the accepted values, for error messages.
  std::string mAccepted;
  /// Stores the value; returns false if it is not accepted.
  std::function<bool(const YAML::Node&)> mAssign;
};

std::function<bool(const YAML::Node&)> textAssigner(std::string& aOut,
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

std::function<bool(const YAML::Node&)> listAssigner(std::vector<std::string>& aOut,
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
           .mAssign = [&aOut, aLow, aHigh](const YAML::Node& aNode) {
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
  rule.mAssign = [&aOut, aLow, aHigh](const YAML::Node& aNode) {
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

class settings_reader
{
public:
  settings_reader(settings_result& aResult, std::span<const std::string> aPolicies)
    : mResult(aResult), mPolicies(aPolicies)
  {
  }

  void checkFile(const YAML::Node& aRoot)
  {
    checkMapping(aRoot, "", rootRules());
    checkTiming();
    std::stable_sort(mResult.mErrors.begin(), mResult.mErrors.end(),
                     [](const settings_error& aLeft, const settings_error& aRight) {
                       return aLeft.mLine < aRight.mLine;
                     });
  }

private:
  std::vector<key_rule> rootRules()
  {
    auto& out = mResult.mSettings;
    const auto listenAddress = [](std::string_view aText) {
      return internal::isAddress(aText, true);
    };
    const auto address = [](std::string_view aText) { return internal::isAddress(aText, false); };
    const std::string name = "1 to 64 letters, digits, '-' or '_'";
    return {
      { "vm", true, name, textAssigner(out.mVm, internal::isName) },
      { "zone", true, name, textAssigner(out.mZone, internal::isName) },
      { "http_address", true, "ip:port, port 0 to 65535",
        textAssigner(out.mHttpAddress, listenAddress) },
      { "peer_address", true, "ip:port, port 0 to 65535",
        textAssigner(out.mPeerAddress, listenAddress) },
      { "log_url", true, "http://ip:port", textAssigner(out.mLogUrl, internal::isBaseUrl) },
      { "vm_list_url", true, "http://ip:port", textAssigner(out.mVmListUrl, internal::isBaseUrl) },
      { "seeds", false, "a list of ip:port", listAssigner(out.mSeeds, address) },
      { "operator_key_digests", true, "a list of SHA-256 digests, 64 lower-case hex digits each",
        listAssigner(out.mOperatorKeyDigests, internal::isDigest) },
      { "policy", false, fmt::format("one of {}", fmt::join(mPolicies, ", ")),
        textAssigner(out.mPolicy,
                     [this](std::string_view aText) {
                       return std::find(mPolicies.begin(), mPolicies.end(), aText) !=
                              mPolicies.end();
                     }) },
      { "log_level", false, "one of debug, info, warning, error",
        [&out](const YAML::Node& aNode) { return assignLogLevel(aNode, out.mLogLevel); } },
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
      millisecondsRule("silence_period_ms", timing.mPeerTimeout, 100, kHour),
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

  static bool assignLogLevel(const YAML::Node& aNode, log_level& aOut)
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

  /// Always returns true, because the errors of the entries are reported one by one.
  bool checkMapping(const YAML::Node& aNode, const std::string& aPrefix,
                    const std::vector<key_rule>& aRules)
  {
    const std::string where = aPrefix.empty() ? "" : aPrefix.substr(0, aPrefix.size() - 1);
    if (!aNode.IsMap()) {
      addError(aNode, where, "is not a mapping",
               fmt::format("a mapping with the keys {}", keyNames(aRules)));
      return true;
    }
    std::map<std::string, int> seen;
    for (const auto& entry : aNode) {
      const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
      const auto rule = std::find_if(aRules.begin(), aRules.end(),
                                     [&key](const key_rule& aRule) { return aRule.mName == key; });
      if (rule == aRules.end()) {
        addError(entry.first, aPrefix + key, "is not a known key",
                 fmt::format("one of {}", keyNames(aRules)));
        continue;
      }
      const auto [first, isFirst] = seen.emplace(key, lineOf(entry.first));
      if (!isFirst) {
        addError(entry.first, aPrefix + key,
                 fmt::format("is given twice, first in line {}", first->second), "each key once");
        continue;
      }
      mLines[aPrefix + key] = lineOf(entry.first);
      if (!rule->mAssign(entry.second)) {
        addError(entry.second, aPrefix + key,
                 entry.second.IsScalar() ? fmt::format("has the value '{}'", entry.second.Scalar())
                                         : std::string("has an invalid value"),
                 rule->mAccepted);
      }
    }
    for (const auto& rule : aRules) {
      if (rule.mRequired && !seen.contains(rule.mName)) {
        addError(aNode, aPrefix + rule.mName, "is missing", rule.mAccepted);
      }
    }
    return true;
  }

  /// Checks the orderings of periods on which the protocol's proofs rely.
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
                timing.mPeerTimeout);
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
    mResult.mErrors.push_back({ .mLine = line,
                                .mKey = "timing." + aShort,
                                .mProblem = fmt::format("is {}, not below {} ({})",
                                                        inMs(aShortValue), aLong, inMs(aLongValue)),
                                .mAccepted = fmt::format("less than {}", inMs(aLongValue)) });
  }

  static int lineOf(const YAML::Node& aNode) { return aNode.Mark().line + 1; }

  static std::string keyNames(const std::vector<key_rule>& aRules)
  {
    std::vector<std::string> names;
    names.reserve(aRules.size());
    for (const auto& rule : aRules) {
      names.push_back(rule.mName);
    }
    return fmt::format("{}", fmt::join(names, ", "));
  }

  void addError(const YAML::Node& aNode, std::string aKey, std::string aError,
                std::string aAccepted)
  {
    mResult.mErrors.push_back({ .mLine = lineOf(aNode),
                                .mKey = std::move(aKey),
                                .mProblem = std::move(aError),
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
      result.mErrors.push_back({ .mProblem = fmt::format("has {} documents", documents.size()),
                                 .mAccepted = "one YAML document" });
      return result;
    }
    settings_reader(result, aPolicies).checkFile(documents.front());
  } catch (const YAML::Exception& error) {
    result.mErrors.push_back({ .mLine = error.mark.line + 1,
                               .mProblem = "is not valid YAML: " + error.msg,
                               .mAccepted = "a YAML mapping" });
  }
  return result;
}

std::string describe(std::string_view aFile, const settings_error& aError)
{
  return fmt::format("{}:{}: {}{}; accepted: {}", aFile, aError.mLine,
                     aError.mKey.empty() ? "the file " : aError.mKey + " ", aError.mProblem,
                     aError.mAccepted);
}

} // namespace endiveusher::daemon
