#ifndef HEMLOCKHAVEN_SCHEDULER_ENDPOINTLEASE_H
#define HEMLOCKHAVEN_SCHEDULER_ENDPOINTLEASE_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>
#include <optional>

namespace hemlockhaven {

//! The lease of everything that runs at one endpoint, in the endpoint's clock.
//! Bounds that clock from below, so that a lapse is assumed late, never early.
class EndpointLease
{
public:
  //! The endpoint's clock may run this much slower than ours; from the
  //! platform's description of its workers.
  static constexpr double kSlowestClockRate = 0.98;

  //! The endpoint's clock showed aClockMs at some moment before aNow.
  void ObserveClock(std::int64_t aClockMs, TimePoint aNow);

  //! A deadline on the endpoint's clock that lies aDuration from now; nothing
  //! while its clock is unknown.
  std::optional<std::int64_t> DeadlineIn(Duration aDuration,
                                         TimePoint aNow) const;

  //! An order with this deadline was sent: the lease may reach so far.
  void Extend(std::int64_t aDeadlineClockMs);

  //! Whether the endpoint's clock has certainly passed the deadline.
  bool HasPassed(std::int64_t aDeadlineClockMs, TimePoint aNow) const;

  //! Whether everything at the endpoint has certainly lost its lease.
  bool HasExpired(TimePoint aNow) const;

  //! Forgets the clock and the deadline, for another incarnation.
  void Reset();

  bool KnowsClock() const { return isClockKnown_; }

private:
  bool isClockKnown_ = false;
  std::int64_t clockMs_ = 0;
  TimePoint observedAt_{};
  std::int64_t deadlineClockMs_ = 0;
};

}

#endif
