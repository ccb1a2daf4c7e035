#include "hemlockhaven/scheduler/Effects.h"

namespace hemlockhaven {

DecisionInputs& DecisionInputs::Add(const char* aName, std::int64_t aValue)
{
  if (count_ == numbers_.size()) {
    text_ = Text();
    count_ = 0;
  }
  numbers_.at(count_++) = { aName, aValue };
  return *this;
}

std::string DecisionInputs::Text() const
{
  std::string text = text_;
  for (std::size_t i = 0; i < count_; ++i) {
    const Number& number = numbers_.at(i);
    text.append(text.empty() ? "" : " ").append(number.name).append("=");
    text += std::to_string(number.value);
  }
  return text;
}

}
