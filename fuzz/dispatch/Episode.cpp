#include "fuzz/dispatch/Episode.h"

#include <algorithm>
#include <array>
#include <string>

namespace hemlockhaven::Fuzz {

namespace {

constexpr std::array<const char*, 5> kSelectors{ "",
                                                 "zone = a",
                                                 "zone = b",
                                                 "zone in (a, c)",
                                                 "zone = nowhere" };
constexpr std::array<const char*, 3> kZones{ "a", "b", "c" };

EndpointDescription MakeEndpoint(std::uint32_t aNumber, std::uint32_t aSlots)
{
  EndpointDescription endpoint;
  endpoint.id = "e" + std::to_string(aNumber);
  endpoint.slots = aSlots;
  endpoint.cores = 1 + aNumber % 4;
  endpoint.labels.Set("zone", kZones[aNumber % kZones.size()]);
  return endpoint;
}

}

Episode::Episode(std::uint64_t aNumber, GuardHook aGuard)
  : limits_(MakeLimits(aNumber))
  , oracle_(limits_)
  , dispatcher_(
      { [this] { return now_; },
        [this](const Attempt& aAttempt) { oracle_.Sent(aAttempt, now_); },
        &counters_,
        std::move(aGuard),
        MakePolicy(aNumber) },
      limits_)
{
}

void Episode::Apply(const Command& aCommand)
{
  const std::size_t groups = oracle_.Groups().size();
  switch (aCommand.kind) {
    case CommandKind::Admit:
      Admit(aCommand);
      break;
    case CommandKind::Finish:
      Finish(aCommand);
      break;
    case CommandKind::FinishAgain:
      if (!oracle_.Finished().empty()) {
        dispatcher_.Finish(
          oracle_.Finished()[aCommand.first % oracle_.Finished().size()],
          { AttemptEnd::Succeeded, Reason::None, "late", "" });
      }
      break;
    case CommandKind::FinishUnknownId:
      dispatcher_.Finish((std::uint64_t{ aCommand.first } << 32U) |
                           aCommand.second | 1U << 31U,
                         {});
      break;
    case CommandKind::SetEndpoints:
      SetEndpoints(aCommand);
      break;
    case CommandKind::Stop:
      if (groups > 0) {
        oracle_.Stop(groups - 1 -
                       aCommand.first % std::min<std::size_t>(groups, 20),
                     Reason::Cancelled);
      }
      break;
    case CommandKind::StopWave:
      for (std::size_t number = 0; number < groups; ++number) {
        if ((number + aCommand.first) % 3 != 0) {
          oracle_.Stop(number, Reason::JobFailed);
        }
      }
      break;
    case CommandKind::Advance:
      now_ += std::chrono::milliseconds(aCommand.first % 10 == 0
                                          ? aCommand.second % 20'000
                                          : aCommand.second % 200);
      break;
    case CommandKind::Tick:
      dispatcher_.Tick();
      break;
    case CommandKind::ChargeRemote: {
      const SlotTimeUse use{ "caller" + std::to_string(aCommand.first % 6),
                             std::chrono::milliseconds(aCommand.second %
                                                       100'000) };
      dispatcher_.ChargeRemote({ &use, 1 });
      dispatcher_.TakeSlotTimeUses();
      break;
    }
    case CommandKind::SetWeights: {
      const std::pair<std::string, double> weight{
        "caller" + std::to_string(aCommand.first % 6), aCommand.second % 10
      };
      dispatcher_.SetWeights({ &weight, 1 });
      break;
    }
    case CommandKind::Forward:
      Forward(aCommand);
      break;
  }
  oracle_.CheckCounts(dispatcher_);
}

void Episode::Quiesce()
{
  std::vector<EndpointDescription> endpoints;
  for (std::uint32_t number = 1000; number < 1024; ++number) {
    endpoints.push_back(MakeEndpoint(number, 64));
  }
  oracle_.SetEndpoints(endpoints);
  dispatcher_.SetEndpoints(endpoints);
  // A quarantined kind runs one task at a time, so the number of rounds is
  // that of the tasks. Time hardly passes, so that no deadline helps.
  for (std::size_t round = 0; round < 5'000; ++round) {
    while (!oracle_.UnderWay().empty()) {
      now_ += Duration{ 1 };
      End(0, AttemptEnd::Succeeded);
    }
    dispatcher_.Tick();
    if (oracle_.UnderWay().empty()) {
      break;
    }
  }
  oracle_.CheckCounts(dispatcher_);
  oracle_.CheckEligibleEnded();
  now_ += limits_.defaultDeadline;
  dispatcher_.Tick();
  oracle_.CheckAllEnded();
}

DispatcherLimits Episode::MakeLimits(std::uint64_t aNumber)
{
  DispatcherLimits limits;
  limits.shards = std::array<std::size_t, 4>{ 1, 2, 4, 8 }[aNumber % 4];
  limits.queuedTasks = aNumber % 3 == 0 ? 40 : 2'000;
  limits.seed = aNumber;
  return limits;
}

DispatcherPolicy Episode::MakePolicy(std::uint64_t aNumber)
{
  constexpr std::array<const char*, 4> kPlacements{
    "random", "round-robin", "least-outstanding", "speed-classes"
  };
  constexpr std::array<const char*, 3> kOrders{ "fair",
                                                "fifo",
                                                "strict-priority" };
  // Half of the episodes run the default.
  return aNumber % 2 == 0 ? DispatcherPolicy{}
                          : DispatcherPolicy::ByName(
                              kPlacements[aNumber / 2 % kPlacements.size()],
                              kOrders[aNumber / 8 % kOrders.size()])
                              .value();
}

void Episode::Admit(const Command& aCommand)
{
  auto group = std::make_shared<TaskGroup>();
  JobSpec& spec = group->spec;
  spec.caller = "caller" + std::to_string(aCommand.first % 6);
  spec.kind = "kind" + std::to_string(aCommand.first / 6 % 3);
  spec.urgency = static_cast<Urgency>(aCommand.first / 18 % 3);
  spec.idempotent = aCommand.first / 54 % 2 == 0;
  const std::uint32_t size = aCommand.second % 100;
  spec.payloads.resize(size < 70 ? 1 : size < 98 ? size - 69 : 200, "payload");
  spec.selector =
    Selector::Parse(kSelectors[aCommand.third % kSelectors.size()]).value();
  spec.needs.cores = aCommand.third / 5 % 5;
  const std::uint32_t deadline = aCommand.third / 25 % 4;
  spec.deadline = std::chrono::milliseconds(deadline == 0   ? 100
                                            : deadline == 1 ? 5'000
                                                            : 0);
  const std::size_t number = oracle_.AddGroup(group);
  group->ended = [this, number](std::uint32_t aIndex, TaskOutcome&& aOutcome) {
    oracle_.Ended(number, aIndex, aOutcome);
  };
  oracle_.Admitted(number, dispatcher_.Admit(group));
}

void Episode::Finish(const Command& aCommand)
{
  const std::size_t count = oracle_.UnderWay().size();
  if (count == 0) {
    return;
  }
  const std::uint32_t end = aCommand.second % 20;
  End(aCommand.first % count,
      end < 11   ? AttemptEnd::Succeeded
      : end < 13 ? AttemptEnd::Failed
      : end < 16 ? AttemptEnd::Unknown
                 : AttemptEnd::NotStarted);
}

void Episode::SetEndpoints(const Command& aCommand)
{
  // Numbers overlap from call to call, so endpoints leave and come back.
  std::vector<EndpointDescription> endpoints;
  const std::uint32_t count = aCommand.first % 12;
  for (std::uint32_t at = 0; at < count; ++at) {
    const std::uint32_t number = (aCommand.second + at) % 16;
    endpoints.push_back(MakeEndpoint(number, (number + aCommand.third) % 5));
    endpoints.back().leaving = (aCommand.third >> (at % 12U)) % 4 == 0;
  }
  oracle_.SetEndpoints(endpoints);
  dispatcher_.SetEndpoints(endpoints);
}

void Episode::Forward(const Command& aCommand)
{
  const std::vector<ForwardedTask> taken =
    dispatcher_.TakeQueued(aCommand.first % 10);
  std::vector<ForwardedTask> given;
  for (const ForwardedTask& task : taken) {
    auto& groups = oracle_.Groups();
    const auto model =
      std::find_if(groups.begin(), groups.end(), [&](const auto& aModel) {
        return aModel.group == task.group;
      });
    TaskModel& known = model->tasks[task.index];
    if (model->stopped || known.attempts > 0 || known.ended > 0) {
      oracle_.Violate("a task was taken for a peer that must not be");
    }
    if (aCommand.second % 2 == 0) {
      given.push_back(task);
      continue;
    }
    known.forwarded = true;
    known.succeeded = true;
    TaskOutcome outcome;
    outcome.succeeded = true;
    task.group->ended(task.index, std::move(outcome));
  }
  dispatcher_.GiveBack(given);
}

void Episode::End(std::size_t aAttempt, AttemptEnd aEnd)
{
  const AttemptId id = oracle_.UnderWay()[aAttempt].attempt.id;
  oracle_.Finishing(aAttempt, aEnd);
  const Reason reason = aEnd == AttemptEnd::Succeeded ? Reason::None
                        : aEnd == AttemptEnd::Failed  ? Reason::EndpointFailed
                        : aEnd == AttemptEnd::NotStarted
                          ? Reason::ConnectRefused
                          : Reason::ConnectionLost;
  dispatcher_.Finish(id, { aEnd, reason, "", "" });
}

}
