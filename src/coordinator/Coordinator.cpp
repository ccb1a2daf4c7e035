#include "hemlockhaven/coordinator/Coordinator.h"

#include <cmath>
#include <functional>
#include <utility>

namespace hemlockhaven {

Coordinator::Coordinator(Member aSelf,
                         const SchedulerPolicy& aPolicy,
                         const ElectionTimes& aTimes,
                         CoordinatorHooks aHooks,
                         const Clock& aClock,
                         WallClock aWallClock)
  : name_(aSelf.name)
  , policy_(aPolicy)
  , hooks_(std::move(aHooks))
  , clock_(aClock)
  , election_(std::move(aSelf), aTimes, aClock, std::move(aWallClock))
  , desk_(aClock)
  , dice_(std::hash<std::string>()(name_))
{
}

std::shared_ptr<Scheduler> Coordinator::SchedulerOf(const std::string& aService)
{
  std::shared_ptr<Scheduler> scheduler;
  std::uint64_t token = 0;
  {
    const std::lock_guard<std::mutex> lock(schedulersMutex_);
    auto& known = schedulers_[aService];
    if (known) {
      return known;
    }
    known = std::make_shared<Scheduler>(policy_, clock_);
    scheduler = known;
    token = token_;
  }
  if (token != 0) {
    Apply(*scheduler, scheduler->StartTerm(token));
  }
  return scheduler;
}

std::vector<std::shared_ptr<Scheduler>> Coordinator::Schedulers() const
{
  const std::lock_guard<std::mutex> lock(schedulersMutex_);
  std::vector<std::shared_ptr<Scheduler>> all;
  all.reserve(schedulers_.size());
  for (const auto& [service, scheduler] : schedulers_) {
    all.push_back(scheduler);
  }
  return all;
}

void Coordinator::Note(std::string_view aStep,
                       std::string_view aOutcome,
                       std::string_view aDetail) const
{
  Decision decision;
  decision.step = aStep;
  decision.outcome = aOutcome;
  decision.detail = aDetail;
  hooks_.note(decision);
}

void Coordinator::Apply(Scheduler& aScheduler, const SchedulerEffects& aEffects)
{
  for (const Decision& decision : aEffects.decisions) {
    hooks_.note(decision);
  }
  for (const StopCommand& order : aEffects.stops) {
    hooks_.stop(order, [this, &aScheduler, order](const CommandReply& aReply) {
      Apply(aScheduler, aScheduler.OnStopReply(order, aReply));
    });
  }
  for (const StartCommand& order : aEffects.starts) {
    hooks_.start(order, [this, &aScheduler, order](const CommandReply& aReply) {
      Apply(aScheduler, aScheduler.OnStartReply(order, aReply));
    });
  }
  for (const PollCommand& order : aEffects.polls) {
    hooks_.look(order, [this, &aScheduler, order](const PollResult& aResult) {
      Apply(aScheduler,
            aResult.outcome == CommandOutcome::Accepted
              ? aScheduler.OnPollReply(order, aResult.report)
              : aScheduler.OnPollFailed(order, aResult.outcome));
    });
  }
  for (const WorkAnswer& answer : aEffects.answers) {
    if (answer.entryVm == name_) {
      Apply(desk_.Answered(answer, name_));
    } else {
      hooks_.sendAnswer(answer.entryVm, answer);
    }
  }
  if (aEffects.fencedByOther) {
    Apply(election_.Fenced());
  } else if (aEffects.needsNewTerm) {
    Apply(election_.Renew());
  }
}

void Coordinator::Apply(FrontEffects aEffects)
{
  for (const Decision& decision : aEffects.decisions) {
    hooks_.note(decision);
  }
  for (const auto& [hook, answer] : aEffects.answers) {
    if (hook) {
      hook(answer);
    }
  }
  for (const auto& cancellation : aEffects.cancellations) {
    if (cancellation.leader == name_) {
      HeardCancel(name_, cancellation.workId, cancellation.reason);
    } else {
      hooks_.sendCancel(
        cancellation.leader, cancellation.workId, cancellation.reason);
    }
  }
  for (auto& submission : aEffects.submissions) {
    if (submission.leader == name_) {
      HeardWork(name_, std::move(submission.work));
    } else {
      hooks_.sendWork(submission.leader, submission.work);
    }
  }
}

void Coordinator::Apply(const ElectionEffects& aEffects)
{
  for (const std::string& name : aEffects.joined) {
    Note("member", "joined", name);
  }
  for (const std::string& name : aEffects.lost) {
    Note("member", "lost", name);
  }
  if (aEffects.yield) {
    {
      const std::lock_guard<std::mutex> lock(schedulersMutex_);
      token_ = 0;
    }
    for (const auto& scheduler : Schedulers()) {
      Apply(*scheduler, scheduler->StepDown(*aEffects.yield));
    }
  }
  if (aEffects.lead) {
    Note("term", "begun", aEffects.leadReason);
    {
      const std::lock_guard<std::mutex> lock(schedulersMutex_);
      token_ = *aEffects.lead;
    }
    for (const auto& scheduler : Schedulers()) {
      Apply(*scheduler, scheduler->StartTerm(*aEffects.lead));
    }
  }
  for (const std::string& name : aEffects.lost) {
    for (const auto& scheduler : Schedulers()) {
      Apply(*scheduler, scheduler->OnEntryVmLost(name));
    }
  }
  if (aEffects.leader) {
    Note(
      "leader", aEffects.leader->empty() ? "none" : "known", *aEffects.leader);
    Apply(desk_.LeaderChanged(*aEffects.leader));
  }
  for (const auto& [member, beat] : aEffects.beats) {
    hooks_.sendBeat(member, beat);
  }
}

std::uint64_t Coordinator::Accept(Work aWork, AnswerHook aAnswer)
{
  std::uint64_t ticket = 0;
  if (!desk_.Knows(aWork.id) && IsShed()) {
    Apply(desk_.Refuse(aWork.id, std::move(aAnswer), "the leader is too busy"));
  } else {
    Apply(desk_.Accept(std::move(aWork), std::move(aAnswer), ticket));
  }
  return ticket;
}

bool Coordinator::IsShed()
{
  const double share = election_.LeaderShedShare();
  if (share <= 0) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(sheddingMutex_);
  return dice_.NextShare() < share;
}

void Coordinator::RecordDelay(Duration aLate, Duration aInterval)
{
  double share = 0;
  bool changed = false;
  {
    const std::lock_guard<std::mutex> lock(sheddingMutex_);
    shedding_.Record(aLate, aInterval);
    // Only a leader's processor is the bottleneck of all.
    share = IsLeading() ? shedding_.Share() : 0;
    constexpr double kNotedStep = 0.1;
    changed = std::abs(share - notedShare_) >= kNotedStep ||
              (share == 0) != (notedShare_ == 0);
    if (changed) {
      notedShare_ = share;
    }
  }
  election_.SetShedShare(share);
  if (changed) {
    Decision decision;
    decision.step = "shed";
    decision.outcome = share > 0 ? "refusing a share" : "ended";
    decision.inputs = "share=" + std::to_string(share);
    hooks_.note(decision);
  }
}

void Coordinator::CallerLeft(std::string_view aWorkId, std::uint64_t aTicket)
{
  Apply(desk_.CallerLeft(aWorkId, aTicket));
}

bool Coordinator::Cancel(std::string_view aWorkId)
{
  FrontEffects effects;
  const bool known = desk_.Cancel(aWorkId, effects);
  Apply(std::move(effects));
  return known;
}

void Coordinator::HeardBeat(const Beat& aBeat)
{
  if (aBeat.leaderToken != 0) {
    desk_.SetInUse(aBeat.from.name, aBeat.inUse);
  }
  Apply(election_.Heard(aBeat));
}

void Coordinator::LinkLost(std::string_view aMember)
{
  Apply(election_.LinkLost(aMember));
}

void Coordinator::HeardWork(std::string_view aFront, Work aWork)
{
  // The work of a front is given up when the front is lost. What a lost front
  // sends would not be, while the front may hand it to another leader.
  if (aFront != name_ && election_.IsLost(aFront)) {
    Decision decision;
    decision.step = "submit";
    decision.workId = aWork.id;
    decision.outcome = "given back";
    decision.detail = "its front is lost";
    hooks_.note(decision);
    WorkAnswer answer;
    answer.entryVm = aFront;
    answer.workId = std::move(aWork.id);
    answer.outcome = WorkOutcome::Moved;
    answer.reason = decision.detail;
    hooks_.sendAnswer(aFront, answer);
    return;
  }
  const auto scheduler = SchedulerOf(aWork.service);
  Apply(*scheduler, scheduler->Submit(aFront, std::move(aWork)));
}

void Coordinator::HeardAnswer(std::string_view aLeader,
                              const WorkAnswer& aAnswer)
{
  Apply(desk_.Answered(aAnswer, aLeader));
}

void Coordinator::HeardCancel(std::string_view aFront,
                              std::string_view aWorkId,
                              std::string_view aReason)
{
  for (const auto& scheduler : Schedulers()) {
    Apply(*scheduler, scheduler->Cancel(aFront, aWorkId, aReason));
  }
}

void Coordinator::SetEndpoints(Span<const ListedEndpoint> aEndpoints)
{
  std::map<std::string, std::vector<ListedEndpoint>> byService;
  {
    const std::lock_guard<std::mutex> lock(schedulersMutex_);
    for (const auto& [service, scheduler] : schedulers_) {
      byService[service]; // Its endpoints may all be gone.
    }
  }
  for (const ListedEndpoint& endpoint : aEndpoints) {
    byService[endpoint.service].push_back(endpoint);
  }
  for (const auto& [service, endpoints] : byService) {
    const auto scheduler = SchedulerOf(service);
    Apply(*scheduler, scheduler->SetEndpoints(endpoints));
  }
}

void Coordinator::SetListPosition(const ListPosition& aPosition,
                                  const EndpointsInUse& aListed)
{
  for (const auto& scheduler : Schedulers()) {
    scheduler->SetListPosition(aPosition, aListed);
  }
}

void Coordinator::TellInUse()
{
  EndpointsInUse inUse;
  for (const auto& scheduler : Schedulers()) {
    inUse.Add(scheduler->UsedEndpoints());
  }
  election_.SetInUse(inUse);
  desk_.SetInUse(name_, inUse);
}

void Coordinator::SetCanLead(bool aCanLead, std::string_view aReason)
{
  Apply(election_.SetCanLead(aCanLead, aReason));
}

void Coordinator::EndAll(std::string_view aReason)
{
  Apply(desk_.EndAll(aReason));
}

void Coordinator::Leave()
{
  Apply(election_.Leave());
}

void Coordinator::Tick()
{
  Apply(election_.Tick());
  for (const auto& scheduler : Schedulers()) {
    Apply(*scheduler, scheduler->Tick());
  }
  TellInUse();
  Apply(desk_.Tick());
}

SchedulerLoad Coordinator::Load() const
{
  SchedulerLoad sum;
  for (const auto& scheduler : Schedulers()) {
    const SchedulerLoad load = scheduler->Load();
    sum.works += load.works;
    sum.waitingWorks += load.waitingWorks;
    sum.waitingTasks += load.waitingTasks;
    sum.activeRuns += load.activeRuns;
    sum.endpoints += load.endpoints;
    sum.usableEndpoints += load.usableEndpoints;
    sum.freeCpuMillis += load.freeCpuMillis;
  }
  return sum;
}

}
