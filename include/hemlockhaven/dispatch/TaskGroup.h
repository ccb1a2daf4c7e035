#ifndef HEMLOCKHAVEN_DISPATCH_TASKGROUP_H
#define HEMLOCKHAVEN_DISPATCH_TASKGROUP_H

#include "hemlockhaven/core/Refusal.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/identity/SubmissionId.h"
#include "hemlockhaven/job/JobSpec.h"
#include "hemlockhaven/job/TaskOutcome.h"

#include <atomic>
#include <cstdint>
#include <functional>

namespace hemlockhaven {

//! Tasks of one submission that are dispatched together.
struct TaskGroup
{
  //! Called once for each task, outside of any lock.
  using Ended = std::function<void(std::uint32_t aIndex, TaskOutcome&&)>;

  SubmissionId id;
  JobSpec spec;
  TimePoint admittedAt{};
  TimePoint deadline = TimePoint::max();
  std::int64_t submittedMs = 0; //!< Milliseconds since the Unix epoch.
  Ended ended;

  //! Refused as not run unless it can start at once; set for tasks of peers.
  bool mustStartNow = false;

  //! Why tasks that have not started are dropped; None: they are not. Queues
  //! look at it when a task reaches their head, so that cancelling costs O(1).
  std::atomic<Reason> stopReason{ Reason::None };

  bool IsStopped() const { return stopReason.load() != Reason::None; }
};

}

#endif
