#ifndef HEMLOCKHAVEN_SCHEDULER_REPORTS_H
#define HEMLOCKHAVEN_SCHEDULER_REPORTS_H

#include "hemlockhaven/scheduler/Work.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockhaven {

//! How a run ended, as its endpoint says.
enum class RunOutcome : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  LeaseExpired, //!< The endpoint's lease ran out.
  Other,
};

//! A run that ended.
struct EndedRun
{
  std::uint64_t position = 0; //!< Number of this end in the incarnation.
  RunKey run;
  RunOutcome outcome = RunOutcome::Other;
};

//! What an endpoint says of its runs.
struct PollReport
{
  std::int64_t incarnationStartMs = 0; //!< Incarnation that answered.
  std::int64_t clockMs = 0;            //!< The endpoint's own clock.
  std::vector<RunKey> running;
  std::vector<EndedRun> ended;
};

//! What became of an order to an endpoint.
enum class CommandOutcome : std::uint8_t
{
  Accepted,
  Fenced,     //!< A higher fencing token has been seen there.
  Superseded, //!< The run number is not new there.
  Expired,    //!< It arrived after its deadline.
  NoRoom,
  Unhealthy,        //!< Refused; nothing was done.
  WrongIncarnation, //!< Another incarnation answers at this address.
  NotSent,          //!< No connection; certainly not executed.
  Unknown,          //!< No answer; it may have been executed, or may yet be.
};

//! The answer to a start or stop.
struct CommandReply
{
  CommandOutcome outcome = CommandOutcome::Unknown;
  std::int64_t clockMs = 0; //!< The endpoint's clock; 0: not said.
};

}

#endif
