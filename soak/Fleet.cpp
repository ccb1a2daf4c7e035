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
constexpr unsigned kEndpointProxyGroup = 6; //!< And one more for each view.
constexpr unsigned kCallerProxyGroup = 10;

constexpr std::string_view kDaemonName = "daemon-";

std::string DaemonName(std::size_t aDaemon)
{
  return std::string(kDaemonName) + std::to_string(aDaemon);
}

//! A link's first frame, a heartbeat, begins with the sender.
std::string FindDaemonName(std::string_view aBytes)
{
  const std::size_t begin = aBytes.find(kDaemonName);
  if (begin == std::string_view::npos) {
    return {};
  }
  const std::size_t end =
    aBytes.find_first_not_of("0123456789", begin + kDaemonName.size());
  return std::string(aBytes.substr(begin, end - begin));
}

std::size_t ZoneOf(std::string_view aDaemonName)
{
  return std::stoul(std::string(aDaemonName.substr(kDaemonName.size()))) %
         Fleet::kZones;
}

}

Fleet::Fleet(boost::asio::io_context& aContext,
             const FleetOptions& aOptions,
             Ledger& aLedger)
  : context_(aContext)
  , options_(aOptions)
  , ledger_(aLedger)
  , dice_(aOptions.seed)
  , viewDice_(~aOptions.seed)
  , daemons_(aOptions.daemons)
  , endpoints_(aOptions.endpoints)
{
  for (std::size_t view = 0; view < Views(); ++view) {
    stores_.push_back(std::make_unique<StoreStandIn>(
      context_, At(kStoreGroup, view, kStorePort)));
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    daemons_[i].links =
      std::make_unique<FaultProxy>(context_,
                                   At(kLinkProxyGroup, i, kLinkPort),
                                   At(kDaemonGroup, i, kLinkPort),
                                   dice_.Next(),
                                   FindDaemonName);
    daemons_[i].store =
      std::make_unique<FaultProxy>(context_,
                                   At(kStoreProxyGroup, i, kStorePort),
                                   At(kStoreGroup, ViewOf(i), kStorePort),
                                   dice_.Next());
    if (Kind().isZoned) {
      daemons_[i].callers =
        std::make_unique<FaultProxy>(context_,
                                     At(kCallerProxyGroup, i, kCallerPort),
                                     At(kDaemonGroup, i, kCallerPort),
                                     viewDice_.Next());
    }
  }
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    for (std::size_t view = 0; view < Views(); ++view) {
      const auto group = kEndpointProxyGroup + static_cast<unsigned>(view);
      endpoints_[i].proxies.push_back(
        std::make_unique<FaultProxy>(context_,
                                     At(group, i, kEndpointPort),
                                     At(kEndpointGroup, i, kEndpointPort),
                                     (view == 0 ? dice_ : viewDice_).Next()));
    }
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
  const unsigned group = Kind().isZoned ? kCallerProxyGroup : kDaemonGroup;
  return Ip(group, aDaemon) + ":" + std::to_string(kCallerPort);
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
    { "name", DaemonName(aDaemon) },
    { "zone", "z" + std::to_string(aDaemon % kZones) },
    { "ip", Ip(kLinkProxyGroup, aDaemon) },
    { "listenIp", own },
    { "cores", 1 },
    { "callers", own + ":" + std::to_string(kCallerPort) },
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
  slot.readUpTo = 0;
  slot.leadsSince.clear();
  slot.hasYielded = false;
  logFiles_.emplace_back(aDaemon, LogFile(aDaemon));
  const std::vector<std::string> arguments{ "--settings", settingsFile };
  slot.process.reset(); // The one before has ended, or is killed here.
  slot.process = std::make_unique<Testing::Process>(
    options_.daemonProgram, arguments, logFiles_.back().second);
}

void Fleet::SignalDaemon(std::size_t aDaemon, int aSignal)
{
  daemons_[aDaemon].process->Signal(aSignal);
}

std::optional<int> Fleet::DaemonExit(std::size_t aDaemon)
{
  return daemons_[aDaemon].process->GetExitCode();
}

void Fleet::ReadTerms(std::size_t aDaemon)
{
  DaemonSlot& slot = daemons_[aDaemon];
  std::ifstream file(LogFile(aDaemon));
  file.seekg(slot.readUpTo);
  for (std::string line; std::getline(file, line) && !file.eof();) {
    slot.readUpTo = file.tellg();
    if (line.find(R"("step":"lead")") == std::string::npos) {
      continue;
    }
    const json record = json::parse(line, nullptr, false);
    if (record.is_object() && record.value("message", "") == "taking over") {
      slot.leadsSince = record.value("time", "");
      slot.hasYielded = false;
    } else {
      slot.hasYielded = true;
    }
  }
}

std::optional<std::size_t> Fleet::Leader()
{
  std::optional<std::size_t> leader;
  std::string latest;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    ReadTerms(i);
    if (daemons_[i].leadsSince > latest) {
      latest = daemons_[i].leadsSince;
      leader = i;
    }
  }
  return leader;
}

std::vector<std::size_t> Fleet::Leaders()
{
  std::vector<std::size_t> leaders;
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    ReadTerms(i);
    if (!daemons_[i].leadsSince.empty() && !daemons_[i].hasYielded) {
      leaders.push_back(i);
    }
  }
  return leaders;
}

void Fleet::StartEndpoint(std::size_t aEndpoint)
{
  EndpointSlot& slot = endpoints_[aEndpoint];
  slot.id =
    "e" + std::to_string(aEndpoint) + "-" + std::to_string(++slot.lives);
  slot.bornMs = WallNowMs();
  eventFiles_.push_back(options_.folder + "/" + slot.id + ".events");
  const std::vector<double>& speeds = Kind().speeds;
  const std::vector<std::string> arguments{
    "--address",    Ip(kEndpointGroup, aEndpoint),
    "--port",       std::to_string(kEndpointPort),
    "--id",         slot.id,
    "--cpu-millis", std::to_string(Kind().endpointCpuMillis),
    "--speed",      std::to_string(speeds[aEndpoint % speeds.size()]),
    "--born",       std::to_string(slot.bornMs),
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
  json record{
    { "service", "work" },
    { "zone", "z" + std::to_string(aEndpoint % kZones) },
    { "state", aDraining ? "draining" : "ready" },
    { "capacity",
      { { "cpu", Kind().endpointCpuMillis },
        { "mem_mb", 65536 },
        { "gpus", 0 } } },
    { "labels", json::array({ "a", "rack-1" }) },
    { "born", slot.bornMs },
  };
  Put(Platform::Protocol::kEndpointTopic, slot.id, [&](std::size_t aView) {
    const auto group = kEndpointProxyGroup + static_cast<unsigned>(aView);
    record["address"] =
      Ip(group, aEndpoint) + ":" + std::to_string(kEndpointPort);
    return record.dump();
  });
}

void Fleet::Put(const std::string& aTopic,
                const std::string& aKey,
                const std::function<std::string(std::size_t aView)>& aValue)
{
  for (std::size_t view = 0; view < stores_.size(); ++view) {
    stores_[view]->Put(aTopic, aKey, aValue(view));
  }
}

void Fleet::SetStoreMode(StoreStandIn::Mode aMode)
{
  for (const auto& store : stores_) {
    store->SetMode(aMode);
  }
}

void Fleet::ForEachProxy(std::size_t aEndpoint,
                         const std::function<void(FaultProxy&)>& aHook)
{
  for (const auto& proxy : endpoints_[aEndpoint].proxies) {
    aHook(*proxy);
  }
}

void Fleet::ForEachBorder(
  std::size_t aZone,
  const std::function<void(FaultProxy&, const CutHook&)>& aHook)
{
  const auto all = [](std::string_view) { return true; };
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const bool isInside = i % kZones == aZone;
    aHook(*daemons_[i].links, [aZone, isInside](std::string_view aClient) {
      return !aClient.empty() && (ZoneOf(aClient) == aZone) != isInside;
    });
    if (isInside) {
      aHook(*daemons_[i].store, all);
    }
  }
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    for (std::size_t view = 0; view < endpoints_[i].proxies.size(); ++view) {
      if ((i % kZones == aZone) != (view == aZone)) {
        aHook(*endpoints_[i].proxies[view], all);
      }
    }
  }
}

void Fleet::CutZone(std::size_t aZone)
{
  ForEachBorder(aZone, [](FaultProxy& aProxy, const CutHook& aIsCut) {
    aProxy.Cut(CutScope::Zone, aIsCut);
  });
}

void Fleet::MendZones()
{
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    ForEachBorder(zone, [](FaultProxy& aProxy, const CutHook&) {
      aProxy.Mend(CutScope::Zone);
    });
  }
}

void Fleet::ResetZone(std::size_t aZone)
{
  ForEachBorder(aZone, [](FaultProxy& aProxy, const CutHook& aIsCut) {
    aProxy.Reset(aIsCut);
  });
}

void Fleet::Unlist(std::size_t aEndpoint)
{
  for (const auto& store : stores_) {
    store->Remove(Platform::Protocol::kEndpointTopic, endpoints_[aEndpoint].id);
  }
}

void Fleet::Configure()
{
  version_ += 1 + dice_.Next() % 3;
  json routes = json::array();
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const std::string address = CallerAddress(i);
    for (const RouteRule& rule : Kind().routes) {
      routes.push_back({ { "name", rule.name },
                         { "host", address.substr(0, address.find(':')) },
                         { "path_prefix", "/" + rule.name + "/" },
                         { "service", "work" },
                         { "target_latency_ms", 60 },
                         { "stretch", 1.6 },
                         { "attempts", rule.attempts },
                         { "priority", rule.priority } });
    }
  }
  const json configuration{ { "version", version_ }, { "routes", routes } };
  Put(Platform::Protocol::kOperatorTopic,
      Platform::Protocol::kConfigurationKey,
      [&](std::size_t) { return configuration.dump(); });
}

void Fleet::CollectEvents()
{
  for (const std::string& path : eventFiles_) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
      const json event = json::parse(line, nullptr, false);
      if (event.is_object()) { // Else the line that a kill cut off.
        RunRecord record{ event.at("endpoint"),
                          event.at("task"),
                          event.at("run"),
                          event.at("event"),
                          TimePoint(Duration(event.at("atUs"))),
                          std::nullopt };
        if (event.contains("leaseEndUs")) {
          record.leaseEnd = TimePoint(Duration(event.at("leaseEndUs")));
        }
        ledger_.Add(std::move(record));
      }
    }
  }
}

void Fleet::ReadLogs(
  const std::function<void(std::size_t aDaemon, std::string_view aLine)>& aHook)
  const
{
  for (const auto& [daemon, path] : logFiles_) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
      aHook(daemon, line);
    }
  }
}

std::size_t Fleet::BadLogLines() const
{
  std::size_t bad = 0;
  for (const auto& [daemon, path] : logFiles_) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
      // The last line of a killed process may be cut off.
      bad += json::accept(line) || file.peek() == EOF ? 0 : 1;
    }
  }
  return bad;
}

}
