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

// Lines must stay parsable, on one line each, and can be joined by id.
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

// Debug lines are off by default.
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
  { "first line dropped", "a", 1, true, 0 },
  { "line dropped below the limit", "a", 1, true, 0 },
  { "unlimited lines of one key", "a", 1, false, 0 },
  { "one key limits another", "b", 1, true, 0 },
  { "limit not reset in the next second, or drops not reported",
    "a",
    2,
    true,
    1 },
  { "same drops reported twice", "a", 2, true, 0 },
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
