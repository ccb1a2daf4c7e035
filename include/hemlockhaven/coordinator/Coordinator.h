#ifndef HEMLOCKHAVEN_COORDINATOR_COORDINATOR_H
#define HEMLOCKHAVEN_COORDINATOR_COORDINATOR_H

#include "hemlockhaven/admission/RoomShares.h"
#include "hemlockhaven/coordinator/LoadShedding.h"
#include "hemlockhaven/coordinator/PartDivision.h"
#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/fleet/Dice.h"
#include "hemlockhaven/front/JobQueries.h"
#include "hemlockhaven/front/SubmissionTracker.h"
#include "hemlockhaven/leadership/LeaderElection.h"
#include "hemlockhaven/scheduler/Scheduler.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven {

//! Result of polling an endpoint: a report, or the reason why there is none.
struct PollResult
{
  CommandOutcome outcome = CommandOutcome::Unknown;
  PollReport report; //!< Valid if outcome is Accepted.
};

//! Outgoing calls of a coordinator. Hooks must not block; replies may arrive
//! later, from any thread.
struct CoordinatorHooks
{
  std::function<void(const Member&, const Heartbeat&)> sendHeartbeat;
  //! Closes the link to another daemon, unless it was opened a moment ago; the
  //! next message opens a new one.
  std::function<void(const Member&)> closeLink;
  //! Sends to another daemon by name; undeliverable messages are dropped.
  std::function<void(std::string_view aMember, const Work&)> sendWork;
  std::function<void(std::string_view aMember, const WorkAnswer&)> sendAnswer;
  std::function<void(std::string_view aMember,
                     std::string_view aWorkId,
                     std::string_view aReason)>
    sendCancel;
  std::function<void(std::string_view aMember, const JobQuery&)> sendJobQuery;
  std::function<void(std::string_view aMember, const JobQueryReply&)>
    sendJobQueryReply;
  std::function<void(const StartCommand&, std::function<void(CommandReply)>)>
    start;
  std::function<void(const StopCommand&, std::function<void(CommandReply)>)>
    stop;
  std::function<void(const PollCommand&, std::function<void(PollResult)>)> poll;
  std::function<void(const Decision&)> logDecision;
};

//! Connects election, schedulers and the submissions of callers in one daemon,
//! independent of the transport. Thread-safe.
class Coordinator
{
public:
  Coordinator(Member aSelf,
              const SchedulerPolicy& aPolicy,
              const ElectionParameters& aTimes,
              CoordinatorHooks aHooks,
              const Clock& aClock,
              WallClock aWallClock);

  // From callers.
  //! Submits work of a caller. Returns an id of the waiting caller for its
  //! disconnect, or 0.
  std::uint64_t Accept(Work aWork, AnswerHook aAnswer);
  void OnCallerDisconnect(std::string_view aWorkId, std::uint64_t aWaiterId);
  //! Cancels a job, whichever daemon its caller waits at. The answer may come
  //! later, from any thread, but within aTimeout and JobQueries::kTimeout.
  void Cancel(std::string_view aWorkId,
              Duration aTimeout,
              JobAnswerHook aAnswer);
  //! Finds out the state of a job, likewise.
  void QueryState(std::string_view aWorkId,
                  Duration aTimeout,
                  JobAnswerHook aAnswer);

  // From other daemons.
  //! Replaces the addresses at which other daemons are looked for. Returns
  //! whether there is a new one.
  bool SetSeeds(Span<const std::string> aAddresses)
  {
    return election_.SetSeeds(aAddresses);
  }
  //! Returns whether any other daemon is alive.
  bool HasAliveMembers() const { return election_.AliveMemberCount() > 0; }
  //! Returns whether none is alive after the time in which daemons that started
  //! together discover each other.
  bool IsAlone() const
  {
    return !HasAliveMembers() && !election_.IsDiscovering();
  }
  void OnHeartbeat(const Heartbeat& aHeartbeat);
  void OnLinkLost(std::string_view aMember);
  void OnWork(std::string_view aEntryVm, Work aWork);
  void OnAnswer(std::string_view aLeader, const WorkAnswer& aAnswer);
  void OnCancel(std::string_view aEntryVm,
                std::string_view aWorkId,
                std::string_view aReason);
  void OnJobQuery(std::string_view aMember, const JobQuery& aQuery);
  void OnJobQueryReply(std::string_view aMember, const JobQueryReply& aReply);

  // From the platform.
  //! Sets the whole list.
  void SetEndpoints(Span<const ListedEndpoint> aEndpoints);
  //! Returns the number of endpoints that this daemon may lead.
  std::size_t OwnEndpointCount() const;

  //! Sets the position up to which the list was read for the last SetEndpoints,
  //! and the bounds on its endpoints.
  void SetListPosition(const ListPosition& aPosition,
                       const EndpointsInUse& aListed);

  //! Sets the availability zones whose endpoints get no starts.
  void SetEvacuatedZones(Span<const std::string> aZones);

  //! Sets whether this daemon may lead: not while it knows no endpoints, is too
  //! slow, or is stopping. aReason is logged if it steps down.
  void SetCanLead(bool aCanLead, std::string_view aReason);
  //! Cancels the work of all callers that wait here and answers them.
  void AbortAll(std::string_view aReason);
  //! Stops leading for good.
  void Leave();

  //! Must be called every few tens of milliseconds.
  void Tick();

  //! Records a timer of this daemon set for aInterval that fired aDelay late.
  void RecordTimerDelay(Duration aDelay, Duration aInterval);
  //! Returns the share of new work, 0 to 1, that is refused here because the
  //! leader is overloaded.
  double ShedShare() const { return election_.LeaderShedShare(); }

  //! Returns whether a leader is known that new work can be sent to.
  bool CanServe() const { return !election_.Leader().empty(); }
  std::string Leader() const { return election_.Leader(); }
  bool IsLeading() const { return election_.IsLeading(); }
  std::size_t WaitingCallers() const { return tracker_.WaitingCallers(); }
  std::size_t OpenJobQueries() const { return queries_.OpenCount(); }
  //! Cancels that this daemon remembers for its callers.
  std::size_t RememberedCancels() const { return tracker_.CancelledJobCount(); }
  SchedulerLoad Load() const;

private:
  //! Divides the list anew and hands this daemon's part to the schedulers.
  void DivideEndpoints();
  //! Divides the list anew if more has become known of the other daemons.
  void DivideIfChanged();
  PartDivision::Inputs DivisionInputs() const;
  std::shared_ptr<Scheduler> SchedulerFor(const std::string& aService);
  //! Updates the endpoints in use that heartbeats and local submissions report.
  //! Also done before this daemon leads, since a term may start between ticks.
  void PublishEndpointsInUse();
  std::vector<std::shared_ptr<Scheduler>> Schedulers() const;
  //! Draws whether new work is refused because the leader is overloaded. With
  //! sharesRoom, work of groups over their share of the leader's processor is
  //! refused first; this daemon's callers are taken as a sample of all.
  bool ShouldShed(const Work& aWork);
  void Apply(Scheduler& aScheduler, const SchedulerEffects& aEffects);
  void Apply(TrackerEffects aEffects);
  void Apply(const JobQueryEffects& aEffects);
  //! Sends open queries and remembered cancels to leaders that became known.
  void UpdateLeaders();
  void SendJobQuery(std::string_view aLeader, JobQuery aQuery);
  //! Tells a leader of a cancel without waiting for a reply.
  void SendCancelledJob(std::string_view aLeader, std::string_view aWorkId);
  //! What the schedulers of this daemon know of the job; cancels it there if
  //! the query asks for that.
  JobState AnswerJobQuery(const JobQuery& aQuery);
  std::uint64_t Term() const;
  void Apply(const ElectionEffects& aEffects);
  void LogDecision(std::string_view aStep,
                   std::string_view aOutcome,
                   std::string_view aDetail) const;

  const std::string name_;
  const std::uint64_t incarnation_;
  const SchedulerPolicy policy_;
  CoordinatorHooks hooks_;
  Clock clock_;
  const double ownEndpointLimit_; //!< That this daemon can lead.
  mutable std::mutex divisionMutex_;
  PartDivision division_; //!< divisionMutex_ guards this and the next two.
  std::vector<ListedEndpoint> listed_;
  std::size_t ownEndpointCount_ = 0;
  LeaderElection election_;
  SubmissionTracker tracker_;
  JobQueries queries_;
  std::mutex informedLeadersMutex_;
  //! Incarnations of the leaders that were told of the remembered cancels, by
  //! name; informedLeadersMutex_ guards it.
  std::map<std::string, std::uint64_t> informedLeaders_;
  std::mutex sheddingMutex_;
  LoadShedding shedding_; //!< sheddingMutex_ guards this and the next three.
  RoomShares arrivals_;   //!< Leader's processor time that was asked for here.
  Dice dice_;
  double lastLoggedShare_ = 0;
  mutable std::mutex schedulersMutex_;
  std::map<std::string, std::shared_ptr<Scheduler>>
    schedulers_; //!< By service.
  // Guarded by schedulersMutex_:
  std::uint64_t token_ = 0; //!< 0 if not leading.
  std::vector<std::string> evacuatedZones_;
};

}

#endif
