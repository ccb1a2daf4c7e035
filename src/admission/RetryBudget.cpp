#include "hemlockhaven/admission/RetryBudget.h"

#include <algorithm>

namespace hemlockhaven {

void RetryBudget::CountFirst(TimePoint aNow)
{
  Roll(aNow);
  ++current_.firsts;
}

bool RetryBudget::Take(double aShare, TimePoint aNow)
{
  Roll(aNow);
  const auto firsts = static_cast<double>(current_.firsts + previous_.firsts);
  const auto retries =
    static_cast<double>(current_.retries + previous_.retries);
  if (retries + 1 > std::max(1.0, aShare * firsts)) {
    return false;
  }
  ++current_.retries;
  return true;
}

void RetryBudget::Roll(TimePoint aNow)
{
  constexpr Duration kWindow = std::chrono::seconds(10);
  if (aNow - start_ < kWindow) {
    return;
  }
  previous_ = aNow - start_ < 2 * kWindow ? current_ : Window{};
  current_ = {};
  start_ = aNow;
}

}
