#ifndef HEMLOCKHAVEN_SRC_SCHEDULER_WORKENTRY_H
#define HEMLOCKHAVEN_SRC_SCHEDULER_WORKENTRY_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/Work.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockhaven::Detail {

enum class TaskPhase : std::uint8_t
{
  Waiting,
  Starting, //!< A start was sent; no reply yet.
  Running,
  Stopping, //!< A stop was sent; the run's end is not known yet.
  Done,
};

//! Where a task runs relative to the rack that it prefers.
enum class TaskLocality : std::uint8_t
{
  NoPreference,
  Near,
  Away,
};

//! The wait of one task for an endpoint of the rack that it prefers.
struct NearWaitState
{
  std::optional<TimePoint> since; //!< Set while it waits.
  TimePoint until{};
  TimePoint checkAt{};     //!< Decided anew from then on.
  bool isTimeOver = false; //!< It does not wait again before its next run.
};

//! The rack of a step whose tasks run faster in one rack.
struct StepRack
{
  std::string rack;      //!< Empty: not chosen.
  bool isSpread = false; //!< Its tasks run in several racks.
};

//! One task and its current run.
struct TaskEntry
{
  std::uint32_t step = 0;
  std::uint32_t index = 0; //!< Within the step.
  TaskPhase phase = TaskPhase::Waiting;
  std::uint32_t run = 0; //!< Number of the current or last run.
  std::uint32_t failures = 0;
  std::string endpoint; //!< Of the current run.
  //! Endpoint of the last run that failed or hung.
  std::string avoidedEndpoint;
  TimePoint startSentAt{}; //!< When the start was sent.
  TimePoint confirmedAt{}; //!< When the endpoint confirmed the run.
  TimePoint expectedEnd{};
  TimePoint stopSentAt{};
  std::optional<TimePoint> stopConfirmedAt; //!< Cannot start any more.
  //! When the lease of the run was found to have expired unseen.
  std::optional<TimePoint> lapsedAt;
  std::int64_t deadlineClockMs = 0; //!< The start is rejected after this.
  Duration predicted{ 0 };          //!< Run time at speed 1, with slowdown.
  double slowdown = 1;              //!< Run time factor for running away.
  TaskLocality locality = TaskLocality::NoPreference;
  NearWaitState nearWait;
  //! At the last dispatch it could end in time neither near nor away.
  bool isLateNearAndAway = false;

  bool IsActive() const
  {
    return phase != TaskPhase::Waiting && phase != TaskPhase::Done;
  }
};

//! Work that this scheduler accepted, with the state of its tasks. Invariants:
//! a step starts after the steps it depends on; the work is answered once; no
//! task starts after the answer.
class WorkEntry
{
public:
  WorkEntry(std::string aEntryVm, Work aWork, TimePoint aNow);

  const Work& Spec() const { return work_; }
  const std::string& EntryVm() const { return entryVm_; }
  //! The submission that the answer is for.
  const SubmissionKey& AnsweredKey() const { return answeredKey_; }
  //! A submission that does not get the answer.
  struct Superseded
  {
    std::string entryVm;
    SubmissionKey key;
  };
  //! Another attempt to submit the same work. The newest one has the waiting
  //! caller, so its entry VM gets the answer. Returns the submission that does
  //! not, or nullopt if both have the same entry VM.
  std::optional<Superseded> Join(std::string_view aEntryVm,
                                 const Work& aWork,
                                 TimePoint aNow);
  //! The same while the runs of this one are being stopped: the newest attempt
  //! waits for their end.
  std::optional<Superseded> JoinAfterStop(std::string_view aEntryVm,
                                          Work aWork,
                                          TimePoint aNow);
  //! Other schedulers had the work as well; aSubmissions counts them all.
  void AddSubmissions(std::uint32_t aSubmissions,
                      const EndpointsInUse& aPriorEndpoints);

  std::vector<TaskEntry>& Tasks() { return tasks_; }
  const std::vector<TaskEntry>& Tasks() const { return tasks_; }
  TaskEntry* Find(std::uint32_t aStep, std::uint32_t aIndex);

  const WorkStep& StepOf(const TaskEntry& aTask) const
  {
    return work_.steps[aTask.step];
  }

  //! The rack that tasks of the step prefer; empty: any.
  std::string_view PreferredRack(std::uint32_t aStep) const
  {
    const WorkStep& step = work_.steps[aStep];
    return step.preferredRack.empty() ? stepRacks_[aStep].rack
                                      : step.preferredRack;
  }
  //! The rack that the first step with a preference prefers; empty: any.
  std::string_view FirstPreferredRack() const;
  StepRack& StepRackOf(std::uint32_t aStep) { return stepRacks_[aStep]; }
  bool IsSpread(std::uint32_t aStep) const
  {
    return stepRacks_[aStep].isSpread;
  }

  //! Whether all steps before this one are done.
  bool IsStepReady(std::uint32_t aStep) const;
  bool IsDone() const { return doneTasks_ == tasks_.size(); }
  void MarkDone(TaskEntry& aTask);

  bool HasActiveRuns() const;
  bool HasStarted() const { return started_; }
  void MarkStarted(TimePoint aNow);
  Duration Waited() const { return waited_; }

  //! Whether it was answered; remaining runs are being stopped.
  bool IsAnswered() const { return answered_; }
  void MarkAnswered() { answered_ = true; }

  TimePoint ArrivedAt() const { return arrivedAt_; }
  TimePoint SentAt() const { return arrivedAt_ - work_.age; }
  TimePoint CallerDeadline() const { return arrivedAt_ + work_.callerTimeout; }

  TimePoint LatestEnd() const { return latestEnd_; }
  void SetObjective(Duration aObjective)
  {
    objective_ = aObjective;
    latestEnd_ = SentAt() + aObjective;
  }
  Duration Objective() const { return objective_; }

  //! Run time of the longest chain of dependent steps; aStepTimes holds the
  //! predicted task time of each step.
  Duration CriticalPath(const std::vector<Duration>& aStepTimes) const;

  //! An attempt that came while the runs were being stopped.
  struct WaitingAttempt
  {
    std::string entryVm;
    Work work;
    TimePoint arrivedAt{};

    TimePoint SentAt() const { return arrivedAt - work.age; }
  };
  //! Admitted when the runs have ended.
  std::optional<WaitingAttempt> waitingAttempt;
  //! Runs of an earlier scheduler may exist until then; no task starts before.
  std::optional<TimePoint> heldUntil;

private:
  std::string entryVm_;
  Work work_;
  SubmissionKey answeredKey_; //!< Of the newest attempt.
  TimePoint arrivedAt_;
  TimePoint attemptSentAt_; //!< When the caller sent the newest attempt.
  std::vector<TaskEntry> tasks_;
  std::vector<StepRack> stepRacks_;
  std::vector<std::uint32_t> remainingTasks_; //!< Tasks not done, by step.
  std::size_t doneTasks_ = 0;
  bool started_ = false;
  bool answered_ = false;
  Duration waited_{ 0 };
  Duration objective_{ 0 };
  TimePoint latestEnd_{};
};

}

#endif
