#ifndef HEMLOCKHAVEN_COORDINATOR_COORDINATOR_H
#define HEMLOCKHAVEN_COORDINATOR_COORDINATOR_H

#include "hemlockhaven/coordinator/LoadShedding.h"
#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/fleet/Dice.h"
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

//! What a look led to: a report, or the outcome that explains its absence.
struct PollResult
{
  CommandOutcome outcome = CommandOutcome::Unknown;
  PollReport report; //!< With Accepted.
};

//! What a coordinator needs from outside. No hook blocks; answers come later,
//! from any thread.
struct CoordinatorHooks
{
  std::function<void(const Member&, const Heartbeat&)> sendHeartbeat;
  //! To another daemon, by its name. What cannot be sent is dropped.
  std::function<void(std::string_view aMember, const Work&)> sendWork;
  std::function<void(std::string_view aMember, const WorkAnswer&)> sendAnswer;
  std::function<void(std::string_view aMember,
                     std::string_view aWorkId,
                     std::string_view aReason)>
    sendCancel;
  std::function<void(const StartCommand&, std::function<void(CommandReply)>)>
    start;
  std::function<void(const StopCommand&, std::function<void(CommandReply)>)>
    stop;
  std::function<void(const PollCommand&, std::function<void(PollResult)>)> poll;
  std::function<void(const Decision&)> logDecision;
};

//! One daemon without sockets: wires election, schedulers and front desk.
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
  //! Hands work in; returns a ticket for OnCallerDisconnect.
  std::uint64_t Accept(Work aWork, AnswerHook aAnswer);
  void OnCallerDisconnect(std::string_view aWorkId, std::uint64_t aWaiterId);
  bool Cancel(std::string_view aWorkId);
  bool HasWaitingCaller(std::string_view aWorkId) const
  {
    return tracker_.HasWaitingCaller(aWorkId);
  }

  // From other daemons.
  void AddMember(const Member& aMember) { election_.AddMember(aMember); }
  void OnHeartbeat(const Heartbeat& aHeartbeat);
  void OnLinkLost(std::string_view aMember);
  void OnWork(std::string_view aEntryVm, Work aWork);
  void OnAnswer(std::string_view aLeader, const WorkAnswer& aAnswer);
  void OnCancel(std::string_view aEntryVm,
                std::string_view aWorkId,
                std::string_view aReason);

  // From the platform.
  void SetEndpoints(Span<const ListedEndpoint> aEndpoints);

  //! What was read for the last SetEndpoints, and bounds on its endpoints.
  void SetListPosition(const ListPosition& aPosition,
                       const EndpointsInUse& aListed);

  //! Whether this daemon may lead; false with a reason while it knows no
  //! endpoints, is too slow, or stops.
  void SetCanLead(bool aCanLead, std::string_view aReason);
  //! Stops the work of all callers that wait here, and tells them so.
  void AbortAll(std::string_view aReason);
  //! Gives up leading for good.
  void Leave();

  //! To be called every few tens of milliseconds.
  void Tick();

  //! A timer of this daemon that was set for aInterval fired late.
  void RecordTimerDelay(Duration aDelay, Duration aInterval);
  //! Share of new work that is refused here, because the leader is too busy.
  double ShedShare() const { return election_.LeaderShedShare(); }

  //! Whether work that comes in now can be handed to a leader.
  bool CanServe() const { return !election_.Leader().empty(); }
  std::string Leader() const { return election_.Leader(); }
  bool IsLeading() const { return election_.IsLeading(); }
  std::size_t WaitingCallers() const { return tracker_.WaitingCallers(); }
  SchedulerLoad Load() const;

private:
  std::shared_ptr<Scheduler> SchedulerFor(const std::string& aService);
  //! Keeps what beats and the own front tell of this daemon's endpoints true,
  //! also before it leads: a term may begin between two ticks.
  void PublishEndpointsInUse();
  std::vector<std::shared_ptr<Scheduler>> Schedulers() const;
  //! Whether new work is refused because the leader is too busy.
  bool ShouldShed();
  void Apply(Scheduler& aScheduler, const SchedulerEffects& aEffects);
  void Apply(TrackerEffects aEffects);
  void Apply(const ElectionEffects& aEffects);
  void LogDecision(std::string_view aStep,
                   std::string_view aOutcome,
                   std::string_view aDetail) const;

  const std::string name_;
  const SchedulerPolicy policy_;
  CoordinatorHooks hooks_;
  Clock clock_;
  LeaderElection election_;
  SubmissionTracker tracker_;
  std::mutex sheddingMutex_;
  LoadShedding shedding_; //!< Under sheddingMutex_, as are the next two.
  Dice dice_;
  double lastLoggedShare_ = 0; //!< The last one that was logged.
  mutable std::mutex schedulersMutex_;
  std::map<std::string, std::shared_ptr<Scheduler>>
    schedulers_;            //!< By service.
  std::uint64_t token_ = 0; //!< Under schedulersMutex_; 0: not leading.
};

}

#endif
