#include "hemlockhaven/front/SubmissionTracker.h"
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

//! A tracker with the work of one caller; records the effects of each call.
class TrackerFixture
{
public:
  TrackerFixture()
    : tracker_([this] { return now_; })
  {
  }

  void Accept(std::int64_t aTimeoutMs = 1500)
  {
    Work work;
    work.id = "w";
    work.callerTimeout = Ms(aTimeoutMs);
    Apply(tracker_.Accept(
      std::move(work),
      [this](const CallerAnswer& aAnswer) {
        ++answers;
        outcome = aAnswer.outcome;
      },
      waiterId));
  }
  void ChangeLeader(std::string_view aName)
  {
    Apply(tracker_.OnLeaderChange(aName));
  }
  void Answer(std::string_view aLeader, WorkOutcome aOutcome)
  {
    WorkAnswer answer;
    answer.workId = "w";
    answer.outcome = aOutcome;
    Apply(tracker_.OnAnswer(answer, aLeader));
  }
  void SetEndpointsInUse(std::string_view aLeader,
                         const EndpointsInUse& aEndpoints)
  {
    tracker_.SetEndpointsInUse(aLeader, aEndpoints);
  }
  void Disconnect() { Apply(tracker_.OnCallerDisconnect("w", waiterId)); }
  void AbortAll() { Apply(tracker_.AbortAll("stopping")); }
  void AdvanceTime(std::int64_t aMilliseconds)
  {
    for (std::int64_t elapsed = 0; elapsed < aMilliseconds; elapsed += 25) {
      now_ += Ms(25);
      Apply(tracker_.Tick());
    }
  }

  //! Lets time pass without a tick.
  void Pause(std::int64_t aMilliseconds) { now_ += Ms(aMilliseconds); }

  int answers = 0;
  CallerOutcome outcome = CallerOutcome::Unavailable;
  std::uint64_t waiterId = 0;
  std::string submittedTo; //!< Names of the leaders, in order.
  std::string cancelledAt;
  Work lastSubmitted; //!< Of the last submission.

private:
  void Apply(const TrackerEffects& aEffects)
  {
    for (const auto& submission : aEffects.submissions) {
      submittedTo += submission.leader;
      lastSubmitted = submission.work;
    }
    for (const auto& cancellation : aEffects.cancellations) {
      cancelledAt += cancellation.leader;
    }
    for (const auto& [hook, answer] : aEffects.answers) {
      hook(answer);
    }
  }

  TimePoint now_{ std::chrono::hours(1) };
  SubmissionTracker tracker_;
};

struct TrackerRow
{
  const char* guardsAgainst;
  void (*run)(TrackerFixture&);
  std::string_view submittedTo;
  std::string_view cancelledAt;
  int answers;
  CallerOutcome outcome; //!< Checked only if there is an answer.
};

const TrackerRow kTrackerRows[] = {
  { "an answer that is not forwarded to the caller",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept();
      aFixture.Answer("a", WorkOutcome::Completed);
    },
    "a",
    "",
    1,
    CallerOutcome::Completed },
  { "two answers",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept();
      aFixture.Answer("a", WorkOutcome::Completed);
      aFixture.Answer("a", WorkOutcome::Failed);
    },
    "a",
    "",
    1,
    CallerOutcome::Completed },
  { "losing work accepted before a leader was known",
    [](TrackerFixture& aFixture) {
      aFixture.Accept();
      aFixture.AdvanceTime(200);
      aFixture.ChangeLeader("a");
      aFixture.Answer("a", WorkOutcome::Completed);
    },
    "a",
    "",
    1,
    CallerOutcome::Completed },
  { "handing work to the next leader whose caller gave up while this process "
    "was paused, which would take the place of a repeat there",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept(500);
      aFixture.Pause(3000);
      aFixture.ChangeLeader("b");
      aFixture.AdvanceTime(25);
    },
    "a",
    "a",
    1,
    CallerOutcome::TimedOut },
  { "the same with work that the earlier leader returned",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept(500);
      aFixture.ChangeLeader("");
      aFixture.Pause(3000);
      aFixture.ChangeLeader("b");
      aFixture.Answer("a", WorkOutcome::Moved);
      aFixture.AdvanceTime(25);
    },
    "a",
    "a",
    1,
    CallerOutcome::TimedOut },
  { "waiting without limit for a leader",
    [](TrackerFixture& aFixture) {
      aFixture.Accept();
      aFixture.AdvanceTime(500);
    },
    "",
    "",
    1,
    CallerOutcome::Unavailable },
  { "losing work when the leader changes",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept();
      aFixture.ChangeLeader("b");
      aFixture.Answer("a", WorkOutcome::Completed);
      aFixture.Answer("b", WorkOutcome::Completed);
    },
    "ab",
    "a", // Withdrawn, since it may not hear the new leader.
    1,
    CallerOutcome::Completed },
  { "losing work that a leader returned before it led again",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept();
      aFixture.Answer("a", WorkOutcome::Moved);
      aFixture.ChangeLeader("a");
      aFixture.Answer("a", WorkOutcome::Completed);
    },
    "aa",
    "",
    1,
    CallerOutcome::Completed },
  { "losing work that the current leader returned",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept();
      aFixture.Answer("a", WorkOutcome::Moved);
      aFixture.AdvanceTime(300);
      aFixture.Answer("a", WorkOutcome::Completed);
    },
    "aa",
    "",
    1,
    CallerOutcome::Completed },
  { "reporting work as not run that an earlier leader may have run",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept();
      aFixture.ChangeLeader("b");
      aFixture.Answer("b", WorkOutcome::Refused);
    },
    "ab",
    "a",
    1,
    CallerOutcome::TimedOut },
  { "not reporting that refused work did not run",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept();
      aFixture.Answer("a", WorkOutcome::Refused);
    },
    "a",
    "",
    1,
    CallerOutcome::Overloaded },
  { "work that keeps running after its caller disconnected",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept();
      aFixture.Disconnect();
    },
    "a",
    "a",
    0,
    CallerOutcome::Completed },
  { "work that keeps running after the caller's deadline",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept();
      aFixture.AdvanceTime(1600);
    },
    "a",
    "a",
    1,
    CallerOutcome::TimedOut },
  { "callers without an answer at shutdown",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept();
      aFixture.AbortAll();
    },
    "a",
    "a",
    1,
    CallerOutcome::TimedOut },
  { "answering only the connection that the caller abandoned",
    [](TrackerFixture& aFixture) {
      aFixture.ChangeLeader("a");
      aFixture.Accept();
      aFixture.Accept();
      aFixture.Answer("a", WorkOutcome::Completed);
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
  std::string_view expected; //!< Name of the route; empty: none.
};

constexpr RouteRow kRouteRows[] = {
  { "a route that is not found", "a.example", "/x/1", "x" },
  { "the shorter prefix", "a.example", "/x/y/1", "xy" },
  { "a route of another host", "b.example", "/x/1", "" },
  { "a path that only resembles a prefix", "a.example", "/z/1", "" },
};

RouteConfiguration MakeRouteConfiguration(std::uint64_t aVersion)
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

TEST_GROUP(SubmissionTracker){};

// The next leader has to tell whether it knows all endpoints on which an
// earlier leader may have started the work. A submission therefore carries the
// bounds of the endpoints that earlier leaders used.
TEST(SubmissionTracker, ReportsEndpointsUsedByEarlierLeaders)
{
  TrackerFixture fixture;
  fixture.SetEndpointsInUse("a", { 4, 4 });
  fixture.ChangeLeader("a");
  fixture.Accept();
  LONGS_EQUAL(0, fixture.lastSubmitted.priorEndpoints.listedBy);
  fixture.SetEndpointsInUse("a", { 10, 5 }); // Changed after the submission.
  fixture.SetEndpointsInUse("b", { 7, 3 });
  fixture.ChangeLeader("b");
  LONGS_EQUAL(10, fixture.lastSubmitted.priorEndpoints.listedBy);
  LONGS_EQUAL(5, fixture.lastSubmitted.priorEndpoints.leftFrom);
  fixture.Answer("b", WorkOutcome::Moved);
  fixture.ChangeLeader("c");
  STRCMP_EQUAL("abc", fixture.submittedTo.c_str());
  LONGS_EQUAL(10, fixture.lastSubmitted.priorEndpoints.listedBy);
  LONGS_EQUAL(3, fixture.lastSubmitted.priorEndpoints.leftFrom);
}

TEST(SubmissionTracker, AnswersEachCallerOnce)
{
  for (const TrackerRow& row : kTrackerRows) {
    TrackerFixture fixture;
    row.run(fixture);
    STRCMP_EQUAL_TEXT(std::string(row.submittedTo).c_str(),
                      fixture.submittedTo.c_str(),
                      row.guardsAgainst);
    STRCMP_EQUAL_TEXT(std::string(row.cancelledAt).c_str(),
                      fixture.cancelledAt.c_str(),
                      row.guardsAgainst);
    LONGS_EQUAL_TEXT(row.answers, fixture.answers, row.guardsAgainst);
    if (row.answers > 0) {
      CHECK_TEXT(row.outcome == fixture.outcome, row.guardsAgainst);
    }
  }
}

TEST_GROUP(RouteTable){};

TEST(RouteTable, FindsTheLongestPrefix)
{
  RouteTable table;
  CHECK(table.Apply(MakeRouteConfiguration(3)));
  for (const RouteRow& row : kRouteRows) {
    const auto route = table.Find(row.host, row.path);
    STRCMP_EQUAL_TEXT(std::string(row.expected).c_str(),
                      route ? route->name.c_str() : "",
                      row.guardsAgainst);
  }
}

TEST(RouteTable, RejectsConfigurationsThatAreNotNewer)
{
  RouteTable table;
  CHECK(table.Apply(MakeRouteConfiguration(3)));
  CHECK_FALSE(table.Apply(MakeRouteConfiguration(2)));
  CHECK_FALSE(table.Apply(MakeRouteConfiguration(3)));
  LONGS_EQUAL(3, table.Version());
}
