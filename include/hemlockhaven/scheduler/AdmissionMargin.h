#ifndef HEMLOCKHAVEN_SCHEDULER_ADMISSIONMARGIN_H
#define HEMLOCKHAVEN_SCHEDULER_ADMISSIONMARGIN_H

#include "hemlockhaven/core/Time.h"

namespace hemlockhaven {

//! How far the end of work that has to wait is doubted. Follows what happens:
//! grows when accepted work is refused later, shrinks when refusals come at
//! once, so that a fixed share of all refusals is late.
class AdmissionMargin
{
public:
  //! Share of refusals that may come late; half of the stated bound of 10%.
  static constexpr double kTargetLateShare = 0.05;
  //! Change with one refusal: a surge of some dozen refusals settles it.
  static constexpr Duration kAdjustmentStep{ 4000 };
  //! Over this, nothing that has to wait is accepted anyhow.
  static constexpr Duration kMaxMargin{ 300000 };
  //! Doubt halves in this time, so that a surge leaves none behind.
  static constexpr Duration kHalfLife{ 5000000 };

  //! To be added to the expected end of work that has to wait.
  Duration Value(TimePoint aNow) const;

  void RecordImmediateRefusal(TimePoint aNow);
  //! Work that was accepted was refused after all.
  void RecordLateRefusal(TimePoint aNow);

private:
  void Set(TimePoint aNow, Duration aMargin);

  Duration margin_{ 0 };
  TimePoint changedAt_{};
};

}

#endif
