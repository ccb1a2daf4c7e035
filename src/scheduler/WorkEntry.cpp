#include "scheduler/WorkEntry.h"

#include <algorithm>
#include <utility>

namespace hemlockhaven::Detail {

namespace {

//! Each scheduler that had the work numbers its runs from a multiple of this,
//! so that its numbers are higher than those of earlier schedulers.
constexpr std::uint32_t kRunNumbersPerSubmission = 64;

}

WorkEntry::WorkEntry(std::string aEntryVm, Work aWork, TimePoint aNow)
  : entryVm_(std::move(aEntryVm))
  , work_(std::move(aWork))
  , answeredKey_(work_.key)
  , arrivedAt_(aNow)
  , attemptSentAt_(aNow - work_.age)
{
  stepRacks_.resize(work_.steps.size());
  std::uint32_t step = 0;
  for (const WorkStep& spec : work_.steps) {
    remainingTasks_.push_back(spec.count);
    for (std::uint32_t index = 0; index < spec.count; ++index) {
      TaskEntry task;
      task.step = step;
      task.index = index;
      task.run = work_.submissions * kRunNumbersPerSubmission;
      tasks_.push_back(std::move(task));
    }
    ++step;
  }
}

void WorkEntry::AddSubmissions(std::uint32_t aSubmissions,
                               const EndpointsInUse& aPriorEndpoints)
{
  work_.submissions = aSubmissions;
  work_.priorEndpoints.Add(aPriorEndpoints);
  for (TaskEntry& task : tasks_) {
    if (!task.IsActive()) {
      task.run = std::max(task.run, aSubmissions * kRunNumbersPerSubmission);
    }
  }
}

std::optional<WorkEntry::Superseded> WorkEntry::Join(std::string_view aEntryVm,
                                                     const Work& aWork,
                                                     TimePoint aNow)
{
  const TimePoint sentAt = aNow - aWork.age;
  if (aEntryVm == entryVm_) {
    answeredKey_ = aWork.key;
    return std::nullopt;
  }
  if (sentAt < attemptSentAt_) {
    return Superseded{ std::string(aEntryVm), aWork.key };
  }
  attemptSentAt_ = sentAt;
  work_.callerTimeout = std::max(work_.callerTimeout,
                                 std::chrono::duration_cast<Duration>(
                                   aNow + aWork.callerTimeout - arrivedAt_));
  return Superseded{ std::exchange(entryVm_, std::string(aEntryVm)),
                     std::exchange(answeredKey_, aWork.key) };
}

std::optional<WorkEntry::Superseded>
WorkEntry::JoinAfterStop(std::string_view aEntryVm, Work aWork, TimePoint aNow)
{
  WaitingAttempt attempt{ std::string(aEntryVm), std::move(aWork), aNow };
  if (!waitingAttempt || waitingAttempt->entryVm == aEntryVm) {
    waitingAttempt = std::move(attempt);
    return std::nullopt;
  }
  if (waitingAttempt->SentAt() <= attempt.SentAt()) {
    std::swap(*waitingAttempt, attempt);
  }
  // Earlier leaders of either attempt may have started the work.
  Work& work = waitingAttempt->work;
  work.submissions = std::max(work.submissions, attempt.work.submissions);
  work.priorEndpoints.Add(attempt.work.priorEndpoints);
  return Superseded{ std::move(attempt.entryVm), attempt.work.key };
}

TaskEntry* WorkEntry::Find(std::uint32_t aStep, std::uint32_t aIndex)
{
  for (TaskEntry& task : tasks_) {
    if (task.step == aStep && task.index == aIndex) {
      return &task;
    }
  }
  return nullptr;
}

std::string_view WorkEntry::FirstPreferredRack() const
{
  for (std::uint32_t step = 0; step < work_.steps.size(); ++step) {
    const std::string_view rack = PreferredRack(step);
    if (!rack.empty()) {
      return rack;
    }
  }
  return {};
}

bool WorkEntry::IsStepReady(std::uint32_t aStep) const
{
  const auto& after = work_.steps[aStep].after;
  return std::all_of(after.begin(), after.end(), [this](std::uint32_t aBefore) {
    return aBefore < remainingTasks_.size() && remainingTasks_[aBefore] == 0;
  });
}

void WorkEntry::MarkDone(TaskEntry& aTask)
{
  if (aTask.phase == TaskPhase::Done) {
    return;
  }
  aTask.phase = TaskPhase::Done;
  --remainingTasks_[aTask.step];
  ++doneTasks_;
}

bool WorkEntry::HasActiveRuns() const
{
  return std::any_of(tasks_.begin(), tasks_.end(), [](const TaskEntry& aTask) {
    return aTask.IsActive();
  });
}

void WorkEntry::MarkStarted(TimePoint aNow)
{
  if (!started_) {
    started_ = true;
    waited_ = aNow - arrivedAt_;
  }
}

Duration WorkEntry::CriticalPath(const std::vector<Duration>& aStepTimes) const
{
  std::vector<Duration> ends(work_.steps.size(), Duration(0));
  Duration longest{ 0 };
  for (std::size_t step = 0; step < work_.steps.size(); ++step) {
    for (const std::uint32_t before : work_.steps[step].after) {
      ends[step] = std::max(ends[step], ends[before]);
    }
    ends[step] += aStepTimes[step];
    longest = std::max(longest, ends[step]);
  }
  return longest;
}

}
