#include "platform/Records.h"
#include "platform/EndpointCommandClient.h"
#include "platform/EndpointRegistry.h"
#include "platform/EntryApi.h"
#include "platform/PlatformSettings.h"
#include "platform/StoreClient.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <string_view>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Platform;

namespace {

const std::string kEndpoint =
  R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready",)"
  R"("capacity":{"cpu":16000,"mem_mb":1024,"gpus":2},"labels":["a","r1-3"],)"
  R"("born":7})";

std::string Replace(std::string aText,
                    std::string_view aWhat,
                    std::string_view aBy)
{
  const std::size_t at = aText.find(aWhat);
  CHECK_TEXT(at != std::string::npos, std::string(aWhat).c_str());
  return aText.replace(at, aWhat.size(), aBy);
}

struct EndpointRow
{
  const char* guardsAgainst;
  const char* original;    //!< Part of the valid record.
  const char* replacement; //!< Text that replaces it.
  bool isValid;
};

constexpr EndpointRow kEndpointRows[] = {
  { "valid record rejected", "ready", "ready", true },
  { "unknown state accepted", "ready", "asleep", false },
  { "number accepted as a string", "\"s\"", "5", false },
  { "invalid address accepted", "10.0.0.9:80", "somewhere", false },
  { "missing capacity accepted", "capacity", "kapacity", false },
  { "negative capacity accepted", "16000", "-1", false },
  { "labels accepted that are not a list", "[\"a\",\"r1-3\"]", "{}", false },
  { "invalid JSON accepted", "{\"service\"", "service", false },
  { "optional field required", ",\"born\":7", "", true },
};

struct WorkRow
{
  const char* guardsAgainst;
  const char* json;
  Reason reason; //!< None if the job is accepted.
};

constexpr WorkRow kWorkRows[] = {
  { "supported job rejected",
    R"({"spec":"x","best_effort":true,"steps":[{"count":2,"cpu":500}]})",
    Reason::None },
  { "job accepted that requires durable storage",
    R"({"spec":"x","steps":[{"count":2,"cpu":500}]})",
    Reason::NotReady },
  { "gang accepted, which could start partially",
    R"({"best_effort":true,"steps":[{"count":2,"gang":true}]})",
    Reason::NotReady },
  { "long-running task accepted, which would end early",
    R"({"best_effort":true,"steps":[{"count":2,"long_running":true}]})",
    Reason::NotReady },
  { "scheduled job accepted, which would run at once",
    R"({"best_effort":true,"repetitions":3,"steps":[{"count":2}]})",
    Reason::NotReady },
  { "job without tasks accepted",
    R"({"best_effort":true,"steps":[]})",
    Reason::MalformedRequest },
  { "step accepted that depends on itself",
    R"({"best_effort":true,"steps":[{"count":2,"depends_on":[0]}]})",
    Reason::MalformedRequest },
  { "string accepted as a count",
    R"({"best_effort":true,"steps":[{"count":"2"}]})",
    Reason::MalformedRequest },
  { "task count accepted that exhausts memory",
    R"({"best_effort":true,"steps":[{"count":900000000}]})",
    Reason::MalformedRequest },
  { "invalid JSON accepted", "hello", Reason::MalformedRequest },
};

struct AnswerRow
{
  const char* guardsAgainst;
  CallerOutcome outcome;
  unsigned status;
  std::uint32_t retryAfterSeconds;
};

constexpr AnswerRow kAnswerRows[] = {
  { "completed work reported as refused", CallerOutcome::Completed, 200, 0 },
  { "failed work reported as retryable", CallerOutcome::Failed, 200, 0 },
  { "overload without Retry-After", CallerOutcome::Overloaded, 429, 2 },
  { "outage reported as overload", CallerOutcome::Unavailable, 503, 2 },
  { "work that may have run reported as not run",
    CallerOutcome::TimedOut,
    504,
    0 },
};

struct CommandRow
{
  const char* guardsAgainst;
  HttpOutcome end;
  unsigned status;
  const char* body;
  CommandOutcome outcome;
};

constexpr CommandRow kCommandRows[] = {
  { "accepted start not recognized",
    HttpOutcome::Answered,
    200,
    R"({"clock_ms":5})",
    CommandOutcome::Accepted },
  { "fenced start not recognized",
    HttpOutcome::Answered,
    409,
    R"({"reason":"fence"})",
    CommandOutcome::Fenced },
  { "superseded run not recognized",
    HttpOutcome::Answered,
    409,
    R"({"reason":"old"})",
    CommandOutcome::Superseded },
  { "expired start not recognized",
    HttpOutcome::Answered,
    409,
    R"({"reason":"late"})",
    CommandOutcome::Expired },
  { "full endpoint not recognized",
    HttpOutcome::Answered,
    409,
    R"({"reason":"room"})",
    CommandOutcome::NoRoom },
  { "unknown reason treated as not run",
    HttpOutcome::Answered,
    409,
    R"({"reason":"?"})",
    CommandOutcome::Unknown },
  { "server error treated as not run",
    HttpOutcome::Answered,
    500,
    "",
    CommandOutcome::Unknown },
  { "wrong incarnation not recognized",
    HttpOutcome::Answered,
    421,
    "",
    CommandOutcome::WrongIncarnation },
  { "unhealthy endpoint not recognized",
    HttpOutcome::Answered,
    503,
    "",
    CommandOutcome::Unhealthy },
  { "lost reply treated as not run",
    HttpOutcome::Unknown,
    0,
    "",
    CommandOutcome::Unknown },
  { "unsent request not recognized",
    HttpOutcome::NotSent,
    0,
    "",
    CommandOutcome::NotSent },
};

struct TaskRow
{
  const char* guardsAgainst;
  const char* name;
  bool isValid;
};

constexpr TaskRow kTaskRows[] = {
  { "encoded name rejected", "5c0e7a21d94b36f8.0.1.17", true },
  { "name without numbers accepted", "5c0e7a21d94b36f8", false },
  { "name with too few numbers accepted", "5c0e7a21d94b36f8.0.1", false },
  { "name with too many numbers accepted", "5c0e7a21d94b36f8.0.1.17.2", false },
  { "letters accepted as a number", "5c0e7a21d94b36f8.0.x.17", false },
};

struct VolatileRow
{
  const char* guardsAgainst;
  const char* left;
  const char* right;
  bool isSame;
};

constexpr VolatileRow kVolatileRows[] = {
  { "decoding a record for its sequence number",
    R"({"state":"ready","sequence":9,"zone":"z"})",
    R"({"state":"ready","sequence":10,"zone":"z"})",
    true },
  { "decoding a record for the endpoint's clock",
    R"({"clock_ms":12,"state":"ready","sequence":9})",
    R"({"clock_ms":999,"state":"ready","sequence":10})",
    true },
  { "overlooking a change after the sequence number",
    R"({"state":"ready","sequence":9,"zone":"z"})",
    R"({"state":"ready","sequence":9,"zone":"y"})",
    false },
  { "overlooking a change before the sequence number",
    R"({"state":"ready","sequence":9})",
    R"({"state":"draining","sequence":10})",
    false },
  { "overlooking a sequence number that is none",
    R"({"sequence":9})",
    R"({"sequence":9.5})",
    false },
  { "overlooking a change without a sequence number",
    R"({"state":"ready"})",
    R"({"state":"draining"})",
    false },
  { "reading past the end of a record", R"({"sequence":)", "{", false },
};

struct AnnouncementRow
{
  const char* guardsAgainst;
  std::string_view json;
  bool isValid;
};

constexpr AnnouncementRow kAnnouncementRows[] = {
  { "leaving out a leader that can be reached",
    R"({"name":"a","address":"10.0.0.9:7720","announced_ms":1})",
    true },
  { "connecting to an address that is none",
    R"({"name":"a","address":"10.0.0.9","announced_ms":1})",
    false },
  { "connecting to an address that no other VM has",
    R"({"name":"a","address":"0.0.0.0:7720","announced_ms":1})",
    false },
  { "an announcement that never expires",
    R"({"name":"a","address":"10.0.0.9:7720","announced_ms":1e300})",
    false },
  { "reading a field that is missing", R"({"name":"a"})", false },
  { "reading a record of another writer", "[]", false },
};

//! A record that consists of one text again and again.
struct RepeatedRow
{
  const char* guardsAgainst;
  std::string_view text;
  std::string_view kept;
};

constexpr RepeatedRow kRepeatedRows[] = {
  { "searching the rest for a key that never occurs",
    R"({"sequence":12,"op":"put"},)",
    R"({"sequence":,"op":"put"},)" },
  { "searching the rest at each key without a value",
    R"("clock_ms":)",
    R"("clock_ms":)" },
  { "searching the rest at each quote", R"("")", R"("")" },
  { "searching the rest at each start of a key", R"("seq)", R"("seq)" },
};

KeyedRecord Record(const char* aKey, const std::string& aValue)
{
  return { aKey, aValue };
}

}

TEST_GROUP(Records){};

TEST(Records, ValidatesEachEndpointField)
{
  for (const EndpointRow& row : kEndpointRows) {
    const auto decoded =
      DecodeEndpoint("e", Replace(kEndpoint, row.original, row.replacement));
    CHECK_EQUAL_TEXT(row.isValid, decoded.has_value(), row.guardsAgainst);
  }
  const auto endpoint = DecodeEndpoint("e", kEndpoint).value();
  STRCMP_EQUAL("r1-3", endpoint.rack.c_str());
  LONGS_EQUAL(2, endpoint.capacity.accelerators);
  LONGS_EQUAL(7, endpoint.incarnationStartMs);
}

TEST(Records, TellsRecordsApartByWhatDescribesTheEndpoint)
{
  for (const VolatileRow& row : kVolatileRows) {
    CHECK_EQUAL_TEXT(row.isSame,
                     WithoutVolatileFields(row.left) ==
                       WithoutVolatileFields(row.right),
                     row.guardsAgainst);
  }
}

TEST(Records, DecodesAnnouncementsOfLeaders)
{
  for (const AnnouncementRow& row : kAnnouncementRows) {
    CHECK_EQUAL_TEXT(
      row.isValid, DecodeAnnouncement(row.json).has_value(), row.guardsAgainst);
  }
  const auto decoded = DecodeAnnouncement(
    EncodeAnnouncement({ "vm-1", "10.0.0.9:7720", 1700000000000 }));
  CHECK(decoded.has_value());
  STRCMP_EQUAL("vm-1", decoded.value().name.c_str());
  STRCMP_EQUAL("10.0.0.9:7720", decoded.value().address.c_str());
  CHECK(decoded.value().announcedAtMs == 1700000000000);
}

TEST(Records, AppendedRecordsAreReadAsTheyWere)
{
  const std::string large(70000, 'v');
  for (const std::string& value : { std::string("v"), large, std::string() }) {
    const std::string body = Platform::Detail::EncodeRecord({ "key", value });
    const auto read =
      Platform::Detail::DecodeRecords(std::string(16, '\0') + body, 0);
    CHECK(read.has_value());
    LONGS_EQUAL(1, read->records.size());
    STRCMP_EQUAL("key", read->records[0].key.c_str());
    CHECK(read->records[0].value.value_or("") == value);
  }
}

//! The cost of filtering a record must not grow with the square of its size.
//! At this size a quadratic filter would take hours.
TEST(Records, FiltersLargeRecordsOfOtherWriters)
{
  constexpr std::size_t kBytes = std::size_t{ 8 } << 20U;
  for (const RepeatedRow& row : kRepeatedRows) {
    std::string record;
    std::string expected;
    while (record.size() < kBytes) {
      record += row.text;
      expected += row.kept;
    }
    CHECK_TEXT(WithoutVolatileFields(record) == expected, row.guardsAgainst);
  }
}

TEST(Records, DecodesConfiguration)
{
  const auto decoded = DecodeConfiguration(
    R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
    R"("service":"s","target_latency_ms":60,"stretch":1.6,"attempts":4}]})");
  CHECK(decoded.has_value());
  LONGS_EQUAL(7, decoded.value().version);
  LONGS_EQUAL(60000, decoded.value().routes.at(0).targetLatency.count());
  CHECK_FALSE(DecodeConfiguration(R"({"version":7,"routes":[{}]})"));
  CHECK_FALSE(DecodeConfiguration("[]"));
}

TEST(Records, RejectsUnsupportedAndMalformedWork)
{
  for (const WorkRow& row : kWorkRows) {
    const auto work = Platform::Detail::DecodeWork(row.json);
    const Reason reason = work ? Reason::None : work.error().reason;
    LONGS_EQUAL_TEXT(static_cast<int>(row.reason),
                     static_cast<int>(reason),
                     row.guardsAgainst);
  }
}

TEST(Records, MapsOutcomesToStatusCodes)
{
  for (const AnswerRow& row : kAnswerRows) {
    const auto reply = Platform::Detail::EncodeAnswer(
      { row.outcome, "because", std::chrono::milliseconds(1500) });
    LONGS_EQUAL_TEXT(row.status, reply.status, row.guardsAgainst);
    LONGS_EQUAL_TEXT(
      row.retryAfterSeconds, reply.retryAfterSeconds, row.guardsAgainst);
  }
}

TEST(Records, ReportsAmbiguousRepliesAsUnknown)
{
  for (const CommandRow& row : kCommandRows) {
    HttpResult result;
    result.end = row.end;
    result.status = row.status;
    result.body = row.body;
    const auto reply = Platform::Detail::DecodeCommandReply(result);
    LONGS_EQUAL_TEXT(static_cast<int>(row.outcome),
                     static_cast<int>(reply.outcome),
                     row.guardsAgainst);
  }
}

TEST(Records, RoundTripsTaskNames)
{
  for (const TaskRow& row : kTaskRows) {
    const auto task = Platform::Detail::DecodeTask(row.name);
    CHECK_EQUAL_TEXT(row.isValid, task.has_value(), row.guardsAgainst);
    if (task) {
      STRCMP_EQUAL(row.name, Platform::Detail::EncodeTask(*task).c_str());
    }
  }
}

TEST(Records, RejectsMalformedPollResults)
{
  HttpResult result;
  result.end = HttpOutcome::Answered;
  result.status = 200;
  result.body = R"({"clock_ms":9,"born":3,"running":[["w.0.0.1",2,"",41,0]],)"
                R"("finished":[[58,"w.0.0.9",1,"done",""]]})";
  const auto look = Platform::Detail::DecodePollResult(result);
  CHECK(look.outcome == CommandOutcome::Accepted);
  LONGS_EQUAL(2, look.report.running.at(0).run);
  LONGS_EQUAL(58, look.report.ended.at(0).position);
  CHECK(look.report.ended.at(0).outcome == RunOutcome::Done);
  result.body = R"({"clock_ms":9,"running":[],"finished":[[58]]})";
  CHECK(Platform::Detail::DecodePollResult(result).outcome ==
        CommandOutcome::Unknown);
}

TEST(Records, StoreBytesAreRead)
{
  using namespace std::literals;
  STRCMP_EQUAL("hello",
               Platform::Detail::DecodeBase64("aGVsbG8=").value().c_str());
  CHECK_FALSE(Platform::Detail::DecodeBase64("aGVsbG8").has_value());
  CHECK_FALSE(Platform::Detail::DecodeBase64("a?Vs").has_value());
  const std::string body =
    "\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x02\0\0\0\x04\x01kab\0\0\0\x02\x01k"s;
  const auto read = Platform::Detail::DecodeRecords(body, 7);
  CHECK(read.has_value());
  LONGS_EQUAL(9, read->end);
  LONGS_EQUAL(2, read->records.size());
  STRCMP_EQUAL("ab", read->records[0].value->c_str());
  CHECK_FALSE(read->records[1].value.has_value());
  CHECK_FALSE(
    Platform::Detail::DecodeRecords(body.substr(0, body.size() - 1), 7)
      .has_value());
  // The store truncates long reads; the next read must start after the last
  // record received.
  LONGS_EQUAL(5, Platform::Detail::DecodeRecords(body, 3)->end);
  LONGS_EQUAL(9, Platform::Detail::DecodeRecords(body.substr(0, 16), 9)->end);
}

TEST_GROUP(EndpointRegistry){};

TEST(EndpointRegistry, RetainsMissingEndpointsTemporarily)
{
  TimePoint now{ std::chrono::hours(1) };
  int invalidRecords = 0;
  EndpointRegistry registry(
    [&now] { return now; },
    [&invalidRecords](const std::string&, const std::string&) {
      ++invalidRecords;
    });
  registry.ApplySnapshot(std::vector<KeyedRecord>{ Record("a", kEndpoint),
                                                   Record("b", kEndpoint),
                                                   Record("c", "garbage") },
                         2,
                         2);
  LONGS_EQUAL(2, registry.TakeChanged()->size());
  LONGS_EQUAL(1, invalidRecords);
  CHECK_FALSE(registry.TakeChanged().has_value());

  // After an outage the store lists no endpoints; one is restored 1 s later.
  registry.ApplySnapshot(std::vector<KeyedRecord>{}, 3, 3);
  CHECK_FALSE(registry.TakeChanged().has_value());
  now += std::chrono::seconds(1);
  registry.Apply(std::vector<KeyedRecord>{ Record("a", kEndpoint) }, 4);
  LONGS_EQUAL(2, registry.TakeChanged()->size());
  now += std::chrono::seconds(2);
  LONGS_EQUAL(1, registry.TakeChanged()->size());
}

// A new leader uses this offset to tell whether it knows all endpoints of the
// previous leader.
TEST(EndpointRegistry, TracksOffsetOfNewestEndpoint)
{
  EndpointRegistry registry([] { return TimePoint(std::chrono::hours(1)); },
                            [](const std::string&, const std::string&) {});
  registry.ApplySnapshot(
    std::vector<KeyedRecord>{ Record("a", kEndpoint) }, 7, 7);
  registry.Apply(std::vector<KeyedRecord>{ Record("a", kEndpoint) }, 9);
  LONGS_EQUAL(9, registry.Position().readUpTo);
  LONGS_EQUAL(7, registry.Listed().listedBy);
  registry.Apply(std::vector<KeyedRecord>{ Record("b", kEndpoint) }, 10);
  LONGS_EQUAL(10, registry.Listed().listedBy);
}

// A daemon that read the list while an endpoint was missing does not know it,
// although this daemon may still use it.
TEST(EndpointRegistry, TracksOffsetOfMissingEndpoints)
{
  TimePoint now{ std::chrono::hours(1) };
  EndpointRegistry registry([&now] { return now; },
                            [](const std::string&, const std::string&) {});
  registry.ApplySnapshot(
    std::vector<KeyedRecord>{ Record("a", kEndpoint), Record("b", kEndpoint) },
    6,
    7); // A snapshot in two pages.
  LONGS_EQUAL(7, registry.Position().readFrom);
  LONGS_EQUAL(6, registry.Position().readUpTo);
  LONGS_EQUAL(6, registry.Listed().leftFrom);

  registry.Apply(std::vector<KeyedRecord>{ Record("b", kEndpoint) }, 9);
  registry.Apply(std::vector<KeyedRecord>{ { "a", std::nullopt } }, 12);
  LONGS_EQUAL(9, registry.Listed().leftFrom);
  LONGS_EQUAL(6, registry.Listed().listedBy);

  // It returns before its removal: daemons that read up to here know it.
  registry.Apply(std::vector<KeyedRecord>{ Record("a", kEndpoint) }, 15);
  LONGS_EQUAL(15, registry.Listed().leftFrom);
  LONGS_EQUAL(15, registry.Listed().listedBy);

  // It is missing from the next snapshot, and is removed.
  registry.ApplySnapshot(
    std::vector<KeyedRecord>{ Record("b", kEndpoint) }, 20, 20);
  LONGS_EQUAL(15, registry.Listed().leftFrom);
  LONGS_EQUAL(20, registry.Position().readFrom);
  now += std::chrono::seconds(3);
  LONGS_EQUAL(1, registry.TakeChanged()->size());
  LONGS_EQUAL(20, registry.Listed().leftFrom);
}

TEST_GROUP(PlatformSettings){};

TEST(PlatformSettings, ReportsEachInvalidKey)
{
  const std::string good =
    R"({"name":"n","zone":"z","ip":"10.0.0.1","cores":0.25,)"
    R"("callers":"10.0.0.1:80","readiness":"10.0.0.1:81","linkPort":7720,)"
    R"("seeds":["10.0.0.2:82"],"log":"10.0.0.3:83","endpointLeaseMs":1000,)"
    R"("stopGraceS":6,"metricsPort":9464,"logLevel":"info"})";
  CHECK(ParseSettings(good).errors.empty());
  CHECK(
    ParseSettings(Replace(good, R"(["10.0.0.2:82"])", "null")).errors.empty());
  const auto parsed = ParseSettings(
    Replace(Replace(good, "10.0.0.1:80", "here"), "0.25", "\"fast\""));
  LONGS_EQUAL(2, parsed.errors.size());
  STRCMP_CONTAINS("cores", parsed.errors[0].c_str());
  STRCMP_CONTAINS("callers", parsed.errors[1].c_str());
  LONGS_EQUAL(1, ParseSettings("[").errors.size());
  CHECK_FALSE(ParseSettings(good).settings.sharesRoom);
  const auto withShares = [&good](const char* aValue) {
    return ParseSettings(
      Replace(good,
              "\"logLevel\"",
              std::string("\"sharesRoom\":") + aValue + ",\"logLevel\""));
  };
  CHECK(withShares("true").settings.sharesRoom);
  CHECK(withShares("true").errors.empty());
  LONGS_EQUAL(1, withShares("1").errors.size());
  STRCMP_CONTAINS("sharesRoom: expected true or false, found 1",
                  withShares("1").errors[0].c_str());
}
