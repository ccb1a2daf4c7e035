#ifndef HEMLOCKHAVEN_JOB_JOBSPEC_H
#define HEMLOCKHAVEN_JOB_JOBSPEC_H

#include "hemlockhaven/core/Labels.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/selector/Selector.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven {

//! Order of a caller's own work; it gives no precedence over other callers.
enum class Urgency : std::uint8_t
{
  Low,
  Normal,
  Urgent,
};

//! "low", "normal" or "urgent".
std::string_view UrgencyName(Urgency aUrgency);

//! What an endpoint must have in all to run a task.
struct Needs
{
  std::uint32_t cores = 0;
  std::uint64_t memoryMb = 0;
  std::uint32_t accelerators = 0;

  friend bool operator==(const Needs& aLeft, const Needs& aRight)
  {
    return aLeft.cores == aRight.cores && aLeft.memoryMb == aRight.memoryMb &&
           aLeft.accelerators == aRight.accelerators;
  }
};

//! What a caller submits: tasks that share everything but their payloads.
struct JobSpec
{
  std::string caller; //!< Whose quota pays.
  std::string kind;   //!< Kind of work; run times are learned by it.
  Urgency urgency = Urgency::Normal;
  Labels labels;     //!< For selectors of operators and `where`.
  Selector selector; //!< Over labels of endpoints.
  Needs needs;
  Duration deadline{ 0 };     //!< From submission; zero: the default limit.
  Duration declaredTime{ 0 }; //!< Declared run time of one task.
  bool idempotent = false;    //!< May be sent again after an unknown end.
  std::vector<std::string> payloads; //!< One for each task.
};

//! Approximate bytes that a queued task holds. The first one of a job also has
//! what its tasks share.
std::size_t QueuedBytes(const JobSpec& aSpec, std::size_t aIndex);

//! Hash of everything in the specification, to tell a repeated submission from
//! another one under the same id. Equal on all daemons of one version.
std::uint64_t HashOf(const JobSpec& aSpec);

//! Most tasks in one job.
constexpr std::size_t kMaxTasksPerJob = 780;

}

#endif
