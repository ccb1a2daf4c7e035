#ifndef HEMLOCKHAVEN_SCHEDULER_EFFECTS_H
#define HEMLOCKHAVEN_SCHEDULER_EFFECTS_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/Work.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockhaven {

//! Where an order goes and what authorises it.
struct CommandTarget
{
  std::string endpoint;
  std::string address;
  std::uint64_t fencingToken = 0;
};

//! Start a run.
struct StartCommand
{
  CommandTarget target;
  RunKey run;
  std::string payload;
  std::int64_t deadlineClockMs = 0; //!< Void after this, endpoint's clock.
};

//! Stop a run.
struct StopCommand
{
  CommandTarget target;
  RunKey run;
};

//! Renew the lease of all runs at an endpoint and list them.
struct PollCommand
{
  CommandTarget target;
  std::int64_t deadlineClockMs = 0; //!< 0: do not renew.
  std::uint64_t ackPosition = 0;    //!< Ends up to here may be forgotten.
  Duration wait{ 0 };               //!< Answer at the next end, or after this.
  bool isTakeover = false;          //!< The first look of a new term.
};

//! How a piece of work ended.
enum class WorkOutcome : std::uint8_t
{
  Completed,
  Failed,  //!< A task used up its attempts.
  Refused, //!< Nothing of it has run or will run.
  Cancelled,
  Moved, //!< This scheduler is no longer in charge; runs may go on.
};

//! The answer to whoever handed the work in.
struct WorkAnswer
{
  std::string entryVm;
  std::string workId;
  WorkOutcome outcome = WorkOutcome::Refused;
  std::string reason;       //!< For logs and the caller.
  Duration retryAfter{ 0 }; //!< With Refused: when to come back.
  Duration waited{ 0 };     //!< From arrival to the first start.
};

//! A decision for the log: one line, already bounded.
struct Decision
{
  std::string step;
  std::string workId;
  std::string endpoint;
  std::string outcome;
  std::string detail;     //!< The reason; one of few texts, so that it counts.
  std::string inputs;     //!< What the decision went by, "name=value ...".
  Duration inputAge{ 0 }; //!< Age of what was known of the endpoint.
};

//! What the caller of the scheduler has to do, in order, outside its lock.
struct SchedulerEffects
{
  std::vector<StopCommand> stops;
  std::vector<StartCommand> starts;
  std::vector<PollCommand> polls;
  std::vector<WorkAnswer> answers;
  std::vector<Decision> decisions;
  bool fencedByOther = false; //!< Somebody else has taken endpoints.
  //! Another leader had this work a moment ago; only a new term and a look at
  //! each endpoint tell what it has started.
  bool needsNewTerm = false;
};

}

#endif
