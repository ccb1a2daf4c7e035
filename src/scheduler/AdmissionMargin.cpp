#include "hemlockhaven/scheduler/AdmissionMargin.h"

#include <algorithm>
#include <cmath>

namespace hemlockhaven {

namespace {

Duration Scale(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

}

Duration AdmissionMargin::Value(TimePoint aNow) const
{
  const auto age = static_cast<double>((aNow - changedAt_).count());
  return Scale(margin_,
               std::exp2(-age / static_cast<double>(kHalfLife.count())));
}

void AdmissionMargin::RecordImmediateRefusal(TimePoint aNow)
{
  Set(aNow, Value(aNow) - Scale(kAdjustmentStep, kTargetLateShare));
}

void AdmissionMargin::RecordLateRefusal(TimePoint aNow)
{
  Set(aNow, Value(aNow) + Scale(kAdjustmentStep, 1 - kTargetLateShare));
}

void AdmissionMargin::Set(TimePoint aNow, Duration aMargin)
{
  margin_ = std::clamp(aMargin, Duration(0), kMaxMargin);
  changedAt_ = aNow;
}

}
