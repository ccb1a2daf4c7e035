#include "adapters/ConfigurationJson.h"
#include "adapters/HttpLog.h"
#include "adapters/HttpVmList.h"
#include "adapters/RecordCodec.h"
#include "http/HttpServer.h"

#include <CppUTest/TestHarness.h>

#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>

#include <array>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>

using namespace hemlockhaven;

namespace {

struct FaultRow
{
  const char* guardsAgainst;
  std::string_view text;
  std::string_view faultPaths; //!< Each path is followed by a space.
};

constexpr FaultRow kFaultRows[] = {
  { "rejecting a valid document",
    R"({"callers":[{"caller":"a","weight":2,"maxQueuedTasks":5}],
        "steering":[{"submissions":"kind=x","endpoints":"zone=a"}],
        "drained":["rack = r1"]})",
    "" },
  { "reporting only the first error",
    R"({"callers":[{"caller":"","weight":"x"},{"caller":"b","weight":0}],
        "drained":["zone =", 3]})",
    "callers[0].weight drained[0] drained[1] callers[0].caller "
    "callers[1].weight " },
  { "ignoring a misspelled member", R"({"drain":[]})", "drain " },
  { "two quotas for one caller",
    R"({"callers":[{"caller":"a"},{"caller":"a"}]})",
    "callers[1].caller " },
  { "reading a negative limit as a large one",
    R"({"callers":[{"caller":"a","maxQueuedTasks":-1}]})",
    "callers[0].maxQueuedTasks " },
  { "draining everything by accident", R"({"drained":[""]})", "drained[0] " },
  { "a list instead of an object", R"([])", " " },
  { "text that is not JSON", R"({"callers":)", "byte 12 " },
};

//! Records that readers must ignore.
struct UndecodableRow
{
  const char* guardsAgainst;
  std::string_view data;
};

constexpr UndecodableRow kUndecodableRows[] = {
  { "data that is not JSON", "x" },
  { "a record of a later version", R"({"v":2,"type":"claims"})" },
  { "a record of an unknown type", R"({"v":1,"type":"new"})" },
  { "a record without its members", R"({"v":1,"type":"claims"})" },
  { "reading a negative number as a large one",
    R"({"v":1,"type":"claims","node":"a","incarnation":1,"nonce":-1,
        "keys":[]})" },
  { "an invalid document",
    R"({"v":1,"type":"configuration","base":0,"nonce":1,
        "document":{"drained":[""]}})" },
};

//! A raw reply to an append and the expected classification.
struct ReplyRow
{
  const char* guardsAgainst;
  std::string_view reply;
  bool isComplete;
  Ran ran;
};

constexpr ReplyRow kReplyRows[] = {
  { "rejecting a complete reply",
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":7}",
    true,
    Ran::Ran },
  { "accepting a truncated chunked reply",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n{\"offset\":7}",
    false,
    Ran::Unknown },
  { "accepting a truncated reply",
    "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"offset\":7}",
    false,
    Ran::Unknown },
  { "reporting a lost reply as not run", "", false, Ran::Unknown },
  { "reporting a 503 reply as unknown",
    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
    false,
    Ran::NotRun },
  { "reporting a server error as not run",
    "HTTP/1.1 504 Lost\r\nContent-Length: 0\r\n\r\n",
    false,
    Ran::Unknown },
};

constexpr std::uint16_t kPort = 18461;

// The standard library caches a locale's number format when a stream first
// parses a number, as cxxtools does for a status code. Parsing one before the
// tests keeps that allocation out of the leak check.
const int kLocaleInitialization = [] {
  int number = 0;
  std::istringstream("1") >> number;
  return number;
}();

}

TEST_GROUP(Adapters){};

TEST(Adapters, ReportsAllConfigurationFaults)
{
  for (const FaultRow& row : kFaultRows) {
    std::string faultPaths;
    const auto parsed = ParseConfiguration(row.text);
    CHECK_TEXT(parsed.has_value(), row.guardsAgainst);
    for (const auto& fault : parsed.value().faults) {
      faultPaths += fault.path + " ";
      CHECK_TEXT(!fault.expected.empty() && !fault.found.empty(),
                 row.guardsAgainst);
    }
    CHECK_EQUAL_TEXT(
      std::string(row.faultPaths), faultPaths, row.guardsAgainst);
  }
}

std::string Times(std::size_t aCount, std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

//! A document with more faults than are reported.
struct FaultyRow
{
  const char* guardsAgainst;
  std::string text;
};

const FaultyRow kFaultyRows[] = {
  { "a fault for each entry",
    R"({"callers":[)" + Times(30000, "{},") + "{}]}" },
  { "a fault for each member",
    "{" +
      [] {
        std::string members;
        for (int i = 0; i < 30000; ++i) {
          members += "\"x" + std::to_string(i) + "\":0,";
        }
        return members;
      }() +
      R"("x":0})" },
  { "a fault for each entry that is checked later",
    R"({"drained":[)" + Times(30000, R"("",)") + R"(""]})" },
};

TEST(Adapters, ReportsTheFirstConfigurationFaults)
{
  for (const FaultyRow& row : kFaultyRows) {
    const auto parsed = ParseConfiguration(std::string_view(row.text));
    CHECK_TEXT(parsed.has_value(), row.guardsAgainst);
    // The last entry may have several.
    const std::size_t faults = parsed.value().faults.size();
    CHECK_TEXT(faults > 0 && faults < kMaxConfigurationFaults + 4,
               row.guardsAgainst);
  }
}

// Guards against a document whose many levels exhaust the stack when a fault
// quotes them.
TEST(Adapters, RefusesConfigurationsOfManyLevels)
{
  constexpr std::size_t kLevels = 500000;
  const std::string text =
    R"({"callers":)" + Times(kLevels, "[") + Times(kLevels, "]") + "}";
  const auto parsed = ParseConfiguration(std::string_view(text));
  CHECK(parsed.has_error());
  CHECK(parsed.error().reason == Reason::MalformedRequest);
}

TEST(Adapters, RejectsUndecodableRecords)
{
  for (const UndecodableRow& row : kUndecodableRows) {
    CHECK_TEXT(!DecodeRecord(row.data).has_value(), row.guardsAgainst);
  }
}

// Guards against records that change when they are encoded and decoded.
TEST(Adapters, RecordsRoundTrip)
{
  RequestRecord request;
  request.id = "vm-1.7.1";
  request.labels.Set("trade", "canopy");
  request.reason = Reason::QueueFull;
  request.state = JobState::Failed;
  const auto parsed = ParseConfiguration(kFaultRows[0].text);
  CHECK(parsed.has_value());
  const auto document =
    std::make_shared<const Configuration>(parsed.value().document);
  const PlatformRecord records[] = {
    ClaimBatch{ { "vm-1", ~0ULL }, 3, { { ~0ULL, 1 }, { 2, 3 } } },
    ConfigurationChange{ 4, 5, document },
    ConfigurationState{ 6, 7, document },
    HistoryBatch{ "vm-1", 2, { request } },
  };
  for (const PlatformRecord& record : records) {
    const std::string data = EncodeRecord(record);
    const auto decoded = DecodeRecord(data);
    CHECK(decoded.has_value());
    LONGS_EQUAL(record.index(), decoded->index());
    CHECK_EQUAL(data, EncodeRecord(*decoded));
  }
}

TEST(Adapters, LogClassifiesReplies)
{
  cxxtools::net::TcpServer server("127.0.0.1", kPort);
  const LogHooks log =
    MakeHttpLog({ "127.0.0.1", kPort, std::chrono::seconds(20) });
  for (const ReplyRow& row : kReplyRows) {
    std::thread endpoint([&server, &row] {
      cxxtools::net::TcpSocket socket;
      socket.accept(server);
      std::array<char, 4096> request{};
      socket.read(request.data(), request.size());
      if (!row.reply.empty()) {
        socket.write(row.reply.data(), row.reply.size());
      }
    });
    const auto offset = log.append("x");
    endpoint.join();
    CHECK_TEXT(offset.has_value() == row.isComplete, row.guardsAgainst);
    if (offset.has_error()) {
      CHECK_TEXT(offset.error().ran == row.ran, row.guardsAgainst);
    }
  }
}

// During a log outage, a refused connection must not be reported as a lost
// reply, which would make each caller wait until its timeout.
TEST(Adapters, RefusedConnectionIsNotRun)
{
  const LogHooks log =
    MakeHttpLog({ "127.0.0.1", kPort, std::chrono::seconds(20) });
  CHECK(log.append("x").error().ran == Ran::NotRun);
  CHECK(log.read(0, 1).has_error());
}

// A malformed VM must not be mistaken for one that has left.
TEST(Adapters, RejectsAListWithAMalformedVm)
{
  auto json = nlohmann::json::parse(
    R"([{"id":"e","address":"127.0.0.1","port":1,"zone":"a","rack":"r",
         "role":"endpoint","state":"leaving","slots":3,"labels":{"x":"y"}},
        {"id":"v","address":"127.0.0.1","port":2,"zone":"a","rack":"r",
         "role":"entry","state":"live","cores":4}])");
  const auto list = ParseVmList(json).value();
  CHECK(list.endpoints.at(0).leaving);
  CHECK(list.endpoints.at(0).labels.Find("zone") == "a");
  LONGS_EQUAL(4, list.entryVms.at(0).cores);
  json[1]["state"] = "gone";
  CHECK(ParseVmList(json).has_error());
}
