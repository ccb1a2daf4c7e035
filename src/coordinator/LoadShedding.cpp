#include "hemlockhaven/coordinator/LoadShedding.h"

#include <algorithm>

namespace hemlockhaven {

void LoadShedding::Record(Duration aLate, Duration aInterval)
{
  late_ += kWeight * (static_cast<double>(aLate.count()) - late_);
  const double target = static_cast<double>(kTarget.count());
  const double excess = std::min((late_ - target) / target, kMostExcess);
  const double seconds =
    std::chrono::duration<double>(aInterval + aLate).count();
  integral_ = std::clamp(integral_ + kIntegral * excess * seconds, 0.0, kMost);
  share_ = std::min(integral_ + kProportional * std::max(excess, 0.0), kMost);
}

}
