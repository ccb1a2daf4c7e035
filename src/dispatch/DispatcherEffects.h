#ifndef HEMLOCKHAVEN_SRC_DISPATCH_DISPATCHEREFFECTS_H
#define HEMLOCKHAVEN_SRC_DISPATCH_DISPATCHEREFFECTS_H

#include "hemlockhaven/dispatch/Attempt.h"
#include "hemlockhaven/dispatch/TaskGroup.h"
#include "hemlockhaven/job/TaskOutcome.h"

#include <boost/container/small_vector.hpp>

#include <cstdint>
#include <memory>

namespace hemlockhaven::Detail {

//! A task and its final outcome.
struct EndedTask
{
  std::shared_ptr<TaskGroup> group;
  std::uint32_t index = 0;
  TaskOutcome outcome;
};

//! What has to be done once the lock is released. Most decisions send or end
//! one task, which then costs no allocation.
struct DispatcherEffects
{
  boost::container::small_vector<Attempt, 2> send;
  boost::container::small_vector<EndedTask, 2> end;

  bool IsEmpty() const { return send.empty() && end.empty(); }
};

}

#endif
