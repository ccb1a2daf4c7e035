#ifndef HEMLOCKHAVEN_COORDINATOR_LOADSHEDDING_H
#define HEMLOCKHAVEN_COORDINATOR_LOADSHEDDING_H

#include "hemlockhaven/core/Time.h"

namespace hemlockhaven {

//! Share of new work that a leader does not want because its own processor is
//! the bottleneck. Follows how late the leader's timers fire, so that the rest
//! is served without delay; work that came in anyhow would make all late.
class LoadShedding
{
public:
  //! Lateness of timers that is kept under an overload: some round trips, a
  //! tenth of the shortest tasks' target latency and run time.
  static constexpr Duration kTargetDelay{ 12000 };
  //! Weight of a new lateness in the mean: the last three timers count.
  static constexpr double kSmoothingFactor = 0.35;
  //! Share that is refused while timers are twice as late as the target. Damps
  //! the integral, which alone would swing with the queue.
  static constexpr double kProportionalGain = 0.1;
  //! Change of the rest of the share in a second of such lateness: an overload
  //! of two is met within a second.
  static constexpr double kIntegralGainPerSecond = 0.4;
  //! Lateness over the target counts up to so many targets.
  static constexpr double kMaxExcess = 3;
  //! Some work always goes through, so that the end of an overload is seen.
  static constexpr double kMaxShare = 0.95;

  //! A timer that was set for aInterval fired late.
  void Record(Duration aDelay, Duration aInterval);

  //! From 0 up to kMaxShare.
  double Share() const { return share_; }

private:
  double meanDelayUs_ = 0; //!< Mean, in microseconds.
  double integral_ = 0;
  double share_ = 0;
};

}

#endif
