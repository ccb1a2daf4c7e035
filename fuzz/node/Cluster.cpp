#include "fuzz/node/Cluster.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace hemlockhaven::Fuzz {

namespace {

constexpr Duration kLeaveDelay = std::chrono::seconds(2);
constexpr Duration kShutdownLimit = std::chrono::seconds(30);
constexpr Duration kKeepFinished = std::chrono::seconds(6);

// Beyond the default deadline, the attempts' ceiling and the reply's margin.
constexpr int kQuietSteps = 300;
constexpr Duration kQuietStep = std::chrono::milliseconds(250);

Error Lost(std::string_view aPeer)
{
  return Error::Unknown("call peer", aPeer, Reason::PeerLost, "the link broke");
}

//! Requests whose callers block until the reply.
bool IsBlocking(const Message& aRequest)
{
  return !std::holds_alternative<Run>(aRequest) &&
         !std::holds_alternative<ConfigurationPull>(aRequest);
}

}

Cluster::Cluster(std::uint64_t aSeed, GuardHook aGuard)
  : random_(aSeed)
  , guard_(std::move(aGuard))
{
  for (std::size_t at = 0; at < kEndpoints; ++at) {
    EndpointDescription endpoint;
    endpoint.id = "e" + std::to_string(at);
    endpoint.address = "127.0.0." + std::to_string(100 + at);
    endpoint.port = 9000;
    endpoint.zone = at < kEndpoints / 2 ? "z1" : "z2";
    endpoint.rack = "r1";
    endpoint.slots = 2;
    endpoint.cores = 4;
    endpoint.memoryMb = 1024;
    endpoint.labels.Set("zone", endpoint.zone);
    endpoint.labels.Set("endpoint", endpoint.id);
    platform_.endpoints.push_back(std::move(endpoint));
  }
  for (std::size_t at = 0; at < kNodes; ++at) {
    EntryVm& vm = members_[at].vm;
    vm.node = "n" + std::to_string(at);
    vm.address = "127.0.0." + std::to_string(10 + at);
    vm.peerPort = 7000;
    vm.zone = at < 2 ? "z1" : "z2";
    platform_.entryVms.push_back(vm);
  }
  for (std::size_t at = 0; at < kNodes; ++at) {
    Start(at);
  }
}

// Callbacks of calls refer to nodes.
Cluster::~Cluster()
{
  calls_.clear();
}

std::uint32_t Cluster::Draw(std::uint32_t aBelow)
{
  return static_cast<std::uint32_t>(random_() % aBelow);
}

std::string Cluster::NowText() const
{
  return std::to_string(now_.time_since_epoch().count() / 1000) + " ms: ";
}

NodeLimits Cluster::LimitsOf() const
{
  NodeLimits limits;
  limits.dispatcher.queuedTasks = 40;
  limits.dispatcher.defaultDeadline = std::chrono::seconds(15);
  limits.dispatcher.attemptCeiling = std::chrono::seconds(6);
  limits.dispatcher.retryShare = 1;
  limits.jobs.keepFinished = kKeepFinished;
  limits.historyRecords = 64;
  return limits;
}

NodeHooks Cluster::HooksOf(std::size_t aNode)
{
  NodeHooks hooks;
  hooks.clock = [this] { return now_; };
  hooks.wallClock = [this] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             now_.time_since_epoch())
      .count();
  };
  hooks.random = [this] { return random_(); };
  hooks.sendAttempt = [this, aNode](const Attempt& aAttempt) {
    Send(aNode, aAttempt);
  };
  hooks.peers.send = [this, aNode](std::string_view aTo,
                                   const Message& aMessage) {
    const auto* digest = std::get_if<PeerDigest>(&aMessage);
    for (std::size_t to = 0; digest != nullptr && to < kNodes; ++to) {
      if (members_[to].vm.node == aTo && Connect(aNode, to)) {
        digests_.push_back({ aNode,
                             to,
                             members_[aNode].self.number,
                             members_[to].self.number,
                             *digest });
      }
    }
  };
  hooks.peers.call = [this, aNode](std::string_view aTo,
                                   const Message& aRequest,
                                   Duration aLimit,
                                   PeerHooks::Done aDone) {
    Call(aNode, aTo, aRequest, aLimit, std::move(aDone));
  };
  hooks.appendSnapshot = [this](const ConfigurationState& aState) {
    return log_.Append(aState, calm_ ? 1 : Draw(1U << 16U));
  };
  hooks.appendHistory = [this](const HistoryBatch& aBatch) {
    return log_.Append(aBatch, calm_ ? 1 : Draw(1U << 16U));
  };
  hooks.encodeConfiguration = [](const Configuration& aDocument) {
    return aDocument.callers.front().caller;
  };
  hooks.decodeConfiguration =
    [this](std::string_view aText) -> Result<Configuration> {
    return documents_.at(std::string(aText));
  };
  hooks.guard = guard_;
  return hooks;
}

// Life of a node.

void Cluster::Start(std::size_t aNode)
{
  Member& member = members_[aNode];
  member.self = { member.vm.node, random_() };
  member.stage = Stage::Serving;
  member.keysRead.clear();
  member.waiting.clear();
  member.leaving.clear();
  member.heir.reset();
  member.node =
    std::make_unique<Node>(member.self, member.vm, HooksOf(aNode), LimitsOf());
  member.reader = std::make_unique<LogReader>();
  LogSubscriber subscriber;
  subscriber.gap = [&member](LogOffset aFrom, LogOffset aTo) {
    member.node->Claims().OnGap(aFrom, aTo);
    member.node->Configurations().OnGap(aFrom, aTo);
  };
  subscriber.record = [this, &member](const LogRecord& aRecord) {
    const FakeLog::Record record = log_.At(aRecord);
    if (const auto* claims = std::get_if<ClaimBatch>(&record)) {
      for (const KeyHash& key : claims->keys) {
        member.keysRead.insert(key.low);
      }
      member.node->Claims().OnRecord(aRecord.offset, *claims);
    } else if (const auto* change = std::get_if<ConfigurationChange>(&record)) {
      member.node->Configurations().OnChange(aRecord.offset, *change);
    } else if (const auto* state = std::get_if<ConfigurationState>(&record)) {
      member.node->Configurations().OnSnapshot(aRecord.offset, *state);
    } else if (const auto* batch = std::get_if<HistoryBatch>(&record)) {
      for (const RequestRecord& request : batch->records) {
        member.node->History().Record(request);
      }
    }
  };
  subscriber.position = [&member](const LogPosition& aPosition) {
    member.node->Claims().OnPosition(aPosition);
    member.node->Configurations().OnPosition(aPosition);
  };
  member.reader->Subscribe(std::move(subscriber));
  std::vector<EntryVm> others;
  for (const Member& other : members_) {
    if (&other != &member) {
      others.push_back(other.vm);
    }
  }
  member.node->Peers().AddConfigured(others);
  GiveList(aNode);
}

void Cluster::End(std::size_t aNode)
{
  Member& member = members_[aNode];
  const std::uint64_t number = member.self.number;
  for (std::size_t other = 0; other < kNodes; ++other) {
    LoseLink(aNode, other);
  }
  for (auto at = calls_.begin(); at != calls_.end();) {
    if (at->second.fromNumber == number) {
      at = calls_.erase(at);
    } else {
      ++at;
    }
  }
  member.node.reset();
  // Calls to it end as unknown once their callers notice.
  std::vector<std::uint64_t> broken;
  for (const auto& [id, call] : calls_) {
    if (call.toNumber == number) {
      broken.push_back(id);
    }
  }
  for (const std::uint64_t id : broken) {
    EndCall(id);
  }
}

void Cluster::Stop(std::size_t aNode)
{
  Member& member = members_[aNode];
  if (member.node && member.stage == Stage::Serving) {
    member.node->BeginLeaving();
    member.stage = Stage::Leaving;
    member.stageAt = now_;
  }
}

void Cluster::AdvanceStops()
{
  for (std::size_t at = 0; at < kNodes; ++at) {
    Member& member = members_[at];
    if (!member.node || member.stage == Stage::Serving) {
      continue;
    }
    if (member.stage == Stage::Leaving && now_ - member.stageAt > kLeaveDelay) {
      member.node->BeginShutdown();
      member.stage = Stage::ShuttingDown;
    } else if (member.stage == Stage::ShuttingDown && member.node->IsIdle()) {
      FinishStop(member);
    } else if (member.stage == Stage::HandOverFailed &&
               now_ - member.stageAt > kShutdownLimit) {
      End(at);
    }
  }
}

void Cluster::FinishStop(Member& aMember)
{
  const auto at = static_cast<std::size_t>(&aMember - members_.data());
  CheckStarted(aMember);
  CheckAccepted(aMember);
  std::vector<JobAnswer> answers = aMember.node->Jobs().FinishedAnswers();
  const Result<void> handedOver = aMember.node->HandOver();
  oracle_.Trace(aMember.vm.node + " handed over " +
                (handedOver.has_error() ? handedOver.error().Describe() : ""));
  if (handedOver.has_error()) {
    aMember.stage = Stage::HandOverFailed;
    aMember.stageAt = now_;
    return;
  }
  Member& heir = members_[*aMember.heir];
  for (const JobAnswer& answer : answers) {
    const auto kept = heir.node->WaitFor(answer.id, Duration{ 0 });
    if (kept.has_error()) {
      oracle_.Violate("R7: the successor lost " + answer.id.Text() + ": " +
                      kept.error().Describe());
    } else {
      oracle_.Answered(answer);
      oracle_.Answered(kept.value());
    }
  }
  End(at);
}

void Cluster::CheckStarted(const Member& aMember)
{
  for (const UnderWay& one : underWay_) {
    if (one.incarnation == aMember.self.number && now_ < one.limit) {
      oracle_.Violate("R7: " + aMember.vm.node + " stops while attempt " +
                      std::to_string(one.attempt.id) + " is under way");
    }
  }
}

void Cluster::CheckAccepted(Member& aMember)
{
  for (const SubmissionModel& model : oracle_.Submissions()) {
    if (!model.accepted || !model.id || model.id->home != aMember.self) {
      continue;
    }
    const auto answer = aMember.node->WaitFor(*model.id, Duration{ 0 });
    const bool mayBeForgotten = now_ - *model.triedAt >= kKeepFinished;
    if (answer.has_error() ? !mayBeForgotten
                           : answer.value().state == JobState::Running) {
      const std::string payload = model.spec.payloads.front();
      oracle_.Violate(NowText() + "R7: " + aMember.vm.node + " stops and " +
                      model.id->Text() + " of " + payload + " is not over" +
                      (answer.has_error() ? ": " + answer.error().Describe()
                                          : std::string()));
    }
    if (answer.has_value() && answer.value().error &&
        answer.value().error->reason == Reason::ShuttingDown) {
      oracle_.Violate("R7: the stop of " + aMember.vm.node + " ended " +
                      model.id->Text());
    }
  }
}

// Peers.

bool Cluster::IsRunning(std::size_t aNode, std::uint64_t aNumber) const
{
  return members_[aNode].node && members_[aNode].self.number == aNumber;
}

bool Cluster::IsCut(std::size_t aFrom, std::size_t aTo) const
{
  return zonesCut_ && members_[aFrom].vm.zone != members_[aTo].vm.zone;
}

void Cluster::LoseLink(std::size_t aFrom, std::size_t aTo)
{
  if (links_[aFrom][aTo] == 0 && links_[aTo][aFrom] == 0) {
    return;
  }
  links_[aFrom][aTo] = 0;
  links_[aTo][aFrom] = 0;
  if (members_[aFrom].node) {
    members_[aFrom].node->Peers().LoseLink(members_[aTo].vm.node);
  }
  if (members_[aTo].node) {
    members_[aTo].node->Peers().LoseLink(members_[aFrom].vm.node);
  }
}

bool Cluster::Connect(std::size_t aFrom, std::size_t aTo)
{
  Member& from = members_[aFrom];
  Member& to = members_[aTo];
  if (aFrom == aTo || !from.node) {
    return false;
  }
  if (IsCut(aFrom, aTo)) {
    LoseLink(aFrom, aTo);
    return false;
  }
  if (!to.node) {
    LoseLink(aFrom, aTo);
    from.node->Peers().Refuse(to.vm.node);
    return false;
  }
  if (links_[aFrom][aTo] == to.self.number &&
      links_[aTo][aFrom] == from.self.number) {
    return true;
  }
  if (!from.node->Peers().Meet({ to.self, to.vm.zone, to.vm.cores }) ||
      !to.node->Peers().Meet({ from.self, from.vm.zone, from.vm.cores })) {
    return false;
  }
  links_[aFrom][aTo] = to.self.number;
  links_[aTo][aFrom] = from.self.number;
  return true;
}

void Cluster::Call(std::size_t aFrom,
                   std::string_view aNode,
                   const Message& aRequest,
                   Duration aLimit,
                   PeerHooks::Done aDone)
{
  const auto found = std::find_if(
    members_.begin(), members_.end(), [aNode](const Member& aMember) {
      return aMember.vm.node == aNode;
    });
  const auto to = static_cast<std::size_t>(found - members_.begin());
  if (found == members_.end() || !Connect(aFrom, to) ||
      (!calm_ && Draw(24) == 0)) {
    aDone(Error::NotRun("connect", Reason::ConnectRefused, "no link"));
    return;
  }
  if (std::holds_alternative<Archive>(aRequest)) {
    members_[aFrom].heir = to;
  }
  if (IsBlocking(aRequest)) {
    CallNow(to, aRequest, aDone);
    return;
  }
  PendingCall call;
  call.from = aFrom;
  call.to = to;
  call.fromNumber = members_[aFrom].self.number;
  call.toNumber = found->self.number;
  call.request = aRequest;
  call.done = std::move(aDone);
  call.limit = now_ + aLimit;
  calls_.emplace(nextCall_++, std::move(call));
}

void Cluster::CallNow(std::size_t aTo,
                      const Message& aRequest,
                      const PeerHooks::Done& aDone)
{
  const std::uint32_t fate = calm_ ? 2 : Draw(20);
  auto reply = std::make_shared<std::optional<Message>>();
  if (fate != 0) {
    PeerRequests(*members_[aTo].node)
      .Answer(Message(aRequest),
              [reply](Message&& aReply) { *reply = std::move(aReply); });
  }
  if (fate <= 1 || !reply->has_value()) {
    aDone(Lost(members_[aTo].vm.node));
  } else {
    aDone(std::move(**reply));
  }
}

void Cluster::DeliverCall(std::uint64_t aCall)
{
  const auto found = calls_.find(aCall);
  if (found == calls_.end()) {
    return;
  }
  PendingCall& call = found->second;
  if (call.request) {
    if (!IsRunning(call.to, call.toNumber)) {
      EndCall(aCall);
      return;
    }
    Message request = std::move(*call.request);
    call.request.reset();
    const bool isAbandoned = !call.done;
    PeerRequests(*members_[call.to].node)
      .Answer(std::move(request), [this, aCall](Message&& aReply) {
        const auto at = calls_.find(aCall);
        if (at != calls_.end()) {
          at->second.reply = std::move(aReply);
        }
      });
    if (isAbandoned) {
      calls_.erase(aCall);
    }
    return;
  }
  if (call.reply && !IsCut(call.from, call.to)) {
    const PeerHooks::Done done = std::move(call.done);
    Message reply = std::move(*call.reply);
    calls_.erase(found);
    done(std::move(reply));
  }
}

void Cluster::EndCall(std::uint64_t aCall)
{
  const auto found = calls_.find(aCall);
  if (found == calls_.end()) {
    return;
  }
  const PeerHooks::Done done = std::move(found->second.done);
  const std::string node = members_[found->second.to].vm.node;
  found->second.done = nullptr;
  // The request may still arrive after the caller has given up.
  if (!found->second.request || calm_ || Draw(2) == 0) {
    calls_.erase(found);
  }
  if (done) {
    done(Lost(node));
  }
}

void Cluster::DeliverDigest(std::size_t aAt)
{
  const Digest digest = std::move(digests_[aAt]);
  digests_.erase(digests_.begin() + static_cast<std::ptrdiff_t>(aAt));
  if (IsRunning(digest.to, digest.toNumber) && !IsCut(digest.from, digest.to)) {
    members_[digest.to].node->OnDigest(
      { members_[digest.from].vm.node, digest.fromNumber }, digest.digest);
  }
}

void Cluster::DeliverAll()
{
  while (!digests_.empty()) {
    DeliverDigest(0);
  }
  std::vector<std::uint64_t> ids;
  for (const auto& [id, call] : calls_) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    DeliverCall(id);
  }
}

// Endpoints.

void Cluster::Send(std::size_t aNode, const Attempt& aAttempt)
{
  const Member& member = members_[aNode];
  oracle_.Trace(member.vm.node + " sends " + std::to_string(aAttempt.id) +
                " of " + aAttempt.group->spec.payloads[aAttempt.index] +
                " to " + aAttempt.endpoint);
  oracle_.Started(aAttempt);
  if (member.leaving.count(aAttempt.endpoint) > 0) {
    oracle_.Violate("R6: " + member.vm.node + " sends to " + aAttempt.endpoint +
                    " which is leaving");
  }
  underWay_.push_back(
    { aNode, member.self.number, aAttempt, now_ + aAttempt.limit, false });
}

void Cluster::FinishOne(std::size_t aAt, AttemptEnd aEnd)
{
  UnderWay one = std::move(underWay_[aAt]);
  underWay_.erase(underWay_.begin() + static_cast<std::ptrdiff_t>(aAt));
  // A node that has given an attempt up was told no "not started".
  if (aEnd == AttemptEnd::NotStarted && now_ >= one.limit) {
    aEnd = AttemptEnd::Unknown;
  }
  const Attempt& attempt = one.attempt;
  if (aEnd == AttemptEnd::NotStarted) {
    oracle_.NotStarted(attempt);
  }
  AttemptResult result;
  result.end = aEnd;
  switch (aEnd) {
    case AttemptEnd::Succeeded:
      result.body =
        Oracle::BodyFor(attempt.group->spec.payloads[attempt.index]);
      break;
    case AttemptEnd::Failed:
      result.reason = Reason::EndpointFailed;
      break;
    case AttemptEnd::NotStarted:
      result.reason = Reason::EndpointRefused;
      break;
    case AttemptEnd::Unknown:
      result.reason = Reason::ConnectionLost;
      break;
  }
  oracle_.Trace(NowText() + "attempt " + std::to_string(attempt.id) + " of n" +
                std::to_string(one.node) + " ends as " +
                std::to_string(static_cast<int>(aEnd)));
  const std::size_t node = one.node;
  const std::uint64_t incarnation = one.incarnation;
  const AttemptId id = attempt.id;
  ended_.push_back(std::move(one));
  if (ended_.size() > 32) {
    ended_.erase(ended_.begin());
  }
  if (IsRunning(node, incarnation)) {
    members_[node].node->FinishAttempt(id, std::move(result));
  }
}

// The platform.

void Cluster::GiveList(std::size_t aNode)
{
  Member& member = members_[aNode];
  member.leaving.clear();
  for (const EndpointDescription& endpoint : platform_.endpoints) {
    if (endpoint.leaving) {
      member.leaving.insert(endpoint.id);
    }
  }
  member.node->SetVmList(platform_);
}

void Cluster::ReadLog(std::size_t aNode)
{
  Member& member = members_[aNode];
  const auto page = log_.Read(member.reader->Position().position);
  if (page.has_value()) {
    member.reader->Feed(page.value());
  }
  CheckConfiguration(aNode);
  // Callers that wait at this node for their claim to be read.
  for (const std::size_t submission : std::exchange(member.waiting, {})) {
    SubmitKeyAt(aNode, submission);
  }
}

void Cluster::AppendDue(std::size_t aNode)
{
  Node& node = *members_[aNode].node;
  if (const auto batch = node.Claims().TakeBatch()) {
    node.Claims().BatchEnded(*batch,
                             log_.Append(*batch, calm_ ? 1 : Draw(1U << 16U)));
  }
  node.AppendDue();
}

void Cluster::CheckConfiguration(std::size_t aNode)
{
  const Member& member = members_[aNode];
  if (const auto state = member.node->Configurations().Current()) {
    oracle_.Configured(member.self.number, *state);
  }
}

// Commands.

std::optional<std::size_t> Cluster::AnyRunning(std::uint32_t aNumber) const
{
  for (std::size_t at = 0; at < kNodes; ++at) {
    const std::size_t node = (aNumber + at) % kNodes;
    if (members_[node].node) {
      return node;
    }
  }
  return std::nullopt;
}

JobSpec Cluster::MakeSpec(const Command& aCommand)
{
  JobSpec spec;
  spec.caller = aCommand.second % 2 == 0 ? "menders" : "traders";
  spec.kind = aCommand.second % 3 == 0 ? "quote" : "check";
  spec.idempotent = aCommand.second % 5 == 0;
  if (aCommand.second % 7 == 0) {
    spec.deadline = std::chrono::seconds(1 + (aCommand.second / 7) % 4);
  }
  const std::uint32_t place = aCommand.third % 12;
  if (place < 4) {
    spec.selector =
      Selector::Parse(place < 2 ? "zone = z2" : "zone = z1").value();
  } else if (place == 4) {
    spec.selector = Selector::Parse("endpoint = e0").value();
  } else if (place == 5) {
    spec.needs.cores = 64; // No endpoint has as many.
  }
  return spec;
}

void Cluster::SubmitAt(std::size_t aNode, std::size_t aSubmission)
{
  oracle_.Tried(aSubmission, now_);
  const SubmissionModel& model = oracle_.Submissions()[aSubmission];
  const auto submitted =
    members_[aNode].node->Submit(*model.id, JobSpec(model.spec));
  oracle_.Trace(NowText() + "submit " + std::to_string(aSubmission) + " at n" +
                std::to_string(aNode) + ": " +
                (submitted.has_error() ? submitted.error().Describe() : "ok"));
  if (submitted.has_error()) {
    oracle_.Refused(aSubmission, submitted.error());
  } else {
    oracle_.Accepted(aSubmission);
  }
}

void Cluster::SubmitNew(const Command& aCommand)
{
  const auto issuer = AnyRunning(aCommand.first);
  const auto entry = AnyRunning(aCommand.third);
  if (!issuer) {
    return;
  }
  const auto id = members_[*issuer].node->ReserveIds(1);
  if (id.has_error()) {
    return;
  }
  JobSpec spec = MakeSpec(aCommand);
  const std::size_t tasks = spec.idempotent ? 1 : 1 + aCommand.first / 3 % 4;
  const std::size_t number = oracle_.Add(std::move(spec), tasks);
  oracle_.Submissions()[number].id = id.value();
  // Some ids are used for the first time much later.
  if (aCommand.first / 16 % 8 != 0) {
    SubmitAt(*entry, number);
  }
}

void Cluster::SubmitAgain(const Command& aCommand)
{
  const auto entry = AnyRunning(aCommand.first);
  const std::size_t count = oracle_.Submissions().size();
  if (!entry || count == 0) {
    return;
  }
  std::size_t number = aCommand.second % count;
  if (aCommand.third % 2 == 0) {
    number = count - 1 - aCommand.second % std::min<std::size_t>(count, 8);
  }
  if (oracle_.Submissions()[number].key) {
    SubmitKeyAt(*entry, number);
  } else {
    SubmitAt(*entry, number);
  }
}

void Cluster::SubmitOther(const Command& aCommand)
{
  const auto entry = AnyRunning(aCommand.first);
  const std::size_t count = oracle_.Submissions().size();
  if (!entry || count == 0) {
    return;
  }
  const SubmissionModel& used = oracle_.Submissions()[aCommand.second % count];
  if (!used.id || used.key) {
    return;
  }
  const SubmissionId id = *used.id;
  const std::size_t number = oracle_.Add(MakeSpec(aCommand), 1);
  oracle_.Submissions()[number].id = id;
  SubmitAt(*entry, number);
}

void Cluster::SubmitKey(const Command& aCommand)
{
  const auto entry = AnyRunning(aCommand.first);
  if (!entry) {
    return;
  }
  const auto epoch = members_[*entry].node->Claims().CurrentEpoch();
  if (epoch.has_error()) {
    return;
  }
  const std::size_t number =
    oracle_.Add(MakeSpec(aCommand), 1 + aCommand.first / 3 % 2);
  SubmissionModel& model = oracle_.Submissions()[number];
  model.key = KeyHash::Of(model.spec.caller, std::to_string(number));
  model.epoch = epoch.value();
  SubmitKeyAt(*entry, number);
  // A caller that lost the answer comes again through another node.
  const auto other = AnyRunning(aCommand.third);
  if (aCommand.second % 2 == 0 && other) {
    SubmitKeyAt(*other, number);
  }
}

void Cluster::SubmitKeyAt(std::size_t aNode, std::size_t aSubmission)
{
  Member& member = members_[aNode];
  SubmissionModel& model = oracle_.Submissions()[aSubmission];
  oracle_.Tried(aSubmission, now_);
  // SubmitByKey waits for the log, which this thread feeds, unless the claim
  // was read; until then SubmitHeldKey asks for the claim without waiting.
  const bool isDecided = member.keysRead.count(model.key->low) > 0;
  const auto submitted =
    isDecided
      ? member.node->SubmitByKey(*model.key, model.epoch, JobSpec(model.spec))
      : member.node->SubmitHeldKey(
          *model.key, model.epoch, JobSpec(model.spec));
  oracle_.Trace(NowText() + "submit by key " + std::to_string(aSubmission) +
                " at n" + std::to_string(aNode) + ": " +
                (submitted.has_error() ? submitted.error().Describe()
                                       : submitted.value().Text()));
  if (submitted.has_error()) {
    oracle_.Refused(aSubmission, submitted.error());
    if (!isDecided) {
      member.waiting.insert(aSubmission);
    }
    return;
  }
  if (model.id && !(*model.id == submitted.value()) &&
      oracle_.IsOver(*model.id)) {
    oracle_.Violate("R1: key of submission " + std::to_string(aSubmission) +
                    " got a second id");
  }
  model.id = submitted.value();
  oracle_.Accepted(aSubmission);
}

void Cluster::Fetch(std::size_t aNode, const SubmissionId& aId)
{
  const auto answer = members_[aNode].node->WaitFor(aId, Duration{ 0 });
  if (answer.has_value()) {
    oracle_.Answered(answer.value());
    return;
  }
  if (answer.error().ran == Ran::NotRun) {
    for (std::size_t at = 0; at < oracle_.Submissions().size(); ++at) {
      if (oracle_.Submissions()[at].id == aId) {
        oracle_.Refused(at, answer.error());
      }
    }
  }
}

void Cluster::Cancel(const Command& aCommand)
{
  const auto entry = AnyRunning(aCommand.first);
  const std::size_t count = oracle_.Submissions().size();
  if (!entry || count == 0) {
    return;
  }
  // Mostly a recent submission, which may be under way.
  const std::size_t back = aCommand.second % std::min<std::size_t>(count, 8);
  const SubmissionModel& model = oracle_.Submissions()[count - 1 - back];
  if (model.id) {
    oracle_.Trace("cancel " + std::to_string(count - 1 - back));
    if (members_[*entry].node->Cancel(*model.id).has_value()) {
      oracle_.Cancelled(*model.id);
    }
  }
}

void Cluster::Finish(const Command& aCommand)
{
  if (underWay_.empty()) {
    return;
  }
  constexpr AttemptEnd kEnds[] = {
    AttemptEnd::Succeeded,  AttemptEnd::Succeeded,  AttemptEnd::Succeeded,
    AttemptEnd::Succeeded,  AttemptEnd::Succeeded,  AttemptEnd::Failed,
    AttemptEnd::NotStarted, AttemptEnd::NotStarted, AttemptEnd::Unknown,
  };
  FinishOne(aCommand.first % underWay_.size(),
            kEnds[aCommand.second % std::size(kEnds)]);
}

void Cluster::Deliver(const Command& aCommand)
{
  for (std::uint32_t at = 0; at < 1 + aCommand.third % 3; ++at) {
    if (!digests_.empty()) {
      DeliverDigest(aCommand.first % digests_.size());
    }
    if (!calls_.empty()) {
      auto call = calls_.begin();
      std::advance(call, aCommand.second % calls_.size());
      DeliverCall(call->first);
    }
  }
}

void Cluster::DropCall(const Command& aCommand)
{
  if (!calls_.empty()) {
    auto call = calls_.begin();
    std::advance(call, aCommand.first % calls_.size());
    oracle_.Trace("drop call " + std::to_string(call->first));
    EndCall(call->first);
  }
  if (!digests_.empty()) {
    digests_.erase(digests_.begin() + static_cast<std::ptrdiff_t>(
                                        aCommand.second % digests_.size()));
  }
}

void Cluster::Advance(Duration aTime)
{
  now_ += aTime;
  std::vector<std::uint64_t> late;
  for (const auto& [id, call] : calls_) {
    if (call.limit < now_) {
      late.push_back(id);
    }
  }
  for (const std::uint64_t id : late) {
    EndCall(id);
  }
}

void Cluster::TickOne(std::size_t aNode)
{
  members_[aNode].node->Tick();
  AppendDue(aNode);
  CheckConfiguration(aNode);
}

void Cluster::Configure(const Command& aCommand)
{
  const auto node = AnyRunning(aCommand.first);
  if (!node) {
    return;
  }
  const auto state = members_[*node].node->Configurations().Current();
  Configuration document;
  CallerQuota quota;
  quota.caller = "document " + std::to_string(nextDocument_++);
  document.callers.push_back(quota);
  if (aCommand.second % 4 == 0) {
    document.drained.push_back(Selector::Parse("endpoint = e1").value());
  }
  documents_[quota.caller] = document;
  ConfigurationChange change;
  // Some operators act on a version that is no longer current.
  change.base = state ? state->version : 0;
  change.base -= change.base > 0 && aCommand.third % 3 == 0 ? 1 : 0;
  change.nonce = random_();
  change.document = std::make_shared<const Configuration>(document);
  const LogOffset before = log_.Next();
  static_cast<void>(log_.Append(change, Draw(1U << 16U)));
  if (log_.Next() > before) {
    oracle_.Logged(change);
  }
}

void Cluster::Apply(const Command& aCommand)
{
  const std::size_t node = aCommand.first % kNodes;
  const auto running = AnyRunning(aCommand.first);
  switch (aCommand.kind) {
    case CommandKind::SubmitNew:
      SubmitNew(aCommand);
      break;
    case CommandKind::SubmitAgain:
      SubmitAgain(aCommand);
      break;
    case CommandKind::SubmitOther:
      SubmitOther(aCommand);
      break;
    case CommandKind::SubmitKey:
      SubmitKey(aCommand);
      break;
    case CommandKind::Cancel:
      Cancel(aCommand);
      break;
    case CommandKind::Fetch: {
      const std::size_t count = oracle_.Submissions().size();
      if (running && count > 0 &&
          oracle_.Submissions()[aCommand.second % count].id) {
        Fetch(*running, *oracle_.Submissions()[aCommand.second % count].id);
      }
      break;
    }
    case CommandKind::Finish:
      Finish(aCommand);
      break;
    case CommandKind::FinishAgain:
      if (!ended_.empty()) {
        const UnderWay& one = ended_[aCommand.first % ended_.size()];
        if (IsRunning(one.node, one.incarnation)) {
          AttemptResult result;
          result.end = static_cast<AttemptEnd>(aCommand.second % 4);
          result.reason = Reason::ConnectionLost;
          result.body = "a second answer";
          oracle_.Trace("attempt " + std::to_string(one.attempt.id) +
                        " ends again");
          members_[one.node].node->FinishAttempt(one.attempt.id,
                                                 std::move(result));
        }
      }
      break;
    case CommandKind::Deliver:
      Deliver(aCommand);
      break;
    case CommandKind::DropCall:
      DropCall(aCommand);
      break;
    case CommandKind::Advance:
      Advance(std::chrono::milliseconds(aCommand.first % 800));
      break;
    case CommandKind::Tick:
      if (running) {
        TickOne(*running);
      }
      break;
    case CommandKind::Partition:
      oracle_.Trace("partition");
      zonesCut_ = true;
      for (std::size_t at = 0; at < kNodes; ++at) {
        for (std::size_t other = 0; other < kNodes; ++other) {
          if (IsCut(at, other)) {
            LoseLink(at, other);
          }
        }
      }
      break;
    case CommandKind::Heal:
      zonesCut_ = false;
      break;
    case CommandKind::Crash:
      if (members_[node].node) {
        oracle_.Trace("crash of n" + std::to_string(node));
        End(node);
      }
      break;
    case CommandKind::Restart:
      if (!members_[node].node) {
        oracle_.Trace("start of n" + std::to_string(node));
        Start(node);
      }
      break;
    case CommandKind::Stop:
      oracle_.Trace("stop of n" + std::to_string(node));
      Stop(node);
      break;
    case CommandKind::SetVmList:
      if (running) {
        GiveList(*running);
      }
      break;
    case CommandKind::MarkLeaving:
      platform_.endpoints[aCommand.second % kEndpoints].leaving =
        aCommand.third % 2 == 0;
      break;
    case CommandKind::Configure:
      Configure(aCommand);
      break;
    case CommandKind::ReadLog:
      if (running) {
        ReadLog(*running);
      }
      break;
    case CommandKind::LogOutage:
      log_.SetDown(aCommand.first % 3 == 0);
      break;
    case CommandKind::LogRetention:
      log_.Retain(aCommand.first % 16);
      break;
    case CommandKind::Where:
      if (running) {
        static_cast<void>(
          members_[*running].node->Where({}, std::chrono::seconds(1)));
      }
      break;
  }
  AdvanceStops();
}

void Cluster::Quiesce()
{
  calm_ = true;
  zonesCut_ = false;
  log_.SetDown(false);
  for (EndpointDescription& endpoint : platform_.endpoints) {
    endpoint.leaving = false;
  }
  for (int step = 0; step < kQuietSteps; ++step) {
    Advance(kQuietStep);
    bool isBusy = !calls_.empty() || !underWay_.empty();
    for (std::size_t at = 0; at < kNodes; ++at) {
      if (members_[at].node) {
        GiveList(at);
        ReadLog(at);
        TickOne(at);
        isBusy = isBusy || members_[at].node->Jobs().RunningCount() > 0 ||
                 members_[at].stage != Stage::Serving;
      }
    }
    DeliverAll();
    while (!underWay_.empty()) {
      FinishOne(0, AttemptEnd::Succeeded);
    }
    AdvanceStops();
    if (!isBusy) {
      break;
    }
  }
  for (std::size_t at = 0; at < kNodes; ++at) {
    Member& member = members_[at];
    if (!member.node) {
      continue;
    }
    if (member.node->Jobs().RunningCount() > 0) {
      oracle_.Violate("R2: jobs of " + member.vm.node + " never end");
    }
    if (member.stage == Stage::Leaving || member.stage == Stage::ShuttingDown) {
      oracle_.Violate("R7: " + member.vm.node + " never becomes idle");
    }
    for (const SubmissionModel& model : oracle_.Submissions()) {
      if (model.id && model.id->home == member.self) {
        Fetch(at, *model.id);
      }
    }
  }
}

}
