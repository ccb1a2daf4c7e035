#include "hemlockhaven/coordinator/Coordinator.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace hemlockhaven {

namespace {

//! First number of work that a process accepts. Incarnations are start times in
//! ms, in which a process accepts far fewer than 2^20 works on average.
std::uint64_t FirstAcceptance(std::uint64_t aIncarnation)
{
  constexpr unsigned kNumberBits = 20;
  return aIncarnation << kNumberBits;
}

//! How much the schedulers of several services know: what one knows of a job
//! goes before another's not knowing it.
bool TellsMore(JobState aState, JobState aThan)
{
  const auto rank = [](JobState aOf) {
    switch (aOf) {
      case JobState::NotLeading:
        return 0;
      case JobState::Unknown:
        return 1;
      case JobState::Undecided:
        return 2;
      default:
        return 3;
    }
  };
  return rank(aState) > rank(aThan);
}

}

Coordinator::Coordinator(Member aSelf,
                         const SchedulerPolicy& aPolicy,
                         const ElectionParameters& aTimes,
                         CoordinatorHooks aHooks,
                         const Clock& aClock,
                         WallClock aWallClock)
  : name_(aSelf.name)
  , incarnation_(aSelf.incarnation)
  , policy_(aPolicy)
  , hooks_(std::move(aHooks))
  , clock_(aClock)
  , ownEndpointLimit_(PartDivision::EndpointsPerLeader(aSelf))
  , division_(aSelf.zone)
  , election_(std::move(aSelf), aTimes, aClock, std::move(aWallClock))
  , tracker_(aClock, FirstAcceptance(incarnation_))
  , queries_(aClock)
  , dice_(std::hash<std::string>()(name_))
{
}

std::shared_ptr<Scheduler> Coordinator::SchedulerFor(
  const std::string& aService)
{
  std::shared_ptr<Scheduler> scheduler;
  std::uint64_t token = 0;
  std::vector<std::string> evacuatedZones;
  {
    const std::lock_guard<std::mutex> lock(schedulersMutex_);
    auto& entry = schedulers_[aService];
    if (entry) {
      return entry;
    }
    entry = std::make_shared<Scheduler>(policy_, clock_);
    scheduler = entry;
    token = token_;
    evacuatedZones = evacuatedZones_;
  }
  Apply(*scheduler, scheduler->SetEvacuatedZones(evacuatedZones));
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

void Coordinator::LogDecision(std::string_view aStep,
                              std::string_view aOutcome,
                              std::string_view aDetail) const
{
  Decision decision;
  decision.step = aStep;
  decision.outcome = aOutcome;
  decision.detail = aDetail;
  hooks_.logDecision(decision);
}

void Coordinator::Apply(Scheduler& aScheduler, const SchedulerEffects& aEffects)
{
  for (const Decision& decision : aEffects.decisions) {
    hooks_.logDecision(decision);
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
    hooks_.poll(order, [this, &aScheduler, order](const PollResult& aResult) {
      Apply(aScheduler,
            aResult.outcome == CommandOutcome::Accepted
              ? aScheduler.OnPollReply(order, aResult.report)
              : aScheduler.OnPollFailed(order, aResult.outcome));
    });
  }
  for (const WorkAnswer& answer : aEffects.answers) {
    if (answer.entryVm == name_) {
      Apply(tracker_.OnAnswer(answer, name_));
    } else {
      hooks_.sendAnswer(answer.entryVm, answer);
    }
  }
  if (aEffects.fencedByOther) {
    Apply(election_.OnFenced());
  } else if (aEffects.needsNewTerm) {
    Apply(election_.RenewTerm());
  }
}

void Coordinator::Apply(TrackerEffects aEffects)
{
  for (const Decision& decision : aEffects.decisions) {
    hooks_.logDecision(decision);
  }
  for (const auto& [hook, answer] : aEffects.answers) {
    if (hook) {
      hook(answer);
    }
  }
  for (const auto& cancellation : aEffects.cancellations) {
    if (cancellation.leader == name_) {
      OnCancel(name_, cancellation.workId, cancellation.reason);
    } else {
      hooks_.sendCancel(
        cancellation.leader, cancellation.workId, cancellation.reason);
    }
  }
  for (auto& submission : aEffects.submissions) {
    if (submission.leader == name_) {
      OnWork(name_, std::move(submission.work));
    } else {
      hooks_.sendWork(submission.leader, submission.work);
    }
  }
}

void Coordinator::Apply(const ElectionEffects& aEffects)
{
  for (const std::string& name : aEffects.joinedMembers) {
    LogDecision("member", "joined", name);
  }
  for (const std::string& name : aEffects.lostMembers) {
    LogDecision("member", "lost", name);
  }
  if (aEffects.stepDownReason) {
    {
      const std::lock_guard<std::mutex> lock(schedulersMutex_);
      token_ = 0;
    }
    for (const auto& scheduler : Schedulers()) {
      Apply(*scheduler, scheduler->StepDown(*aEffects.stepDownReason));
    }
  }
  if (aEffects.termToken) {
    LogDecision("term", "begun", aEffects.termReason);
    {
      const std::lock_guard<std::mutex> lock(schedulersMutex_);
      token_ = *aEffects.termToken;
    }
    for (const auto& scheduler : Schedulers()) {
      Apply(*scheduler, scheduler->StartTerm(*aEffects.termToken));
    }
  }
  for (const std::string& name : aEffects.lostMembers) {
    for (const auto& scheduler : Schedulers()) {
      Apply(*scheduler, scheduler->OnEntryVmLost(name));
    }
  }
  if (aEffects.newLeader || !aEffects.lostMembers.empty()) {
    UpdateLeaders(); // Cancels go before the work that is resubmitted below.
  }
  if (aEffects.newLeader) {
    LogDecision("leader",
                aEffects.newLeader->empty() ? "none" : "known",
                *aEffects.newLeader);
    Apply(tracker_.OnLeaderChange(*aEffects.newLeader));
  }
  for (const Member& member : aEffects.silentLinks) {
    LogDecision("link",
                "closed as silent",
                member.name.empty() ? std::string_view("a seed") : member.name);
    hooks_.closeLink(member);
  }
  for (const auto& [member, heartbeat] : aEffects.heartbeats) {
    hooks_.sendHeartbeat(member, heartbeat);
  }
}

std::uint64_t Coordinator::Accept(Work aWork, AnswerHook aAnswer)
{
  std::uint64_t waiterId = 0;
  if (!tracker_.HasWaitingCaller(aWork.id) && ShouldShed(aWork)) {
    Apply(
      tracker_.Refuse(aWork.id, std::move(aAnswer), "the leader is too busy"));
  } else {
    Apply(tracker_.Accept(std::move(aWork), std::move(aAnswer), waiterId));
  }
  return waiterId;
}

bool Coordinator::ShouldShed(const Work& aWork)
{
  const double share = election_.LeaderShedShare();
  if (share <= 0 && !policy_.sharesRoom) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(sheddingMutex_);
  if (!policy_.sharesRoom) {
    return dice_.NextShare() < share;
  }
  // A leader spends about as much on the job itself as on one task.
  RoomClaim claim{ aWork.kind, aWork.priority, 1 };
  for (const WorkStep& step : aWork.steps) {
    claim.amount += step.count;
  }
  const TimePoint now = clock_();
  arrivals_.RecordAsked(claim, now);
  return share > 0 &&
         dice_.NextShare() < arrivals_.ExcessOf(claim.group, share, now);
}

void Coordinator::RecordTimerDelay(Duration aDelay, Duration aInterval)
{
  double share = 0;
  bool changed = false;
  {
    const std::lock_guard<std::mutex> lock(sheddingMutex_);
    shedding_.Record(aDelay, aInterval);
    // Only the leader's processor limits the whole cluster.
    share = IsLeading() ? shedding_.Share() : 0;
    constexpr double kLoggedShareStep = 0.1;
    changed = std::abs(share - lastLoggedShare_) >= kLoggedShareStep ||
              (share == 0) != (lastLoggedShare_ == 0);
    if (changed) {
      lastLoggedShare_ = share;
    }
  }
  election_.SetShedShare(share);
  if (changed) {
    Decision decision;
    decision.step = "shed";
    decision.outcome = share > 0 ? "refusing a share" : "ended";
    decision.inputs = "share=" + std::to_string(share);
    hooks_.logDecision(decision);
  }
}

void Coordinator::OnCallerDisconnect(std::string_view aWorkId,
                                     std::uint64_t aWaiterId)
{
  Apply(tracker_.OnCallerDisconnect(aWorkId, aWaiterId));
}

void Coordinator::Apply(const JobQueryEffects& aEffects)
{
  for (const Decision& decision : aEffects.decisions) {
    hooks_.logDecision(decision);
  }
  for (const auto& cancel : aEffects.confirmedCancels) {
    Apply(tracker_.RememberCancel(cancel.workId));
    // A leader that became known since the query was opened was not asked.
    for (const KnownLeader& leader : election_.KnownLeaders()) {
      if (cancel.askedLeaders.count(leader.name) == 0) {
        SendCancelledJob(leader.name, cancel.workId);
      }
    }
  }
  for (const auto& [hook, answer] : aEffects.answers) {
    if (hook) {
      hook(answer);
    }
  }
  for (const auto& message : aEffects.messages) {
    SendJobQuery(message.leader, message.query);
  }
}

std::uint64_t Coordinator::Term() const
{
  const std::lock_guard<std::mutex> lock(schedulersMutex_);
  return token_;
}

void Coordinator::SendJobQuery(std::string_view aLeader, JobQuery aQuery)
{
  aQuery.term = Term();
  if (aLeader == name_) {
    OnJobQuery(name_, aQuery);
  } else {
    hooks_.sendJobQuery(aLeader, aQuery);
  }
}

void Coordinator::SendCancelledJob(std::string_view aLeader,
                                   std::string_view aWorkId)
{
  JobQuery query;
  query.kind = JobQueryKind::Cancel;
  query.workId = aWorkId;
  SendJobQuery(aLeader, std::move(query));
}

void Coordinator::UpdateLeaders()
{
  const std::vector<KnownLeader> leaders = election_.KnownLeaders();
  std::map<std::string, std::uint64_t> current;
  std::vector<std::string> uninformed;
  for (const KnownLeader& leader : leaders) {
    current[leader.name] = leader.incarnation;
  }
  {
    const std::lock_guard<std::mutex> lock(informedLeadersMutex_);
    for (const auto& [name, incarnation] : current) {
      const auto found = informedLeaders_.find(name);
      if (found == informedLeaders_.end() || found->second != incarnation) {
        uninformed.push_back(name);
      }
    }
    informedLeaders_ = std::move(current);
  }
  if (!uninformed.empty()) {
    const std::vector<std::string> ids = tracker_.CancelledJobs();
    for (const std::string& name : uninformed) {
      for (const std::string& id : ids) {
        SendCancelledJob(name, id);
      }
    }
  }
  Apply(queries_.Update(leaders));
}

void Coordinator::Cancel(std::string_view aWorkId,
                         Duration aTimeout,
                         JobAnswerHook aAnswer)
{
  TrackerEffects effects;
  const bool isCancelled = tracker_.Cancel(aWorkId, effects);
  Apply(std::move(effects));
  if (!isCancelled) {
    Apply(queries_.Open(JobQueryKind::Cancel,
                        aWorkId,
                        election_.KnownLeaders(),
                        aTimeout,
                        std::move(aAnswer)));
    return;
  }
  Decision decision;
  decision.step = "cancel";
  decision.workId = aWorkId;
  decision.outcome = "acknowledged";
  decision.detail = "known here";
  hooks_.logDecision(decision);
  // So that leaders start no copy of it that another daemon submits.
  for (const KnownLeader& leader : election_.KnownLeaders()) {
    SendCancelledJob(leader.name, aWorkId);
  }
  aAnswer({ JobState::Cancelled, {} });
}

void Coordinator::QueryState(std::string_view aWorkId,
                             Duration aTimeout,
                             JobAnswerHook aAnswer)
{
  if (tracker_.HasWaitingCaller(aWorkId)) {
    aAnswer({ JobState::Running, {} });
  } else if (tracker_.IsCancelled(aWorkId)) {
    aAnswer({ JobState::Cancelled, {} });
  } else {
    Apply(queries_.Open(JobQueryKind::State,
                        aWorkId,
                        election_.KnownLeaders(),
                        aTimeout,
                        std::move(aAnswer)));
  }
}

JobState Coordinator::AnswerJobQuery(const JobQuery& aQuery)
{
  JobState known = IsLeading() ? JobState::Unknown : JobState::NotLeading;
  for (const auto& scheduler : Schedulers()) {
    JobState state = JobState::Unknown;
    if (aQuery.kind == JobQueryKind::Cancel) {
      Apply(*scheduler, scheduler->CancelJob(aQuery.workId, state));
    } else {
      state = scheduler->StateOf(aQuery.workId);
    }
    if (TellsMore(state, known)) {
      known = state;
    }
  }
  if (known == JobState::Unknown && !election_.KnowsAllLeaders()) {
    return JobState::Undecided; // A leader out of reach may know the job.
  }
  return known;
}

void Coordinator::OnJobQuery(std::string_view aMember, const JobQuery& aQuery)
{
  const bool isFromSelf = aMember == name_;
  std::string_view fault;
  if (!IsWellFormed(aQuery)) {
    fault = "malformed";
  } else if (!isFromSelf && !election_.HasHeard(aMember)) {
    fault = "unknown sender";
  }
  if (!fault.empty()) {
    Decision decision;
    decision.step = "job-query";
    decision.outcome = "left out";
    decision.detail = fault;
    decision.inputs = "from=" + std::string(aMember);
    hooks_.logDecision(decision);
    return;
  }
  JobQueryReply reply;
  reply.queryId = aQuery.id;
  reply.state = AnswerJobQuery(aQuery);
  if (aQuery.id == 0) {
    return;
  }
  reply.term = Term();
  if (reply.term == 0) {
    reply.state = JobState::NotLeading; // It stepped down meanwhile.
  }
  if (reply.state == JobState::NotLeading) {
    reply.term = 0;
  }
  if (isFromSelf) {
    OnJobQueryReply(name_, reply);
  } else {
    hooks_.sendJobQueryReply(aMember, reply);
  }
}

void Coordinator::OnJobQueryReply(std::string_view aMember,
                                  const JobQueryReply& aReply)
{
  Apply(queries_.OnReply(aMember, aReply));
}

void Coordinator::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  if (aHeartbeat.leaderToken != 0) {
    tracker_.SetEndpointsInUse(aHeartbeat.from.name, aHeartbeat.endpointsInUse);
  }
  Apply(election_.OnHeartbeat(aHeartbeat));
}

void Coordinator::OnLinkLost(std::string_view aMember)
{
  Apply(election_.OnLinkLost(aMember));
}

void Coordinator::OnWork(std::string_view aEntryVm, Work aWork)
{
  // Work is dropped when its entry VM is lost. Work that arrives after the loss
  // would never be dropped, while the entry VM may submit it to another leader.
  if (aEntryVm != name_ && election_.IsLost(aEntryVm)) {
    Decision decision;
    decision.step = "submit";
    decision.workId = aWork.id;
    decision.outcome = "given back";
    decision.detail = "its front is lost";
    hooks_.logDecision(decision);
    WorkAnswer answer;
    answer.entryVm = aEntryVm;
    answer.workId = std::move(aWork.id);
    answer.key = aWork.key;
    answer.outcome = WorkOutcome::Moved;
    answer.reason = decision.detail;
    hooks_.sendAnswer(aEntryVm, answer);
    return;
  }
  const auto scheduler = SchedulerFor(aWork.service);
  Apply(*scheduler, scheduler->Submit(aEntryVm, std::move(aWork)));
}

void Coordinator::OnAnswer(std::string_view aLeader, const WorkAnswer& aAnswer)
{
  Apply(tracker_.OnAnswer(aAnswer, aLeader));
}

void Coordinator::OnCancel(std::string_view aEntryVm,
                           std::string_view aWorkId,
                           std::string_view aReason)
{
  for (const auto& scheduler : Schedulers()) {
    Apply(*scheduler, scheduler->Cancel(aEntryVm, aWorkId, aReason));
  }
}

PartDivision::Inputs Coordinator::DivisionInputs() const
{
  PartDivision::Inputs inputs;
  election_.VisitMembers([&inputs](const Member& aMember) {
    inputs.endpointsPerLeader = std::max(
      inputs.endpointsPerLeader, PartDivision::EndpointsPerLeader(aMember));
  });
  inputs.isOtherLeaderDivided = election_.IsOtherLeaderDivided();
  inputs.isDiscovering = election_.IsDiscovering();
  return inputs;
}

void Coordinator::SetEndpoints(Span<const ListedEndpoint> aEndpoints)
{
  {
    const std::lock_guard<std::mutex> lock(divisionMutex_);
    listed_.assign(aEndpoints.begin(), aEndpoints.end());
  }
  election_.SetCanLeadAll(static_cast<double>(aEndpoints.size()) <=
                          ownEndpointLimit_);
  DivideEndpoints();
}

std::size_t Coordinator::OwnEndpointCount() const
{
  const std::lock_guard<std::mutex> lock(divisionMutex_);
  return ownEndpointCount_;
}

void Coordinator::DivideIfChanged()
{
  const PartDivision::Inputs inputs = DivisionInputs();
  {
    const std::lock_guard<std::mutex> lock(divisionMutex_);
    if (listed_.empty() || !division_.IsChanged(listed_.size(), inputs)) {
      return;
    }
  }
  DivideEndpoints();
}

void Coordinator::DivideEndpoints()
{
  const PartDivision::Inputs inputs = DivisionInputs();
  std::vector<ListedEndpoint> ownEndpoints;
  std::string part;
  bool isChanged = false;
  {
    const std::lock_guard<std::mutex> lock(divisionMutex_);
    isChanged = division_.IsChanged(listed_.size(), inputs);
    ownEndpoints = division_.Update(listed_, inputs);
    ownEndpointCount_ = ownEndpoints.size();
    part = division_.Part();
  }
  if (isChanged) {
    LogDecision("parts", part.empty() ? "one part" : "by zone", part);
  }
  Apply(election_.SetPart(part));
  std::map<std::string, std::vector<ListedEndpoint>> endpointsByService;
  {
    const std::lock_guard<std::mutex> lock(schedulersMutex_);
    for (const auto& [service, scheduler] : schedulers_) {
      endpointsByService[service]; // All of its endpoints may be unlisted.
    }
  }
  for (ListedEndpoint& endpoint : ownEndpoints) {
    endpointsByService[endpoint.service].push_back(std::move(endpoint));
  }
  for (const auto& [service, endpoints] : endpointsByService) {
    const auto scheduler = SchedulerFor(service);
    Apply(*scheduler, scheduler->SetEndpoints(endpoints));
    scheduler->SetPart(part);
  }
}

void Coordinator::SetEvacuatedZones(Span<const std::string> aZones)
{
  {
    const std::lock_guard<std::mutex> lock(schedulersMutex_);
    evacuatedZones_.assign(aZones.begin(), aZones.end());
  }
  for (const auto& scheduler : Schedulers()) {
    Apply(*scheduler, scheduler->SetEvacuatedZones(aZones));
  }
}

void Coordinator::SetListPosition(const ListPosition& aPosition,
                                  const EndpointsInUse& aListed)
{
  for (const auto& scheduler : Schedulers()) {
    scheduler->SetListPosition(aPosition, aListed);
  }
}

void Coordinator::PublishEndpointsInUse()
{
  EndpointsInUse endpointsInUse;
  for (const auto& scheduler : Schedulers()) {
    endpointsInUse.Add(scheduler->UsedEndpoints());
  }
  election_.SetEndpointsInUse(endpointsInUse);
  tracker_.SetEndpointsInUse(name_, endpointsInUse);
}

void Coordinator::SetCanLead(bool aCanLead, std::string_view aReason)
{
  Apply(election_.SetCanLead(aCanLead, aReason));
}

void Coordinator::AbortAll(std::string_view aReason)
{
  Apply(tracker_.AbortAll(aReason));
}

void Coordinator::Leave()
{
  Apply(election_.Leave());
}

void Coordinator::Tick()
{
  DivideIfChanged();
  Apply(election_.Tick());
  std::vector<EntryVmContact> contacts = election_.EntryVmContacts();
  contacts.push_back({ name_, TimePoint::max() });
  for (const auto& scheduler : Schedulers()) {
    scheduler->SetEntryVmContacts(contacts);
    Apply(*scheduler, scheduler->Tick());
  }
  PublishEndpointsInUse();
  UpdateLeaders();
  Apply(tracker_.Tick());
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
    sum.evacuatedEndpoints += load.evacuatedEndpoints;
    sum.freeCpuMillis += load.freeCpuMillis;
    sum.nearWaitingTasks += load.nearWaitingTasks;
    sum.placedNear += load.placedNear;
    sum.placedAway += load.placedAway;
    sum.nearWaits += load.nearWaits;
    sum.nearWaitTime += load.nearWaitTime;
    sum.remoteFactor = std::max(sum.remoteFactor, load.remoteFactor);
  }
  return sum;
}

}
