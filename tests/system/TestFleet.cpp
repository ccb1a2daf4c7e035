#include "system/TestFleet.h"

#include "http/RawSocket.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace hemlockhaven::Testing {

using nlohmann::json;

namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr auto kConditionLimit = std::chrono::seconds(60);
constexpr auto kConditionInterval = std::chrono::milliseconds(20);

FleetReply Call(std::uint16_t aPort,
                std::string_view aMethod,
                std::string_view aTarget,
                const json& aBody)
{
  const RawSocket socket(aPort);
  socket.Send(
    RequestText(aMethod, aTarget, aBody.is_null() ? "" : aBody.dump()));
  const std::string reply = socket.ReadReply();
  return { StatusIn(reply), json::parse(BodyIn(reply), nullptr, false) };
}

//! Writes a file that readers see whole or not at all.
void WriteWhole(const std::string& aPath, const json& aContent)
{
  const std::string next = aPath + ".next";
  {
    std::ofstream file(next);
    file << aContent.dump(2);
  }
  std::filesystem::rename(next, aPath);
}

std::string ZoneName(std::size_t aIndex)
{
  return "zone-" + std::to_string(aIndex + 1);
}

std::string DaemonName(std::size_t aIndex)
{
  return "vm-" + std::to_string(aIndex + 1);
}

}

std::string FleetReply::ErrorText(const char* aMember) const
{
  if (!body.is_object() || !body.contains("error")) {
    return "";
  }
  return body["error"].value(aMember, std::string());
}

bool FleetReply::HasRetry() const
{
  return body.is_object() && body.contains("error") &&
         body["error"].contains("retryAfterMs");
}

std::uint16_t PortPicker::Pick()
{
  std::uint16_t port = FreePort();
  while (!picked_.insert(port).second) {
    port = FreePort();
  }
  return port;
}

bool WaitUntil(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kConditionLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kConditionInterval);
  }
  return true;
}

TestFleet::TestFleet(std::size_t aDaemons, int aSlots)
  : slots_(aSlots)
  , daemons_(aDaemons)
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "hemlockhaven-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot make a temporary folder");
  }
  folder_ = pattern;
  PortPicker ports;
  log_ = ports.Pick();
  vmList_ = ports.Pick();
  for (Daemon& daemon : daemons_) {
    daemon.callers = ports.Pick();
    daemon.operators = ports.Pick();
    daemon.peers = ports.Pick();
    endpoints_.push_back(ports.Pick());
    endpointStates_.emplace_back("live");
  }
  WriteVmList();
  const auto start = [this](const char* aProgram,
                            const std::vector<std::string>& aArguments) {
    standIns_.push_back(std::make_unique<Process>(
      aProgram, aArguments, folder_ + "/stand-in.out"));
  };
  for (const std::uint16_t port : endpoints_) {
    start(
      HEMLOCKHAVEN_STANDIN_ENDPOINT,
      { "--port", std::to_string(port), "--slots", std::to_string(slots_) });
  }
  start(HEMLOCKHAVEN_STANDIN_LOG, { "--port", std::to_string(log_) });
  start(HEMLOCKHAVEN_STANDIN_VMLIST,
        { "--port", std::to_string(vmList_), "--file", folder_ + "/vms.json" });
  for (std::size_t i = 0; i < Size(); ++i) {
    WriteSettings(i);
    Start(i);
  }
  for (std::size_t i = 0; i < Size(); ++i) {
    if (!WaitUntil([this, i] { return SeesAll(i); })) {
      throw std::runtime_error(DaemonName(i) + " does not become ready");
    }
  }
}

TestFleet::~TestFleet()
{
  daemons_.clear();
  standIns_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

FleetReply TestFleet::Callers(std::size_t aDaemon,
                              std::string_view aMethod,
                              std::string_view aTarget,
                              const json& aBody) const
{
  return Call(daemons_[aDaemon].callers, aMethod, aTarget, aBody);
}

FleetReply TestFleet::Operators(std::size_t aDaemon,
                                std::string_view aMethod,
                                std::string_view aTarget,
                                const json& aBody) const
{
  return Call(daemons_[aDaemon].operators, aMethod, aTarget, aBody);
}

void TestFleet::ControlLog(const json& aBody) const
{
  Call(log_, "POST", "/control", aBody);
}

std::string TestFleet::ReserveId(std::size_t aDaemon) const
{
  const FleetReply reply = Callers(aDaemon, "POST", "/v1/ids");
  return reply.status == 200 ? reply.body["ids"][0].get<std::string>() : "";
}

void TestFleet::Signal(std::size_t aDaemon, int aSignal) const
{
  daemons_[aDaemon].process->Signal(aSignal);
}

std::optional<int> TestFleet::WaitForEnd(std::size_t aDaemon) const
{
  std::optional<int> code;
  WaitUntil([&] {
    code = daemons_[aDaemon].process->GetExitCode();
    return code.has_value();
  });
  return code;
}

void TestFleet::Restart(std::size_t aDaemon)
{
  daemons_[aDaemon].process.reset();
  Start(aDaemon);
}

bool TestFleet::IsReady(std::size_t aDaemon) const
{
  return Operators(aDaemon, "GET", "/readyz").status == 200;
}

bool TestFleet::SeesAll(std::size_t aDaemon) const
{
  if (!IsReady(aDaemon)) {
    return false;
  }
  const FleetReply status = Operators(aDaemon, "GET", "/v1/status");
  if (status.status != 200) {
    return false;
  }
  std::size_t live = 0;
  for (const json& peer : status.body["peers"]) {
    live += peer["state"] == "live" ? 1 : 0;
  }
  return live + 1 == Size() && !status.body["endpoints"].empty();
}

int TestFleet::StartsAt(std::size_t aEndpoint, std::string_view aTag) const
{
  const FleetReply reply = Call(
    endpoints_[aEndpoint], "GET", "/starts?tag=" + std::string(aTag), nullptr);
  return reply.body.value("starts", -1);
}

int TestFleet::AllStartsAt(std::size_t aEndpoint) const
{
  return Call(endpoints_[aEndpoint], "GET", "/starts", nullptr)
    .body.value("total", -1);
}

int TestFleet::Starts(std::string_view aTag) const
{
  int starts = 0;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    starts += StartsAt(i, aTag);
  }
  return starts;
}

bool TestFleet::HaveStarted(Span<const std::string> aTags) const
{
  return std::all_of(
    aTags.begin(), aTags.end(), [this](const std::string& aTag) {
      return Starts(aTag) > 0;
    });
}

void TestFleet::SetEndpointState(std::size_t aEndpoint, std::string_view aState)
{
  endpointStates_[aEndpoint] = aState;
  WriteVmList();
}

bool TestFleet::LogContains(std::string_view aText) const
{
  const FleetReply reply =
    Call(log_, "GET", "/read?from=0&max=100000", nullptr);
  return reply.body.dump().find(aText) != std::string::npos;
}

ToolRun TestFleet::RunTool(std::size_t aDaemon,
                           Span<const std::string> aArguments) const
{
  const auto address = [](std::uint16_t aPort) {
    return std::string(kLoopback) + ":" + std::to_string(aPort);
  };
  std::vector<std::string> arguments(aArguments.begin(), aArguments.end());
  for (std::string word : { std::string("--server"),
                            address(daemons_[aDaemon].callers),
                            std::string("--operators"),
                            address(daemons_[aDaemon].operators) }) {
    arguments.push_back(std::move(word));
  }
  const std::string path = folder_ + "/tool.out";
  Process tool(HEMLOCKHAVEN_TOOL, arguments, path);
  ToolRun run;
  WaitUntil([&] {
    run.exitCode = tool.GetExitCode();
    return run.exitCode.has_value();
  });
  std::ifstream file(path);
  run.output.assign(std::istreambuf_iterator<char>(file), {});
  return run;
}

void TestFleet::WriteVmList() const
{
  json list = json::array();
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    list.push_back({ { "id", "e-" + std::to_string(i + 1) },
                     { "address", kLoopback },
                     { "port", endpoints_[i] },
                     { "zone", ZoneName(i) },
                     { "rack", "r-" + std::to_string(i + 1) },
                     { "role", "endpoint" },
                     { "state", endpointStates_[i] },
                     { "slots", slots_ },
                     { "cores", 4 },
                     { "memoryMb", 1024 },
                     { "accelerators", 0 },
                     { "labels", { { "trade", "canopy" } } } });
  }
  WriteWhole(folder_ + "/vms.json", list);
}

void TestFleet::WriteSettings(std::size_t aDaemon) const
{
  const Daemon& daemon = daemons_[aDaemon];
  json peers = json::array();
  for (std::size_t i = 0; i < Size(); ++i) {
    if (i != aDaemon) {
      peers.push_back({ { "name", DaemonName(i) },
                        { "address", kLoopback },
                        { "port", daemons_[i].peers },
                        { "zone", ZoneName(i) } });
    }
  }
  const json settings = {
    { "name", DaemonName(aDaemon) },
    { "zone", ZoneName(aDaemon) },
    { "callers", { { "port", daemon.callers } } },
    { "operators", { { "port", daemon.operators } } },
    { "peerListen", { { "port", daemon.peers } } },
    { "peers", peers },
    { "platform",
      { { "log", { { "address", kLoopback }, { "port", log_ } } },
        { "vmList", { { "address", kLoopback }, { "port", vmList_ } } } } },
    // Tasks of a few seconds, and pauses of their home, end before it.
    { "limits", { { "attemptFloorMs", 20000 } } },
    { "logLevel", "error" }
  };
  WriteWhole(folder_ + "/" + DaemonName(aDaemon) + ".json", settings);
}

void TestFleet::Start(std::size_t aDaemon)
{
  const std::string settings = folder_ + "/" + DaemonName(aDaemon) + ".json";
  const std::vector<std::string> check{ "--settings",
                                        settings,
                                        "--check-settings" };
  if (Process(HEMLOCKHAVEN_DAEMON, check, folder_ + "/check.out").Wait() != 0) {
    throw std::runtime_error("bad settings " + settings);
  }
  const std::vector<std::string> run{ "--settings", settings };
  daemons_[aDaemon].process =
    std::make_unique<Process>(HEMLOCKHAVEN_DAEMON, run);
}

std::string TaggedPayload(int aMilliseconds, std::string_view aTag)
{
  return json{ { "ms", aMilliseconds }, { "tag", aTag } }.dump();
}

std::vector<std::string> NumberedTags(const std::string& aStem, int aCount)
{
  std::vector<std::string> tags;
  for (int i = 1; i <= aCount; ++i) {
    tags.push_back(aStem + "-" + std::to_string(i));
  }
  return tags;
}

json TaggedRequest(int aMilliseconds, std::string_view aTag)
{
  return { { "caller", "traders" },
           { "kind", "reservation" },
           { "payload", TaggedPayload(aMilliseconds, aTag) } };
}

json TaggedJob(int aMilliseconds, Span<const std::string> aTags)
{
  json tasks = json::array();
  for (const std::string& tag : aTags) {
    tasks.push_back(TaggedPayload(aMilliseconds, tag));
  }
  return { { "caller", "menders" },
           { "kind", "call-out" },
           { "tasks", tasks } };
}

}
