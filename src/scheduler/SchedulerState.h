#ifndef HEMLOCKHAVEN_SRC_SCHEDULER_SCHEDULERSTATE_H
#define HEMLOCKHAVEN_SRC_SCHEDULER_SCHEDULERSTATE_H

#include "hemlockhaven/admission/RecentRefusals.h"
#include "hemlockhaven/admission/RoomShares.h"
#include "hemlockhaven/fleet/Dice.h"
#include "hemlockhaven/scheduler/AdmissionMargin.h"
#include "hemlockhaven/scheduler/CancelledWorks.h"
#include "hemlockhaven/scheduler/Forecast.h"
#include "hemlockhaven/scheduler/JobState.h"
#include "hemlockhaven/scheduler/RemoteFactor.h"
#include "hemlockhaven/scheduler/Scheduler.h"
#include "scheduler/EndpointEntry.h"
#include "scheduler/RackOccupancy.h"
#include "scheduler/UsableEndpoints.h"
#include "scheduler/WorkEntry.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace hemlockhaven::Detail {

//! State of one scheduler; guarded by the scheduler's lock.
class SchedulerState
{
public:
  SchedulerState(const SchedulerPolicy& aPolicy, Clock aClock);

  void StartTerm(std::uint64_t aFencingToken, SchedulerEffects& aEffects);
  void StepDown(std::string_view aReason, SchedulerEffects& aEffects);
  bool IsLeading() const { return token_ != 0; }
  void SetListPosition(const ListPosition& aPosition,
                       const EndpointsInUse& aListed)
  {
    listPosition_ = aPosition;
    listedBounds_ = aListed;
  }
  EndpointsInUse UsedEndpoints() const;
  void SetPart(std::string_view aPart);
  void SetEndpoints(Span<const ListedEndpoint> aEndpoints,
                    SchedulerEffects& aEffects);
  void SetEvacuatedZones(Span<const std::string> aZones,
                         SchedulerEffects& aEffects);
  void Submit(std::string_view aEntryVm,
              Work aWork,
              SchedulerEffects& aEffects);
  void Cancel(std::string_view aEntryVm,
              std::string_view aWorkId,
              std::string_view aReason,
              SchedulerEffects& aEffects);
  //! What is known of the job.
  JobState StateOf(const std::string& aWorkId) const;
  //! Stops the job, whoever submitted it, and remembers that it was cancelled.
  //! Returns what was known of it; Cancelled if this ended it.
  JobState CancelJob(std::string_view aWorkId, SchedulerEffects& aEffects);
  void OnEntryVmLost(std::string_view aEntryVm, SchedulerEffects& aEffects);
  void OnStartReply(const StartCommand& aCommand,
                    const CommandReply& aReply,
                    SchedulerEffects& aEffects);
  void OnStopReply(const StopCommand& aCommand, const CommandReply& aReply);
  void OnPollReply(const PollCommand& aCommand,
                   const PollReport& aReport,
                   SchedulerEffects& aEffects);
  void OnPollFailed(const PollCommand& aCommand,
                    CommandOutcome aOutcome,
                    SchedulerEffects& aEffects);
  void SetEntryVmContacts(Span<const EntryVmContact> aContacts);
  void Tick(SchedulerEffects& aEffects);
  SchedulerLoad Load() const;
  const UsableEndpoints& Usable() const { return usable_; }
  const UsableEndpoints::Map& Endpoints() const { return endpoints_; }

private:
  using WorkMap = std::unordered_map<std::string, std::unique_ptr<WorkEntry>>;
  //! Waiting work, ordered by latest end.
  using Queue = std::map<std::pair<TimePoint, std::string>, WorkEntry*>;

  // SchedulerAdmission.cpp
  void Admit(std::string_view aEntryVm, Work aWork, SchedulerEffects& aEffects);
  void SetObjective(WorkEntry& aEntry) const;
  //! Whether to accept work: it has to end in time without making accepted work
  //! late. Otherwise the reason and when to retry.
  struct AdmissionResult
  {
    bool accepted = false;
    std::string reason;
    Duration retryAfter{ 0 };
  };
  //! Accepted work that gives way to new work.
  using Displaced = std::vector<WorkEntry*>;
  //! Evaluates the work as if aDisplaced were not queued. If it is refused and
  //! aCandidate is set, sets it to the queued work that is to give way next.
  AdmissionResult EvaluateAdmission(const WorkEntry& aEntry,
                                    const Displaced& aDisplaced,
                                    WorkEntry** aCandidate) const;
  //! Admission of work that was not submitted before, with the shares of the
  //! groups if they are enabled.
  AdmissionResult DecideAdmission(const WorkEntry& aEntry,
                                  Displaced& aDisplaced);
  RoomClaim ClaimOf(const WorkEntry& aEntry) const;
  //! Whether queued work gives way to new work. Its refusal has to be true, so
  //! it must not have started anywhere.
  bool CanDisplace(const WorkEntry& aQueued, const WorkEntry& aNew) const;
  //! Removes accepted work that never started from its group's account.
  void WithdrawClaim(const WorkEntry& aEntry);
  //! Refuses accepted work in favour of new work.
  void Displace(WorkEntry& aEntry, SchedulerEffects& aEffects);
  //! Time that the work has to leave free for others before its latest end.
  Duration ReserveFor(const WorkEntry& aEntry) const;
  //! When a refused caller is to return, with jitter.
  Duration DrawRetryAfter(Duration aExpected);
  //! A forecast includes every n-th endpoint.
  std::size_t SampleStride() const;
  //! Includes all endpoints of this rack, unless it is empty.
  Forecast MakeForecast(std::size_t aStride, std::string_view aRack) const;
  //! Adds a usable endpoint and its active runs. aReleases is overwritten; its
  //! storage is reused from endpoint to endpoint.
  void AddToForecast(Forecast& aForecast,
                     const EndpointEntry& aEndpoint,
                     bool aIsInSample,
                     std::vector<ResourceRelease>& aReleases) const;
  //! Whether work that needed no more resources and had at least as much time
  //! was refused just before; with shares, of the same group.
  bool ResemblesLastRefusal(const WorkEntry& aEntry) const;
  RecentRefusals::Entry RefusalOf(const WorkEntry& aEntry) const;
  //! For the log.
  DecisionInputs DescribeInputs(const WorkEntry& aEntry) const;
  void RememberRefusal(const WorkEntry& aEntry);
  //! Holds work whose tasks another leader may have started since it was known
  //! here.
  void HoldWork(WorkEntry& aEntry, SchedulerEffects& aEffects);
  std::int64_t TotalCpuMillis(const WorkEntry& aEntry) const;
  //! Places every aStride-th waiting task. Returns when the last one ends;
  //! nullopt if one cannot be placed.
  std::optional<TimePoint> PlaceWaitingTasks(Forecast& aForecast,
                                             const WorkEntry& aEntry,
                                             std::size_t aStride) const;
  Duration PredictTask(const WorkEntry& aEntry, std::uint32_t aStep) const;
  bool CanEverRun(const WorkEntry& aEntry) const;
  //! Whether an endpoint that may get starts could run a task of the step.
  bool HasEndpointFor(const WorkStep& aStep) const;

  // SchedulerDispatch.cpp
  void Dispatch(SchedulerEffects& aEffects);
  //! Starts waiting tasks that can end in time, or, with aLate, those that
  //! cannot.
  void DispatchQueue(bool aLate, SchedulerEffects& aEffects);
  //! Whether the task would end late even on the fastest endpoint.
  bool IsLate(const WorkEntry& aEntry, const TaskEntry& aTask) const;
  void CollectUsableEndpoints();
  //! Marks the endpoints of racks that tasks wait for.
  void MarkWantedRacks();
  bool DispatchTask(WorkEntry& aEntry,
                    TaskEntry& aTask,
                    bool aLate,
                    SchedulerEffects& aEffects);
  struct TaskCandidates
  {
    std::vector<PlacementCandidate> list;
    std::vector<EndpointEntry*> endpoints; //!< By PlacementCandidate::id.
  };
  PlacementDemand DemandOf(const WorkEntry& aEntry,
                           const TaskEntry& aTask) const;
  //! Collects the usable endpoints that can run the task now: those of the rack
  //! and, with a slowdown, the others; all endpoints are near an empty rack.
  void CollectCandidates(const WorkEntry& aEntry,
                         const TaskEntry& aTask,
                         std::string_view aRack,
                         TaskCandidates& aNear,
                         TaskCandidates& aAway);
  //! Starts the task on the chosen candidate.
  void StartOn(WorkEntry& aEntry,
               TaskEntry& aTask,
               const PlacementDemand& aDemand,
               const TaskCandidates& aCandidates,
               std::size_t aChosen,
               SchedulerEffects& aEffects);

  // SchedulerNearWait.cpp
  //! Starts a task that prefers the rack, or lets it wait for the rack.
  bool DispatchToRack(WorkEntry& aEntry,
                      TaskEntry& aTask,
                      std::string_view aRack,
                      bool aLate,
                      SchedulerEffects& aEffects);
  //! Chooses a rack for a step whose tasks run faster in one rack, unless the
  //! step ends earlier if it is spread now.
  void ChooseStepRack(WorkEntry& aEntry, const TaskEntry& aTask);
  //! The run of the waiting tasks of a step if they all start now, anywhere.
  std::optional<ExpectedRun> SpreadRun(const WorkEntry& aEntry,
                                       const TaskEntry& aTask,
                                       const PlacementDemand& aDemand,
                                       std::size_t aCount);
  void BeginNearWait(const WorkEntry& aEntry,
                     TaskEntry& aTask,
                     const NearWaitInputs& aInputs,
                     TimePoint aUntil,
                     SchedulerEffects& aEffects) const;
  void EndNearWait(const WorkEntry& aEntry,
                   TaskEntry& aTask,
                   std::string_view aDetail,
                   SchedulerEffects& aEffects);
  //! Teaches the models of run times, speeds and the remote factor.
  void LearnRunTime(const WorkEntry& aEntry,
                    const TaskEntry& aTask,
                    EndpointEntry& aEndpoint);
  void Start(WorkEntry& aEntry,
             TaskEntry& aTask,
             EndpointEntry& aEndpoint,
             SchedulerEffects& aEffects);
  void Enqueue(WorkEntry& aEntry);
  void Dequeue(WorkEntry& aEntry);

  // SchedulerRuns.cpp
  void StopRun(WorkEntry& aEntry, TaskEntry& aTask, SchedulerEffects& aEffects);
  //! The task's run has certainly ended without success; the task is queued
  //! again.
  void OnRunEnded(WorkEntry& aEntry,
                  TaskEntry& aTask,
                  std::string_view aReason,
                  SchedulerEffects& aEffects);
  void OnRunSucceeded(WorkEntry& aEntry,
                      TaskEntry& aTask,
                      SchedulerEffects& aEffects);
  void OnRunFailed(WorkEntry& aEntry,
                   TaskEntry& aTask,
                   SchedulerEffects& aEffects);
  void ReleaseResources(WorkEntry& aEntry, TaskEntry& aTask);
  void AdoptRun(WorkEntry& aEntry,
                TaskEntry& aTask,
                EndpointEntry& aEndpoint,
                std::uint32_t aRun,
                SchedulerEffects& aEffects);
  void AdoptOrphanRuns(WorkEntry& aEntry, SchedulerEffects& aEffects);
  //! Time between polls of an endpoint without runs.
  Duration IdlePollDelay() const;
  void ApplyEndedRuns(EndpointEntry& aEndpoint,
                      const PollReport& aReport,
                      SchedulerEffects& aEffects);
  //! Logs that an endpoint runs a task that has a run of this leader elsewhere.
  void LogSecondRun(WorkEntry& aEntry,
                    const RunKey& aRun,
                    const EndpointEntry& aEndpoint,
                    SchedulerEffects& aEffects) const;
  void ApplyRunningRuns(EndpointEntry& aEndpoint,
                        const PollReport& aReport,
                        SchedulerEffects& aEffects);
  void RecordEndpointFailure(EndpointEntry& aEndpoint,
                             SchedulerEffects& aEffects);

  //! Stops starts of earlier incarnations that may still arrive.
  void StopUnansweredStarts(EndpointEntry& aEndpoint,
                            SchedulerEffects& aEffects) const;

  // SchedulerTicks.cpp
  void TickEndpoint(EndpointEntry& aEndpoint, SchedulerEffects& aEffects);
  void TickRun(WorkEntry& aEntry, TaskEntry& aTask, SchedulerEffects& aEffects);
  //! Whether the entry VM of the work has handed it to no other leader until
  //! then.
  bool IsFollowedUntil(const WorkEntry& aEntry, TimePoint aTime) const;
  //! For the log: what shows that the lease of a run has expired.
  std::string DescribeLapse(const TaskEntry& aTask,
                            const EndpointEntry* aEndpoint) const;
  void TickWork(WorkEntry& aEntry, SchedulerEffects& aEffects);
  void ForgetFinishedWork();
  //! Lets held work start.
  void ReleaseHold(WorkEntry& aEntry,
                   std::string_view aReason,
                   SchedulerEffects& aEffects);

  // SchedulerState.cpp
  void SendPoll(EndpointEntry& aEndpoint,
                Duration aWait,
                SchedulerEffects& aEffects);
  void SendAnswer(WorkEntry& aEntry,
                  WorkOutcome aOutcome,
                  std::string_view aReason,
                  Duration aRetryAfter,
                  SchedulerEffects& aEffects);
  //! Another attempt of work that waits, runs or is being stopped. Tells the
  //! entry VM that does not have the newest one, so that it does not hand the
  //! work to another leader.
  void Join(WorkEntry& aEntry,
            std::string_view aEntryVm,
            Work aWork,
            SchedulerEffects& aEffects);
  //! Answers a submission that has no state here.
  static void AnswerSubmission(std::string_view aEntryVm,
                               const std::string& aWorkId,
                               const SubmissionKey& aKey,
                               WorkOutcome aOutcome,
                               std::string_view aReason,
                               SchedulerEffects& aEffects);
  //! Answers the work and stops its active runs.
  void FinishWork(WorkEntry& aEntry,
                  WorkOutcome aOutcome,
                  std::string_view aReason,
                  Duration aRetryAfter,
                  SchedulerEffects& aEffects);
  //! Erases answered work without active runs; admits its resubmission if there
  //! is one.
  void EraseIfFinished(const std::string& aWorkId, SchedulerEffects& aEffects);
  //! The endpoint, which the caller may change.
  EndpointEntry* FindEndpoint(const std::string& aId);
  WorkEntry* FindWork(const std::string& aId);
  //! The task whose current run this is, or nullptr. Sets aEntry to the run's
  //! work, or nullptr.
  TaskEntry* FindRun(const RunKey& aRun, WorkEntry*& aEntry);
  CommandTarget TargetOf(const EndpointEntry& aEndpoint) const;
  void LogDecision(SchedulerEffects& aEffects,
                   std::string_view aStep,
                   std::string_view aWorkId,
                   const EndpointEntry* aEndpoint,
                   std::string_view aOutcome,
                   std::string_view aDetail = {}) const;
  double FleetFailureRate() const;
  //! Keeps the geometric mean of the endpoints' speeds near 1. Runs only show
  //! the quotient of run time and speed, so that both could drift together, and
  //! with them the objective, which is a multiple of the run time at speed 1.
  void NormalizeSpeeds();
  //! Whether this daemon knows all of these endpoints.
  bool KnowsEndpoints(const EndpointsInUse& aEndpoints) const;
  //! Whether an endpoint that has not replied may run tasks of the work.
  bool MayHaveUnseenRuns(const WorkEntry& aEntry) const;
  //! Whether the last tick is so long ago that members of the view may have
  //! been lost since, as in a process that was paused.
  bool IsViewOutdated() const
  {
    return now_ - lastTickAt_ > policy_.maxViewAge;
  }
  bool MayStart() const { return !IsViewOutdated() && !isResuming_; }
  //! Requests a new term if one is wanted and the current one has lasted long
  //! enough.
  void RequestNewTerm(SchedulerEffects& aEffects) const;
  //! Erases endpoints that left the list and cannot have runs any more.
  //! Erases endpoints without runs that left the list aRetention ago or
  //! earlier.
  void EraseUnlistedEndpoints(Duration aRetention);

  SchedulerPolicy policy_;
  Clock clock_;
  TimePoint now_{}; //!< Time of the current call.
  std::uint64_t token_ = 0;
  TimePoint lastTickAt_;
  //! Until the second tick after a pause: only part of the input that arrived
  //! meanwhile may have been read by the first.
  bool isResuming_ = false;
  //! By entry VM; nullopt until it was set.
  std::optional<std::unordered_map<std::string, TimePoint>> followedUntil_;
  TimePoint termStartedAt_{};
  TimePoint leadingSince_{}; //!< Terms that follow each other count as one.
  //! Work of another leader was submitted in this term.
  bool isNewTermWanted_ = false;
  ListPosition listPosition_;
  EndpointsInUse listedBounds_; //!< Bounds on the listed endpoints.
  //! Endpoints that left the list by then may have been erased.
  std::string part_;
  std::optional<TimePoint> dividedAt_; //!< Last change of part_.
  std::uint64_t erasedUpTo_ = 0;
  std::unordered_set<std::string> evacuatedZones_;
  //! Code that changes an endpoint gets it from FindEndpoint, or calls
  //! usable_.Touch or TouchAll, so that usable_ stays up to date.
  UsableEndpoints::Map endpoints_;
  UsableEndpoints usable_;
  //! False only if no endpoint has runs of unknown work, as is usual; all
  //! accepted work would look for its runs at every endpoint otherwise.
  bool mayHaveOrphans_ = false;
  WorkMap works_;
  Queue queue_;
  RunTimeModel runTimes_;
  TimePoint speedsNormalizedAt_{};
  RemoteFactor remoteFactor_;
  // Totals for metrics.
  std::uint64_t placedNear_ = 0;
  std::uint64_t placedAway_ = 0;
  std::uint64_t nearWaits_ = 0;
  Duration nearWaitTime_{ 0 };
  RecentRefusals refusals_; //!< For lack of resources.
  RoomShares shares_;
  double fastestSpeed_ = 0; //!< Among the usable endpoints, at a dispatch.
  std::optional<RackOccupancy> racks_; //!< During a dispatch.
  //! Racks that tasks waited for after the last dispatch.
  std::set<std::string, std::less<>> wantedRacks_;
  bool areRacksMarked_ = false; //!< Some endpoint is of a wanted rack.
  AdmissionMargin margin_;
  Dice dice_;

  struct FinishedWork
  {
    TimePoint at{};
    WorkOutcome outcome = WorkOutcome::Completed;
  };
  std::unordered_map<std::string, FinishedWork> finished_;
  //! In order of time, so that a tick looks at expired work only. Work that
  //! finished again later is in it twice.
  std::deque<std::pair<TimePoint, std::string>> finishedOrder_;
  std::vector<std::string> tickedWorks_; //!< Keeps its memory between ticks.
  //! Kept when this scheduler stops leading: it may lead again.
  CancelledWorks cancelled_;
  //! Tasks that completed before their work was submitted here, by work id.
  std::unordered_map<std::string, std::vector<TaskKey>> earlyCompletions_;
  TimePoint earlyCompletionsSince_{};

public:
  //! Reads the clock, once per call.
  void UpdateNow()
  {
    now_ = clock_();
    usable_.OnCallBegin();
  }
};

}

#endif
