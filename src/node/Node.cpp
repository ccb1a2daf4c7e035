#include "hemlockhaven/node/Node.h"

#include "hemlockhaven/dispatch/TaskGroup.h"
#include "hemlockhaven/membership/EndpointOwnership.h"

#include <algorithm>
#include <future>
#include <utility>
#include <variant>

namespace hemlockhaven {

namespace {

constexpr Duration kRetryElsewhere = std::chrono::milliseconds(100);
// A sweep looks at all queued groups, so it runs a few times a second only.
constexpr Duration kDispatcherInterval = std::chrono::milliseconds(200);

constexpr Duration kHandOverLimit = std::chrono::seconds(5);

// A part of an archive stays well below the frame limit of 16 MiB.
constexpr std::size_t kArchivePartBytes = 4U << 20U;

DispatcherLimits WithSeed(DispatcherLimits aLimits, const Incarnation& aSelf)
{
  aLimits.seed ^= aSelf.number;
  return aLimits;
}

ClaimLedger::Options LedgerOptions(const Incarnation& aSelf,
                                   const NodeHooks& aHooks)
{
  ClaimLedger::Options options;
  options.self = aSelf;
  options.clock = aHooks.clock;
  options.random = aHooks.random;
  options.guard = aHooks.guard;
  return options;
}

}

Node::Node(const Incarnation& aSelf,
           const EntryVm& aOwnVm,
           NodeHooks aHooks,
           NodeLimits aLimits)
  : hooks_(std::move(aHooks))
  , limits_(aLimits)
  , issuer_(aSelf, hooks_.guard)
  , jobs_(hooks_.clock, limits_.jobs, hooks_.guard)
  , claims_(LedgerOptions(aSelf, hooks_))
  , history_(limits_.historyRecords)
  , historyBatcher_(aSelf.node, hooks_.clock)
  , archives_(hooks_.clock, limits_.jobs.keepFinished, limits_.keptArchives)
  , roster_(aSelf, aOwnVm, limits_.roster, hooks_.clock)
  , router_(roster_, hooks_.peers)
  , dispatcher_({ hooks_.clock,
                  hooks_.sendAttempt,
                  &counters_,
                  hooks_.guard,
                  hooks_.policy },
                WithSeed(limits_.dispatcher, aSelf))
  , configurations_({ [this](const ConfigurationStore::State& aState) {
                       OnConfiguration(aState);
                     },
                      static_cast<double>(aSelf.number % 1000) / 1000,
                      hooks_.guard })
  , forwarder_({ hooks_.clock, hooks_.peers, &counters_ }, dispatcher_, roster_)
  , fetchWaiters_(jobs_, hooks_.clock)
  , digests_(hooks_.peers, dispatcher_, roster_, [this] {
    return ConfigurationVersionNow();
  })
{
}

Node::~Node()
{
  claims_.Stop();
}

Result<SubmissionId> Node::ReserveIds(std::uint32_t aCount)
{
  if (shuttingDown_) {
    return RefuseStopping("reserve ids");
  }
  return SubmissionId{ Self(), issuer_.Reserve(aCount) };
}

Result<void> Node::Submit(const SubmissionId& aId, JobSpec aSpec)
{
  if (aId.home == Self()) {
    return SubmitHere(aId, std::move(aSpec));
  }
  if (archives_.Holds(aId.home)) {
    return SubmitFromPeer(aId, std::move(aSpec));
  }
  return router_.Submit(aId, aSpec);
}

Result<SubmissionId> Node::SubmitByKey(const KeyHash& aKey,
                                       LogOffset aEpoch,
                                       JobSpec aSpec)
{
  const std::uint64_t sequence = issuer_.Reserve(1);
  BOOST_OUTCOME_TRY(claim, claims_.Claim(aKey, aEpoch, sequence));
  if (claim.won || claim.holder == Self()) {
    return SubmitClaimed(aKey, claim, sequence, std::move(aSpec));
  }
  return router_.SubmitByKey(claim.holder, aKey, aEpoch, aSpec);
}

Result<JobAnswer> Node::WaitFor(const SubmissionId& aId, Duration aLimit)
{
  if (aId.home == Self()) {
    return Explain(aId, jobs_.WaitFor(aId, aLimit));
  }
  if (archives_.Holds(aId.home)) {
    return archives_.Find(aId);
  }
  return router_.Fetch(aId, aLimit);
}

Result<JobState> Node::Cancel(const SubmissionId& aId)
{
  if (aId.home == Self() || archives_.Holds(aId.home)) {
    return CancelHere(aId);
  }
  return router_.Cancel(aId);
}

WhereResult Node::Where(const WhereQuery& aQuery, Duration aLimit)
{
  struct Pending
  {
    std::string node;
    std::future<Result<Message>> reply;
  };
  std::vector<Pending> pending;
  if (hooks_.peers.call) {
    for (const PeerView& peer : roster_.Peers()) {
      if (peer.state != PeerState::Alive) {
        continue;
      }
      auto promise = std::make_shared<std::promise<Result<Message>>>();
      pending.push_back({ peer.incarnation.node, promise->get_future() });
      hooks_.peers.call(peer.incarnation.node,
                        Message(hemlockhaven::Where{ aQuery }),
                        aLimit,
                        [promise](Result<Message>&& aReply) {
                          promise->set_value(std::move(aReply));
                        });
    }
  }
  // Through a book of their own, records that two daemons know appear once.
  HistoryBook merged;
  const auto addAll = [&merged](Span<const RequestRecord> aRecords) {
    for (const RequestRecord& record : aRecords) {
      merged.Record(record);
    }
  };
  addAll(history_.Query(aQuery));
  WhereResult answer;
  answer.lost = LostHistory();
  for (Pending& peer : pending) {
    const Result<Message> message = peer.reply.get();
    const auto* reply =
      message.has_value() ? std::get_if<WhereReply>(&message.value()) : nullptr;
    if (reply == nullptr) {
      answer.silent.push_back(peer.node);
      continue;
    }
    addAll(reply->records);
    answer.lost += reply->lost;
  }
  answer.records = merged.Query(aQuery);
  return answer;
}

void Node::FinishAttempt(AttemptId aId, AttemptResult&& aResult)
{
  dispatcher_.Finish(aId, std::move(aResult));
}

void Node::SetVmList(VmList aList)
{
  roster_.SetListed(aList.entryVms);
  claims_.SetDaemonCount(std::max<std::size_t>(aList.entryVms.size(), 1));
  {
    const std::lock_guard<std::mutex> lock(fleetMutex_);
    listed_ = std::move(aList.endpoints);
    fleetChanged_ = true;
  }
  UpdateOwnership();
}

std::size_t Node::CountListed(const Selector& aSelector)
{
  const std::lock_guard<std::mutex> lock(fleetMutex_);
  return static_cast<std::size_t>(std::count_if(
    listed_.begin(), listed_.end(), [&](const EndpointDescription& aEndpoint) {
      return aSelector.Matches(aEndpoint.labels);
    }));
}

void Node::OnDigest(const Incarnation& aFrom, const PeerDigest& aDigest)
{
  if (!roster_.Observe(aFrom, aDigest)) {
    return;
  }
  std::vector<SlotTimeUse> uses;
  {
    const std::lock_guard<std::mutex> lock(slotTimesMutex_);
    uses = slotTimes_[aFrom.node].Read(aFrom, aDigest.uses);
  }
  dispatcher_.ChargeRemote(uses);
  if (const auto peer = roster_.Find(aFrom);
      peer && peer->zone != roster_.OwnZone()) {
    digests_.PassOn(uses);
  }
  if (aDigest.configurationVersion > ConfigurationVersionNow()) {
    PullConfiguration(aFrom);
  }
  forwarder_.Pump();
}

Result<void> Node::SubmitFromPeer(const SubmissionId& aId, JobSpec aSpec)
{
  if (aId.home == Self()) {
    return SubmitHere(aId, std::move(aSpec));
  }
  // A successor starts nothing: it knows what ran and what did not.
  const auto archived = archives_.Find(aId);
  if (archived.has_error()) {
    return archived.error();
  }
  return outcome::success();
}

Result<JobState> Node::CancelHere(const SubmissionId& aId)
{
  if (aId.home == Self()) {
    return jobs_.Cancel(aId);
  }
  BOOST_OUTCOME_TRY(answer, archives_.Find(aId));
  return answer.state;
}

Result<SubmissionId> Node::SubmitHeldKey(const KeyHash& aKey,
                                         LogOffset aEpoch,
                                         JobSpec aSpec)
{
  const std::uint64_t sequence = issuer_.Reserve(1);
  const ClaimDecision decision = claims_.Ask(aKey, aEpoch, sequence);
  const bool isHeldHere =
    decision.kind == ClaimDecision::Kind::Won ||
    (decision.kind == ClaimDecision::Kind::Held && decision.holder == Self());
  if (!isHeldHere) {
    return Error::Unknown("submit key",
                          Self().node,
                          Reason::HomeUnreachable,
                          "the claim has not been read here yet, or its "
                          "submission has not started",
                          kRetryElsewhere);
  }
  const ClaimAnswer claim{ decision.kind == ClaimDecision::Kind::Won,
                           Self(),
                           decision.sequence };
  return SubmitClaimed(aKey, claim, sequence, std::move(aSpec));
}

void Node::Fetch(const SubmissionId& aId,
                 Duration aWait,
                 FetchWaiters::Reply aReply)
{
  if (aId.home == Self()) {
    fetchWaiters_.Add(
      aId,
      aWait,
      [this, aId, reply = std::move(aReply)](Result<JobAnswer>&& aAnswer) {
        reply(Explain(aId, std::move(aAnswer)));
      });
  } else {
    aReply(archives_.Find(aId));
  }
}

void Node::RunForPeer(std::shared_ptr<TaskGroup> aGroup)
{
  const auto refuse = [&aGroup](Error&& aError) {
    TaskOutcome outcome;
    outcome.error = std::move(aError);
    aGroup->ended(0, std::move(outcome));
  };
  if (shuttingDown_) {
    refuse(RefuseStopping("run for peer"));
    return;
  }
  aGroup->mustStartNow = true;
  ++runningForPeers_;
  aGroup->ended = [this, ended = std::move(aGroup->ended)](
                    std::uint32_t aIndex, TaskOutcome&& aOutcome) {
    ended(aIndex, std::move(aOutcome));
    --runningForPeers_;
  };
  const Result<void> admitted = dispatcher_.Admit(aGroup);
  if (admitted.has_error()) {
    Error error = admitted.error();
    refuse(std::move(error));
  }
}

ConfigurationOffer Node::OfferConfiguration() const
{
  ConfigurationOffer offer;
  const auto state = configurations_.Current();
  if (state && hooks_.encodeConfiguration) {
    offer.version = state->version;
    offer.asOf = state->asOf;
    offer.document = state->document
                       ? hooks_.encodeConfiguration(*state->document)
                       : std::string();
  }
  return offer;
}

void Node::Tick()
{
  const TimePoint now = hooks_.clock();
  jobs_.Expire();
  archives_.Expire();
  fetchWaiters_.Tick();
  if (now >= nextDispatcherTick_) {
    nextDispatcherTick_ = now + kDispatcherInterval;
    dispatcher_.Tick();
  }
  UpdateOwnership();
  digests_.Tick(now);
  forwarder_.Pump();
}

bool Node::IsReady() const
{
  return !leaving_ && !shuttingDown_ &&
         (!hooks_.appendSnapshot || configurations_.Current() != nullptr);
}

bool Node::IsIdle() const
{
  if (!IsGuardOn(hooks_.guard, Guard::ShutdownWaitsForStarted)) {
    return true;
  }
  return jobs_.RunningCount() == 0 && runningForPeers_ == 0 &&
         dispatcher_.RunningCount() == 0;
}

Result<void> Node::HandOver()
{
  roster_.SetDraining(true);
  digests_.SetDraining(true);
  const std::vector<PeerView> peers = roster_.Peers();
  const auto canKeep = [](const PeerView& aPeer) {
    return aPeer.state == PeerState::Alive && !aPeer.draining && !aPeer.leaving;
  };
  auto successor = std::find_if(
    peers.begin(), peers.end(), [this, &canKeep](const PeerView& aPeer) {
      return canKeep(aPeer) && aPeer.zone == roster_.OwnZone();
    });
  if (successor == peers.end()) {
    successor = std::find_if(peers.begin(), peers.end(), canKeep);
  }
  if (successor == peers.end()) {
    digests_.SendNow();
    return Error::Unknown("hand over",
                          "",
                          Reason::PeerLost,
                          "no other daemon can keep the finished answers");
  }
  // What earlier homes handed over goes on, too, so that answers outlive the
  // replacement of all daemons one after another.
  std::vector<Archive> archives = archives_.Export();
  archives.push_back(OwnArchive());
  for (Archive& archive : archives) {
    for (Archive& part : SplitArchive(std::move(archive), kArchivePartBytes)) {
      BOOST_OUTCOME_TRY(SendArchive(successor->incarnation.node, part));
    }
  }
  digests_.SetSuccessor(successor->incarnation);
  digests_.SendNow();
  return outcome::success();
}

Archive Node::OwnArchive()
{
  IdIssuer::Window window = issuer_.Export();
  Archive archive;
  archive.home = Self();
  archive.answers = jobs_.FinishedAnswers();
  archive.firstSequence = window.firstSequence;
  archive.nextSequence = window.nextSequence;
  archive.usedBits = std::move(window.usedBits);
  return archive;
}

Result<void> Node::SendArchive(std::string_view aNode, const Archive& aPart)
{
  BOOST_OUTCOME_TRY(
    reply, CallAndWait(hooks_.peers, aNode, Message(aPart), kHandOverLimit));
  const auto* kept = std::get_if<ArchiveReply>(&reply);
  if (kept == nullptr || kept->error.has_value()) {
    return Error::Unknown(
      "hand over", aNode, Reason::PeerRefused, "the archive was not kept");
  }
  return outcome::success();
}

Result<void> Node::SubmitHere(const SubmissionId& aId, JobSpec&& aSpec)
{
  auto group = std::make_shared<TaskGroup>();
  group->id = aId;
  group->spec = std::move(aSpec);
  const std::uint64_t hash = HashOf(group->spec);
  ApplySteering(group->spec);
  // The entry is made before the id is marked, so that a second submission
  // that comes at the same time finds the job that it joins.
  if (!jobs_.Create(
        aId, group->spec.payloads.size(), JobHooksOf(group), hash)) {
    if (jobs_.IsOtherSpec(aId, hash)) {
      return Refuse(Error::NotRun(
        "submit",
        Reason::IdReused,
        "the id belongs to another submission; this one did not start"));
    }
    counters_.Count(Event::SubmissionRepeated);
    return outcome::success();
  }
  const IdIssuer::Use use = issuer_.MarkUsed(aId);
  if (use == IdIssuer::Use::First) {
    return Start(aId, group);
  }
  Error error =
    use == IdIssuer::Use::Foreign
      ? Error::NotRun(
          "submit", Reason::MalformedRequest, "the id was never issued")
      : Error::Unknown("submit",
                       Self().node,
                       Reason::IdExpired,
                       "the id was used and its answer is no longer kept, or "
                       "it is too old to be remembered");
  jobs_.Withdraw(aId, error);
  return Refuse(std::move(error));
}

Result<void> Node::Start(const SubmissionId& aId,
                         const std::shared_ptr<TaskGroup>& aGroup)
{
  const auto withdraw = [this, &aId](const Error& aError) {
    // Nothing started, so the caller may come again under the same id.
    jobs_.Withdraw(aId, aError);
    issuer_.Release(aId);
  };
  if (shuttingDown_) {
    Error error = RefuseStopping("submit");
    withdraw(error);
    return error;
  }
  RecordAccepted(*aGroup);
  const Result<void> admitted = dispatcher_.Admit(aGroup);
  if (admitted.has_error()) {
    RequestRecord record = RecordOf(*aGroup);
    record.state = JobState::Failed;
    record.reason = admitted.error().reason;
    record.endedMs = record.submittedMs;
    history_.Record(record);
    withdraw(admitted.error());
    return admitted.error();
  }
  counters_.Count(Event::SubmissionAccepted);
  forwarder_.Pump();
  return outcome::success();
}

Result<SubmissionId> Node::SubmitClaimed(const KeyHash& aKey,
                                         const ClaimAnswer& aClaim,
                                         std::uint64_t aSequence,
                                         JobSpec&& aSpec)
{
  if (!aClaim.won) {
    counters_.Count(Event::SubmissionRepeated);
    return SubmissionId{ Self(), aClaim.sequence };
  }
  const SubmissionId id{ Self(), aSequence };
  const Result<void> submitted = SubmitHere(id, std::move(aSpec));
  if (submitted.has_error() && submitted.error().ran == Ran::NotRun) {
    claims_.Release(aKey);
  } else {
    claims_.MarkStarted(aKey);
  }
  if (submitted.has_error()) {
    return submitted.error();
  }
  return id;
}

JobBook::Hooks Node::JobHooksOf(const std::shared_ptr<TaskGroup>& aGroup)
{
  aGroup->ended = [this, id = aGroup->id](std::uint32_t aIndex,
                                          TaskOutcome&& aOutcome) {
    jobs_.EndTask(id, aIndex, std::move(aOutcome));
  };
  JobBook::Hooks hooks;
  hooks.stop = [group = aGroup](Reason aReason) {
    Reason none = Reason::None;
    group->stopReason.compare_exchange_strong(none, aReason);
  };
  hooks.ended = [this, group = aGroup](const JobAnswer& aAnswer) {
    counters_.Count(aAnswer.state == JobState::Complete ? Event::JobComplete
                                                        : Event::JobFailed);
    RecordEnded(*group, aAnswer);
  };
  return hooks;
}

Result<JobAnswer> Node::Explain(const SubmissionId& aId,
                                Result<JobAnswer>&& aAnswer)
{
  if (aAnswer.has_error() && aAnswer.error().reason == Reason::NotFound &&
      issuer_.IsUnused(aId)) {
    return Error::NotRun(
      "find job", Reason::NotFound, "nothing was submitted under this id");
  }
  return std::move(aAnswer);
}

void Node::ApplySteering(JobSpec& aSpec) const
{
  aSpec.labels.Set("caller", aSpec.caller);
  aSpec.labels.Set("kind", aSpec.kind);
  aSpec.labels.Set("urgency", UrgencyName(aSpec.urgency));
  const auto state = configurations_.Current();
  if (!state || !state->document) {
    return;
  }
  for (const SteeringRule& rule : state->document->steering) {
    if (rule.submissions.Matches(aSpec.labels)) {
      aSpec.selector = Selector::Both(aSpec.selector, rule.endpoints);
    }
  }
}

Error Node::Refuse(Error aError)
{
  counters_.Refused(aError.reason);
  return aError;
}

Error Node::RefuseStopping(std::string_view aStep)
{
  return Refuse(Error::NotRun(
    aStep, Reason::ShuttingDown, "this VM is being stopped", kRetryElsewhere));
}

RequestRecord Node::RecordOf(const TaskGroup& aGroup) const
{
  RequestRecord record;
  record.id = aGroup.id.Text();
  record.caller = aGroup.spec.caller;
  record.kind = aGroup.spec.kind;
  record.labels = aGroup.spec.labels;
  record.tasks = static_cast<std::uint32_t>(aGroup.spec.payloads.size());
  record.submittedMs = aGroup.submittedMs;
  return record;
}

void Node::RecordAccepted(TaskGroup& aGroup)
{
  aGroup.submittedMs = hooks_.wallClock();
  history_.Record(RecordOf(aGroup));
}

void Node::RecordEnded(const TaskGroup& aGroup, const JobAnswer& aAnswer)
{
  RequestRecord record = RecordOf(aGroup);
  record.state = aAnswer.state;
  record.ran = aAnswer.ran;
  record.endedMs = hooks_.wallClock();
  if (aAnswer.error.has_value()) {
    record.reason = aAnswer.error->reason;
  }
  record.zone = aAnswer.zone;
  record.endpointLabels.Set("zone", aAnswer.zone);
  if (aAnswer.firstStart != TimePoint{}) {
    const auto ago = std::chrono::duration_cast<std::chrono::milliseconds>(
      hooks_.clock() - aAnswer.firstStart);
    record.startedMs = record.endedMs - ago.count();
  }
  history_.Record(record);
  historyBatcher_.Add(record);
}

void Node::PullConfiguration(const Incarnation& aFrom)
{
  if (!hooks_.peers.call || !hooks_.decodeConfiguration ||
      pulling_.exchange(true)) {
    return;
  }
  hooks_.peers.call(
    aFrom.node,
    Message(ConfigurationPull{ ConfigurationVersionNow() }),
    std::chrono::seconds(1),
    [this](Result<Message>&& aReply) {
      pulling_ = false;
      const auto* offer = aReply.has_value()
                            ? std::get_if<ConfigurationOffer>(&aReply.value())
                            : nullptr;
      if (offer == nullptr || offer->version == 0) {
        return;
      }
      auto document = hooks_.decodeConfiguration(offer->document);
      if (document.has_error()) {
        counters_.Count(Event::ConfigurationRejected);
        return;
      }
      configurations_.Adopt(
        { offer->version,
          offer->asOf,
          std::make_shared<const Configuration>(std::move(document.value())) });
    });
}

void Node::OnConfiguration(const ConfigurationStore::State& aState)
{
  counters_.Count(Event::ConfigurationApplied);
  if (aState && aState->document) {
    std::vector<std::pair<std::string, double>> weights;
    weights.reserve(aState->document->callers.size());
    for (const CallerQuota& quota : aState->document->callers) {
      weights.emplace_back(quota.caller, quota.weight);
    }
    dispatcher_.SetWeights(weights);
  }
  {
    const std::lock_guard<std::mutex> lock(fleetMutex_);
    fleetChanged_ = true;
  }
  UpdateOwnership();
}

std::uint64_t Node::ConfigurationVersionNow() const
{
  const auto state = configurations_.Current();
  return state ? state->version : 0;
}

void Node::UpdateOwnership()
{
  std::string owners;
  for (const PeerView& owner : roster_.Owners()) {
    owners += owner.incarnation.node + '/' +
              std::to_string(owner.incarnation.number) + '/' +
              std::to_string(owner.cores) + ' ';
  }
  std::vector<EndpointDescription> listed;
  {
    const std::lock_guard<std::mutex> lock(fleetMutex_);
    if (!fleetChanged_ && owners == ownersSeen_) {
      return;
    }
    fleetChanged_ = false;
    ownersSeen_ = owners;
    listed = listed_;
  }
  if (const auto state = configurations_.Current(); state && state->document) {
    for (EndpointDescription& endpoint : listed) {
      endpoint.leaving =
        endpoint.leaving || state->document->IsDrained(endpoint.labels);
    }
  }
  dispatcher_.SetEndpoints(Divide(listed, roster_));
}

void Node::AppendDue()
{
  if (hooks_.appendHistory) {
    if (const auto batch = historyBatcher_.TakeBatch()) {
      counters_.Count(Event::LogAppend);
      if (hooks_.appendHistory(*batch).has_error()) {
        counters_.Count(Event::LogAppendFailed);
        counters_.Count(Event::HistoryLost, batch->records.size());
        historyBatcher_.BatchFailed(*batch);
      }
    }
  }
  if (hooks_.appendSnapshot) {
    if (const auto snapshot = configurations_.TakeDueSnapshot()) {
      counters_.Count(Event::LogAppend);
      if (hooks_.appendSnapshot(*snapshot).has_error()) {
        counters_.Count(Event::LogAppendFailed);
      }
    }
  }
}

}
