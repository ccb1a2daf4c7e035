#ifndef HEMLOCKHAVEN_TESTS_SUPPORT_MANUALSCHEDULER_H
#define HEMLOCKHAVEN_TESTS_SUPPORT_MANUALSCHEDULER_H

#include "hemlockhaven/scheduler/Scheduler.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven::Testing {

//! A leading scheduler whose clock, ticks and poll replies the test controls
//! one by one. Each endpoint has room for one task; starts are accepted at
//! once. Endpoints with even numbers are in zone "a", the others in zone "b".
class ManualScheduler
{
public:
  explicit ManualScheduler(std::size_t aEndpoints);

  //! Lists the first aCount endpoints.
  void ListEndpoints(std::size_t aCount);
  void StartTerm(std::uint64_t aToken);
  //! The endpoint ends everything; its next reply names this incarnation.
  void RestartEndpoint(std::size_t aEndpoint, std::int64_t aIncarnation);
  //! Sets the incarnation that the endpoint's record names; 0: none.
  void SetListedIncarnation(std::size_t aEndpoint, std::int64_t aIncarnation);
  //! Starts to the endpoint get no answer from now on.
  void SetStartsUnanswered(std::size_t aEndpoint, bool aUnanswered);
  void SetEvacuatedZones(const std::vector<std::string>& aZones);
  void AdvanceTime(std::int64_t aMilliseconds);
  void Tick();
  //! Lets time pass with ticks, and answers all polls meanwhile.
  void Run(std::int64_t aMilliseconds);

  //! Submits work of one task of 1 s that its caller sent aAgeMs before.
  void Submit(std::string_view aEntryVm,
              std::string_view aId,
              std::int64_t aAgeMs = 0,
              std::uint32_t aSubmissions = 0);
  void Cancel(std::string_view aEntryVm, std::string_view aId);
  //! A caller cancels the job at any daemon.
  JobState CancelJob(std::string_view aId);
  void LoseEntryVm(std::string_view aEntryVm);

  //! Ends all runs at the endpoint; its next report lists them.
  void EndRuns(std::size_t aEndpoint, RunOutcome aOutcome);
  //! The endpoint runs this too; somebody else started it.
  void AddRun(std::size_t aEndpoint, const RunKey& aRun);
  //! Answers the endpoint's pending poll.
  void AnswerPoll(std::size_t aEndpoint);

  std::int64_t callerTimeoutMs = 30000; //!< Of work that is submitted next.
  //! Ids of the started work, in order, without starts that were meant for
  //! another incarnation of their endpoint.
  std::vector<std::string> starts;
  std::vector<std::string> startEndpoints; //!< Where, in the same order.
  std::vector<std::string> refused;        //!< Reasons, in order.
  std::vector<std::string> stops;
  std::vector<std::string> stopEndpoints; //!< Where, in the same order.
  //! "ENTRY-VM ID", for each answer with the outcome Cancelled.
  std::vector<std::string> cancelled;
  //! "ENTRY-VM NUMBER" of the submission that each answer names. Submissions
  //! are numbered from 1.
  std::vector<std::string> answered;
  std::vector<PollCommand> polls; //!< All that were sent.
  std::vector<Decision> decisions;

  SchedulerLoad Load() const { return scheduler_.Load(); }

private:
  void Apply(const SchedulerEffects& aEffects);
  std::int64_t ClockMs() const;
  std::int64_t IncarnationOf(const std::string& aEndpoint) const;

  TimePoint now_{ std::chrono::hours(1) };
  Scheduler scheduler_;
  std::map<std::string, PollCommand> pendingPolls_; //!< By endpoint.
  std::map<std::string, std::vector<RunKey>> running_;
  std::map<std::string, std::vector<EndedRun>> ended_;
  std::map<std::string, std::int64_t> incarnations_; //!< 1 unless set.
  std::map<std::string, std::int64_t> listedIncarnations_;
  std::set<std::string> startsUnanswered_;
  std::size_t listedCount_ = 0;
  std::uint64_t submissionCount_ = 0;
};

}

#endif
