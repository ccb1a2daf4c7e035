#ifndef HEMLOCKHAVEN_DISPATCH_DISPATCHERPOLICY_H
#define HEMLOCKHAVEN_DISPATCH_DISPATCHERPOLICY_H

#include "hemlockhaven/admission/QueuePosition.h"
#include "hemlockhaven/core/Result.h"
#include "hemlockhaven/dispatch/TaskGroup.h"
#include "hemlockhaven/fleet/Dice.h"
#include "hemlockhaven/fleet/Fleet.h"
#include "hemlockhaven/fleet/PlacementRequest.h"

#include <functional>
#include <optional>
#include <string_view>

namespace hemlockhaven {

//! How tasks are placed and in which order they are taken. The default is
//! fastest class and fair share; the others are baselines for comparisons.
struct DispatcherPolicy
{
  //! Chooses an eligible endpoint with a free slot. Called under a lock, so
  //! it must not call back. Empty: Fleet::Choose.
  std::function<
    std::optional<EndpointIndex>(const Fleet&, const PlacementRequest&, Dice&)>
    place;

  //! Accounts and order of a group's tasks. Called under a lock, so it must
  //! not call back. Empty: fair share.
  std::function<QueuePosition(const TaskGroup&)> order;

  //! Placement: "speed-classes", "random", "round-robin" or
  //! "least-outstanding". Order: "fair", "fifo" or "strict-priority".
  static Result<DispatcherPolicy> ByName(std::string_view aPlacement,
                                         std::string_view aOrder);
};

}

#endif
