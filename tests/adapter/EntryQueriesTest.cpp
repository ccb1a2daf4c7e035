// Callers act on the status of a cancel: 410 ends their tries, 503 does not. A
// bad message of another daemon must neither get a reply nor end anything.
#include "platform/EntryApi.h"

#include <functional>
#include <string>
#include <vector>

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;
using namespace hemlockhaven::Platform;

namespace {

constexpr const char* kJob = "/x/5c0e7a21d94b36f8";

//! The interface for callers of a daemon without other daemons or endpoints.
class EntryFixture
{
  TimePoint now_{ std::chrono::hours(1) }; // Read by the constructor.

public:
  EntryFixture()
    : coordinator(
        Member{ "self", "self", "a", 1, 1 },
        SchedulerPolicy(),
        ElectionParameters(),
        MakeHooks(),
        [this] { return now_; },
        [] { return std::int64_t{ 1700000000000 }; })
    , api_(
        coordinator,
        routes_,
        [](const Decision&) {},
        [](CallerOutcome, Duration) {})
  {
    RouteConfiguration configuration;
    configuration.version = 1;
    Route route;
    route.host = "desk.example";
    route.pathPrefix = "/x/";
    route.service = "desk";
    configuration.routes.push_back(route);
    routes_.Apply(configuration);
  }

  void Advance(std::int64_t aMilliseconds)
  {
    for (std::int64_t elapsed = 0; elapsed < aMilliseconds; elapsed += 25) {
      now_ += std::chrono::milliseconds(25);
      coordinator.Tick();
    }
  }
  void Lead()
  {
    ListedEndpoint endpoint;
    endpoint.id = "e";
    endpoint.service = "desk";
    coordinator.SetEndpoints(std::vector<ListedEndpoint>{ endpoint });
    coordinator.SetCanLead(true, "");
    Advance(2000);
  }
  //! Appends the status of the reply, Retry-After and the body.
  void Request(const char* aMethod, const std::string& aTarget = kJob)
  {
    IncomingRequest request;
    request.method = aMethod;
    request.target = aTarget;
    request.header = [](std::string_view aName) -> std::string_view {
      return aName == "Host" ? "desk.example" : "";
    };
    request.hasCallerLeft = [] { return false; };
    api_.Handle(request, [this](const OutgoingReply& aReply) {
      replies += std::to_string(aReply.status) + " " +
                 std::to_string(aReply.retryAfterSeconds) + " " + aReply.body +
                 "\n";
    });
  }

  Coordinator coordinator;
  std::string replies;
  std::string rejections;
  int sentReplies = 0;

private:
  CoordinatorHooks MakeHooks()
  {
    CoordinatorHooks hooks;
    hooks.sendHeartbeat = [](const Member&, const Heartbeat&) {};
    hooks.closeLink = [](const Member&) {};
    hooks.sendWork = [](auto, const auto&) {};
    hooks.sendAnswer = [](auto, const auto&) {};
    hooks.sendCancel = [](auto, auto, auto) {};
    hooks.sendJobQuery = [](auto, const auto&) {};
    hooks.sendJobQueryReply = [this](auto, const auto&) { ++sentReplies; };
    hooks.start = [](const auto&, const auto&) {};
    hooks.stop = [](const auto&, const auto&) {};
    hooks.poll = [](const auto&, const auto&) {};
    hooks.logDecision = [this](const Decision& aDecision) {
      if (aDecision.outcome == "left out" ||
          aDecision.outcome == "reply left out") {
        rejections += aDecision.detail + ", ";
      }
    };
    return hooks;
  }

  RouteTable routes_;
  EntryApi api_;
};

struct EntryRow
{
  const char* guardsAgainst;
  std::function<void(EntryFixture&)> run;
  const char* replies;
  const char* rejections;
};

const EntryRow kRows[] = {
  { "a cancel that is denied for good while no leader is known",
    [](EntryFixture& aFixture) {
      aFixture.Request("DELETE");
      aFixture.Request("GET");
    },
    "503 1 {\"error\":\"no leader is known\"}\n"
    "503 1 {\"error\":\"no leader is known\"}\n",
    "" },
  { "a job that never existed and is not denied",
    [](EntryFixture& aFixture) {
      aFixture.Lead();
      aFixture.Request("GET");
      aFixture.Request("DELETE");
    },
    "410 0 {\"error\":\"no such job\"}\n410 0 {\"error\":\"no such job\"}\n",
    "" },
  { "an early cancel that is not in force",
    [](EntryFixture& aFixture) {
      aFixture.Lead();
      aFixture.Request("DELETE");
      aFixture.Request("DELETE");
      aFixture.Request("GET");
    },
    "410 0 {\"error\":\"no such job\"}\n200 0 {\"state\":\"cancelled\"}\n"
    "200 0 {\"state\":\"cancelled\"}\n",
    "" },
  { "an odd id that becomes a query",
    [](EntryFixture& aFixture) {
      aFixture.Lead();
      aFixture.Request("DELETE", "/x/5c0e");
    },
    "404 0 {\"error\":\"not an id of 16 hexadecimal digits\"}\n",
    "" },
  { "a cancel by a daemon that this one does not know",
    [](EntryFixture& aFixture) {
      aFixture.Lead();
      aFixture.coordinator.OnJobQuery(
        "stranger", { 1, JobQueryKind::Cancel, "5c0e7a21d94b36f8", 0 });
      aFixture.Request("GET");
    },
    "410 0 {\"error\":\"no such job\"}\n",
    "unknown sender, " },
  { "effects of messages that could not be decoded or that nobody waits for",
    [](EntryFixture& aFixture) {
      aFixture.Lead();
      aFixture.coordinator.OnJobQuery("stranger", JobQuery());
      aFixture.coordinator.OnJobQueryReply("stranger", JobQueryReply());
      aFixture.coordinator.OnJobQueryReply("stranger",
                                           { 1, JobState::Cancelled, 1 });
    },
    "",
    "malformed, malformed, the query is closed, " },
};

}

TEST_GROUP(EntryQueries){};

TEST(EntryQueries, AnswersWithWhatIsKnown)
{
  for (const EntryRow& row : kRows) {
    EntryFixture fixture;
    row.run(fixture);
    STRCMP_EQUAL_TEXT(row.replies, fixture.replies.c_str(), row.guardsAgainst);
    STRCMP_EQUAL_TEXT(
      row.rejections, fixture.rejections.c_str(), row.guardsAgainst);
    LONGS_EQUAL_TEXT(0, fixture.sentReplies, row.guardsAgainst);
  }
}
