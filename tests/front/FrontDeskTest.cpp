#include "hemlockhaven/front/FrontDesk.h"
#include "hemlockhaven/front/RouteTable.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <string_view>

using namespace hemlockhaven;

namespace {

Duration Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

//! A desk with one caller's work, and what came of it.
class Bench
{
public:
  Bench()
    : desk_([this] { return now_; })
  {
  }

  void Accept(std::int64_t aPatienceMs = 1500)
  {
    Work work;
    work.id = "w";
    work.callerTimeout = Ms(aPatienceMs);
    Note(desk_.Accept(
      std::move(work),
      [this](const CallerAnswer& aAnswer) {
        ++answers;
        outcome = aAnswer.outcome;
      },
      ticket));
  }
  void Leader(std::string_view aName) { Note(desk_.LeaderChanged(aName)); }
  void Answer(std::string_view aLeader, WorkOutcome aOutcome)
  {
    WorkAnswer answer;
    answer.workId = "w";
    answer.outcome = aOutcome;
    Note(desk_.Answered(answer, aLeader));
  }
  void Uses(std::string_view aLeader, const EndpointsInUse& aEndpoints)
  {
    desk_.SetInUse(aLeader, aEndpoints);
  }
  void Leave() { Note(desk_.CallerLeft("w", ticket)); }
  void End() { Note(desk_.EndAll("stopping")); }
  void Wait(std::int64_t aMilliseconds)
  {
    for (std::int64_t gone = 0; gone < aMilliseconds; gone += 25) {
      now_ += Ms(25);
      Note(desk_.Tick());
    }
  }

  int answers = 0;
  CallerOutcome outcome = CallerOutcome::Unavailable;
  std::uint64_t ticket = 0;
  std::string handedTo; //!< Leaders, in order.
  std::string takenFrom;
  Work handedIn; //!< As it was last.

private:
  void Note(const FrontEffects& aEffects)
  {
    for (const auto& submission : aEffects.submissions) {
      handedTo += submission.leader;
      handedIn = submission.work;
    }
    for (const auto& cancellation : aEffects.cancellations) {
      takenFrom += cancellation.leader;
    }
    for (const auto& [hook, answer] : aEffects.answers) {
      hook(answer);
    }
  }

  TimePoint now_{ std::chrono::hours(1) };
  FrontDesk desk_;
};

struct DeskRow
{
  const char* guardsAgainst;
  void (*play)(Bench&);
  std::string_view handedTo;
  std::string_view takenFrom;
  int answers;
  CallerOutcome outcome; //!< With an answer.
};

const DeskRow kDeskRows[] = {
  { "an answer that does not reach the caller",
    [](Bench& aBench) {
      aBench.Leader("a");
      aBench.Accept();
      aBench.Answer("a", WorkOutcome::Completed);
    },
    "a",
    "",
    1,
    CallerOutcome::Completed },
  { "two answers",
    [](Bench& aBench) {
      aBench.Leader("a");
      aBench.Accept();
      aBench.Answer("a", WorkOutcome::Completed);
      aBench.Answer("a", WorkOutcome::Failed);
    },
    "a",
    "",
    1,
    CallerOutcome::Completed },
  { "losing work that came before a leader was known",
    [](Bench& aBench) {
      aBench.Accept();
      aBench.Wait(200);
      aBench.Leader("a");
      aBench.Answer("a", WorkOutcome::Completed);
    },
    "a",
    "",
    1,
    CallerOutcome::Completed },
  { "letting a caller wait for a leader that does not come",
    [](Bench& aBench) {
      aBench.Accept();
      aBench.Wait(500);
    },
    "",
    "",
    1,
    CallerOutcome::Unavailable },
  { "losing work when the leader changes",
    [](Bench& aBench) {
      aBench.Leader("a");
      aBench.Accept();
      aBench.Leader("b");
      aBench.Answer("a", WorkOutcome::Completed);
      aBench.Answer("b", WorkOutcome::Completed);
    },
    "ab",
    "",
    1,
    CallerOutcome::Completed },
  { "losing work that a leader gave back",
    [](Bench& aBench) {
      aBench.Leader("a");
      aBench.Accept();
      aBench.Answer("a", WorkOutcome::Moved);
      aBench.Leader("a");
      aBench.Answer("a", WorkOutcome::Completed);
    },
    "aa",
    "",
    1,
    CallerOutcome::Completed },
  { "losing work that a leader gave back and goes on leading",
    [](Bench& aBench) {
      aBench.Leader("a");
      aBench.Accept();
      aBench.Answer("a", WorkOutcome::Moved);
      aBench.Wait(300);
      aBench.Answer("a", WorkOutcome::Completed);
    },
    "aa",
    "",
    1,
    CallerOutcome::Completed },
  { "calling work not run that an earlier leader may have run",
    [](Bench& aBench) {
      aBench.Leader("a");
      aBench.Accept();
      aBench.Leader("b");
      aBench.Answer("b", WorkOutcome::Refused);
    },
    "ab",
    "",
    1,
    CallerOutcome::TimedOut },
  { "hiding that refused work has not run",
    [](Bench& aBench) {
      aBench.Leader("a");
      aBench.Accept();
      aBench.Answer("a", WorkOutcome::Refused);
    },
    "a",
    "",
    1,
    CallerOutcome::Overloaded },
  { "running on for a caller that left",
    [](Bench& aBench) {
      aBench.Leader("a");
      aBench.Accept();
      aBench.Leave();
    },
    "a",
    "a",
    0,
    CallerOutcome::Completed },
  { "running on after the caller's deadline",
    [](Bench& aBench) {
      aBench.Leader("a");
      aBench.Accept();
      aBench.Wait(1600);
    },
    "a",
    "a",
    1,
    CallerOutcome::TimedOut },
  { "leaving callers without an answer at the end",
    [](Bench& aBench) {
      aBench.Leader("a");
      aBench.Accept();
      aBench.End();
    },
    "a",
    "a",
    1,
    CallerOutcome::TimedOut },
  { "answering the connection that the caller gave up",
    [](Bench& aBench) {
      aBench.Leader("a");
      aBench.Accept();
      aBench.Accept();
      aBench.Answer("a", WorkOutcome::Completed);
    },
    "a",
    "",
    2,
    CallerOutcome::Completed },
};

struct RouteRow
{
  const char* guardsAgainst;
  std::string_view host;
  std::string_view path;
  std::string_view expected; //!< Empty: none.
};

constexpr RouteRow kRouteRows[] = {
  { "a route that is not found", "a.example", "/x/1", "x" },
  { "the shorter prefix", "a.example", "/x/y/1", "xy" },
  { "a route of another host", "b.example", "/x/1", "" },
  { "a path that only resembles a prefix", "a.example", "/z/1", "" },
};

RouteConfiguration MakeRoutes(std::uint64_t aVersion)
{
  RouteConfiguration configuration;
  configuration.version = aVersion;
  Route route;
  route.host = "a.example";
  route.name = "x";
  route.pathPrefix = "/x/";
  configuration.routes.push_back(route);
  route.name = "xy";
  route.pathPrefix = "/x/y/";
  configuration.routes.push_back(route);
  return configuration;
}

}

TEST_GROUP(FrontDesk){};

// The next leader has to know whether it knows all endpoints where an earlier
// one may have started the work.
TEST(FrontDesk, TellsWhichEndpointsEarlierLeadersUsed)
{
  Bench bench;
  bench.Uses("a", { 4, 4 });
  bench.Leader("a");
  bench.Accept();
  LONGS_EQUAL(0, bench.handedIn.priorEndpoints.listedBy);
  bench.Uses("a", { 10, 5 }); // Since it has the work.
  bench.Uses("b", { 7, 3 });
  bench.Leader("b");
  LONGS_EQUAL(10, bench.handedIn.priorEndpoints.listedBy);
  LONGS_EQUAL(5, bench.handedIn.priorEndpoints.leftFrom);
  bench.Answer("b", WorkOutcome::Moved);
  bench.Leader("c");
  STRCMP_EQUAL("abc", bench.handedTo.c_str());
  LONGS_EQUAL(10, bench.handedIn.priorEndpoints.listedBy);
  LONGS_EQUAL(3, bench.handedIn.priorEndpoints.leftFrom);
}

TEST(FrontDesk, AnswersEachCallerOnce)
{
  for (const DeskRow& row : kDeskRows) {
    Bench bench;
    row.play(bench);
    STRCMP_EQUAL_TEXT(std::string(row.handedTo).c_str(),
                      bench.handedTo.c_str(),
                      row.guardsAgainst);
    STRCMP_EQUAL_TEXT(std::string(row.takenFrom).c_str(),
                      bench.takenFrom.c_str(),
                      row.guardsAgainst);
    LONGS_EQUAL_TEXT(row.answers, bench.answers, row.guardsAgainst);
    if (row.answers > 0) {
      CHECK_TEXT(row.outcome == bench.outcome, row.guardsAgainst);
    }
  }
}

TEST_GROUP(RouteTable){};

TEST(RouteTable, FindsTheLongestPrefix)
{
  RouteTable table;
  CHECK(table.Apply(MakeRoutes(3)));
  for (const RouteRow& row : kRouteRows) {
    const auto route = table.Find(row.host, row.path);
    STRCMP_EQUAL_TEXT(std::string(row.expected).c_str(),
                      route ? route->name.c_str() : "",
                      row.guardsAgainst);
  }
}

TEST(RouteTable, NeverGoesBack)
{
  RouteTable table;
  CHECK(table.Apply(MakeRoutes(3)));
  CHECK_FALSE(table.Apply(MakeRoutes(2)));
  CHECK_FALSE(table.Apply(MakeRoutes(3)));
  LONGS_EQUAL(3, table.Version());
}
