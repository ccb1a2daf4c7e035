#ifndef HEMLOCKHAVEN_FLEET_SPEEDMODEL_H
#define HEMLOCKHAVEN_FLEET_SPEEDMODEL_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>

namespace hemlockhaven {

//! Learned run times as work of a kind times slowness of an endpoint, both in
//! logs. Only completed attempts are learned from: a failure's time says
//! nothing about speed.
class SpeedModel
{
public:
  //! Log of the run time of one (caller, kind) on an endpoint of slowness 1.
  struct Work
  {
    double log = 0;
    std::uint32_t samples = 0;
  };

  //! Log of an endpoint's run time relative to the fleet.
  struct Slowness
  {
    double log = 0;
    std::uint32_t samples = 0;
    TimePoint learnedAt{};
  };

  //! Learns from one completed attempt.
  static void Learn(Work& aWork,
                    Slowness& aSlowness,
                    Duration aElapsed,
                    TimePoint aNow);

  //! Run time on an endpoint of slowness 1. The declared time counts until 3
  //! samples exist; 200 ms if there is none.
  static Duration Expected(const Work& aWork, Duration aDeclared);

  //! Run time on an endpoint of that slowness.
  static Duration Scale(Duration aWork, const Slowness& aSlowness);

  //! Moves the slowness towards 1 if nothing was learned for 10 s, so that an
  //! endpoint that was slow for a time is tried again.
  static void Fade(Slowness& aSlowness, TimePoint aNow);

  static double Factor(const Slowness& aSlowness);
};

}

#endif
