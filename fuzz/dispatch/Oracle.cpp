#include "fuzz/dispatch/Oracle.h"

#include <algorithm>

namespace hemlockhaven::Fuzz {

std::size_t Oracle::AddGroup(const std::shared_ptr<TaskGroup>& aGroup)
{
  GroupModel model;
  model.group = aGroup;
  model.tasks.resize(aGroup->spec.payloads.size());
  for (TaskModel& task : model.tasks) {
    task.mayRun = true;
  }
  groups_.push_back(std::move(model));
  numbers_[aGroup.get()] = groups_.size() - 1;
  return groups_.size() - 1;
}

void Oracle::Admitted(std::size_t aGroup, const Result<void>& aResult)
{
  GroupModel& model = groups_[aGroup];
  const bool isEligible = IsAnyEligible(model.group->spec) || open_.empty();
  if (!aResult.has_error()) {
    if (!isEligible) {
      Violate("admitted a group that no endpoint can run");
    }
    return;
  }
  model.refused = true;
  if (aResult.error().ran != Ran::NotRun) {
    Violate("a refusal does not say not run");
  }
  if (aResult.error().reason == Reason::NoEligibleEndpoint && isEligible) {
    Violate("refused a group that an endpoint can run");
  }
  for (const TaskModel& task : model.tasks) {
    if (task.attempts > 0 || task.ended > 0) {
      Violate("a refused group was started or ended");
    }
  }
}

void Oracle::SetEndpoints(Span<const EndpointDescription> aEndpoints)
{
  open_.clear();
  for (const EndpointDescription& endpoint : aEndpoints) {
    if (!endpoint.leaving) {
      open_[endpoint.id] = endpoint;
    }
  }
}

void Oracle::Sent(const Attempt& aAttempt, TimePoint aNow)
{
  start_ = std::min(start_, aNow);
  if (!ids_.insert(aAttempt.id).second) {
    Violate("an attempt id was used twice");
  }
  const std::size_t number = numbers_.at(aAttempt.group.get());
  GroupModel& model = groups_[number];
  TaskModel& task = model.tasks[aAttempt.index];
  const JobSpec& spec = model.group->spec;
  const auto endpoint = open_.find(aAttempt.endpoint);
  if (endpoint == open_.end()) {
    Violate("new work for a leaving or removed endpoint");
  } else {
    if (running_[aAttempt.endpoint] >= endpoint->second.slots) {
      Violate("more attempts than slots");
    }
    if (!IsEligible(spec, endpoint->second)) {
      Violate("sent to an endpoint that is not eligible");
    }
  }
  if (model.refused || task.ended > 0 || task.running || task.forwarded ||
      !task.mayRun) {
    Violate("a task was started that must not be");
  }
  if (model.stopped) {
    Violate("a task was started after its group was stopped");
  }
  if (model.group->deadline <= aNow || aAttempt.limit <= Duration{ 0 } ||
      aAttempt.limit > limits_.attemptCeiling) {
    Violate("an attempt outside its time limits");
  }
  if (task.attempts++ == 0) {
    ++firsts_[spec.caller];
  } else {
    ++sentAgain_;
  }
  if (task.ran != Ran::NotRun) {
    ++retries_[spec.caller];
    if (++task.further > limits_.furtherAttempts + limits_.placementTries) {
      Violate("too many further attempts");
    }
    CheckRetries(spec.caller, aNow);
  }
  task.running = true;
  ++running_[aAttempt.endpoint];
  underWay_.push_back({ aAttempt, number });
}

void Oracle::Finishing(std::size_t aAttempt, AttemptEnd aEnd)
{
  const AttemptModel ended = underWay_[aAttempt];
  underWay_.erase(underWay_.begin() + static_cast<std::ptrdiff_t>(aAttempt));
  finished_.push_back(ended.attempt.id);
  --running_[ended.attempt.endpoint];
  const JobSpec& spec = ended.attempt.group->spec;
  TaskModel& task = groups_[ended.group].tasks[ended.attempt.index];
  task.running = false;
  task.succeeded = aEnd == AttemptEnd::Succeeded;
  task.ran = std::max(task.ran,
                      aEnd == AttemptEnd::NotStarted ? Ran::NotRun
                      : aEnd == AttemptEnd::Unknown  ? Ran::Unknown
                                                     : Ran::Ran);
  const bool isSingle = spec.idempotent && spec.payloads.size() == 1;
  task.mayRun = aEnd == AttemptEnd::NotStarted ||
                (aEnd != AttemptEnd::Succeeded && isSingle);
}

void Oracle::Ended(std::size_t aGroup,
                   std::uint32_t aIndex,
                   const TaskOutcome& aEnd)
{
  TaskModel& task = groups_[aGroup].tasks[aIndex];
  if (++task.ended > 1) {
    Violate("a task ended twice");
  }
  if (task.running || groups_[aGroup].refused) {
    Violate("a task ended that runs or was refused");
  }
  if (aEnd.succeeded != task.succeeded) {
    Violate("an outcome that the endpoint did not report");
  }
  if (!aEnd.succeeded && aEnd.error.ran != task.ran) {
    Violate("an error is wrong about whether the task ran");
  }
}

void Oracle::Stop(std::size_t aGroup, Reason aReason)
{
  groups_[aGroup].stopped = true;
  groups_[aGroup].group->stopReason = aReason;
}

void Oracle::CheckCounts(const Dispatcher& aDispatcher)
{
  std::size_t queued = 0;
  // A task whose attempt certainly did not start goes back to the queue
  // without being refused, whatever the queue holds by then.
  std::size_t queuedAgain = 0;
  for (const GroupModel& model : groups_) {
    for (const TaskModel& task : model.tasks) {
      const bool isQueued =
        !model.refused && task.ended == 0 && !task.running && !task.forwarded;
      queued += isQueued ? 1 : 0;
      queuedAgain += isQueued && task.attempts > 0 ? 1 : 0;
    }
  }
  if (aDispatcher.QueuedCount() != queued) {
    Violate("the number of queued tasks is wrong");
  }
  if (queued >
      limits_.queuedTasks + sentAgain_ + underWay_.size() + queuedAgain) {
    Violate("the queue is over its bound: " + std::to_string(queued));
  }
  if (aDispatcher.RunningCount() != underWay_.size()) {
    Violate("the number of running attempts is wrong");
  }
}

void Oracle::CheckEligibleEnded()
{
  for (const GroupModel& model : groups_) {
    if (IsAnyEligible(model.group->spec) && !IsEnded(model)) {
      Violate("a task waits although all is quiet and capacity exists");
      return;
    }
  }
}

void Oracle::CheckAllEnded()
{
  if (!std::all_of(groups_.begin(), groups_.end(), IsEnded)) {
    Violate("a task did not end by its deadline");
  }
}

bool Oracle::IsEnded(const GroupModel& aModel)
{
  return aModel.refused ||
         std::all_of(aModel.tasks.begin(),
                     aModel.tasks.end(),
                     [](const TaskModel& aTask) { return aTask.ended == 1; });
}

bool Oracle::IsEligible(const JobSpec& aSpec,
                        const EndpointDescription& aEndpoint)
{
  return aSpec.selector.Matches(aEndpoint.labels) &&
         aSpec.needs.cores <= aEndpoint.cores && aEndpoint.slots > 0;
}

bool Oracle::IsAnyEligible(const JobSpec& aSpec)
{
  return std::any_of(open_.begin(), open_.end(), [&](const auto& aItem) {
    return IsEligible(aSpec, aItem.second);
  });
}

void Oracle::CheckRetries(const std::string& aCaller, TimePoint aNow)
{
  // Each shard allows one retry in each window of 10 s. A retry that does not
  // start is placed again, which takes no budget.
  const auto windows =
    static_cast<double>((aNow - start_) / std::chrono::seconds(10) + 2);
  const double most =
    limits_.retryShare * static_cast<double>(firsts_[aCaller]) +
    windows * static_cast<double>(limits_.shards);
  if (static_cast<double>(retries_[aCaller]) >
      most * (1 + limits_.placementTries)) {
    Violate("more retries than the budget");
  }
}

}
