#ifndef HEMLOCKHAVEN_SCHEDULER_NEARWAIT_H
#define HEMLOCKHAVEN_SCHEDULER_NEARWAIT_H

#include "hemlockhaven/core/Time.h"

#include <cstdint>
#include <optional>

namespace hemlockhaven {

//! A run of a task as predicted for an endpoint.
struct ExpectedRun
{
  TimePoint start{};
  TimePoint end{};
};

//! Where a task with a preferred rack could run: near, in that rack, or away.
struct NearWaitInputs
{
  TimePoint now{};
  TimePoint latestEnd{}; //!< The task is in time if it ends by then.
  //! Factor on run times when they are checked against latestEnd.
  double margin = 1;
  //! Earliest run near, after the tasks that wait for the same rack; starts at
  //! now if an endpoint is free. Unset if no endpoint of the rack can run it.
  std::optional<ExpectedRun> near;
  std::optional<ExpectedRun> away; //!< The same for the other endpoints.
};

enum class NearWaitAction : std::uint8_t
{
  StartNear,
  StartAway,
  WaitNear, //!< Until a near endpoint is free or the time is over.
  Queue,    //!< No endpoint is free.
};

struct NearWaitDecision
{
  NearWaitAction action = NearWaitAction::Queue;
  TimePoint until{}; //!< With WaitNear.
};

//! Whether to run the task near: where it ends in time, then near if that
//! starts as early, as a run away takes more endpoint time, then where it ends
//! first. A run near that starts after the latest start away is not preferred
//! to one away that is in time.
bool PrefersNear(const ExpectedRun& aNear,
                 const ExpectedRun& aAway,
                 TimePoint aLatestEnd,
                 double aMargin);

//! Decides whether a wait for a near endpoint pays: if the task then ends
//! earlier than away. It lasts no longer than the near run would still end
//! earlier, and never beyond the latest start at which the task ends in time.
NearWaitDecision DecideNearWait(const NearWaitInputs& aInputs);

}

#endif
