#include "hemlockhaven/scheduler/AdmissionDoubt.h"

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

Duration AdmissionDoubt::Value(TimePoint aNow) const
{
  const auto age = static_cast<double>((aNow - changedAt_).count());
  return Scale(doubt_,
               std::exp2(-age / static_cast<double>(kHalfLife.count())));
}

void AdmissionDoubt::RefusedAtOnce(TimePoint aNow)
{
  Set(aNow, Value(aNow) - Scale(kStep, kLateShare));
}

void AdmissionDoubt::RefusedLate(TimePoint aNow)
{
  Set(aNow, Value(aNow) + Scale(kStep, 1 - kLateShare));
}

void AdmissionDoubt::Set(TimePoint aNow, Duration aDoubt)
{
  doubt_ = std::clamp(aDoubt, Duration(0), kMost);
  changedAt_ = aNow;
}

}
