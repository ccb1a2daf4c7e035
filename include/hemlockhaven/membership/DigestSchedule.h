#ifndef HEMLOCKHAVEN_MEMBERSHIP_DIGESTSCHEDULE_H
#define HEMLOCKHAVEN_MEMBERSHIP_DIGESTSCHEDULE_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/membership/Roster.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace hemlockhaven {

//! To whom digests are due; both lists hold names of nodes.
struct DigestPlan
{
  std::vector<std::string> inZone;
  std::vector<std::string> acrossZones; //!< One of each other zone.
};

//! Says when a digest is due to whom: in the own availability zone to all
//! peers, and less often to one peer of each other zone, in turn. That peer
//! passes the summary on in its own digests.
//!
//! Used by the one thread that sends digests; not thread-safe.
class DigestSchedule
{
public:
  explicit DigestSchedule(const Roster& aRoster);

  //! What is due now; both lists are empty if nothing is.
  DigestPlan TakeDue(TimePoint aNow);

  //! When the next digest is due.
  TimePoint NextDue() const { return std::min(zoneDue_, acrossDue_); }

private:
  const Roster& roster_;
  TimePoint zoneDue_{};
  TimePoint acrossDue_{};
  std::map<std::string, std::size_t> turns_; //!< By availability zone.
};

}

#endif
