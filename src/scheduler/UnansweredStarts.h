#ifndef HEMLOCKHAVEN_SRC_SCHEDULER_UNANSWEREDSTARTS_H
#define HEMLOCKHAVEN_SRC_SCHEDULER_UNANSWEREDSTARTS_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/Work.h"

#include <cstddef>
#include <vector>

namespace hemlockhaven::Detail {

//! Starts to one endpoint that got no answer. The endpoint may carry them out
//! seconds later, even after a restart: the next incarnation knows neither the
//! stop that followed nor, on its own clock, the deadline. So these runs are
//! stopped at each new incarnation.
class UnansweredStarts
{
public:
  //! Orders without an answer are carried out 12 s later at most.
  static constexpr Duration kRetention{ 15000000 };
  //! The oldest start is dropped beyond this; an endpoint runs a few tasks.
  static constexpr std::size_t kMaxStarts = 256;
  //! Delay before a stop without an answer is sent again.
  static constexpr Duration kStopRetryDelay{ 300000 };

  //! aIsStopDue: the current incarnation is not being told to stop it.
  void Add(const RunKey& aRun, bool aIsStopDue, TimePoint aNow);
  //! The endpoint has restarted: all starts have to be stopped there.
  void OnRestart();
  //! The current incarnation has confirmed the stop.
  void OnStopConfirmed(const RunKey& aRun);
  //! Returns the runs to stop now; drops starts that cannot arrive any more.
  std::vector<RunKey> TakeDueStops(TimePoint aNow);

  std::size_t Size() const { return starts_.size(); }

private:
  struct Start
  {
    RunKey run;
    TimePoint sentAt{};
    bool isStopDue = false;
    TimePoint stopSentAt{}; //!< To the current incarnation.
  };

  std::vector<Start> starts_; //!< Oldest first.
};

}

#endif
