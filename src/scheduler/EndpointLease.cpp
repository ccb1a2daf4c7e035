#include "hemlockhaven/scheduler/EndpointLease.h"

#include <algorithm>

namespace hemlockhaven {

namespace {

std::int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

}

void EndpointLease::ObserveClock(std::int64_t aClockMs, TimePoint aNow)
{
  // Replies on different connections can arrive out of order; the one that
  // gives the later clock is the tighter bound.
  if (isClockKnown_ && static_cast<double>(aClockMs) < MinClockMs(aNow)) {
    return;
  }
  isClockKnown_ = true;
  clockMs_ = aClockMs;
  observedAt_ = aNow;
}

bool EndpointLease::IsEarlierThan(Duration aAge,
                                  std::int64_t aClockMs,
                                  TimePoint aNow) const
{
  return isClockKnown_ &&
         static_cast<double>(aClockMs) < MinClockMs(aNow - aAge);
}

std::optional<std::int64_t> EndpointLease::DeadlineIn(Duration aDuration,
                                                      TimePoint aNow) const
{
  if (!isClockKnown_) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(MinClockMs(aNow)) +
         ToMilliseconds(aDuration);
}

void EndpointLease::Extend(std::int64_t aDeadlineClockMs)
{
  deadlineClockMs_ = std::max(deadlineClockMs_, aDeadlineClockMs);
}

void EndpointLease::ExtendBy(Duration aDuration, TimePoint aNow)
{
  if (const auto deadline = DeadlineIn(aDuration, aNow)) {
    Extend(*deadline);
  }
}

bool EndpointLease::HasPassed(std::int64_t aDeadlineClockMs,
                              TimePoint aNow) const
{
  return isClockKnown_ &&
         MinClockMs(aNow) > static_cast<double>(aDeadlineClockMs);
}

bool EndpointLease::HasExpired(TimePoint aNow) const
{
  return HasPassed(deadlineClockMs_, aNow);
}

std::optional<Duration> EndpointLease::Remaining(TimePoint aNow) const
{
  if (!isClockKnown_) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(deadlineClockMs_ -
                                   static_cast<std::int64_t>(MinClockMs(aNow)));
}

double EndpointLease::MinClockMs(TimePoint aNow) const
{
  return static_cast<double>(clockMs_) +
         kSlowestClockRate *
           static_cast<double>(ToMilliseconds(aNow - observedAt_));
}

void EndpointLease::Reset()
{
  *this = EndpointLease();
}

}
