#include "settings/SettingsReader.h"

#include "settings/SettingsTable.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <fstream>
#include <iterator>
#include <set>
#include <utility>

namespace hemlockhaven {

namespace {

using nlohmann::json;

constexpr std::size_t kLongestText = 64;

std::string Shown(const json& aValue)
{
  std::string text =
    aValue.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kLongestText) {
    text = text.substr(0, kLongestText) + "...";
  }
  return text;
}

bool IsName(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kLongestText &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aLetter) {
           return std::isalnum(aLetter) != 0 || aLetter == '-' ||
                  aLetter == '_';
         });
}

bool IsIpNumber(const std::string& aText)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, aText.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), bytes.data()) == 1;
}

bool IsInRange(const json& aValue, const SettingKey& aKey)
{
  if (aValue.is_number_unsigned()) {
    return aValue.get<std::uint64_t>() <=
             static_cast<std::uint64_t>(aKey.most) &&
           aValue.get<std::int64_t>() >= aKey.least;
  }
  return aValue.is_number_integer() &&
         aValue.get<std::int64_t>() >= aKey.least &&
         aValue.get<std::int64_t>() <= aKey.most;
}

bool IsChoice(const std::string& aText, std::string_view aChoices)
{
  while (!aChoices.empty()) {
    const std::size_t end = aChoices.find('|');
    if (aChoices.substr(0, end) == aText) {
      return true;
    }
    aChoices = end == std::string_view::npos ? "" : aChoices.substr(end + 1);
  }
  return false;
}

bool IsValid(const json& aValue, const SettingKey& aKey)
{
  switch (aKey.type) {
    case SettingType::Number:
      return IsInRange(aValue, aKey);
    case SettingType::Group:
      return aValue.is_object();
    case SettingType::Labels:
      return aValue.is_object() &&
             std::all_of(aValue.begin(), aValue.end(), [](const json& aItem) {
               return aItem.is_string();
             });
    case SettingType::List:
      return aValue.is_array() &&
             aValue.size() <= static_cast<std::size_t>(aKey.most);
    default:
      break;
  }
  if (!aValue.is_string()) {
    return false;
  }
  const auto& text = aValue.get_ref<const std::string&>();
  switch (aKey.type) {
    case SettingType::Name:
      return IsName(text);
    case SettingType::IpNumber:
      return IsIpNumber(text);
    case SettingType::Choice:
      return IsChoice(text, aKey.choices);
    default:
      return !text.empty() && text.size() <= kLongestText;
  }
}

std::string Join(const std::string& aPath, std::string_view aKey)
{
  return aPath.empty() ? std::string(aKey) : aPath + "." + std::string(aKey);
}

//! Walks settings and table side by side.
class Reader
{
public:
  explicit Reader(SettingsResult& aResult)
    : result_(aResult)
  {
  }

  //! Reads the object at a path. The pattern is the path with empty brackets.
  void ReadObject(const json& aObject,
                  const std::string& aPath,
                  const std::string& aPattern)
  {
    for (const auto& [name, value] : aObject.items()) {
      if (!IsKnown(Join(aPattern, name))) {
        Report(Join(aPath, name), "no such key", Shown(value));
      }
    }
    std::string_view lastGroup;
    for (const SettingKey& key : SettingKeys()) {
      if (!IsBelow(key.path, aPattern)) {
        continue;
      }
      const std::string_view rest =
        key.path.substr(aPattern.empty() ? 0 : aPattern.size() + 1);
      const std::string_view name = rest.substr(0, rest.find_first_of(".["));
      const auto found = aObject.find(std::string(name));
      if (name == rest) {
        ReadKey(key, found == aObject.end() ? nullptr : &*found, aPath);
      } else if (rest[name.size()] == '.' && name != lastGroup &&
                 !HasOwnRow(Join(aPattern, name))) {
        lastGroup = name;
        ReadGroup(found == aObject.end() ? json::object() : *found,
                  Join(aPath, name),
                  Join(aPattern, name));
      }
    }
  }

private:
  static bool IsBelow(std::string_view aKey, const std::string& aPattern)
  {
    return aPattern.empty() ||
           (aKey.size() > aPattern.size() && aKey[aPattern.size()] == '.' &&
            aKey.substr(0, aPattern.size()) == aPattern);
  }

  static bool IsKnown(const std::string& aPattern)
  {
    const Span<const SettingKey> keys = SettingKeys();
    return std::any_of(
      keys.begin(), keys.end(), [&aPattern](const SettingKey& aKey) {
        return aKey.path == aPattern || IsBelow(aKey.path, aPattern);
      });
  }

  static bool HasOwnRow(const std::string& aPattern)
  {
    const Span<const SettingKey> keys = SettingKeys();
    return std::any_of(
      keys.begin(), keys.end(), [&aPattern](const SettingKey& aKey) {
        return aKey.path == aPattern;
      });
  }

  void ReadGroup(const json& aValue,
                 const std::string& aPath,
                 const std::string& aPattern)
  {
    if (aValue.is_object()) {
      ReadObject(aValue, aPath, aPattern);
    } else {
      Report(aPath, "expected an object", Shown(aValue));
    }
  }

  void ReadKey(const SettingKey& aKey,
               const json* aValue,
               const std::string& aPath)
  {
    const std::size_t start = aKey.path.rfind('.');
    const std::string_view name =
      start == std::string_view::npos ? aKey.path : aKey.path.substr(start + 1);
    const std::string path = Join(aPath, name);
    if (aValue == nullptr) {
      if (aKey.defaultText.empty()) {
        Report(path, "expected " + Expected(aKey), "nothing");
      } else if (aKey.type != SettingType::Group &&
                 aKey.type != SettingType::List) {
        aKey.store(result_.settings, json::parse(aKey.defaultText));
      }
      return;
    }
    if (!IsValid(*aValue, aKey)) {
      Report(path, "expected " + Expected(aKey), Shown(*aValue));
      return;
    }
    if (aKey.type == SettingType::List) {
      std::size_t index = 0;
      for (const json& item : *aValue) {
        aKey.store(result_.settings, item);
        ReadGroup(item,
                  path + "[" + std::to_string(index++) + "]",
                  std::string(aKey.path) + "[]");
      }
      return;
    }
    aKey.store(result_.settings, *aValue);
    if (aKey.type == SettingType::Group) {
      ReadObject(*aValue, path, std::string(aKey.path));
    }
  }

  void Report(const std::string& aPath,
              std::string_view aExpected,
              const std::string& aFound)
  {
    result_.errors.push_back({ aPath, std::string(aExpected), aFound });
  }

  SettingsResult& result_;
};

//! Rules that span several keys.
void CheckTogether(SettingsResult& aResult)
{
  const DaemonSettings& settings = aResult.settings;
  std::set<std::pair<std::string, std::uint16_t>> taken;
  for (const auto& [path, socket] :
       { std::make_pair("callers.port", &settings.callers),
         std::make_pair("operators.port", &settings.operators),
         std::make_pair("peerListen.port", &settings.peerListen) }) {
    if (!taken.insert({ socket->address, socket->port }).second) {
      aResult.errors.push_back({ path,
                                 "expected a port that no other server uses",
                                 std::to_string(socket->port) });
    }
  }
  std::set<std::string> names{ settings.name };
  std::size_t index = 0;
  for (const PeerSettings& peer : settings.peers) {
    if (!names.insert(peer.name).second) {
      aResult.errors.push_back({ "peers[" + std::to_string(index) + "].name",
                                 "expected a name of its own",
                                 "\"" + peer.name + "\" again" });
    }
    ++index;
  }
  if (settings.limits.attemptFloor > settings.limits.attemptCeiling) {
    aResult.errors.push_back(
      { "limits.attemptFloorMs",
        "expected at most limits.attemptCeilingMs",
        std::to_string(settings.limits.attemptFloor.count() / 1000) });
  }
}

}

std::string SettingsError::Describe() const
{
  return (path.empty() ? std::string("settings") : path) + ": " + expected +
         ", found " + found;
}

SettingsResult ReadSettings(std::string_view aText)
{
  SettingsResult result;
  const json document = json::parse(aText, nullptr, false);
  if (!document.is_object()) {
    result.errors.push_back(
      { "",
        "expected a JSON object",
        document.is_discarded() ? "text that is not JSON" : Shown(document) });
    return result;
  }
  Reader(result).ReadObject(document, "", "");
  if (result.errors.empty()) {
    CheckTogether(result);
  }
  for (EndpointDescription& endpoint : result.settings.endpoints) {
    endpoint.labels.Set("zone", endpoint.zone);
    endpoint.labels.Set("rack", endpoint.rack);
  }
  return result;
}

SettingsResult ReadSettingsFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    SettingsResult result;
    result.errors.push_back(
      { "", "expected a readable file", "none at " + aPath });
    return result;
  }
  const std::string text{ std::istreambuf_iterator<char>(file),
                          std::istreambuf_iterator<char>() };
  return ReadSettings(text);
}

}
