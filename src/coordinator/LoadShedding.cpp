#include "hemlockhaven/coordinator/LoadShedding.h"

#include <algorithm>

namespace hemlockhaven {

void LoadShedding::Record(Duration aDelay, Duration aInterval)
{
  meanDelayUs_ +=
    kSmoothingFactor * (static_cast<double>(aDelay.count()) - meanDelayUs_);
  const double target = static_cast<double>(kTargetDelay.count());
  const double excess = std::min((meanDelayUs_ - target) / target, kMaxExcess);
  const double seconds =
    std::chrono::duration<double>(aInterval + aDelay).count();
  integral_ = std::clamp(
    integral_ + kIntegralGainPerSecond * excess * seconds, 0.0, kMaxShare);
  share_ =
    std::min(integral_ + kProportionalGain * std::max(excess, 0.0), kMaxShare);
}

}
