#include "http/RawSocket.h"
#include "system/HeavyClients.h"
#include "system/Process.h"
#include "system/TestFleet.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

// Last: CppUTest replaces the word new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

constexpr std::size_t kMiB = std::size_t{ 1 } << 20U;
//! Descriptors of the smallest VMs.
constexpr std::size_t kMaxDescriptors = 3075;
constexpr const char* kPost =
  "POST /job/0123456789abcdef HTTP/1.1\r\nHost: h\r\n";

std::string Chunked(const std::string& aBody)
{
  return std::string(kPost) + "Transfer-Encoding: chunked\r\n\r\n" + aBody;
}

std::string Announced(std::size_t aBytes)
{
  return std::string(kPost) + "Content-Length: " + std::to_string(aBytes) +
         "\r\n\r\n";
}

struct CrowdRow
{
  const char* guardsAgainst;
  std::vector<ClientGroup> groups;
};

//! A group stops two bytes short of the end of a body of 1 MiB.
ClientGroup Unfinished(std::size_t aConnections, const std::string& aHead)
{
  return { aConnections, aHead, "x", aHead.size() + kMiB - 2 };
}

const CrowdRow kEndlessTrailers = {
  "trailers after a chunked body that fill the memory",
  { { 8, Chunked("1\r\nx\r\n0\r\n"), "X-Trailer: 0123456789\r\n", 24 * kMiB } }
};

const CrowdRow kLongBodies = {
  "bodies far over the limit that fill the memory, announced or just sent",
  { Unfinished(160, Announced(kMiB)),
    { 20, Announced(1024 * kMiB), "x", 2 * kMiB },
    { 20, Chunked("40000000\r\n"), "x", 2 * kMiB } }
};

const CrowdRow kManyChunkedBodies = {
  "unfinished chunked bodies that fill the memory, in large and small chunks",
  { Unfinished(200, Chunked("100000\r\n")),
    { 40, Chunked(""), "1\r\nx\r\n", kMiB },
    { 20, Chunked(""), "1;extension=0123456789\r\nx\r\n", kMiB } }
};

std::string ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::string LoopbackAddress(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

//! A daemon without a platform, started as a process.
class LoneDaemon
{
public:
  LoneDaemon(const char* aProgram,
             std::uint16_t aCallers,
             std::uint16_t aChecks,
             const nlohmann::json& aSettings)
    : callers(aCallers)
    , checks(aChecks)
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "hemlockhaven-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("cannot make a temporary folder");
    }
    folder_ = pattern;
    const std::string path = folder_ + "/settings.json";
    std::ofstream(path) << aSettings.dump();
    const std::vector<std::string> arguments{ "--settings", path };
    process_ =
      std::make_unique<Process>(aProgram, arguments, folder_ + "/daemon.out");
    CHECK(WaitUntil([this] { return Ask(checks, "GET", "/readyz") > 0; }));
  }
  ~LoneDaemon()
  {
    process_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  LoneDaemon(const LoneDaemon&) = delete;
  LoneDaemon& operator=(const LoneDaemon&) = delete;

  static int Ask(std::uint16_t aPort,
                 std::string_view aMethod,
                 std::string_view aTarget)
  {
    const RawSocket socket(aPort);
    socket.Send(RequestText(aMethod, aTarget));
    return StatusIn(socket.ReadReply());
  }

  bool IsAlive() { return !process_->GetExitCode().has_value(); }

  //! Highest resident memory since the start, in KiB.
  std::size_t PeakKiB() const
  {
    const std::string status = ReadFile(ProcPath() + "/status");
    const std::string key = "VmHWM:";
    const std::size_t at = status.find(key);
    return at == std::string::npos ? 0
                                   : std::stoul(status.substr(at + key.size()));
  }

  //! Waits until the process has used no processor time for a while, so that
  //! it has handled what was sent to it.
  void WaitUntilIdle() const
  {
    constexpr int kChecks = 200;
    constexpr int kIdleChecks = 5;
    int idle = 0;
    std::string last;
    for (int i = 0; i < kChecks && idle < kIdleChecks; ++i) {
      const std::string used = ProcessorTime();
      idle = used == last ? idle + 1 : 0;
      last = used;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }

  std::size_t Descriptors() const
  {
    return static_cast<std::size_t>(std::distance(
      std::filesystem::directory_iterator(ProcPath() + "/fd"), {}));
  }

  const std::uint16_t callers;
  const std::uint16_t checks; //!< Of the balancer or the operators.

private:
  std::string ProcPath() const
  {
    return "/proc/" + std::to_string(process_->Id());
  }

  //! The fields utime and stime.
  std::string ProcessorTime() const
  {
    constexpr int kUserTimeField = 14;
    std::istringstream fields(ReadFile(ProcPath() + "/stat"));
    std::string user;
    for (int i = 0; i < kUserTimeField; ++i) {
      fields >> user;
    }
    std::string system;
    fields >> system;
    return user + " " + system;
  }

  std::string folder_;
  std::unique_ptr<Process> process_;
};

//! The crowd is still connected when the ordinary requests are sent.
void CheckSurvives(LoneDaemon& aDaemon,
                   const CrowdRow& aRow,
                   std::size_t aMaxPeakMiB,
                   const char* aTarget,
                   int aStatus)
{
  HeavyClients crowd(aDaemon.callers, aRow.groups);
  crowd.Send();
  aDaemon.WaitUntilIdle();
  CHECK_TEXT(aDaemon.IsAlive(), aRow.guardsAgainst);
  LONGS_EQUAL_TEXT(aStatus,
                   LoneDaemon::Ask(aDaemon.callers, "POST", aTarget),
                   aRow.guardsAgainst);
  CHECK_TEXT(LoneDaemon::Ask(aDaemon.checks, "GET", "/readyz") > 0,
             aRow.guardsAgainst);
  CHECK_TEXT(aDaemon.Descriptors() < kMaxDescriptors, aRow.guardsAgainst);
  const std::size_t peak = aDaemon.PeakKiB() / 1024;
  UT_PRINT((std::string(aRow.guardsAgainst) + ": peak memory " +
            std::to_string(peak) + " MiB")
             .c_str());
  CHECK_TEXT(peak < aMaxPeakMiB, aRow.guardsAgainst);
}

//! A daemon of the smallest VMs, which have 120 MB. A part of the memory is
//! left for the sockets' receive buffers.
void CheckPlatform(const CrowdRow& aRow)
{
  constexpr std::size_t kMaxPeakMiB = 72;
  PortPicker ports;
  const std::uint16_t callers = ports.Pick();
  const std::uint16_t readiness = ports.Pick();
  LoneDaemon daemon(HEMLOCKHAVEN_PLATFORM,
                    callers,
                    readiness,
                    { { "name", "vm-1" },
                      { "zone", "zone-1" },
                      { "ip", "127.0.0.1" },
                      { "cores", 0.1 },
                      { "memoryMb", 120 },
                      { "callers", LoopbackAddress(callers) },
                      { "readiness", LoopbackAddress(readiness) },
                      { "linkPort", ports.Pick() },
                      { "log", LoopbackAddress(ports.Pick()) },
                      { "endpointLeaseMs", 1000 },
                      { "stopGraceS", 8 },
                      { "metricsPort", ports.Pick() },
                      { "logLevel", "error" } });
  CheckSurvives(daemon, aRow, kMaxPeakMiB, "/job/0123456789abcdef", 503);
}

//! hemlockhavend with its default limits.
void CheckDaemon(const CrowdRow& aRow)
{
  constexpr std::size_t kMaxPeakMiB = 120;
  PortPicker ports;
  const std::uint16_t callers = ports.Pick();
  const std::uint16_t operators = ports.Pick();
  LoneDaemon daemon(HEMLOCKHAVEN_DAEMON,
                    callers,
                    operators,
                    { { "name", "vm-1" },
                      { "zone", "zone-1" },
                      { "callers", { { "port", callers } } },
                      { "operators", { { "port", operators } } },
                      { "peerListen", { { "port", ports.Pick() } } },
                      { "logLevel", "error" } });
  CheckSurvives(daemon, aRow, kMaxPeakMiB, "/v1/ids", 200);
}

}

TEST_GROUP(ConnectionMemory){};

TEST(ConnectionMemory, PlatformSurvivesEndlessTrailers)
{
  CheckPlatform(kEndlessTrailers);
}

TEST(ConnectionMemory, PlatformSurvivesLongBodies)
{
  CheckPlatform(kLongBodies);
}

TEST(ConnectionMemory, PlatformSurvivesManyChunkedBodies)
{
  CheckPlatform(kManyChunkedBodies);
}

TEST(ConnectionMemory, DaemonSurvivesEndlessTrailers)
{
  CheckDaemon(kEndlessTrailers);
}

TEST(ConnectionMemory, DaemonSurvivesLongBodies)
{
  CheckDaemon(kLongBodies);
}

TEST(ConnectionMemory, DaemonSurvivesManyChunkedBodies)
{
  CheckDaemon(kManyChunkedBodies);
}
