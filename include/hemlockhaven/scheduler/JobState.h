#ifndef HEMLOCKHAVEN_SCHEDULER_JOBSTATE_H
#define HEMLOCKHAVEN_SCHEDULER_JOBSTATE_H

#include <cstdint>
#include <string_view>

namespace hemlockhaven {

//! What a leader knows of a job.
enum class JobState : std::uint8_t
{
  Unknown, //!< Not known: it ended some time ago, or never came.
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
  //! Not known, but it may exist: the leader's term is so new that entry VMs
  //! may not have resubmitted it yet, or a daemon out of reach may lead it.
  Undecided,
  NotLeading,
};

//! Text of a state for callers and logs.
std::string_view NameOf(JobState aState);

}

#endif
