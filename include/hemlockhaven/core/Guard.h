#ifndef HEMLOCKHAVEN_CORE_GUARD_H
#define HEMLOCKHAVEN_CORE_GUARD_H

#include <cstdint>
#include <functional>

namespace hemlockhaven {

//! The checks that keep the invariants. Fuzz tests turn one off at a time to
//! show that their oracle notices its absence.
enum class Guard : std::uint8_t
{
  IdIsUsedOnce,               //!< A used id starts nothing.
  FirstClaimWins,             //!< Only the first claim of a key may start.
  OldEpochIsUnknown,          //!< Nothing starts below the index's floor.
  UnknownIsFinal,             //!< An attempt that may have run is the last.
  RefusalStartedNothing,      //!< "Not run" only if nothing was sent.
  JobAnswerIsWhole,           //!< No results unless all tasks succeeded.
  LateAnswerIsDropped,        //!< An attempt ends once.
  LeavingEndpointGetsNothing, //!< No new work for a leaving endpoint.
  StoppedGroupStartsNothing,  //!< No new attempt after stop or cancel.
  ConfigurationBaseMatches,   //!< A record on another base is rejected.
  ConfigurationNeverReverts,  //!< An older version is not applied.
  ShutdownWaitsForStarted,    //!< A planned stop ends no attempt.
};

//! Whether a guard is on. An empty hook means that all are, as in the daemon.
using GuardHook = std::function<bool(Guard)>;

//! Whether the guard is on.
inline bool IsGuardOn(const GuardHook& aHook, Guard aGuard)
{
  return !aHook || aHook(aGuard);
}

}

#endif
