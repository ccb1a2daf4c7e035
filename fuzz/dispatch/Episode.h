#ifndef HEMLOCKHAVEN_FUZZ_DISPATCH_EPISODE_H
#define HEMLOCKHAVEN_FUZZ_DISPATCH_EPISODE_H

#include "fuzz/dispatch/Command.h"
#include "fuzz/dispatch/Oracle.h"
#include "hemlockhaven/core/Guard.h"
#include "hemlockhaven/dispatch/Dispatcher.h"
#include "hemlockhaven/metrics/Counters.h"

#include <cstdint>

namespace hemlockhaven::Fuzz {

//! One dispatcher with its own limits and policy, driven by commands.
class Episode
{
public:
  Episode(std::uint64_t aNumber, GuardHook aGuard);

  void Apply(const Command& aCommand);
  //! Gives ample capacity and ends everything; nothing may remain.
  void Quiesce();
  const std::vector<std::string>& Violations() const
  {
    return oracle_.Violations();
  }

private:
  static DispatcherLimits MakeLimits(std::uint64_t aNumber);
  static DispatcherPolicy MakePolicy(std::uint64_t aNumber);
  void Admit(const Command& aCommand);
  void Finish(const Command& aCommand);
  void SetEndpoints(const Command& aCommand);
  void Forward(const Command& aCommand);
  void End(std::size_t aAttempt, AttemptEnd aEnd);

  DispatcherLimits limits_;
  Oracle oracle_;
  Counters counters_;
  TimePoint now_{ std::chrono::seconds(100) };
  Dispatcher dispatcher_;
};

}

#endif
