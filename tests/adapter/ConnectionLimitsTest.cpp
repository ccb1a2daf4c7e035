#include "net/ConnectionMemory.h"
#include "net/ConnectionPlan.h"
#include "net/MemoryReservation.h"
#include "platform/EntryApi.h"
#include "platform/PlatformSettings.h"
#include "platform/Records.h"

#include <memory>
#include <string>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;
using namespace hemlockhaven::Platform;

namespace {

struct LimitsRow
{
  const char* guardsAgainst;
  const char* json;
  bool isValid;
  std::size_t headerBytes;
  std::size_t bodyBytes;
};

constexpr LimitsRow kLimitsRows[] = {
  { "a configuration without limits rejected", "{}", true, 0, 0 },
  { "limits that are not read",
    R"({"limits":{"max_header_bytes":16384,"max_body_bytes":262144}})",
    true,
    16384,
    262144 },
  { "one limit that needs the other one",
    R"({"limits":{"max_body_bytes":262144}})",
    true,
    0,
    262144 },
  { "limits of another kind accepted", R"({"limits":[1]})", false, 0, 0 },
  { "a text accepted as a limit",
    R"({"limits":{"max_body_bytes":"262144"}})",
    false,
    0,
    0 },
  { "a limit that refuses every job",
    R"({"limits":{"max_body_bytes":100}})",
    false,
    0,
    0 },
  { "a limit without use",
    R"({"limits":{"max_header_bytes":1e9}})",
    false,
    0,
    0 },
};

struct PayloadRow
{
  const char* guardsAgainst;
  std::size_t payloadBytes;
  bool isAccepted;
};

constexpr PayloadRow kPayloadRows[] = {
  { "a documented payload refused", 4000, true },
  { "a payload at the default bound refused", 16384, true },
  { "a payload that every queue and task keeps", 16385, false },
  { "a payload that is far too large", 200000, false },
};

struct StepsRow
{
  const char* guardsAgainst;
  std::size_t steps;
  const char* step;
  bool isAccepted;
};

constexpr StepsRow kStepsRows[] = {
  { "steps of a valid job refused", 100, R"({"count":1})", true },
  { "steps without tasks that fill the memory", 50000, "{}", false },
};

struct SettingsRow
{
  const char* guardsAgainst;
  const char* field; //!< Added to valid settings.
  const char* error; //!< Empty: none.
};

constexpr SettingsRow kSettingsRows[] = {
  { "older settings without the new keys rejected", "", "" },
  { "the smallest machines rejected", R"("memoryMb":120,)", "" },
  { "a memory that leaves no budget",
    R"("memoryMb":1,)",
    "memoryMb: expected a number from 64 to 1.04858e+06, found 1" },
  { "a text accepted as a size",
    R"("memoryMb":"120",)",
    "memoryMb: expected a number from 64 to 1.04858e+06, found \"120\"" },
  { "a bound below the documented payload",
    R"("maxPayloadBytes":3999,)",
    "maxPayloadBytes: expected a number from 4000 to 262144, found 3999" },
};

std::string Job(const std::string& aPayload, const std::string& aSteps)
{
  return R"({"best_effort":true,"spec":")" + aPayload + R"(","steps":[)" +
         aSteps + "]}";
}

}

TEST_GROUP(ConnectionLimits){};

TEST(ConnectionLimits, ReadsTheLimitsOfTheConfiguration)
{
  for (const LimitsRow& row : kLimitsRows) {
    const auto limits = DecodeMessageLimits(row.json);
    CHECK_EQUAL_TEXT(row.isValid, limits.has_value(), row.guardsAgainst);
    if (row.isValid) {
      LONGS_EQUAL_TEXT(
        row.headerBytes, limits.value().headerBytes, row.guardsAgainst);
      LONGS_EQUAL_TEXT(
        row.bodyBytes, limits.value().bodyBytes, row.guardsAgainst);
    }
  }
}

TEST(ConnectionLimits, BoundsWhatAJobKeeps)
{
  for (const PayloadRow& row : kPayloadRows) {
    const auto work = Platform::Detail::DecodeWork(
      Job(std::string(row.payloadBytes, 'x'), R"({"count":1})"));
    CHECK_EQUAL_TEXT(row.isAccepted, work.has_value(), row.guardsAgainst);
  }
  for (const StepsRow& row : kStepsRows) {
    std::string steps = R"({"count":1})";
    for (std::size_t i = 1; i < row.steps; ++i) {
      steps.append(",").append(row.step);
    }
    const auto work = Platform::Detail::DecodeWork(Job("x", steps));
    CHECK_EQUAL_TEXT(row.isAccepted, work.has_value(), row.guardsAgainst);
  }
}

//! A job that the documentation allows.
struct LargeJobRow
{
  const char* guardsAgainst;
  std::size_t steps;
  const char* step;
};

const LargeJobRow kLargeJobRows[] = {
  { "the most tasks refused", 4096, R"({"count":1})" },
  { "the most tasks with usual fields refused",
    4096,
    R"({"count":1,"cpu":500,"mem_mb":256,"estimate_ms":900,)"
    R"("affinity":"rack-with-a-long-name-1"})" },
  { "a large job with all fields refused",
    780,
    R"({"count":1,"cpu":500,"mem_mb":256,"gpus":1,"estimate_ms":900,)"
    R"("requirements":"kind-with-a-long-name","affinity":"rack-1",)"
    R"("same_rack":true,"anti_affinity":2,"depends_on":[0]})" },
};

// The least memory that the settings allow has to suffice for a single job.
TEST(ConnectionLimits, AcceptsLargeJobsOnTheSmallestVm)
{
  constexpr std::size_t kLeastMemoryMb = 64;
  constexpr std::size_t kDescriptors = 3075;
  for (const LargeJobRow& row : kLargeJobRows) {
    std::string steps = R"({"count":1})";
    for (std::size_t i = 1; i < row.steps; ++i) {
      steps.append(",").append(row.step);
    }
    const std::string job = Job("x", steps);
    const auto memory = std::make_shared<ConnectionMemory>(
      PlanConnections(kLeastMemoryMb, kDescriptors, 1).budgetBytes);
    MemoryReservation body(memory);
    CHECK(body.Add(job.size()) == ReserveOutcome::Reserved);
    MemoryReservation reservation(memory);
    const auto work = Platform::Detail::DecodeWork(
      job, kDefaultMaxPayloadBytes, [&reservation](std::size_t aBytes) {
        return reservation.Add(aBytes);
      });
    CHECK_TEXT(work.has_value(), row.guardsAgainst);
    LONGS_EQUAL_TEXT(row.steps, work.value().steps.size(), row.guardsAgainst);
  }
}

TEST(ConnectionLimits, ValidatesTheSettings)
{
  for (const SettingsRow& row : kSettingsRows) {
    const auto result =
      ParseSettings(std::string("{") + row.field +
                    R"("name":"n","zone":"z","ip":"127.0.0.1","cores":1,)"
                    R"("callers":"127.0.0.1:1","readiness":"127.0.0.1:2",)"
                    R"("linkPort":3,"log":"127.0.0.1:4",)"
                    R"("endpointLeaseMs":1000,"stopGraceS":8,)"
                    R"("metricsPort":5,"logLevel":"info"})");
    const std::string error = result.errors.empty() ? "" : result.errors[0];
    STRCMP_EQUAL_TEXT(row.error, error.c_str(), row.guardsAgainst);
  }
}
