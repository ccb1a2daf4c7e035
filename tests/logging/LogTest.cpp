#include "logging/Log.h"
#include "logging/RateLimiter.h"

#include <string>
#include <vector>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

TEST_GROUP(Log)
{
  std::vector<std::string> lines;

  void setup() override
  {
    Log::SetSink(
      [this](LogLevel, std::string_view aLine) { lines.emplace_back(aLine); });
  }
  void teardown() override
  {
    Log::SetSink({});
  }
};

// Guards against lines that a log reader cannot parse or join by id.
TEST(Log, WritesParsableJsonLines)
{
  Log::Error("forward")
    .Id("vm-1.7.1")
    .Cause(Error::Unknown(
      "forward", "10.0.0.2:7", Reason::PeerLost, "line\n\"break\" \xff"))
    .Field("tasks", 3)
    .Write("a peer was lost");
  LONGS_EQUAL(1, lines.size());
  CHECK(lines[0].find('\n') == std::string::npos);
  const auto line = nlohmann::json::parse(lines[0]);
  CHECK(line["step"] == "forward" && line["peer"] == "10.0.0.2:7");
  CHECK(line["id"] == "vm-1.7.1" && line["reason"] == "peer-lost");
  CHECK(line["level"] == "error" && line["tasks"] == 3);
  LONGS_EQUAL(24, line["time"].get<std::string>().size());
}

// Guards against debug lines in an ordinary run.
TEST(Log, SkipsLevelsBelowThreshold)
{
  Log::Debug("tick").Write("ticked");
  LONGS_EQUAL(0, lines.size());
}

namespace {

struct RateLimitRow
{
  const char* guardsAgainst;
  const char* key;
  std::int64_t second;
  bool admitted;
  std::uint64_t dropped;
};

constexpr RateLimitRow kRateLimitRows[] = {
  { "dropping the first line", "a", 1, true, 0 },
  { "dropping below the limit", "a", 1, true, 0 },
  { "a flood of one kind", "a", 1, false, 0 },
  { "one kind that silences another", "b", 1, true, 0 },
  { "silence after the flood, and drops that nobody sees", "a", 2, true, 1 },
  { "telling of the same drops twice", "a", 2, true, 0 },
};

}

TEST_GROUP(RateLimiter){};

TEST(RateLimiter, LimitsLinesPerKeyAndSecond)
{
  RateLimiter limit(2);
  for (const RateLimitRow& row : kRateLimitRows) {
    const auto dropped = limit.Admit(row.key, row.second);
    CHECK_TEXT(dropped.has_value() == row.admitted, row.guardsAgainst);
    LONGS_EQUAL_TEXT(row.dropped, dropped.value_or(0), row.guardsAgainst);
  }
}
