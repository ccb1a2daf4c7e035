// Work that another leader has recently held starts only after each endpoint
// was polled in a term that began after the work arrived.
#include "hemlockhaven/scheduler/Scheduler.h"

#include <map>
#include <string>
#include <vector>

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

Duration Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

//! Drives a leading scheduler with simulated endpoints, which answer each poll
//! at the end of its wait time.
class SchedulerHarness
{
public:
  explicit SchedulerHarness(int aEndpoints)
    : scheduler_(SchedulerPolicy(), [this] { return now_; })
  {
    SetListedEndpoints(0, aEndpoints);
    BeginTerm();
    AdvanceTime(1000);
    termCount = 0;
  }

  //! Replaces the list with aCount endpoints, numbered from aFirst.
  void SetListedEndpoints(int aFirst, int aCount)
  {
    std::vector<ListedEndpoint> listed(static_cast<std::size_t>(aCount));
    for (ListedEndpoint& endpoint : listed) {
      endpoint.id = endpoint.address = "e" + std::to_string(aFirst++);
      endpoint.capacity = { 16000, 65536, 0 };
    }
    ApplyEffects(scheduler_.SetEndpoints(listed));
  }

  void SetListPosition(const ListPosition& aPosition)
  {
    scheduler_.SetListPosition(aPosition, EndpointsInUse());
  }

  void Submit(std::uint32_t aSubmissions,
              const EndpointsInUse& aPriorEndpoints = EndpointsInUse())
  {
    SubmitAs(
      "w" + std::to_string(++submittedCount_), aSubmissions, aPriorEndpoints);
  }

  void SubmitAs(const std::string& aId,
                std::uint32_t aSubmissions,
                const EndpointsInUse& aPriorEndpoints = EndpointsInUse())
  {
    Work work;
    work.id = aId;
    work.kind = "k";
    work.submissions = aSubmissions;
    work.priorEndpoints = aPriorEndpoints;
    work.attempts = 1;
    work.stretch = 2;
    work.targetLatency = Ms(100);
    work.callerTimeout = Ms(9000);
    WorkStep step;
    step.count = 1;
    step.taskResources = { 1000, 64, 0 };
    step.estimate = Ms(1000);
    work.steps.push_back(step);
    ApplyEffects(scheduler_.Submit("front", std::move(work)));
  }

  void AdvanceTime(std::int64_t aMilliseconds)
  {
    for (std::int64_t elapsedMs = 0; elapsedMs < aMilliseconds;
         elapsedMs += 5) {
      now_ += Ms(5);
      AnswerDuePolls();
      ApplyEffects(scheduler_.Tick());
    }
  }

  //! Completes all current runs successfully.
  void CompleteRuns()
  {
    for (auto& [endpoint, runs] : runningByEndpoint_) {
      for (const RunKey& run : runs) {
        endedByEndpoint_[endpoint].push_back(
          { endedByEndpoint_[endpoint].size() + 1, run, RunOutcome::Done });
      }
      runs.clear();
    }
  }

  int termCount = 0;
  std::vector<std::uint64_t> startFencingTokens; //!< One per start command.

private:
  void BeginTerm()
  {
    ++termCount;
    ApplyEffects(scheduler_.StartTerm(++fencingToken_));
  }

  void ApplyEffects(const SchedulerEffects& aEffects)
  {
    for (const StartCommand& start : aEffects.starts) {
      startFencingTokens.push_back(start.target.fencingToken);
      runningByEndpoint_[start.target.endpoint].push_back(start.run);
      ApplyEffects(scheduler_.OnStartReply(
        start, { CommandOutcome::Accepted, ClockMs() }));
    }
    for (const PollCommand& look : aEffects.polls) {
      pendingPolls_.emplace(now_ + look.wait, look);
    }
    if (aEffects.needsNewTerm) {
      BeginTerm();
    }
  }

  std::int64_t ClockMs() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             now_.time_since_epoch())
      .count();
  }

  void AnswerDuePolls()
  {
    while (!pendingPolls_.empty() && pendingPolls_.begin()->first <= now_) {
      const PollCommand look =
        pendingPolls_.extract(pendingPolls_.begin()).mapped();
      PollReport report;
      report.incarnationStartMs = 1;
      report.clockMs = ClockMs();
      report.running = runningByEndpoint_[look.target.endpoint];
      report.ended = endedByEndpoint_[look.target.endpoint];
      ApplyEffects(scheduler_.OnPollReply(look, report));
    }
  }

  TimePoint now_{ std::chrono::hours(1) };
  std::multimap<TimePoint, PollCommand> pendingPolls_; //!< By reply time.
  Scheduler scheduler_;
  std::map<std::string, std::vector<RunKey>> runningByEndpoint_;
  std::map<std::string, std::vector<EndedRun>> endedByEndpoint_;
  std::uint64_t fencingToken_ = 0;
  int submittedCount_ = 0;
};

struct NewTermRow
{
  const char* guardsAgainst;
  int endpoints;
  std::uint32_t submissions;
  int workCount; //!< Submitted at intervals of 5 ms.
  int minTerms;
  int maxTerms;
};

const NewTermRow kNewTermRows[] = {
  { "beginning a term for new work", 4, 0, 40, 0, 0 },
  { "starting work that another leader may have started", 4, 1, 1, 1, 1 },
  { "beginning a term for each piece of work", 4, 1, 40, 1, 6 },
  { "beginning terms too often in a large fleet", 300, 1, 40, 1, 3 },
};

struct ListedRow
{
  const char* guardsAgainst;
  int listedEndpoint; //!< Listed in the end; e0 is listed initially.
};

constexpr ListedRow kListedRows[] = {
  { "starting work on a new endpoint that other daemons do not know yet", 1 },
  { "starting work on a returning endpoint that other daemons do not know yet",
    0 },
};

}

TEST_GROUP(NewTerm){};

// The next leader must know each endpoint that may have runs.
TEST(NewTerm, TellsOfAnEndpointBeforeItIsUsed)
{
  for (const ListedRow& row : kListedRows) {
    SchedulerHarness harness(1);
    harness.SetListedEndpoints(1, 0);
    harness.AdvanceTime(5000);
    harness.SetListedEndpoints(row.listedEndpoint, 1);
    harness.AdvanceTime(400);
    harness.Submit(0);
    harness.AdvanceTime(20);
    LONGS_EQUAL_TEXT(0, harness.startFencingTokens.size(), row.guardsAgainst);
    harness.AdvanceTime(50);
    harness.Submit(0);
    LONGS_EQUAL_TEXT(1, harness.startFencingTokens.size(), row.guardsAgainst);
  }
}

// A leader that does not know all endpoints of its predecessor cannot poll all
// of them, so it waits for the leases of the unknown ones to expire.
TEST(NewTerm, WaitsForLeasesOfUnknownEndpoints)
{
  struct UnknownRow
  {
    const char* guardsAgainst;
    ListPosition behind;
    ListPosition caughtUp;
    EndpointsInUse previous;
  };
  const UnknownRow rows[] = {
    { "endpoints that were added later", { 1, 9 }, { 1, 10 }, { 10, 10 } },
    { "endpoints that had left earlier", { 9, 12 }, { 7, 12 }, { 5, 7 } },
  };
  for (const UnknownRow& row : rows) {
    SchedulerHarness harness(4);
    harness.SetListPosition(row.behind);
    harness.Submit(0, row.previous);
    harness.Submit(1, row.previous);
    harness.AdvanceTime(1200);
    LONGS_EQUAL_TEXT(1, harness.startFencingTokens.size(), row.guardsAgainst);
    harness.AdvanceTime(300);
    LONGS_EQUAL_TEXT(2, harness.startFencingTokens.size(), row.guardsAgainst);
    harness.Submit(1, row.previous);
    harness.AdvanceTime(100);
    LONGS_EQUAL_TEXT(2, harness.startFencingTokens.size(), row.guardsAgainst);
    harness.SetListPosition(row.caughtUp);
    harness.AdvanceTime(100);
    LONGS_EQUAL_TEXT(3, harness.startFencingTokens.size(), row.guardsAgainst);
  }
}

// Between two submissions of the same work to this leader, another leader may
// have started its tasks.
TEST(NewTerm, ComesBeforeWorkThatAnotherLeaderHadInBetween)
{
  constexpr int kEndpointCapacity = 16; // Concurrent tasks of one endpoint.
  SchedulerHarness harness(1);
  for (int i = 0; i <= kEndpointCapacity; ++i) {
    harness.SubmitAs("full" + std::to_string(i), 0);
  }
  LONGS_EQUAL(kEndpointCapacity, harness.startFencingTokens.size());
  harness.AdvanceTime(100);
  harness.SubmitAs("full" + std::to_string(kEndpointCapacity), 1);
  harness.CompleteRuns();
  harness.AdvanceTime(500);
  LONGS_EQUAL(1, harness.termCount);
  LONGS_EQUAL(kEndpointCapacity + 1, harness.startFencingTokens.size());
  CHECK(harness.startFencingTokens.back() > harness.startFencingTokens.front());
}

TEST(NewTerm, HoldsResubmittedWorkOfAnotherLeader)
{
  SchedulerHarness harness(4);
  const EndpointsInUse unknown{ 10, 10 };
  harness.SetListPosition({ 1, 9 });
  harness.SubmitAs("w", 1, unknown);
  harness.AdvanceTime(1200);
  harness.SubmitAs("w", 2, unknown);
  harness.AdvanceTime(1200);
  LONGS_EQUAL(0, harness.startFencingTokens.size());
  harness.AdvanceTime(300);
  LONGS_EQUAL(1, harness.startFencingTokens.size());
}

TEST(NewTerm, ComesBeforeWorkOfAnotherLeader)
{
  for (const NewTermRow& row : kNewTermRows) {
    SchedulerHarness harness(row.endpoints);
    for (int i = 0; i < row.workCount; ++i) {
      harness.Submit(row.submissions);
      harness.AdvanceTime(5);
    }
    harness.AdvanceTime(400);
    CHECK_TEXT(harness.termCount >= row.minTerms, row.guardsAgainst);
    CHECK_TEXT(harness.termCount <= row.maxTerms, row.guardsAgainst);
    LONGS_EQUAL_TEXT(
      row.workCount, harness.startFencingTokens.size(), row.guardsAgainst);
    for (const std::uint64_t token : harness.startFencingTokens) {
      CHECK_TEXT(row.submissions == 0 || token > 1, row.guardsAgainst);
    }
  }
}
