#include "hemlockhaven/configuration/Configuration.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hemlockhaven {

namespace {

//! Bounds of a document; its encoded size stays under 1 MiB (design page, 6).
constexpr std::size_t kMostCallers = 5000;
constexpr std::size_t kMostRules = 1000;
constexpr double kLargestWeight = 1e6;

void CheckCount(std::vector<ConfigurationFault>& aFaults,
                std::string_view aPath,
                std::size_t aCount,
                std::size_t aMost)
{
  if (aCount > aMost) {
    aFaults.push_back({ std::string(aPath),
                        "at most " + std::to_string(aMost) + " entries",
                        std::to_string(aCount) });
  }
}

}

std::string ConfigurationFault::Describe() const
{
  return path + ": expected " + expected + ", found " + found;
}

std::vector<ConfigurationFault> Configuration::Check() const
{
  std::vector<ConfigurationFault> faults;
  CheckCount(faults, "callers", callers.size(), kMostCallers);
  CheckCount(faults, "steering", steering.size(), kMostRules);
  CheckCount(faults, "drained", drained.size(), kMostRules);
  std::set<std::string_view> names;
  const auto isFull = [&faults] {
    return faults.size() >= kMaxConfigurationFaults;
  };
  for (std::size_t index = 0; index < callers.size() && !isFull(); ++index) {
    const CallerQuota& quota = callers[index];
    const std::string path = "callers[" + std::to_string(index) + "]";
    if (quota.caller.empty()) {
      faults.push_back({ path + ".caller", "a caller's name", "\"\"" });
    } else if (!names.insert(quota.caller).second) {
      faults.push_back({ path + ".caller",
                         "each caller once",
                         "'" + quota.caller + "' again" });
    }
    if (!std::isfinite(quota.weight) || quota.weight <= 0 ||
        quota.weight > kLargestWeight) {
      faults.push_back({ path + ".weight",
                         "a number above 0 and at most 1000000",
                         std::to_string(quota.weight) });
    }
  }
  for (std::size_t index = 0; index < drained.size() && !isFull(); ++index) {
    if (drained[index].Text().empty()) {
      // The empty selector would drain the whole fleet.
      faults.push_back({ "drained[" + std::to_string(index) + "]",
                         "a selector that names a label",
                         "\"\"" });
    }
  }
  return faults;
}

const CallerQuota* Configuration::FindQuota(std::string_view aCaller) const
{
  const auto found = std::find_if(
    callers.begin(), callers.end(), [aCaller](const CallerQuota& aQuota) {
      return aQuota.caller == aCaller;
    });
  return found == callers.end() ? nullptr : &*found;
}

bool Configuration::IsDrained(const Labels& aEndpoint) const
{
  return std::any_of(
    drained.begin(), drained.end(), [&aEndpoint](const Selector& aSelector) {
      return aSelector.Matches(aEndpoint);
    });
}

bool Configuration::IsAllowed(const Labels& aSubmission,
                              const Labels& aEndpoint) const
{
  return std::all_of(
    steering.begin(), steering.end(), [&](const SteeringRule& aRule) {
      return !aRule.submissions.Matches(aSubmission) ||
             aRule.endpoints.Matches(aEndpoint);
    });
}

}
