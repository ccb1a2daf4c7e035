#ifndef HEMLOCKHAVEN_ADMISSION_WAITESTIMATOR_H
#define HEMLOCKHAVEN_ADMISSION_WAITESTIMATOR_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/fleet/Dice.h"

#include <cstddef>

namespace hemlockhaven {

//! Estimates waits from queued slot time and shares of the service rate.
class WaitEstimator
{
public:
  //! Time in which a caller's queued slot time is served; zero without slots,
  //! since nothing can be said then.
  static Duration Wait(Duration aQueuedSlotTime,
                       std::size_t aSlots,
                       double aWeight,
                       double aActiveWeight);

  //! When to come again: the wait with 25% of jitter to either side, so that
  //! refused callers do not return together; at least 50 ms.
  static Duration RetryAfter(Duration aWait, Dice& aDice);
};

}

#endif
