#ifndef HEMLOCKHAVEN_SCHEDULER_REMOTEFACTOR_H
#define HEMLOCKHAVEN_SCHEDULER_REMOTEFACTOR_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>

namespace hemlockhaven {

//! Learns by how much longer tasks run away from the rack of their data, from
//! runs near and away that are compared with their predictions.
class RemoteFactor
{
public:
  static constexpr double kMin = 1;
  static constexpr double kMax = 100; //!< The platform's bound.
  //! The configured factor counts as this many runs.
  static constexpr double kPriorRuns = 8;
  //! Weight of a new run after the first ones; averages over about 50 runs, so
  //! that the users' spread of run times (0.4) moves the factor by about 4%.
  static constexpr double kSampleWeight = 0.02;

  explicit RemoteFactor(double aConfigured);

  double Value() const;

  //! Adds a run that took aMeasured at speed 1 and was predicted to take
  //! aPredicted near its data.
  void LearnNear(Duration aPredicted, Duration aMeasured);
  void LearnAway(Duration aPredicted, Duration aMeasured);

private:
  double logFactor_;
  //! Mean of ln(measured / predicted) of near runs: what predictions are off by
  //! for other reasons.
  double meanLogNearError_ = 0;
  std::uint64_t nearCount_ = 0;
  std::uint64_t awayCount_ = 0;
};

}

#endif
