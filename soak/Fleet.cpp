#include "soak/Fleet.h"

#include "platform/Protocol.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>

namespace hemlockhaven::Soak {

namespace {

using nlohmann::json;

constexpr std::uint16_t kCallerPort = 7001;
constexpr std::uint16_t kReadinessPort = 7002;
constexpr std::uint16_t kLinkPort = 7003;
constexpr std::uint16_t kMetricsPort = 7004;
constexpr std::uint16_t kStorePort = 7005;
constexpr std::uint16_t kEndpointPort = 7006;

//! Groups of addresses: the third byte.
constexpr unsigned kDaemonGroup = 1;
constexpr unsigned kLinkProxyGroup = 2;
constexpr unsigned kStoreGroup = 3;
constexpr unsigned kStoreProxyGroup = 4;
constexpr unsigned kEndpointGroup = 5;
constexpr unsigned kEndpointProxyGroup = 6;

constexpr std::size_t kZones = 3;

}

Fleet::Fleet(boost::asio::io_context& aContext,
             const FleetOptions& aOptions,
             Ledger& aLedger)
  : context_(aContext)
  , options_(aOptions)
  , ledger_(aLedger)
  , dice_(aOptions.seed)
  , store_(aContext, At(kStoreGroup, 0, kStorePort))
  , daemons_(aOptions.daemons)
  , endpoints_(aOptions.endpoints)
{
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    daemons_[i].links =
      std::make_unique<FaultProxy>(context_,
                                   At(kLinkProxyGroup, i, kLinkPort),
                                   At(kDaemonGroup, i, kLinkPort),
                                   dice_.Next());
    daemons_[i].store =
      std::make_unique<FaultProxy>(context_,
                                   At(kStoreProxyGroup, i, kStorePort),
                                   At(kStoreGroup, 0, kStorePort),
                                   dice_.Next());
  }
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    endpoints_[i].proxy =
      std::make_unique<FaultProxy>(context_,
                                   At(kEndpointProxyGroup, i, kEndpointPort),
                                   At(kEndpointGroup, i, kEndpointPort),
                                   dice_.Next());
    StartEndpoint(i);
  }
  Configure();
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    StartDaemon(i);
  }
}

std::string Fleet::Ip(unsigned aGroup, std::size_t aNumber) const
{
  return "127." + std::to_string(options_.network) + "." +
         std::to_string(aGroup) + "." + std::to_string(aNumber + 1);
}

FaultProxy::Address Fleet::At(unsigned aGroup,
                              std::size_t aNumber,
                              std::uint16_t aPort) const
{
  return { boost::asio::ip::make_address(Ip(aGroup, aNumber)), aPort };
}

std::string Fleet::CallerAddress(std::size_t aDaemon) const
{
  return Ip(kDaemonGroup, aDaemon) + ":" + std::to_string(kCallerPort);
}

std::string Fleet::LogFile(std::size_t aDaemon) const
{
  return options_.folder + "/daemon-" + std::to_string(aDaemon) + "." +
         std::to_string(daemons_[aDaemon].lives) + ".log";
}

void Fleet::StartDaemon(std::size_t aDaemon)
{
  DaemonSlot& slot = daemons_[aDaemon];
  json seeds = json::array();
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (i != aDaemon) {
      seeds.push_back(Ip(kLinkProxyGroup, i) + ":" + std::to_string(kLinkPort));
    }
  }
  const std::string own = Ip(kDaemonGroup, aDaemon);
  const json settings{
    { "name", "daemon-" + std::to_string(aDaemon) },
    { "zone", "z" + std::to_string(aDaemon % kZones) },
    { "ip", Ip(kLinkProxyGroup, aDaemon) },
    { "listenIp", own },
    { "cores", 1 },
    { "callers", CallerAddress(aDaemon) },
    { "readiness", own + ":" + std::to_string(kReadinessPort) },
    { "linkPort", kLinkPort },
    { "seeds", seeds },
    { "log", Ip(kStoreProxyGroup, aDaemon) + ":" + std::to_string(kStorePort) },
    { "endpointLeaseMs", 1000 },
    { "stopGraceS", 6 },
    { "metricsPort", kMetricsPort },
    { "logLevel", "info" },
  };
  const std::string settingsFile =
    options_.folder + "/daemon-" + std::to_string(aDaemon) + ".json";
  std::ofstream(settingsFile) << settings.dump(1);
  ++slot.lives;
  logFiles_.push_back(LogFile(aDaemon));
  const std::vector<std::string> arguments{ "--settings", settingsFile };
  slot.process.reset(); // The one before has ended, or is killed here.
  slot.process = std::make_unique<Testing::Process>(
    options_.daemonProgram, arguments, logFiles_.back());
}

void Fleet::SignalDaemon(std::size_t aDaemon, int aSignal)
{
  daemons_[aDaemon].process->Signal(aSignal);
}

std::optional<int> Fleet::DaemonExit(std::size_t aDaemon)
{
  return daemons_[aDaemon].process->GetExitCode();
}

std::optional<std::size_t> Fleet::Leader() const
{
  std::optional<std::size_t> leader;
  std::string latest;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    std::ifstream file(LogFile(i));
    for (std::string line; std::getline(file, line);) {
      if (line.find(R"("step":"lead")") == std::string::npos) {
        continue;
      }
      const json record = json::parse(line, nullptr, false);
      if (record.is_object() && record.value("message", "") == "taking over" &&
          record.value("time", "") > latest) {
        latest = record.value("time", "");
        leader = i;
      }
    }
  }
  return leader;
}

void Fleet::StartEndpoint(std::size_t aEndpoint)
{
  EndpointSlot& slot = endpoints_[aEndpoint];
  slot.id =
    "e" + std::to_string(aEndpoint) + "-" + std::to_string(++slot.lives);
  slot.bornMs = WallNowMs();
  eventFiles_.push_back(options_.folder + "/" + slot.id + ".events");
  const std::vector<std::string> arguments{
    "--address", Ip(kEndpointGroup, aEndpoint),
    "--port",    std::to_string(kEndpointPort),
    "--id",      slot.id,
    "--speed",   aEndpoint % 4 == 0 ? "0.6" : "1.2",
  };
  slot.process = std::make_unique<Testing::Process>(
    options_.endpointProgram, arguments, eventFiles_.back());
  List(aEndpoint, false);
}

void Fleet::KillEndpoint(std::size_t aEndpoint)
{
  EndpointSlot& slot = endpoints_[aEndpoint];
  slot.process->Signal(SIGKILL);
  slot.process->Wait();
  ledger_.Killed(slot.id, SteadyNow());
  Unlist(aEndpoint);
}

void Fleet::SignalEndpoint(std::size_t aEndpoint, int aSignal)
{
  endpoints_[aEndpoint].process->Signal(aSignal);
}

void Fleet::List(std::size_t aEndpoint, bool aDraining)
{
  const EndpointSlot& slot = endpoints_[aEndpoint];
  const json record{
    { "service", "work" },
    { "address",
      Ip(kEndpointProxyGroup, aEndpoint) + ":" +
        std::to_string(kEndpointPort) },
    { "zone", "z" + std::to_string(aEndpoint % kZones) },
    { "state", aDraining ? "draining" : "ready" },
    { "capacity", { { "cpu", 16000 }, { "mem_mb", 65536 }, { "gpus", 0 } } },
    { "labels", json::array({ "a", "rack-1" }) },
    { "born", slot.bornMs },
  };
  store_.Put(Platform::Protocol::kEndpointTopic, slot.id, record.dump());
}

void Fleet::Unlist(std::size_t aEndpoint)
{
  store_.Remove(Platform::Protocol::kEndpointTopic, endpoints_[aEndpoint].id);
}

void Fleet::Configure()
{
  version_ += 1 + dice_.Next() % 3;
  json routes = json::array();
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    routes.push_back({ { "name", "quote" },
                       { "host", Ip(kDaemonGroup, i) },
                       { "path_prefix", "/quote/" },
                       { "service", "work" },
                       { "target_latency_ms", 60 },
                       { "stretch", 1.6 },
                       { "attempts", 3 },
                       { "priority", 0 } });
  }
  const json configuration{ { "version", version_ }, { "routes", routes } };
  store_.Put(Platform::Protocol::kOperatorTopic,
             Platform::Protocol::kConfigurationKey,
             configuration.dump());
}

void Fleet::CollectEvents()
{
  for (const std::string& path : eventFiles_) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
      const json event = json::parse(line, nullptr, false);
      if (event.is_object()) { // Else the line that a kill cut off.
        ledger_.Add(RunRecord{ event.at("endpoint"),
                               event.at("task"),
                               event.at("run"),
                               event.at("event"),
                               TimePoint(Duration(event.at("atUs"))) });
      }
    }
  }
}

std::size_t Fleet::BadLogLines() const
{
  std::size_t bad = 0;
  for (const std::string& path : logFiles_) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
      // The last line of a killed process may be cut off.
      bad += json::accept(line) || file.peek() == EOF ? 0 : 1;
    }
  }
  return bad;
}

}
