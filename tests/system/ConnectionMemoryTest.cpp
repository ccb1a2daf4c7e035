#include "system/HeavyClients.h"
#include "system/LoneDaemon.h"
#include "system/TestFleet.h"

#include <nlohmann/json.hpp>

#include <string>
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
