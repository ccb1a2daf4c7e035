#ifndef HEMLOCKHAVEN_SCHEDULER_WORK_H
#define HEMLOCKHAVEN_SCHEDULER_WORK_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/EndpointsInUse.h"
#include "hemlockhaven/scheduler/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hemlockhaven {

//! Identifies one task of some work.
struct TaskKey
{
  std::string workId;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const TaskKey& aLeft, const TaskKey& aRight)
  {
    return aLeft.step == aRight.step && aLeft.index == aRight.index &&
           aLeft.workId == aRight.workId;
  }
};

//! One run of a task; run numbers start at 1 and increase.
struct RunKey
{
  TaskKey task;
  std::uint32_t run = 0;
};

//! Tasks with equal requirements that may run in parallel.
struct WorkStep
{
  std::uint32_t count = 0;
  Resources taskResources;
  Duration estimate{ 0 };           //!< The caller's estimate for one task.
  std::vector<std::uint32_t> after; //!< Earlier steps that must be done.
  std::string requiredLabel;        //!< Empty: any endpoint.
  std::string preferredRack;        //!< Empty: any rack.
  std::uint32_t maxPerEndpoint = 0; //!< 0: no limit.
  //! The tasks run faster if all are in one rack.
  bool sameRack = false;
};

//! Identifies one submission of work among all of its entry VM. The number of
//! earlier schedulers does not: another submission of the same job, after a
//! disconnect or to another entry VM, counts them anew.
struct SubmissionKey
{
  //! Number that the entry VM gave the work when it accepted it from a caller;
  //! unique across restarts of its process.
  std::uint64_t acceptance = 0;
  //! Number of the submission within that; nullopt: not told.
  std::optional<std::uint32_t> number;

  //! Whether both may be the same submission.
  bool Matches(const SubmissionKey& aOther) const
  {
    return acceptance == aOther.acceptance &&
           (!number || !aOther.number || *number == *aOther.number);
  }
};

//! A job whose caller waits for its result. Not persisted.
struct Work
{
  std::string id;
  std::string service; //!< Endpoints of this service may run it.
  std::string kind;    //!< Run times are learned for each kind.
  std::string payload; //!< Passed to the endpoint unchanged.
  std::vector<WorkStep> steps;
  std::uint32_t priority = 0;    //!< 0 is the most urgent.
  std::uint32_t attempts = 1;    //!< Failed runs of one task that fail the job.
  double stretch = 1;            //!< Accepted response time / run time.
  Duration targetLatency{ 0 };   //!< Added to run time times stretch.
  Duration age{ 0 };             //!< Time since the caller sent it.
  Duration callerTimeout{ 0 };   //!< Time until the caller gives up.
  std::uint32_t submissions = 0; //!< Number of earlier schedulers that had it.
  //! Used by those schedulers, as last reported.
  EndpointsInUse priorEndpoints;
  SubmissionKey key; //!< Returned with the answer.
};

}

#endif
