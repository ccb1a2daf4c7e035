#ifndef HEMLOCKHAVEN_ADMISSION_QUEUEDTASKS_H
#define HEMLOCKHAVEN_ADMISSION_QUEUEDTASKS_H

#include "hemlockhaven/admission/TaskHistory.h"
#include "hemlockhaven/dispatch/TaskGroup.h"
#include "hemlockhaven/fleet/Eligibility.h"

#include <cstdint>
#include <memory>

namespace hemlockhaven {

//! Queued tasks of one group that have the same history.
struct QueuedTasks
{
  std::shared_ptr<TaskGroup> group;
  std::uint32_t next = 0; //!< Index of the first task.
  std::uint32_t end = 0;  //!< One past the last.
  TaskHistory history;
  EligibilityId eligibility = 0;
  std::uint64_t barred = 0;  //!< Bit n: shard n has no eligible endpoint.
  std::uint64_t version = 0; //!< Of the endpoints for which barred holds.
  std::uint32_t moves = 0;   //!< Between shards.

  std::uint32_t Count() const { return end - next; }
};

}

#endif
