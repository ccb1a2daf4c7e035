#ifndef HEMLOCKHAVEN_SOAK_EVENTCOUNTS_H
#define HEMLOCKHAVEN_SOAK_EVENTCOUNTS_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "soak/Ledger.h"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockhaven::Soak {

//! The moment as the daemons' logs write it; all clocks are this machine's.
std::string LogTime(TimePoint aAt);

//! A daemon's process stood still.
struct DaemonPause
{
  std::size_t daemon = 0;
  Period period;
  bool leads = false; //!< When the pause began.
};

//! What the plan did.
struct PlanCounts
{
  std::size_t zoneCuts = 0;
  std::size_t zoneCutsWithPausedLeader = 0; //!< Within 0.3 s of the cut.
  std::size_t shortPauses = 0;              //!< Of daemons, under 150 ms.
  std::size_t longPauses = 0;
  std::size_t slowed = 0;
  std::size_t callerResets = 0;
  std::size_t killsAfterAnswer = 0;
  Duration longestStall{ 0 }; //!< Of the soak's own process.
};

//! What the daemons' logs tell of the events that double runs need. The logs
//! leave lines out beyond a rate, so that these are lower bounds.
class LogCounts
{
public:
  explicit LogCounts(Span<const DaemonPause> aPauses);

  void Add(std::size_t aDaemon, std::string_view aLine);

  //! Whether a leader took the run's lease for lapsed without an answer.
  bool IsUnseenLapse(const std::string& aJob,
                     const std::string& aEndpoint) const
  {
    return unseenLapses_.count({ aJob, aEndpoint }) != 0;
  }

  //! All counts as one JSON object.
  std::string Text(const RunCounts& aRuns, const PlanCounts& aPlan) const;

private:
  struct Wake
  {
    std::size_t daemon = 0;
    std::string from; //!< As in the logs.
    std::string until;
  };

  std::vector<Wake> wakes_;
  std::set<std::pair<std::string, std::string>> unseenLapses_;
  std::size_t terms_ = 0;
  std::size_t yields_ = 0;
  std::size_t heldUntilAnswers_ = 0;
  std::size_t heldUntilLapse_ = 0;
  std::size_t joined_ = 0;    //!< Submissions of work that the leader has.
  std::size_t afterStop_ = 0; //!< Submissions that wait for a stop.
  std::size_t starts_ = 0;
  std::size_t startsAfterWake_ = 0;
  std::size_t leftOut_ = 0;
};

}

#endif
