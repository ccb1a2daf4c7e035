#include "system/ConfiguredStore.h"
#include "system/HeavyClients.h"
#include "system/LoneDaemon.h"
#include "system/TestFleet.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Last: CppUTest replaces the word new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

constexpr std::size_t kMiB = std::size_t{ 1 } << 20U;
//! Descriptors of the smallest VMs.
constexpr std::size_t kMaxDescriptors = 3075;
constexpr std::size_t kPlatformMemoryMb = 64;
constexpr std::size_t kDaemonMemoryMb = 128;

//! Sockets' buffers may take 45% of a VM's memory.
std::size_t MaxPeakKiB(std::size_t aMemoryMb)
{
  constexpr std::size_t kProcessPercent = 55;
  constexpr std::size_t kBytesPerPercent = 10000;
  return aMemoryMb * kProcessPercent * kBytesPerPercent / 1024;
}

//! Where a daemon listens, and the first lines of requests with a body.
struct Target
{
  std::uint16_t callers;
  std::uint16_t checks;
  std::uint16_t metrics;
  std::string submission; //!< To callers.
  std::string check;      //!< To checks.
};

//! Clients that are connected at the same time.
struct CrowdRow
{
  const char* guardsAgainst;
  std::vector<ClientGroup> (*crowd)(const Target& aTarget);
};

std::string Announced(std::string_view aFirstLines, std::size_t aBytes)
{
  return std::string(aFirstLines) +
         "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n";
}

std::string Chunked(std::string_view aFirstLines, std::string_view aBody)
{
  return std::string(aFirstLines) + "Transfer-Encoding: chunked\r\n\r\n" +
         std::string(aBody);
}

//! Bodies of 1 MiB that are received whole.
ClientGroup WholeBodies(std::size_t aConnections,
                        std::string_view aFirstLines,
                        std::string_view aBegin,
                        std::string_view aRepeated,
                        std::uint16_t aPort)
{
  const std::string head = Announced(aFirstLines, kMiB);
  return { aConnections,
           head + std::string(aBegin),
           std::string(aRepeated),
           head.size() + kMiB,
           aPort };
}

//! Headers of the most fields that the limit allows, then a part of a body.
ClientGroup SmallFields(std::size_t aConnections,
                        std::string_view aFirstLines,
                        std::uint16_t aPort)
{
  constexpr std::size_t kFields = 3900;
  constexpr std::size_t kSentBody = 20000;
  std::string head(aFirstLines);
  for (std::size_t i = 0; i < kFields; ++i) {
    head += "a:\r\n";
  }
  head = Announced(head, kMiB);
  return { aConnections, head, "x", head.size() + kSentBody, aPort };
}

//! Bodies that stop two bytes short of the end of a chunk of 1 MiB.
ClientGroup UnfinishedChunks(std::size_t aConnections,
                             std::string_view aFirstLines,
                             std::uint16_t aPort)
{
  const std::string head = Chunked(aFirstLines, "100000\r\n");
  return { aConnections, head, "x", head.size() + kMiB - 2, aPort };
}

//! Requests for many ids, whose replies are not read.
ClientGroup UnreadIds(std::size_t aConnections, std::uint16_t aPort)
{
  constexpr std::size_t kRequests = 10;
  const std::string request = "POST /v1/ids?count=10000 HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 0\r\n\r\n";
  return { aConnections, "", request, kRequests * request.size(), aPort };
}

const CrowdRow kFieldRows[] = {
  { "header fields that take many times their bytes in the header",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { SmallFields(600, aTarget.submission, aTarget.callers) };
    } },
  { "the same at the listeners for checks and metrics",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { SmallFields(120, aTarget.check, aTarget.checks),
               SmallFields(120, aTarget.check, aTarget.metrics) };
    } },
};

const CrowdRow kChunkRows[] = {
  { "memory beyond the budget while connections give way",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { UnfinishedChunks(1000, aTarget.submission, aTarget.callers) };
    } },
};

const CrowdRow kParsedRows[] = {
  { "lists of empty objects",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { WholeBodies(
        30, aTarget.submission, "{\"x\":[", "{},", aTarget.callers) };
    } },
  { "lists in lists",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { WholeBodies(
        30, aTarget.submission, "{\"x\":", "[", aTarget.callers) };
    } },
  { "objects in objects",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { WholeBodies(
        30, aTarget.submission, "", "{\"a\":", aTarget.callers) };
    } },
  { "lists of numbers",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { WholeBodies(
        30, aTarget.submission, "{\"x\":[", "0,", aTarget.callers) };
    } },
  { "lists in lists at the listener for checks",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { WholeBodies(20, aTarget.check, "{\"x\":", "[", aTarget.checks) };
    } },
};

//! A single request that is received whole.
ClientGroup OneRequest(std::string_view aFirstLines,
                       const std::string& aBody,
                       std::uint16_t aPort)
{
  const std::string bytes = Announced(aFirstLines, aBody.size()) + aBody;
  return { 1, bytes, "x", bytes.size(), aPort };
}

std::string Times(std::size_t aCount, std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

const CrowdRow kCheckRows[] = {
  { "a document whose levels exhaust the stack",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      constexpr std::size_t kLevels = 500000;
      return { OneRequest(aTarget.check,
                          "{\"callers\":" + Times(kLevels, "[") +
                            Times(kLevels, "]") + "}",
                          aTarget.checks) };
    } },
  { "a document with a fault in each of many entries",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { OneRequest(aTarget.check,
                          "{\"drained\":[" + Times(330000, "\"\",") + "\"\"]}",
                          aTarget.checks) };
    } },
};

const CrowdRow kReplyRows[] = {
  { "replies of many ids that are built at the same time",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { UnreadIds(200, aTarget.callers) };
    } },
};

//! Jobs that are accepted and not waited for.
ClientGroup AcceptedJobs(std::size_t aConnections,
                         std::size_t aRequests,
                         const nlohmann::json& aMembers,
                         std::uint16_t aPort)
{
  nlohmann::json body = { { "caller", "c" },
                          { "kind", "k" },
                          { "idempotent", true },
                          { "payload", "1" } };
  body.update(aMembers);
  const std::string text = body.dump();
  const std::string request =
    Announced("POST /v1/requests?waitMs=0 HTTP/1.1\r\nHost: h\r\n",
              text.size()) +
    text;
  return { aConnections, "", request, aRequests * request.size(), aPort };
}

nlohmann::json ManyLabels(std::size_t aCount, std::size_t aValueBytes)
{
  nlohmann::json labels = nlohmann::json::object();
  for (std::size_t i = 0; i < aCount; ++i) {
    labels[std::to_string(i)] = std::string(aValueBytes, 'x');
  }
  return { { "labels", labels } };
}

const CrowdRow kAcceptedRows[] = {
  { "labels of accepted jobs that take many times their text",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { AcceptedJobs(4, 40, ManyLabels(60000, 0), aTarget.callers) };
    } },
  { "labels of accepted jobs that stay in the queue and the history",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { AcceptedJobs(8, 2000, ManyLabels(60, 55), aTarget.callers) };
    } },
  { "queued payloads beyond the memory of the machine",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      return { AcceptedJobs(
        4, 30, { { "payload", std::string(1000000, 'x') } }, aTarget.callers) };
    } },
};

const CrowdRow kMixedRows[] = {
  { "crowds of several kinds at all listeners, each within its own bound",
    [](const Target& aTarget) -> std::vector<ClientGroup> {
      const std::string trailers =
        Chunked(aTarget.submission, "1\r\nx\r\n0\r\n");
      const std::string chunks = Chunked(aTarget.submission, "");
      return {
        { 8, trailers, "X-T: 0123456789\r\n", 8 * kMiB, aTarget.callers },
        { 20, chunks, "1\r\nx\r\n", kMiB, aTarget.callers },
        SmallFields(100, aTarget.submission, aTarget.callers),
        UnfinishedChunks(150, aTarget.submission, aTarget.callers),
        WholeBodies(20, aTarget.submission, "{\"x\":[", "{},", aTarget.callers),
        WholeBodies(20, aTarget.submission, "{\"x\":", "[", aTarget.callers),
        UnreadIds(50, aTarget.callers),
        WholeBodies(20, aTarget.check, "{\"x\":", "[", aTarget.checks),
        SmallFields(80, aTarget.check, aTarget.checks),
        UnfinishedChunks(80, aTarget.check, aTarget.metrics)
      };
    } },
};

//! The crowd is still connected when the ordinary requests are sent.
void CheckSurvives(LoneDaemon& aDaemon,
                   const Target& aTarget,
                   const CrowdRow& aRow,
                   std::size_t aMaxPeakKiB,
                   const std::pair<const char*, const char*>& aOrdinary)
{
  HeavyClients crowd(aTarget.callers, aRow.crowd(aTarget));
  crowd.Send();
  aDaemon.WaitUntilIdle();
  CHECK_TEXT(aDaemon.IsAlive(), aRow.guardsAgainst);
  LONGS_EQUAL_TEXT(
    200,
    LoneDaemon::Ask(aTarget.callers, aOrdinary.first, aOrdinary.second),
    aRow.guardsAgainst);
  CHECK_TEXT(LoneDaemon::Ask(aTarget.checks, "GET", "/readyz") > 0,
             aRow.guardsAgainst);
  CHECK_TEXT(aDaemon.Descriptors() < kMaxDescriptors, aRow.guardsAgainst);
  const std::size_t peak = aDaemon.PeakKiB();
  UT_PRINT((std::string(aRow.guardsAgainst) + ": peak memory " +
            std::to_string(peak) + " KiB, bound " +
            std::to_string(aMaxPeakKiB) + " KiB")
             .c_str());
  CHECK_TEXT(peak < aMaxPeakKiB, aRow.guardsAgainst);
}

//! A daemon of the platform with a configuration in force.
void CheckPlatform(Span<const CrowdRow> aRows)
{
  const nlohmann::json route = {
    { "name", "job" },           { "host", "h" },
    { "path_prefix", "/job/" },  { "service", "work" },
    { "target_latency_ms", 60 }, { "stretch", 1.6 },
    { "attempts", 3 },           { "priority", 0 }
  };
  // RequestText has the host "a".
  nlohmann::json ordinary = route;
  ordinary["name"] = "ordinary";
  ordinary["host"] = "a";
  const nlohmann::json configuration = { { "version", 1 },
                                         { "routes", { route, ordinary } } };
  for (const CrowdRow& row : aRows) {
    PortPicker ports;
    const std::uint16_t store = ports.Pick();
    const ConfiguredStore configured(store, configuration);
    Target target{ ports.Pick(),
                   ports.Pick(),
                   ports.Pick(),
                   "POST /job/0123456789abcdef HTTP/1.1\r\nHost: h\r\n",
                   "POST /metrics HTTP/1.1\r\nHost: h\r\n" };
    LoneDaemon daemon(HEMLOCKHAVEN_PLATFORM,
                      target.callers,
                      target.checks,
                      { { "name", "vm-1" },
                        { "zone", "zone-1" },
                        { "ip", "127.0.0.1" },
                        { "cores", 0.1 },
                        { "memoryMb", kPlatformMemoryMb },
                        { "callers", LoopbackAddress(target.callers) },
                        { "readiness", LoopbackAddress(target.checks) },
                        { "linkPort", ports.Pick() },
                        { "log", LoopbackAddress(store) },
                        { "endpointLeaseMs", 1000 },
                        { "stopGraceS", 8 },
                        { "metricsPort", target.metrics },
                        { "logLevel", "error" } });
    CHECK(WaitUntil([&target] {
      return LoneDaemon::Ask(target.callers, "GET", "/job/") == 200;
    }));
    CheckSurvives(
      daemon, target, row, MaxPeakKiB(kPlatformMemoryMb), { "GET", "/job/" });
  }
}

//! hemlockhavend, whose metrics are among its checks. Its endpoint does not
//! listen, so that work stays queued.
void CheckDaemon(Span<const CrowdRow> aRows)
{
  for (const CrowdRow& row : aRows) {
    PortPicker ports;
    const nlohmann::json endpoint = { { "id", "e-1" },
                                      { "address", "127.0.0.1" },
                                      { "port", ports.Pick() } };
    Target target{ ports.Pick(),
                   ports.Pick(),
                   0,
                   "PUT /v1/jobs/vm-1.1.1 HTTP/1.1\r\nHost: h\r\n",
                   "POST /v1/configuration/check HTTP/1.1\r\nHost: h\r\n" };
    target.metrics = target.checks;
    LoneDaemon daemon(HEMLOCKHAVEN_DAEMON,
                      target.callers,
                      target.checks,
                      { { "name", "vm-1" },
                        { "zone", "zone-1" },
                        { "callers", { { "port", target.callers } } },
                        { "operators", { { "port", target.checks } } },
                        { "peerListen", { { "port", ports.Pick() } } },
                        { "endpoints", { endpoint } },
                        { "memoryMb", kDaemonMemoryMb },
                        { "logLevel", "error" } });
    CheckSurvives(
      daemon, target, row, MaxPeakKiB(kDaemonMemoryMb), { "POST", "/v1/ids" });
  }
}

}

TEST_GROUP(FieldCrowd){};

TEST(FieldCrowd, PlatformSurvives)
{
  CheckPlatform(kFieldRows);
}

TEST(FieldCrowd, DaemonSurvives)
{
  CheckDaemon(kFieldRows);
}

TEST_GROUP(ChunkCrowd){};

TEST(ChunkCrowd, PlatformSurvives)
{
  CheckPlatform(kChunkRows);
}

TEST(ChunkCrowd, DaemonSurvives)
{
  CheckDaemon(kChunkRows);
}

TEST_GROUP(ParsedBodyCrowd){};

TEST(ParsedBodyCrowd, PlatformSurvives)
{
  CheckPlatform(kParsedRows);
}

TEST(ParsedBodyCrowd, DaemonSurvives)
{
  CheckDaemon(kParsedRows);
}

TEST_GROUP(CheckCrowd){};

TEST(CheckCrowd, PlatformSurvives)
{
  CheckPlatform(kCheckRows);
}

TEST(CheckCrowd, DaemonSurvives)
{
  CheckDaemon(kCheckRows);
}

TEST_GROUP(ReplyCrowd){};

TEST(ReplyCrowd, PlatformSurvives)
{
  CheckPlatform(kReplyRows);
}

TEST(ReplyCrowd, DaemonSurvives)
{
  CheckDaemon(kReplyRows);
}

TEST_GROUP(AcceptedCrowd){};

TEST(AcceptedCrowd, PlatformSurvives)
{
  CheckPlatform(kAcceptedRows);
}

TEST(AcceptedCrowd, DaemonSurvives)
{
  CheckDaemon(kAcceptedRows);
}

TEST_GROUP(MixedCrowd){};

TEST(MixedCrowd, PlatformSurvives)
{
  CheckPlatform(kMixedRows);
}

TEST(MixedCrowd, DaemonSurvives)
{
  CheckDaemon(kMixedRows);
}
