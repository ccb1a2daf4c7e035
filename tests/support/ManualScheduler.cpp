#include "support/ManualScheduler.h"

#include <utility>

namespace hemlockhaven::Testing {

namespace {

constexpr std::int64_t kTickMs = 25;

std::string EndpointName(std::size_t aEndpoint)
{
  return "e" + std::to_string(aEndpoint);
}

Duration Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

}

ManualScheduler::ManualScheduler(std::size_t aEndpoints)
  : scheduler_(SchedulerPolicy(), [this] { return now_; })
{
  ListEndpoints(aEndpoints);
  StartTerm(1);
  Run(1000);
}

void ManualScheduler::ListEndpoints(std::size_t aCount)
{
  listedCount_ = aCount;
  std::vector<ListedEndpoint> listed(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    listed[i].id = listed[i].address = EndpointName(i);
    listed[i].zone = i % 2 == 0 ? "a" : "b";
    listed[i].capacity = { 1000, 1000, 0 };
    listed[i].incarnationStartMs = listedIncarnations_[listed[i].id];
  }
  Apply(scheduler_.SetEndpoints(listed));
}

void ManualScheduler::StartTerm(std::uint64_t aToken)
{
  Apply(scheduler_.StartTerm(aToken));
}

void ManualScheduler::RestartEndpoint(std::size_t aEndpoint,
                                      std::int64_t aIncarnation)
{
  const std::string name = EndpointName(aEndpoint);
  running_[name].clear();
  ended_[name].clear();
  incarnations_[name] = aIncarnation;
}

void ManualScheduler::SetListedIncarnation(std::size_t aEndpoint,
                                           std::int64_t aIncarnation)
{
  listedIncarnations_[EndpointName(aEndpoint)] = aIncarnation;
  ListEndpoints(listedCount_);
}

void ManualScheduler::SetStartsUnanswered(std::size_t aEndpoint,
                                          bool aUnanswered)
{
  if (aUnanswered) {
    startsUnanswered_.insert(EndpointName(aEndpoint));
  } else {
    startsUnanswered_.erase(EndpointName(aEndpoint));
  }
}

void ManualScheduler::SetEvacuatedZones(const std::vector<std::string>& aZones)
{
  Apply(scheduler_.SetEvacuatedZones(aZones));
}

void ManualScheduler::AdvanceTime(std::int64_t aMilliseconds)
{
  now_ += Ms(aMilliseconds);
}

void ManualScheduler::Tick()
{
  Apply(scheduler_.Tick());
}

void ManualScheduler::Run(std::int64_t aMilliseconds)
{
  for (std::int64_t elapsed = 0; elapsed < aMilliseconds; elapsed += kTickMs) {
    AdvanceTime(kTickMs);
    for (std::size_t i = 0; i < running_.size() + pendingPolls_.size(); ++i) {
      AnswerPoll(i);
    }
    Tick();
  }
}

void ManualScheduler::Submit(std::string_view aEntryVm,
                             std::string_view aId,
                             std::int64_t aAgeMs,
                             std::uint32_t aSubmissions)
{
  Work work;
  work.id = aId;
  work.kind = "k";
  work.submissions = aSubmissions;
  work.key = { ++submissionCount_, aSubmissions };
  work.age = Ms(aAgeMs);
  work.attempts = 3;
  work.stretch = 9;
  work.targetLatency = Ms(100);
  work.callerTimeout = Ms(callerTimeoutMs);
  WorkStep step;
  step.count = 1;
  step.taskResources = { 1000, 64, 0 };
  step.estimate = Ms(1000);
  work.steps.push_back(step);
  Apply(scheduler_.Submit(aEntryVm, std::move(work)));
}

void ManualScheduler::Cancel(std::string_view aEntryVm, std::string_view aId)
{
  Apply(scheduler_.Cancel(aEntryVm, aId, "caller left"));
}

JobState ManualScheduler::CancelJob(std::string_view aId)
{
  JobState state = JobState::Unknown;
  Apply(scheduler_.CancelJob(aId, state));
  return state;
}

void ManualScheduler::LoseEntryVm(std::string_view aEntryVm)
{
  Apply(scheduler_.OnEntryVmLost(aEntryVm));
}

void ManualScheduler::EndRuns(std::size_t aEndpoint, RunOutcome aOutcome)
{
  const std::string name = EndpointName(aEndpoint);
  auto& ended = ended_[name];
  for (const RunKey& run : running_[name]) {
    ended.push_back({ ended.size() + 1, run, aOutcome });
  }
  running_[name].clear();
}

void ManualScheduler::AddRun(std::size_t aEndpoint, const RunKey& aRun)
{
  running_[EndpointName(aEndpoint)].push_back(aRun);
}

void ManualScheduler::AnswerPoll(std::size_t aEndpoint)
{
  const std::string name = EndpointName(aEndpoint);
  const auto pending = pendingPolls_.extract(name);
  if (pending.empty()) {
    return;
  }
  PollReport report;
  report.incarnationStartMs = IncarnationOf(name);
  report.clockMs = ClockMs();
  report.running = running_[name];
  report.ended = ended_[name];
  Apply(scheduler_.OnPollReply(pending.mapped(), report));
}

void ManualScheduler::Apply(const SchedulerEffects& aEffects)
{
  for (const StopCommand& stop : aEffects.stops) {
    stops.push_back(stop.run.task.workId);
    stopEndpoints.push_back(stop.target.endpoint);
  }
  for (const StartCommand& start : aEffects.starts) {
    if (start.incarnationStartMs != 0 &&
        start.incarnationStartMs != IncarnationOf(start.target.endpoint)) {
      Apply(scheduler_.OnStartReply(start,
                                    { CommandOutcome::WrongIncarnation, 0 }));
      continue;
    }
    starts.push_back(start.run.task.workId);
    startEndpoints.push_back(start.target.endpoint);
    if (startsUnanswered_.count(start.target.endpoint) > 0) {
      Apply(scheduler_.OnStartReply(start, CommandReply()));
      continue;
    }
    running_[start.target.endpoint].push_back(start.run);
    Apply(
      scheduler_.OnStartReply(start, { CommandOutcome::Accepted, ClockMs() }));
  }
  for (const PollCommand& poll : aEffects.polls) {
    polls.push_back(poll);
    pendingPolls_[poll.target.endpoint] = poll;
  }
  decisions.insert(
    decisions.end(), aEffects.decisions.begin(), aEffects.decisions.end());
  for (const WorkAnswer& answer : aEffects.answers) {
    answered.push_back(answer.entryVm + " " +
                       std::to_string(answer.key.acceptance));
    if (answer.outcome == WorkOutcome::Refused) {
      refused.push_back(answer.reason);
    }
    if (answer.outcome == WorkOutcome::Cancelled) {
      cancelled.push_back(answer.entryVm + " " + answer.workId);
    }
  }
}

std::int64_t ManualScheduler::IncarnationOf(const std::string& aEndpoint) const
{
  const auto incarnation = incarnations_.find(aEndpoint);
  return incarnation == incarnations_.end() ? 1 : incarnation->second;
}

std::int64_t ManualScheduler::ClockMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           now_.time_since_epoch())
    .count();
}

}
