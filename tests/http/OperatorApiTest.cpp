#include "http/OperatorApi.h"
#include "http/Exposition.h"

#include <sstream>
#include <string>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

struct RouteRow
{
  const char* guardsAgainst;
  HttpRequestView request;
  unsigned status;
};

const RouteRow kRouteRows[] = {
  { "an empty hook that ends the process",
    { "GET", "/v1/status", "", "" },
    503 },
  { "a route that does not exist", { "GET", "/v1/stats", "", "" }, 404 },
  { "a method that does not exist", { "POST", "/healthz", "", "" }, 404 },
  { "a selector that is silently ignored",
    { "GET", "/v1/where", "selector=%3D", "" },
    400 },
  { "a time that is silently ignored",
    { "GET", "/v1/where", "since=yesterday", "" },
    400 },
  { "a drained fleet through an empty selector",
    { "POST", "/v1/endpoints/drain", "", R"({"selector":""})" },
    400 },
  { "a drain that was meant as its opposite",
    { "POST",
      "/v1/endpoints/drain",
      "",
      R"({"selector":"rack = a","drain":"no"})" },
    400 },
  { "a body that is not JSON",
    { "POST", "/v1/endpoints/drain", "", "{" },
    400 },
  { "publishing without the version that was changed",
    { "PUT", "/v1/configuration", "", "{}" },
    400 },
  { "readiness that hides the reason", { "GET", "/readyz", "", "" }, 503 },
};

}

TEST_GROUP(OperatorApi){};

TEST(OperatorApi, AnswersAsTheTableSays)
{
  OperatorHooks hooks;
  hooks.readiness = [] {
    return Result<void>(Error::NotRun("a", Reason::ShuttingDown, "b"));
  };
  hooks.where = [](const WhereQuery&) {
    return Result<WhereAnswer>(WhereAnswer{});
  };
  hooks.drain = [](const DrainOrder&) { return Result<std::size_t>(1); };
  hooks.publishConfiguration =
    [](std::uint64_t, std::string_view, const ReserveHook&) {
      return Result<std::uint64_t>(1);
    };
  const OperatorApi api(hooks);
  for (const RouteRow& row : kRouteRows) {
    LONGS_EQUAL_TEXT(
      row.status, api.Handle(row.request).status, row.guardsAgainst);
  }
}

TEST_GROUP(Exposition){};

// Guards against a reason without a counter, and against lines that a scraper
// cannot read.
TEST(Exposition, HasEachReasonAndEvent)
{
  Counters counters;
  Summaries summaries;
  counters.Refused(Reason::QueueFull);
  const std::string text = WriteExposition(counters, summaries, NodeStatus{});
  for (std::size_t i = 1; i < kReasonCount; ++i) {
    const std::string name(ReasonName(static_cast<Reason>(i)));
    CHECK_TEXT(text.find("refused_total{reason=\"" + name + "\"}") !=
                 std::string::npos,
               name.c_str());
  }
  CHECK(text.find("hemlockhaven_refused_total{reason=\"queue-full\"} 1\n") !=
        std::string::npos);
  CHECK(text.find("hemlockhaven_answer_time_seconds_count 0\n") !=
        std::string::npos);
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t space = line.rfind(' ');
    CHECK_TEXT(line[0] == '#' ||
                 (space != std::string::npos &&
                  line.find_first_not_of("0123456789.e-", space + 1) ==
                    std::string::npos),
               line.c_str());
  }
}
