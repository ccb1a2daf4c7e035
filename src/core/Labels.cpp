#include "hemlockhaven/core/Labels.h"

#include <algorithm>

namespace hemlockhaven {

namespace {

bool KeyBefore(const Labels::Item& aItem, std::string_view aKey)
{
  return aItem.first < aKey;
}

}

Labels::Labels(Span<const Item> aItems)
{
  for (const auto& [key, value] : aItems) {
    Set(key, value);
  }
}

void Labels::Set(std::string_view aKey, std::string_view aValue)
{
  const auto at =
    std::lower_bound(items_.begin(), items_.end(), aKey, KeyBefore);
  if (at != items_.end() && at->first == aKey) {
    at->second = aValue;
    return;
  }
  items_.emplace(at, aKey, aValue);
}

std::optional<std::string_view> Labels::Find(std::string_view aKey) const
{
  const auto at =
    std::lower_bound(items_.begin(), items_.end(), aKey, KeyBefore);
  if (at == items_.end() || at->first != aKey) {
    return std::nullopt;
  }
  return at->second;
}

std::string Labels::Describe() const
{
  std::string text;
  for (const auto& [key, value] : items_) {
    if (!text.empty()) {
      text += ", ";
    }
    text.append(key).append("=").append(value);
  }
  return text;
}

}
