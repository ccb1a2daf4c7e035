// A leader must not conclude from its polls that a task runs nowhere while an
// earlier leader may still run it at an endpoint that one of the two has
// dropped.
#include "support/Cluster.h"
#include "support/ListFaults.h"
#include "support/SteadyWork.h"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

constexpr Duration kSecond{ 1000000 };
struct UnseenRunsRow
{
  const char* guardsAgainst;
  std::function<void(Cluster&)> fault;
  int workCount;
  std::vector<std::uint64_t> seeds;
};

const UnseenRunsRow kUnseenRunsRows[] = {
  { "endpoints that a leader still knows and another one used meanwhile",
    [](Cluster& aCluster) { IsolateZonesInTurn(aCluster, 8 * kSecond); },
    1400,
    { 1, 2, 3 } },
  { "endpoints that a leader has dropped and another one used meanwhile",
    [](Cluster& aCluster) { IsolateZonesInTurn(aCluster, 36 * kSecond); },
    4800,
    { 1, 2, 3 } },
  { "runs of a leader that steps down while its own callers' work waits",
    IsolateZonesAndRestartDaemons,
    400,
    { 49, 52 } },
};

std::string RunScenario(const UnseenRunsRow& aRow, std::uint64_t aSeed)
{
  const Cluster::Options options = ListReadingClusterOptions(aSeed);
  Cluster cluster(options);
  cluster.work = TaskRunTime;
  for (int i = 0; i < aRow.workCount; ++i) {
    // Every daemon gets both long and short work.
    const std::size_t daemon =
      static_cast<std::size_t>(i / 3) % options.daemons;
    cluster.Time().ScheduleAfter(i * Duration(25000), [&cluster, daemon, i] {
      cluster.Submit(daemon, MakeWork(i));
    });
  }
  cluster.Time().RunFor(kSecond);
  aRow.fault(cluster);
  cluster.Time().RunFor(10 * kSecond);
  std::string doubledIds;
  for (const std::string& id : cluster.OverlappingTasks()) {
    doubledIds += " " + id;
  }
  return doubledIds.empty()
           ? ""
           : std::string(aRow.guardsAgainst) + ", seed " +
               std::to_string(aSeed) + ", ran twice" + doubledIds + "\n";
}

}

TEST_GROUP(UnseenRuns){};

TEST(UnseenRuns, RunsNoTaskTwice)
{
  std::string failures;
  for (const UnseenRunsRow& row : kUnseenRunsRows) {
    for (const std::uint64_t seed : row.seeds) {
      failures += RunScenario(row, seed);
    }
  }
  STRCMP_EQUAL("", failures.c_str());
}

namespace {

//! A leading daemon with one endpoint, and the messages that it sends.
class SingleDaemonHarness
{
public:
  SingleDaemonHarness()
  {
    CoordinatorHooks hooks;
    hooks.sendHeartbeat = [this](const Member&, const Heartbeat& aHeartbeat) {
      lastHeartbeat = aHeartbeat;
    };
    hooks.sendWork = [this](std::string_view, const Work& aWork) {
      sentWorks.push_back(aWork);
    };
    hooks.sendAnswer = [](auto, const auto&) {};
    hooks.closeLink = [](const Member&) {};
    hooks.sendCancel = [](auto, auto, auto) {};
    hooks.start = [this](const StartCommand& aCommand, auto aDone) {
      runs_.push_back(aCommand.run);
      aDone({ CommandOutcome::Accepted, ClockMs() });
    };
    hooks.stop = [](const StopCommand&, auto) {};
    hooks.poll = [this](const PollCommand&, auto aDone) {
      looks_.push_back(aDone);
    };
    hooks.logDecision = [](const Decision&) {};
    coordinator = std::make_unique<Coordinator>(
      Member{ "self", "self", "a", 1, 1 },
      SchedulerPolicy(),
      ElectionParameters(),
      hooks,
      [this] { return now_; },
      [] { return std::int64_t{ 1700000000000 }; });
    coordinator->SetCanLead(true, "");
    coordinator->SetSeeds(std::vector<std::string>{ "next" });
  }

  void Advance(std::int64_t aMilliseconds)
  {
    for (std::int64_t elapsedMs = 0; elapsedMs < aMilliseconds;
         elapsedMs += 25) {
      now_ += std::chrono::milliseconds(25);
      auto looks = std::move(looks_);
      looks_.clear();
      for (const auto& done : looks) {
        PollResult result;
        result.outcome = CommandOutcome::Accepted;
        result.report.incarnationStartMs = 1;
        result.report.clockMs = ClockMs();
        result.report.running = runs_;
        done(result);
      }
      coordinator->SetListPosition(position, listed);
      coordinator->Tick();
    }
  }

  void SetListed(bool aIsListed)
  {
    std::vector<ListedEndpoint> endpoints(aIsListed ? 1 : 0);
    for (ListedEndpoint& endpoint : endpoints) {
      endpoint.id = endpoint.address = "e0";
      endpoint.service = "s";
      endpoint.capacity = { 16000, 65536, 0 };
    }
    coordinator->SetEndpoints(endpoints);
  }

  void HearNextLeader()
  {
    Heartbeat heartbeat;
    heartbeat.from = { "next", "next", "a", 2, 1 };
    heartbeat.canLead = true;
    heartbeat.sequence = ++nextLeaderSequence_;
    coordinator->OnHeartbeat(heartbeat);
    Advance(25);
    heartbeat.sequence = ++nextLeaderSequence_;
    heartbeat.echo = lastHeartbeat.sequence;
    heartbeat.leaderToken = std::uint64_t{ 1800000000 } << 16U;
    coordinator->OnHeartbeat(heartbeat);
  }

  std::unique_ptr<Coordinator> coordinator;
  ListPosition position{ 1, 10 };
  EndpointsInUse listed{ 5, 10 };
  std::vector<Work> sentWorks;
  Heartbeat lastHeartbeat;

private:
  std::int64_t ClockMs() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             now_.time_since_epoch())
      .count();
  }

  TimePoint now_{ std::chrono::hours(1) };
  std::vector<RunKey> runs_;
  std::vector<std::function<void(PollResult)>> looks_;
  std::uint64_t nextLeaderSequence_ = 0;
};

}

// The runs of a leader that steps down continue at an endpoint that has left
// the list, while its own callers' work waits for the next leader.
TEST(UnseenRuns, ForwardsBoundsOfUnlistedEndpointsToNextLeader)
{
  for (const std::int64_t leaderlessMs : { 0, 100 }) {
    SingleDaemonHarness daemon;
    daemon.SetListed(true);
    daemon.Advance(1500);
    CHECK(daemon.coordinator->IsLeading());
    Work work;
    work.id = "w";
    work.service = "s";
    work.kind = "k";
    work.attempts = 1;
    work.stretch = 2;
    work.targetLatency = Duration(100000);
    work.callerTimeout = 9 * kSecond;
    WorkStep step;
    step.count = 1;
    step.taskResources = { 1000, 64, 0 };
    step.estimate = 3 * kSecond;
    work.steps.push_back(step);
    daemon.coordinator->Accept(work, [](const CallerAnswer&) {});
    daemon.Advance(100);
    LONGS_EQUAL(1, daemon.coordinator->Load().activeRuns);
    // The entry expires at position 10 and is dropped; the list reaches 20.
    daemon.SetListed(false);
    daemon.position = { 1, 20 };
    daemon.listed = { 5, 20 };
    daemon.Advance(100);
    LONGS_EQUAL(1, daemon.coordinator->Load().activeRuns);
    LONGS_EQUAL(10, daemon.lastHeartbeat.endpointsInUse.leftFrom);
    daemon.coordinator->SetCanLead(false, "events wait too long");
    daemon.Advance(leaderlessMs);
    daemon.HearNextLeader();
    LONGS_EQUAL(1, daemon.sentWorks.size());
    LONGS_EQUAL(1, daemon.sentWorks[0].submissions);
    LONGS_EQUAL(10, daemon.sentWorks[0].priorEndpoints.leftFrom);
  }
}
