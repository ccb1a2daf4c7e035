#ifndef HEMLOCKHAVEN_COORDINATOR_LOADSHEDDING_H
#define HEMLOCKHAVEN_COORDINATOR_LOADSHEDDING_H

#include "hemlockhaven/core/Time.h"

namespace hemlockhaven {

//! PI controller for the share of new work that a leader refuses because its
//! own processor is the bottleneck. Its input is the delay of the leader's
//! timers. Accepting all work would delay all of it.
class LoadShedding
{
public:
  //! Set point of the timer delay under overload: some round trips, and a tenth
  //! of the shortest tasks' target latency and run time.
  static constexpr Duration kTargetDelay{ 12000 };
  //! Weight of a new sample in the moving mean, which spans about three timers.
  static constexpr double kSmoothingFactor = 0.35;
  //! Share refused per unit of excess, i.e. at twice the target delay. Damps
  //! the integral term, which alone would oscillate with the queue.
  static constexpr double kProportionalGain = 0.1;
  //! Change of the integral term per second and unit of excess. Compensates
  //! twice the sustainable load within a second.
  static constexpr double kIntegralGainPerSecond = 0.4;
  //! Upper limit of the excess, the delay over the target in units of the
  //! target.
  static constexpr double kMaxExcess = 3;
  //! Some work is always accepted, so that the end of an overload is noticed.
  static constexpr double kMaxShare = 0.95;

  //! Records a timer set for aInterval that fired aDelay late.
  void Record(Duration aDelay, Duration aInterval);

  //! Returns the share of new work to refuse, from 0 to kMaxShare.
  double Share() const { return share_; }

private:
  double meanDelayUs_ = 0;
  double integral_ = 0;
  double share_ = 0;
};

}

#endif
