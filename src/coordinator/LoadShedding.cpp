#include "hemlockhaven/coordinator/LoadShedding.h"

#include <algorithm>

namespace hemlockhaven {

void LoadShedding::Record(Duration aDelay, Duration aInterval)
{
  const Duration elapsed = aInterval + aDelay;
  const double previousUs = meanDelayUs_;
  meanDelayUs_ +=
    kSmoothingFactor * (static_cast<double>(aDelay.count()) - meanDelayUs_);
  const double trend =
    (meanDelayUs_ - previousUs) / static_cast<double>(elapsed.count());
  const double expectedUs = std::max(
    0.0, meanDelayUs_ + trend * static_cast<double>(kLeadTime.count()));
  const double target = static_cast<double>(kTargetDelay.count());
  const double excess = std::min((expectedUs - target) / target, kMaxExcess);
  const double seconds = std::chrono::duration<double>(elapsed).count();
  const bool isAboveTarget = meanDelayUs_ > target;
  belowTarget_ = isAboveTarget ? Duration(0) : belowTarget_ + elapsed;
  if (excess > 0) {
    integral_ += kIntegralGainPerSecond * excess * seconds;
  } else if (!isAboveTarget) {
    integral_ += (belowTarget_ < kSlowReleaseTime ? kSlowReleasePerSecond
                                                  : kFastReleasePerSecond) *
                 excess * seconds;
  }
  integral_ = std::clamp(integral_, 0.0, kMaxShare);
  share_ =
    std::min(integral_ + kProportionalGain * std::max(excess, 0.0), kMaxShare);
}

}
