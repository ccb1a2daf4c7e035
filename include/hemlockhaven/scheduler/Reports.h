#ifndef HEMLOCKHAVEN_SCHEDULER_REPORTS_H
#define HEMLOCKHAVEN_SCHEDULER_REPORTS_H

#include "hemlockhaven/scheduler/Work.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockhaven {

//! How a run ended, as its endpoint reports.
enum class RunOutcome : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  LeaseExpired, //!< The endpoint's lease expired.
  Other,
};

//! A run that ended.
struct EndedRun
{
  std::uint64_t position = 0; //!< Sequence number within the incarnation.
  RunKey run;
  RunOutcome outcome = RunOutcome::Other;
};

//! An endpoint's reply to a poll.
struct PollReport
{
  std::int64_t incarnationStartMs = 0; //!< Incarnation that replied, Unix ms.
  std::int64_t clockMs = 0;            //!< The endpoint's own clock.
  std::vector<RunKey> running;
  std::vector<EndedRun> ended;
};

//! Outcome of a command to an endpoint.
enum class CommandOutcome : std::uint8_t
{
  Accepted,
  Fenced,     //!< The endpoint has seen a higher fencing token.
  Superseded, //!< The endpoint has seen this run number or a higher one.
  Expired,    //!< It arrived after its deadline.
  NoRoom,
  Unhealthy,        //!< Refused; nothing was done.
  WrongIncarnation, //!< Another incarnation uses this address.
  NotSent,          //!< No connection; not executed.
  Unknown,          //!< No reply; it may have been executed, or may still be.
};

//! The reply to a start or stop command.
struct CommandReply
{
  CommandOutcome outcome = CommandOutcome::Unknown;
  std::int64_t clockMs = 0; //!< The endpoint's clock; 0: not reported.
};

}

#endif
