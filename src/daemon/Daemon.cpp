#include "daemon/Daemon.h"

#include "adapters/ConfigurationJson.h"
#include "adapters/HttpLog.h"
#include "adapters/HttpVmList.h"
#include "adapters/RecordCodec.h"
#include "daemon/PeerStatusList.h"
#include "hemlockhaven/history/DescribeRecord.h"
#include "hemlockhaven/history/ParseSince.h"
#include "http/Exposition.h"
#include "logging/Log.h"

#include <algorithm>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace hemlockhaven {

namespace {

// Digests are due every 500 ms; forwarded work and waits that end need less.
constexpr Duration kTickInterval = std::chrono::milliseconds(50);

// Ids that this daemon issues are routed here by its peers, so it is not ready
// before they are linked. A peer that is down must not keep it from serving.
constexpr Duration kLinkLimit = std::chrono::seconds(3);

// Longest wait for the records of other daemons.
constexpr Duration kWhereLimit = std::chrono::milliseconds(500);

// Longest wait for the log's verdict on a change.
constexpr Duration kPublishLimit = std::chrono::seconds(5);

//! How often a shutdown looks whether work is over.
constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(50);

//! Threads of the callers' pool beyond the bound on waiting callers, so that
//! readiness, status and refusals never wait for a thread.
constexpr unsigned kSpareThreads = 64;

std::uint64_t RandomIncarnation()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

NodeLimits NodeLimitsOf(const DaemonSettings& aSettings)
{
  NodeLimits limits;
  limits.dispatcher.shards = aSettings.threads;
  limits.dispatcher.queuedTasks = aSettings.limits.queuedTasks;
  limits.dispatcher.queuedBytes =
    std::min(aSettings.limits.queuedBytes, MaxQueuedBytes(aSettings.memoryMb));
  limits.dispatcher.defaultDeadline = aSettings.limits.defaultDeadline;
  limits.dispatcher.attemptFloor = aSettings.limits.attemptFloor;
  limits.dispatcher.attemptCeiling = aSettings.limits.attemptCeiling;
  limits.jobs.keepFinished = aSettings.limits.keepFinished;
  return limits;
}

std::string DescribeFaults(Span<const ConfigurationFault> aFaults)
{
  std::string text;
  for (const ConfigurationFault& fault : aFaults) {
    text += (text.empty() ? "" : "; ") + fault.Describe();
  }
  return text;
}

Result<Configuration> CheckedConfiguration(
  std::string_view aText,
  const ReserveHook& aReserve = nullptr)
{
  BOOST_OUTCOME_TRY(parsed, ParseConfiguration(aText, aReserve));
  if (!parsed.faults.empty()) {
    return Error::NotRun("check configuration",
                         Reason::ConfigurationInvalid,
                         DescribeFaults(parsed.faults));
  }
  return std::move(parsed.document);
}

EntryVm OwnVmOf(const DaemonSettings& aSettings)
{
  EntryVm vm;
  vm.node = aSettings.name;
  vm.address = aSettings.peerListen.address;
  vm.peerPort = aSettings.peerListen.port;
  vm.zone = aSettings.zone;
  vm.cores = aSettings.cores;
  return vm;
}

std::vector<EntryVm> ConfiguredPeersOf(const DaemonSettings& aSettings)
{
  std::vector<EntryVm> peers;
  for (const PeerSettings& peer : aSettings.peers) {
    if (peer.name != aSettings.name) {
      peers.push_back(
        { peer.name, peer.address, peer.port, peer.zone, peer.cores, false });
    }
  }
  return peers;
}

}

Daemon::Daemon(DaemonSettings aSettings)
  : settings_(std::move(aSettings))
  , plan_(PlanConnections(settings_.memoryMb,
                          DescriptorLimit(),
                          settings_.limits.connections))
  , connectionMemory_(
      std::make_shared<ConnectionMemory>(plan_.budgetBytes, ReturnFreedPages))
{
  ReturnFreedBodies();
  node_ =
    std::make_unique<Node>(Incarnation{ settings_.name, RandomIncarnation() },
                           OwnVmOf(settings_),
                           MakeNodeHooks(),
                           NodeLimitsOf(settings_));
  node_->Peers().AddConfigured(ConfiguredPeersOf(settings_));
  endpointClient_ = std::make_unique<EndpointClient>(
    EndpointClientLimits{},
    settings_.name + "-",
    node_->Counts(),
    [this](AttemptId aId, AttemptResult&& aResult) {
      node_->FinishAttempt(aId, std::move(aResult));
    });
  CallerApi::Limits limits;
  limits.waitingCallers = settings_.limits.waitingCallers;
  callerApi_ = std::make_unique<CallerApi>(*node_, summaries_, limits);
  operatorApi_ = std::make_unique<OperatorApi>(MakeOperatorHooks());
}

Daemon::~Daemon()
{
  ticks_.reset();
  platform_.reset();
  callerServer_.reset();
  operatorServer_.reset();
  peers_.reset();
  isClosing_ = true;
  endpointClient_.reset();
}

void Daemon::Start()
{
  if (!settings_.vmList) {
    node_->SetVmList({ settings_.endpoints, ConfiguredPeersOf(settings_) });
  }
  if (settings_.peerListen.port != 0) {
    peers_ = std::make_unique<PeerConnection>(*node_, settings_);
  }
  StartPlatform();
  HttpServer::Options checks = ServerOptions(settings_.operators);
  checks.connections = kCheckConnections;
  operatorServer_ = std::make_unique<HttpServer>(
    checks, [this](const HttpRequestView& aRequest) {
      return operatorApi_->Handle(aRequest);
    });
  HttpServer::Options options = ServerOptions(settings_.callers);
  options.connections = plan_.connections;
  options.maxThreads =
    static_cast<unsigned>(settings_.limits.waitingCallers) + kSpareThreads;
  callerServer_ = std::make_unique<HttpServer>(
    options, [this](const HttpRequestView& aRequest) {
      return callerApi_->Handle(aRequest);
    });
  ticks_ = std::make_unique<PeriodicTask>(kTickInterval, [this] {
    node_->Tick();
    UpdateLinks();
  });
  startedAt_ = SteadyNow();
  isReady_ = true;
  Log::Info("start")
    .Field("name", settings_.name)
    .Field("zone", settings_.zone)
    .Field("callerPort", settings_.callers.port)
    .Field("operatorPort", settings_.operators.port)
    .Write("ready");
}

HttpServer::Options Daemon::ServerOptions(const SocketAddress& aAddress)
{
  HttpServer::Options options;
  options.address = aAddress.address;
  options.port = aAddress.port;
  // One body must not take the whole budget.
  options.bodyBytes = std::min(settings_.limits.bodyBytes, plan_.maxBodyBytes);
  options.readTimeout = settings_.limits.readTimeout;
  options.receiveBufferBytes = plan_.receiveBufferBytes;
  options.sendBufferBytes = plan_.sendBufferBytes;
  options.common.memory = connectionMemory_;
  options.common.onRejection = [this](RequestError aError) {
    rejected_.Count(aError);
    Log::Info("connection")
      .Field("detail", RequestErrorName(aError))
      .Write("rejected");
  };
  return options;
}

void Daemon::Shutdown()
{
  isReady_ = false;
  node_->BeginLeaving();
  Log::Info("shutdown").Write("readiness withdrawn");
  std::this_thread::sleep_for(settings_.leaveDelay);
  node_->BeginShutdown();
  Log::Info("shutdown").Write("new submissions are refused");
  WaitUntilIdle();
  const auto handedOver = node_->HandOver();
  if (handedOver.has_error()) {
    Log::Warning("shutdown")
      .Cause(handedOver.error())
      .Write("finished answers stay here until the shutdown limit");
    std::this_thread::sleep_for(
      node_->Jobs().Size() > 0 ? settings_.shutdownLimit : Duration{ 0 });
  }
  Log::Info("shutdown").Write("all started work has ended");
  callerServer_.reset();
  operatorServer_.reset();
}

void Daemon::UpdateLinks()
{
  if (!peers_) {
    areLinksUp_ = true;
    return;
  }
  peers_->UpdatePeers();
  if (!areLinksUp_) {
    areLinksUp_ =
      peers_->AreAllLinked() || SteadyNow() - startedAt_ >= kLinkLimit;
  }
}

void Daemon::WaitUntilIdle() const
{
  // Attempts end by their own limits, so that this wait is bounded.
  while (!node_->IsIdle() || callerApi_->WaitingCount() > 0) {
    std::this_thread::sleep_for(kIdleCheckInterval);
  }
}

void Daemon::StartPlatform()
{
  PlatformConnection::Hooks hooks;
  if (settings_.platformLog) {
    hooks.log = MakeHttpLog(
      { settings_.platformLog->address, settings_.platformLog->port });
  }
  if (settings_.vmList) {
    hooks.vmList =
      MakeHttpVmList({ settings_.vmList->address, settings_.vmList->port });
  }
  platform_ = std::make_unique<PlatformConnection>(*node_, std::move(hooks));
}

NodeHooks Daemon::MakeNodeHooks()
{
  NodeHooks hooks;
  hooks.clock = SteadyNow;
  hooks.wallClock = WallNowMs;
  hooks.sendAttempt = [this](const Attempt& aAttempt) {
    if (isClosing_) {
      // The client ends its attempts while it is destroyed, which can place
      // queued tasks; nothing may be sent through it any more.
      node_->FinishAttempt(
        aAttempt.id, { AttemptEnd::NotStarted, Reason::ShuttingDown, "", "" });
      return;
    }
    endpointClient_->Send(aAttempt);
  };
  hooks.random = RandomIncarnation;
  hooks.peers.send = [this](std::string_view aNode, const Message& aMessage) {
    if (peers_) {
      // A lost digest is made up for by the next one.
      static_cast<void>(peers_->Network().Send(aNode, aMessage).has_error());
    }
  };
  hooks.peers.call = [this](std::string_view aNode,
                            const Message& aRequest,
                            Duration aLimit,
                            const PeerHooks::Done& aDone) {
    if (peers_) {
      peers_->Network().Call(aNode, aRequest, aLimit, aDone);
    } else {
      aDone(Error::NotRun(
        "call peer", Reason::HomeUnreachable, "the settings name no peers"));
    }
  };
  if (settings_.platformLog) {
    hooks.appendSnapshot = [this](const ConfigurationState& aState) {
      return platform_->Append(EncodeRecord(aState));
    };
    hooks.appendHistory = [this](const HistoryBatch& aBatch) {
      return platform_->Append(EncodeRecord(aBatch));
    };
  }
  hooks.encodeConfiguration = [](const Configuration& aDocument) {
    return ToJson(aDocument).dump();
  };
  hooks.decodeConfiguration = [](std::string_view aText) {
    return CheckedConfiguration(aText);
  };
  // The settings accept only known names; a name that is missing here ends
  // the start instead of running another policy.
  hooks.policy =
    DispatcherPolicy::ByName(settings_.placementPolicy, settings_.queuePolicy)
      .value();
  return hooks;
}

OperatorHooks Daemon::MakeOperatorHooks()
{
  OperatorHooks hooks;
  hooks.readiness = [this] { return Readiness(); };
  hooks.status = [this] { return Status(); };
  hooks.where = [this](const WhereQuery& aQuery) { return Where(aQuery); };
  hooks.parseSince = [](std::string_view aText) {
    return ParseSince(aText, WallNowMs());
  };
  hooks.configuration = [this] { return ViewConfiguration(); };
  hooks.checkConfiguration = [](std::string_view aDocument,
                                const ReserveHook& aReserve) -> Result<void> {
    BOOST_OUTCOME_TRY(document, CheckedConfiguration(aDocument, aReserve));
    static_cast<void>(document);
    return outcome::success();
  };
  hooks.publishConfiguration =
    [this](std::uint64_t aBase,
           std::string_view aDocument,
           const ReserveHook& aReserve) -> Result<std::uint64_t> {
    BOOST_OUTCOME_TRY(document, CheckedConfiguration(aDocument, aReserve));
    return Publish(aBase, document);
  };
  hooks.drain = [this](const DrainOrder& aOrder) { return Drain(aOrder); };
  hooks.metrics = [this] {
    return WriteExposition(node_->Counts(), summaries_, Status()) +
           WriteConnectionMetrics(rejected_, *connectionMemory_);
  };
  return hooks;
}

Result<void> Daemon::Readiness() const
{
  if (isReady_ && !node_->IsReady()) {
    return Error::NotRun(
      "readiness", Reason::NotReady, "the configuration is not known yet");
  }
  if (isReady_ && !areLinksUp_) {
    return Error::NotRun(
      "readiness", Reason::NotReady, "the peers are not linked yet");
  }
  if (!isReady_) {
    return Error::NotRun(
      "readiness", Reason::ShuttingDown, "this VM is being stopped");
  }
  return outcome::success();
}

NodeStatus Daemon::Status() const
{
  NodeStatus status;
  status.name = settings_.name;
  SubmissionId id{ node_->Self(), 0 };
  // "node.incarnation.sequence" without name and sequence.
  const std::string text = id.Text();
  const std::size_t start = settings_.name.size() + 1;
  status.incarnation = text.substr(start, text.rfind('.') - start);
  status.zone = settings_.zone;
  status.shuttingDown = node_->IsShuttingDown();
  status.queued = node_->Dispatch().QueuedCount();
  status.running = node_->Dispatch().RunningCount();
  status.jobsRunning = node_->Jobs().RunningCount();
  status.jobsKept = node_->Jobs().Size();
  status.waitingCallers = callerApi_->WaitingCount();
  status.ready = !Readiness().has_error();
  const auto configuration = node_->Configurations().Current();
  status.configurationVersion = configuration ? configuration->version : 0;
  status.endpoints = node_->Dispatch().Endpoints();
  status.callers = node_->Dispatch().Callers();
  status.peers = PeerStatusList(node_->Peers().Peers());
  return status;
}

Result<WhereAnswer> Daemon::Where(const WhereQuery& aQuery)
{
  WhereResult found = node_->Where(aQuery, kWhereLimit);
  WhereAnswer answer;
  const std::int64_t now = WallNowMs();
  for (const RequestRecord& record : found.records) {
    answer.sentences.push_back(DescribeRecord(record, now));
  }
  answer.records = std::move(found.records);
  if (found.lost > 0) {
    answer.note = std::to_string(found.lost) +
                  " records were lost and may be missing here. ";
  }
  for (const std::string& node : found.silent) {
    answer.note += "VM " + node + " did not answer. ";
  }
  return answer;
}

Result<ConfigurationView> Daemon::ViewConfiguration() const
{
  const auto state = node_->Configurations().Current();
  if (!state) {
    return Error::NotRun("read configuration",
                         Reason::NotReady,
                         "the configuration is not known yet");
  }
  const Configuration empty;
  return ConfigurationView{
    state->version, ToJson(state->document ? *state->document : empty).dump()
  };
}

Result<std::uint64_t> Daemon::Publish(std::uint64_t aBase,
                                      const Configuration& aDocument)
{
  ConfigurationPublisher* publisher = platform_->GetPublisher();
  if (publisher == nullptr) {
    return Error::NotRun("publish configuration",
                         Reason::LogUnavailable,
                         "the settings name no log");
  }
  const PublishAnswer answer =
    publisher->Publish(aDocument, aBase, kPublishLimit);
  using Outcome = PublishAnswer::Outcome;
  switch (answer.outcome) {
    case Outcome::Accepted:
      return answer.version;
    case Outcome::Conflict:
      return Error::NotRun("publish configuration",
                           Reason::ConfigurationConflict,
                           "version " + std::to_string(answer.version) +
                             " is in force, not the base " +
                             std::to_string(aBase));
    case Outcome::Invalid:
      return Error::NotRun("publish configuration",
                           Reason::ConfigurationInvalid,
                           DescribeFaults(answer.faults));
    case Outcome::Refused:
      return Error::NotRun(
        "publish configuration", Reason::LogUnavailable, answer.detail);
    case Outcome::Unknown:
      break;
  }
  return Error::Unknown("publish configuration",
                        "log",
                        Reason::LogUnavailable,
                        "whether the change counts is not known yet: " +
                          answer.detail);
}

Result<std::size_t> Daemon::Drain(const DrainOrder& aOrder)
{
  const auto state = node_->Configurations().Current();
  if (!state) {
    return Error::NotRun(
      "drain", Reason::NotReady, "the configuration is not known yet");
  }
  Configuration document = state->document ? *state->document : Configuration();
  const auto same = [&aOrder](const Selector& aSelector) {
    return aSelector.Text() == aOrder.selector.Text();
  };
  document.drained.erase(
    std::remove_if(document.drained.begin(), document.drained.end(), same),
    document.drained.end());
  if (aOrder.drain) {
    document.drained.push_back(aOrder.selector);
  }
  BOOST_OUTCOME_TRY(version, Publish(state->version, document));
  static_cast<void>(version);
  return node_->CountListed(aOrder.selector);
}

}
