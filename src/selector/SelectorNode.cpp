#include "selector/SelectorNode.h"

#include <algorithm>
#include <optional>

namespace hemlockhaven::Detail {

namespace {

std::string Join(const std::vector<std::string>& aParts,
                 std::string_view aBetween)
{
  std::string text;
  for (const std::string& part : aParts) {
    if (!text.empty()) {
      text += aBetween;
    }
    text += part;
  }
  return text;
}

std::string DescribeChildren(const SelectorNode& aNode,
                             std::string_view aBetween)
{
  std::vector<std::string> parts;
  parts.reserve(aNode.children.size());
  for (const SelectorNode& child : aNode.children) {
    const bool isCombination = child.children.size() > 1;
    parts.push_back(isCombination ? "(" + child.Describe() + ")"
                                  : child.Describe());
  }
  return Join(parts, aBetween);
}

}

bool SelectorNode::Matches(const Labels& aLabels) const
{
  const auto matches = [&aLabels](const SelectorNode& aChild) {
    return aChild.Matches(aLabels);
  };
  const auto isOneOf = [this](std::string_view aValue) {
    return std::find(values.begin(), values.end(), aValue) != values.end();
  };
  switch (kind) {
    case Kind::And:
      return std::all_of(children.begin(), children.end(), matches);
    case Kind::Or:
      return std::any_of(children.begin(), children.end(), matches);
    case Kind::Not:
      return !children.front().Matches(aLabels);
    case Kind::Exists:
      return aLabels.Find(key).has_value();
    case Kind::In:
    case Kind::NotIn:
      break;
  }
  const std::optional<std::string_view> value = aLabels.Find(key);
  const bool isIn = value.has_value() && isOneOf(*value);
  return kind == Kind::In ? isIn : !isIn;
}

std::string SelectorNode::Describe() const
{
  switch (kind) {
    case Kind::And:
      return DescribeChildren(*this, " and ");
    case Kind::Or:
      return DescribeChildren(*this, " or ");
    case Kind::Not:
      return "not (" + children.front().Describe() + ")";
    case Kind::Exists:
      return "exists " + key;
    case Kind::In:
    case Kind::NotIn:
      break;
  }
  const bool isIn = kind == Kind::In;
  if (values.size() == 1) {
    return key + (isIn ? " = " : " != ") + values.front();
  }
  return key + (isIn ? " in (" : " not in (") + Join(values, ", ") + ")";
}

}
