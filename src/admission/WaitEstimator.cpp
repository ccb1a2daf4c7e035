#include "hemlockhaven/admission/WaitEstimator.h"

#include <algorithm>

namespace hemlockhaven {

Duration WaitEstimator::Wait(Duration aQueuedSlotTime,
                             std::size_t aSlots,
                             double aWeight,
                             double aActiveWeight)
{
  if (aSlots == 0 || aWeight <= 0 || aActiveWeight <= 0) {
    return Duration{ 0 };
  }
  const double share =
    static_cast<double>(aSlots) * std::min(1.0, aWeight / aActiveWeight);
  return Duration{ static_cast<Duration::rep>(
    static_cast<double>(aQueuedSlotTime.count()) / share) };
}

Duration WaitEstimator::RetryAfter(Duration aWait, Dice& aDice)
{
  constexpr Duration kLeast = std::chrono::milliseconds(50);
  constexpr double kJitter = 0.25;
  const double factor = 1 - kJitter + 2 * kJitter * aDice.NextShare();
  return Duration{ static_cast<Duration::rep>(
    static_cast<double>(std::max(aWait, kLeast).count()) * factor) };
}

}
