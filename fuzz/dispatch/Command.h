#ifndef HEMLOCKHAVEN_FUZZ_DISPATCH_COMMAND_H
#define HEMLOCKHAVEN_FUZZ_DISPATCH_COMMAND_H

#include <cstdint>

namespace hemlockhaven::Fuzz {

enum class CommandKind : std::uint8_t
{
  Admit,
  Finish,
  FinishAgain,
  FinishUnknownId,
  SetEndpoints,
  Stop,
  StopWave,
  Advance,
  Tick,
  ChargeRemote,
  SetWeights,
  Forward,
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
