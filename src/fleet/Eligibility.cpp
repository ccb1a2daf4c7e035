#include "hemlockhaven/fleet/Eligibility.h"

namespace hemlockhaven {

namespace {

std::string ExplainSize(std::string_view aWhat,
                        std::uint64_t aNeeded,
                        std::uint64_t aPresent)
{
  if (aPresent >= aNeeded) {
    return "";
  }
  std::string text(aWhat);
  return text + " >= " + std::to_string(aNeeded);
}

}

Eligibility::Eligibility(const Selector& aSelector, const Needs& aNeeds)
  : selector_(aSelector)
  , needs_(aNeeds)
{
}

bool Eligibility::IsFor(const Selector& aSelector, const Needs& aNeeds) const
{
  return needs_ == aNeeds && selector_.Text() == aSelector.Text();
}

void Eligibility::Update(EndpointIndex aIndex,
                         const EndpointDescription& aDescription,
                         bool aIsOpen)
{
  const bool isEligible = aIsOpen && aDescription.slots > 0 &&
                          aDescription.cores >= needs_.cores &&
                          aDescription.memoryMb >= needs_.memoryMb &&
                          aDescription.accelerators >= needs_.accelerators &&
                          selector_.Matches(aDescription.labels);
  if (isEligible) {
    members_.Insert(aIndex);
  } else {
    members_.Erase(aIndex);
  }
}

std::string Eligibility::ExplainMismatch(
  const EndpointDescription& aDescription) const
{
  std::string text = selector_.ExplainMismatch(aDescription.labels);
  if (text.empty()) {
    text = ExplainSize("cores", needs_.cores, aDescription.cores);
  }
  if (text.empty()) {
    text = ExplainSize("memoryMb", needs_.memoryMb, aDescription.memoryMb);
  }
  if (text.empty()) {
    text = ExplainSize(
      "accelerators", needs_.accelerators, aDescription.accelerators);
  }
  return text.empty() ? ExplainSize("slots", 1, aDescription.slots) : text;
}

}
