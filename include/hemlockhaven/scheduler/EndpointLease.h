#ifndef HEMLOCKHAVEN_SCHEDULER_ENDPOINTLEASE_H
#define HEMLOCKHAVEN_SCHEDULER_ENDPOINTLEASE_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>
#include <optional>

namespace hemlockhaven {

//! The lease of all runs at one endpoint, in the endpoint's clock. Uses a lower
//! bound on that clock, so that expiry is detected late, never early.
class EndpointLease
{
public:
  //! Slowest rate of the endpoint's clock relative to the local one, as the
  //! platform specifies for its endpoints.
  static constexpr double kSlowestClockRate = 0.98;

  //! The endpoint's clock read aClockMs at some time before aNow.
  void ObserveClock(std::int64_t aClockMs, TimePoint aNow);
  //! Whether the reading is from before aNow - aAge on the clock as it is
  //! known: a very late reply, or one of another incarnation.
  bool IsEarlierThan(Duration aAge,
                     std::int64_t aClockMs,
                     TimePoint aNow) const;

  //! The time on the endpoint's clock that is at most aDuration from now, so
  //! that no lease lasts for longer; nullopt while its clock is unknown.
  std::optional<std::int64_t> DeadlineIn(Duration aDuration,
                                         TimePoint aNow) const;

  //! A command with this deadline was sent: the lease may last until then.
  void Extend(std::int64_t aDeadlineClockMs);

  //! The lease may last for aDuration from now. Without effect while the clock
  //! is unknown.
  void ExtendBy(Duration aDuration, TimePoint aNow);

  //! Whether the endpoint's clock has certainly passed the deadline.
  bool HasPassed(std::int64_t aDeadlineClockMs, TimePoint aNow) const;

  //! Whether the lease of all runs at the endpoint has certainly expired.
  bool HasExpired(TimePoint aNow) const;

  //! Time until the lease has certainly expired, by the endpoint's clock;
  //! negative afterwards. As long ago as the clock's zero if no deadline is
  //! known; nullopt while the clock is unknown.
  std::optional<Duration> Remaining(TimePoint aNow) const;

  //! Clears the clock and the deadline when the endpoint has restarted.
  void Reset();

  bool KnowsClock() const { return isClockKnown_; }

private:
  //! Lower bound on the endpoint's clock.
  double MinClockMs(TimePoint aNow) const;

  bool isClockKnown_ = false;
  std::int64_t clockMs_ = 0;
  TimePoint observedAt_{};
  std::int64_t deadlineClockMs_ = 0;
};

}

#endif
