#ifndef HEMLOCKHAVEN_SCHEDULER_SCHEDULER_H
#define HEMLOCKHAVEN_SCHEDULER_SCHEDULER_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/Effects.h"
#include "hemlockhaven/scheduler/EndpointsInUse.h"
#include "hemlockhaven/scheduler/EntryVmContact.h"
#include "hemlockhaven/scheduler/JobState.h"
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

//! Counts for status and metrics.
struct SchedulerLoad
{
  std::size_t works = 0;
  std::size_t waitingWorks = 0; //!< Accepted, no task started yet.
  std::size_t waitingTasks = 0;
  std::size_t activeRuns = 0;
  std::size_t endpoints = 0;
  std::size_t usableEndpoints = 0;
  std::size_t evacuatedEndpoints = 0; //!< In evacuated availability zones.
  std::int64_t freeCpuMillis = 0;
  // Tasks that prefer a rack; totals since the process started.
  std::size_t nearWaitingTasks = 0; //!< Waiting for a near endpoint now.
  std::uint64_t placedNear = 0;
  std::uint64_t placedAway = 0;
  std::uint64_t nearWaits = 0; //!< Waits for a near endpoint that ended.
  Duration nearWaitTime{ 0 };  //!< Sum of these waits.
  double remoteFactor = 0;     //!< As learned; see SchedulerPolicy.
};

//! Places the tasks of one service on its endpoints. Performs no I/O and no
//! encoding: each call returns the commands to send, and the calling code
//! reports the replies. Each scheduler has its own lock.
class Scheduler
{
public:
  //! A task has at most one run at a time: it is started again only when its
  //! last run has certainly ended or its start can no longer take effect.
  Scheduler(const SchedulerPolicy& aPolicy, Clock aClock);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  //! Starts to lead with a fencing token higher than any before. Polls each
  //! endpoint before it starts anything there.
  SchedulerEffects StartTerm(std::uint64_t aFencingToken);

  //! Stops leading; all work is answered with Moved.
  SchedulerEffects StepDown(std::string_view aReason);

  bool IsLeading() const;

  //! Sets the current endpoints; others get no new runs.
  SchedulerEffects SetEndpoints(Span<const ListedEndpoint> aEndpoints);
  //! Sets the evacuated availability zones: their endpoints get no new runs,
  //! and admission does not count on them. Active runs there continue.
  SchedulerEffects SetEvacuatedZones(Span<const std::string> aZones);
  //! Sets the availability zone that the endpoints of the last SetEndpoints are
  //! limited to; empty: all zones. After a change, endpoints that are not
  //! listed any more are forgotten, since another leader has them: to poll them
  //! would take them from it.
  void SetPart(std::string_view aPart);
  //! The part of the list behind the last SetEndpoints, and bounds on its
  //! endpoints. Work of an earlier leader that used unknown endpoints is held
  //! until their leases have expired.
  void SetListPosition(const ListPosition& aPosition,
                       const EndpointsInUse& aListed);
  //! Bounds on the endpoints where this scheduler may have runs.
  EndpointsInUse UsedEndpoints() const;

  SchedulerEffects Submit(std::string_view aEntryVm, Work aWork);

  //! Stops the work if this entry VM submitted it last.
  SchedulerEffects Cancel(std::string_view aEntryVm,
                          std::string_view aWorkId,
                          std::string_view aReason);

  //! What is known of the job.
  JobState StateOf(std::string_view aWorkId) const;

  //! Stops the job whichever entry VM submitted it, and starts no later
  //! submission of it for CancelledWorks::kRetention. Sets aState to what was
  //! known of the job, Cancelled if this ended it.
  SchedulerEffects CancelJob(std::string_view aWorkId, JobState& aState);

  //! The entry VM was lost: cancels its work, as no caller waits for it.
  SchedulerEffects OnEntryVmLost(std::string_view aEntryVm);

  SchedulerEffects OnStartReply(const StartCommand& aCommand,
                                const CommandReply& aReply);
  SchedulerEffects OnStopReply(const StopCommand& aCommand,
                               const CommandReply& aReply);
  SchedulerEffects OnPollReply(const PollCommand& aCommand,
                               const PollReport& aReport);
  SchedulerEffects OnPollFailed(const PollCommand& aCommand,
                                CommandOutcome aOutcome);

  //! Sets what is known of the entry VMs. A task whose lease has expired unseen
  //! is started again only if its entry VM has followed this leader since: the
  //! next leader may have renewed the lease. Until the first call all are taken
  //! to do so.
  void SetEntryVmContacts(Span<const EntryVmContact> aContacts);

  //! Handles timeouts. To be called every few tens of milliseconds.
  SchedulerEffects Tick();

  SchedulerLoad Load() const;

private:
  mutable std::mutex mutex_;
  std::unique_ptr<Detail::SchedulerState> state_;
};

}

#endif
