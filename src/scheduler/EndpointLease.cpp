#include "hemlockhaven/scheduler/EndpointLease.h"

#include <algorithm>

namespace hemlockhaven {

namespace {

std::int64_t Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

}

void EndpointLease::ObserveClock(std::int64_t aClockMs, TimePoint aNow)
{
  // Answers on different connections overtake each other; the one that
  // gives the later clock is the better bound.
  if (observed_) {
    const double ran =
      kSlowestClockRate * static_cast<double>(Milliseconds(aNow - observedAt_));
    if (static_cast<double>(aClockMs) < static_cast<double>(clockMs_) + ran) {
      return;
    }
  }
  observed_ = true;
  clockMs_ = aClockMs;
  observedAt_ = aNow;
}

std::optional<std::int64_t> EndpointLease::DeadlineIn(Duration aAhead,
                                                      TimePoint aNow) const
{
  if (!observed_) {
    return std::nullopt;
  }
  return clockMs_ + Milliseconds(aNow - observedAt_) + Milliseconds(aAhead);
}

void EndpointLease::Extend(std::int64_t aDeadlineClockMs)
{
  deadlineClockMs_ = std::max(deadlineClockMs_, aDeadlineClockMs);
}

bool EndpointLease::HasPassed(std::int64_t aDeadlineClockMs,
                              TimePoint aNow) const
{
  if (!observed_) {
    return false;
  }
  const double least =
    static_cast<double>(clockMs_) +
    kSlowestClockRate * static_cast<double>(Milliseconds(aNow - observedAt_));
  return least > static_cast<double>(aDeadlineClockMs);
}

bool EndpointLease::HasExpired(TimePoint aNow) const
{
  return HasPassed(deadlineClockMs_, aNow);
}

void EndpointLease::Reset()
{
  *this = EndpointLease();
}

}
