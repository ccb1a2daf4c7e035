#ifndef HEMLOCKHAVEN_COORDINATOR_LOADSHEDDING_H
#define HEMLOCKHAVEN_COORDINATOR_LOADSHEDDING_H

#include "hemlockhaven/core/Time.h"

namespace hemlockhaven {

//! PID controller for the share of new work that a leader refuses because its
//! own processor is the bottleneck. Its input is the delay of the leader's
//! timers. Accepting all work would delay all of it.
//!
//! A new share takes effect a heartbeat later, when entry VMs have received it.
//! The controller therefore goes by the delay that is expected at that time: it
//! stops raising the share once the delay falls fast enough, instead of when
//! the delay has fallen, and so does not overshoot.
class LoadShedding
{
public:
  //! Set point of the timer delay under overload: some round trips, and a tenth
  //! of the shortest tasks' target latency and run time.
  static constexpr Duration kTargetDelay{ 12000 };
  //! Weight of a new sample in the moving mean. A smaller weight hides for how
  //! long the delay has been falling.
  static constexpr double kSmoothingFactor = 0.7;
  //! Time until a share has an effect: a heartbeat interval and a round trip.
  static constexpr Duration kLeadTime{ 100000 };
  //! Share refused per unit of excess, i.e. at twice the target delay. Damps
  //! the integral term, which alone would oscillate with the queue.
  static constexpr double kProportionalGain = 0.1;
  //! Increase of the integral term per second and unit of excess. Compensates
  //! twice the sustainable load within a second, together with the trend.
  static constexpr double kIntegralGainPerSecond = 0.2;
  //! Decrease per second and unit of the delay below the target: slow at first,
  //! so that the share stays near the one that has ended the excess, ...
  static constexpr double kSlowReleasePerSecond = 0.05;
  //! ... and fast after the delay was below the target for this long, so that
  //! nothing is refused 2 s after an overload.
  static constexpr Duration kSlowReleaseTime{ 500000 };
  static constexpr double kFastReleasePerSecond = 0.6;
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
  Duration belowTarget_{ 0 }; //!< Time since the delay was above the target.
  double integral_ = 0;
  double share_ = 0;
};

}

#endif
