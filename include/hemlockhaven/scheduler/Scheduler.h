#ifndef HEMLOCKHAVEN_SCHEDULER_SCHEDULER_H
#define HEMLOCKHAVEN_SCHEDULER_SCHEDULER_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/Effects.h"
#include "hemlockhaven/scheduler/EndpointsInUse.h"
#include "hemlockhaven/scheduler/ListPosition.h"
#include "hemlockhaven/scheduler/ListedEndpoint.h"
#include "hemlockhaven/scheduler/Reports.h"
#include "hemlockhaven/scheduler/SchedulerPolicy.h"
#include "hemlockhaven/scheduler/Work.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>

namespace hemlockhaven {

namespace Detail {
class SchedulerState;
}

//! Counts of a scheduler, for status and metrics.
struct SchedulerLoad
{
  std::size_t works = 0;
  std::size_t waitingWorks = 0; //!< Accepted, no task started yet.
  std::size_t waitingTasks = 0;
  std::size_t activeRuns = 0;
  std::size_t endpoints = 0;
  std::size_t usableEndpoints = 0;
  std::int64_t freeCpuMillis = 0;
};

//! Places the tasks of one service on the endpoints that it is in charge of.
//! No sockets, no encodings: each call returns what has to be sent, and the
//! caller reports back what came of it. Each scheduler has its own lock.
class Scheduler
{
public:
  //! A started run of a task is void, renewed or over, never duplicated:
  //! a task gets another run only when its last one has certainly ended.
  Scheduler(const SchedulerPolicy& aPolicy, Clock aClock);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  //! Takes charge with a fencing token higher than any before: looks at each
  //! endpoint before it starts anything there.
  SchedulerEffects StartTerm(std::uint64_t aFencingToken);

  //! Gives up charge; all work is answered as Moved.
  SchedulerEffects StepDown(std::string_view aReason);

  bool IsLeading() const;

  //! The present list of endpoints; others get nothing new.
  SchedulerEffects SetEndpoints(Span<const ListedEndpoint> aEndpoints);
  //! What was read for the last SetEndpoints, and bounds on its endpoints. Work
  //! of an earlier leader that used endpoints beyond it waits until their
  //! leases have lapsed.
  void SetListPosition(const ListPosition& aPosition,
                       const EndpointsInUse& aListed);
  //! Bounds on the endpoints that this scheduler uses.
  EndpointsInUse UsedEndpoints() const;

  SchedulerEffects Submit(std::string_view aEntryVm, Work aWork);

  //! Stops the work if it is this front's.
  SchedulerEffects Cancel(std::string_view aEntryVm,
                          std::string_view aWorkId,
                          std::string_view aReason);

  //! The front is lost: nobody waits for its work any more.
  SchedulerEffects OnEntryVmLost(std::string_view aEntryVm);

  SchedulerEffects OnStartReply(const StartCommand& aCommand,
                                const CommandReply& aReply);
  SchedulerEffects OnStopReply(const StopCommand& aCommand,
                               const CommandReply& aReply);
  SchedulerEffects OnPollReply(const PollCommand& aCommand,
                               const PollReport& aReport);
  SchedulerEffects OnPollFailed(const PollCommand& aCommand,
                                CommandOutcome aOutcome);

  //! Acts on what became due. To be called every few tens of milliseconds.
  SchedulerEffects Tick();

  SchedulerLoad Load() const;

private:
  mutable std::mutex mutex_;
  std::unique_ptr<Detail::SchedulerState> state_;
};

}

#endif
