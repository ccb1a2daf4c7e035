#ifndef HEMLOCKHAVEN_SCHEDULER_ADMISSIONMARGIN_H
#define HEMLOCKHAVEN_SCHEDULER_ADMISSIONMARGIN_H

#include "hemlockhaven/core/Time.h"

namespace hemlockhaven {

//! Safety margin on the predicted end of queued work, adapted to the outcome.
//! Grows when accepted work is refused later and shrinks when work is refused
//! on arrival, so that a fixed share of all refusals is late.
class AdmissionMargin
{
public:
  //! Share of refusals that may be late; half of the stated bound of 10%.
  static constexpr double kTargetLateShare = 0.05;
  //! Change per refusal: a surge of a few dozen refusals brings the margin to
  //! its level.
  static constexpr Duration kAdjustmentStep{ 4000 };
  //! Above this, nothing that has to queue would be accepted.
  static constexpr Duration kMaxMargin{ 300000 };
  //! The margin decays, so that a past surge has no lasting effect.
  static constexpr Duration kHalfLife{ 5000000 };

  //! To be added to the predicted end of work that has to queue.
  Duration Value(TimePoint aNow) const;

  void RecordImmediateRefusal(TimePoint aNow);
  //! Accepted work was refused later.
  void RecordLateRefusal(TimePoint aNow);

private:
  void Set(TimePoint aNow, Duration aMargin);

  Duration margin_{ 0 };
  TimePoint changedAt_{};
};

}

#endif
