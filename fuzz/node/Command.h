#ifndef HEMLOCKHAVEN_FUZZ_NODE_COMMAND_H
#define HEMLOCKHAVEN_FUZZ_NODE_COMMAND_H

#include <cstdint>

namespace hemlockhaven::Fuzz {

enum class CommandKind : std::uint8_t
{
  SubmitNew,
  SubmitAgain,
  SubmitOther, //!< Another specification under a used id.
  SubmitKey,
  Cancel,
  Fetch,
  Finish,
  FinishAgain,
  Deliver,
  DropCall,
  Advance,
  Tick,
  Partition,
  Heal,
  Crash,
  Restart,
  Stop,
  SetVmList,
  MarkLeaving,
  Configure,
  ReadLog,
  LogOutage,
  LogRetention,
  Where,
};

//! One random operation; the numbers select what it applies to.
struct Command
{
  CommandKind kind = CommandKind::Tick;
  std::uint32_t first = 0;
  std::uint32_t second = 0;
  std::uint32_t third = 0;
};

}

#endif
