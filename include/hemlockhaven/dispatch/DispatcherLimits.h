#ifndef HEMLOCKHAVEN_DISPATCH_DISPATCHERLIMITS_H
#define HEMLOCKHAVEN_DISPATCH_DISPATCHERLIMITS_H

#include "hemlockhaven/core/Time.h"

#include <cstddef>
#include <cstdint>

namespace hemlockhaven {

//! Bounds of the dispatcher.
struct DispatcherLimits
{
  std::size_t shards = 1;
  std::size_t queuedTasks = 100'000;    //!< In all shards.
  std::size_t queuedBytes = 64U << 20U; //!< Payloads in all shards.
  Duration defaultDeadline = std::chrono::seconds(60);
  Duration attemptFloor = std::chrono::seconds(2);
  Duration attemptCeiling = std::chrono::seconds(30);
  double attemptFactor = 8.0;        //!< Times the expected run time.
  std::uint32_t furtherAttempts = 2; //!< After an unknown outcome.
  std::uint32_t placementTries = 8;  //!< After outcomes "not started".
  double retryShare = 0.1;           //!< Retries per first attempt.
  std::uint64_t seed = 1;            //!< Of placement and jitter.
};

}

#endif
