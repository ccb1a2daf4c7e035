#include "adapters/ConfigurationJson.h"

#include "net/JsonDocument.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>

namespace hemlockhaven {

namespace {

using nlohmann::json;

//! Longer values are truncated in errors.
constexpr std::size_t kMaxFoundBytes = 60;

//! Reads the members of a document and collects all errors.
class ConfigurationReader
{
public:
  explicit ConfigurationReader(std::vector<ConfigurationFault>& aFaults)
    : faults_(aFaults)
  {
  }

  void AddFault(const std::string& aPath,
                std::string_view aExpected,
                const json& aFound)
  {
    std::string found =
      aFound.dump(-1, ' ', false, json::error_handler_t::replace);
    if (found.size() > kMaxFoundBytes) {
      found = found.substr(0, kMaxFoundBytes) + "...";
    }
    faults_.push_back({ aPath, std::string(aExpected), found });
  }

  //! Returns whether the value is an object. Reports unknown members as errors.
  bool CheckObject(const std::string& aPath,
                   const json& aValue,
                   std::initializer_list<std::string_view> aMembers)
  {
    if (!aValue.is_object()) {
      AddFault(aPath, "an object", aValue);
      return false;
    }
    for (const auto& [name, member] : aValue.items()) {
      if (IsFull()) {
        break;
      }
      bool isKnown = false;
      std::string expected = "one of";
      for (const std::string_view allowedMember : aMembers) {
        isKnown = isKnown || allowedMember == name;
        expected.append(" ").append(allowedMember);
      }
      if (!isKnown) {
        AddFault(JoinPath(aPath, name), expected, name);
      }
    }
    return true;
  }

  //! Calls aEntry with the path and value of each list entry. A missing list is
  //! treated as empty.
  void ForEachEntry(
    const json& aObject,
    const char* aName,
    const std::function<void(const std::string&, const json&)>& aEntry)
  {
    const auto list = aObject.find(aName);
    if (list == aObject.end()) {
      return;
    }
    if (!list->is_array()) {
      AddFault(aName, "a list", *list);
      return;
    }
    for (std::size_t index = 0; index < list->size() && !IsFull(); ++index) {
      aEntry(std::string(aName) + "[" + std::to_string(index) + "]",
             (*list)[index]);
    }
  }

  const json& MemberOrNull(const json& aObject, const char* aName)
  {
    static const json kNull;
    const auto member = aObject.find(aName);
    return member == aObject.end() ? kNull : *member;
  }

  Selector ReadSelector(const std::string& aPath, const json& aValue)
  {
    if (!aValue.is_string()) {
      AddFault(aPath, "a selector as text", aValue);
      return {};
    }
    const auto selector = Selector::Parse(aValue.get_ref<const std::string&>());
    if (selector.has_error()) {
      AddFault(aPath, "a selector: " + selector.error().detail, aValue);
      return {};
    }
    return selector.value();
  }

  CallerQuota ReadQuota(const std::string& aPath, const json& aValue)
  {
    CallerQuota quota;
    if (!CheckObject(aPath, aValue, { "caller", "weight", "maxQueuedTasks" })) {
      return quota;
    }
    const json& caller = MemberOrNull(aValue, "caller");
    if (caller.is_string()) {
      quota.caller = caller.get<std::string>();
    } else {
      AddFault(aPath + ".caller", "a caller's name", caller);
    }
    if (aValue.contains("weight")) {
      const json& weight = MemberOrNull(aValue, "weight");
      if (weight.is_number()) {
        quota.weight = weight.get<double>();
      } else {
        AddFault(aPath + ".weight", "a number above 0", weight);
      }
    }
    if (aValue.contains("maxQueuedTasks")) {
      const json& maxQueuedTasks = MemberOrNull(aValue, "maxQueuedTasks");
      if (maxQueuedTasks.is_number_unsigned() &&
          maxQueuedTasks.get<std::uint64_t>() <= UINT32_MAX) {
        quota.maxQueuedTasks = maxQueuedTasks.get<std::uint32_t>();
      } else {
        AddFault(aPath + ".maxQueuedTasks",
                 "a whole number from 0 to 4294967295",
                 maxQueuedTasks);
      }
    }
    return quota;
  }

private:
  bool IsFull() const { return faults_.size() >= kMaxConfigurationFaults; }

  static std::string JoinPath(const std::string& aPath,
                              const std::string& aName)
  {
    return aPath.empty() ? aName : aPath + "." + aName;
  }

  std::vector<ConfigurationFault>& faults_;
};

}

ParsedConfiguration ParseConfiguration(const json& aJson)
{
  ParsedConfiguration parsed;
  ConfigurationReader reader(parsed.faults);
  Configuration& document = parsed.document;
  if (!reader.CheckObject("", aJson, { "callers", "steering", "drained" })) {
    return parsed;
  }
  reader.ForEachEntry(
    aJson, "callers", [&](const std::string& aPath, const json& aEntry) {
      document.callers.push_back(reader.ReadQuota(aPath, aEntry));
    });
  reader.ForEachEntry(
    aJson, "steering", [&](const std::string& aPath, const json& aEntry) {
      if (reader.CheckObject(aPath, aEntry, { "submissions", "endpoints" })) {
        document.steering.push_back(
          { reader.ReadSelector(aPath + ".submissions",
                                reader.MemberOrNull(aEntry, "submissions")),
            reader.ReadSelector(aPath + ".endpoints",
                                reader.MemberOrNull(aEntry, "endpoints")) });
      }
    });
  reader.ForEachEntry(
    aJson, "drained", [&](const std::string& aPath, const json& aEntry) {
      document.drained.push_back(reader.ReadSelector(aPath, aEntry));
    });
  // Values that could not be parsed still have their defaults. Skip validation
  // errors for them, which would report the same path twice.
  for (ConfigurationFault& fault : document.Check()) {
    bool reported = false;
    for (const ConfigurationFault& earlier : parsed.faults) {
      reported = reported || earlier.path.rfind(fault.path, 0) == 0 ||
                 fault.path.rfind(earlier.path, 0) == 0;
    }
    if (!reported) {
      parsed.faults.push_back(std::move(fault));
    }
  }
  return parsed;
}

Result<ParsedConfiguration> ParseConfiguration(std::string_view aText,
                                               const ReserveHook& aReserve)
{
  BOOST_OUTCOME_TRY(document, ParseJson(aText, aReserve));
  if (!document.is_discarded()) {
    return ParseConfiguration(document);
  }
  // Again, without building a document, for the place of the error.
  ParsedConfiguration parsed;
  try {
    const auto skipAll = [](int, json::parse_event_t, json&) { return false; };
    [[maybe_unused]] const json discarded = json::parse(aText, skipAll);
  } catch (const json::parse_error& error) {
    parsed.faults.push_back(
      { "byte " + std::to_string(error.byte), "JSON", error.what() });
  }
  return parsed;
}

json ToJson(const Configuration& aDocument)
{
  json callers = json::array();
  for (const CallerQuota& quota : aDocument.callers) {
    callers.push_back({ { "caller", quota.caller },
                        { "weight", quota.weight },
                        { "maxQueuedTasks", quota.maxQueuedTasks } });
  }
  json steering = json::array();
  for (const SteeringRule& rule : aDocument.steering) {
    steering.push_back({ { "submissions", rule.submissions.Text() },
                         { "endpoints", rule.endpoints.Text() } });
  }
  json drained = json::array();
  for (const Selector& selector : aDocument.drained) {
    drained.push_back(selector.Text());
  }
  return { { "callers", callers },
           { "steering", steering },
           { "drained", drained } };
}

}
