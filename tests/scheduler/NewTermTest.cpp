// Work that another leader had a moment ago starts only after a look at each
// endpoint in a term that began after it came.
#include "hemlockhaven/scheduler/Scheduler.h"

#include <map>
#include <string>
#include <vector>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

Duration Ms(std::int64_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

//! A scheduler that leads, with endpoints that answer each look when its wait
//! is over.
class Bench
{
public:
  explicit Bench(int aEndpoints)
    : scheduler_(SchedulerPolicy(), [this] { return now_; })
  {
    List(0, aEndpoints);
    BeginTerm();
    Wait(1000);
    terms = 0;
  }

  //! The endpoints from aFirst on are listed, and no others.
  void List(int aFirst, int aCount)
  {
    std::vector<ListedEndpoint> listed(static_cast<std::size_t>(aCount));
    for (ListedEndpoint& endpoint : listed) {
      endpoint.id = endpoint.address = "e" + std::to_string(aFirst++);
      endpoint.capacity = { 16000, 65536, 0 };
    }
    Follow(scheduler_.SetEndpoints(listed));
  }

  void SetListPosition(const ListPosition& aPosition)
  {
    scheduler_.SetListPosition(aPosition, EndpointsInUse());
  }

  void Submit(std::uint32_t aSubmissions,
              const EndpointsInUse& aUsedBefore = EndpointsInUse())
  {
    SubmitAs("w" + std::to_string(++submitted_), aSubmissions, aUsedBefore);
  }

  void SubmitAs(const std::string& aId,
                std::uint32_t aSubmissions,
                const EndpointsInUse& aUsedBefore = EndpointsInUse())
  {
    Work work;
    work.id = aId;
    work.kind = "k";
    work.submissions = aSubmissions;
    work.usedBefore = aUsedBefore;
    work.attempts = 1;
    work.stretch = 2;
    work.targetLatency = Ms(100);
    work.patience = Ms(9000);
    WorkStep step;
    step.count = 1;
    step.each = { 1000, 64, 0 };
    step.estimate = Ms(1000);
    work.steps.push_back(step);
    Follow(scheduler_.Submit("front", std::move(work)));
  }

  void Wait(std::int64_t aMilliseconds)
  {
    for (std::int64_t gone = 0; gone < aMilliseconds; gone += 5) {
      now_ += Ms(5);
      AnswerLooks();
      Follow(scheduler_.Tick());
    }
  }

  //! All that runs has ended with success.
  void EndRuns()
  {
    for (auto& [endpoint, runs] : running_) {
      for (const RunKey& run : runs) {
        ended_[endpoint].push_back(
          { ended_[endpoint].size() + 1, run, RunEnd::Done });
      }
      runs.clear();
    }
  }

  int terms = 0;
  std::vector<std::uint64_t> startTokens; //!< Of each start sent.

private:
  void BeginTerm()
  {
    ++terms;
    Follow(scheduler_.Lead(++token_));
  }

  void Follow(const SchedulerEffects& aEffects)
  {
    for (const StartOrder& start : aEffects.starts) {
      startTokens.push_back(start.target.fencingToken);
      running_[start.target.endpoint].push_back(start.run);
      Follow(
        scheduler_.StartAnswered(start, { OrderOutcome::Accepted, ClockMs() }));
    }
    for (const LookOrder& look : aEffects.looks) {
      looks_.emplace(now_ + look.wait, look);
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

  void AnswerLooks()
  {
    while (!looks_.empty() && looks_.begin()->first <= now_) {
      const LookOrder look = looks_.extract(looks_.begin()).mapped();
      LookReport report;
      report.bornMs = 1;
      report.clockMs = ClockMs();
      report.running = running_[look.target.endpoint];
      report.ended = ended_[look.target.endpoint];
      Follow(scheduler_.Looked(look, report));
    }
  }

  TimePoint now_{ std::chrono::hours(1) };
  std::multimap<TimePoint, LookOrder> looks_; //!< By when they are answered.
  Scheduler scheduler_;
  std::map<std::string, std::vector<RunKey>> running_; //!< By endpoint.
  std::map<std::string, std::vector<EndedRun>> ended_;
  std::uint64_t token_ = 0;
  int submitted_ = 0;
};

struct NewTermRow
{
  const char* guardsAgainst;
  int endpoints;
  std::uint32_t submissions;
  int works; //!< One every 5 ms.
  int leastTerms;
  int mostTerms;
};

const NewTermRow kNewTermRows[] = {
  { "a term for new work", 4, 0, 40, 0, 0 },
  { "starting work that another leader may have started", 4, 1, 1, 1, 1 },
  { "a term for each piece of work", 4, 1, 40, 1, 6 },
  { "terms that keep a large fleet from all else", 300, 1, 40, 1, 3 },
};

struct ListedRow
{
  const char* guardsAgainst;
  int first; //!< Endpoint that is listed at last; e0 was at first.
};

constexpr ListedRow kListedRows[] = {
  { "work at an endpoint that other daemons have not read of", 1 },
  { "work at an endpoint that returned and that they have not read of", 0 },
};

}

TEST_GROUP(NewTerm){};

// The next leader must have heard of each endpoint where there may be runs.
TEST(NewTerm, TellsOfAnEndpointBeforeItIsUsed)
{
  for (const ListedRow& row : kListedRows) {
    Bench bench(1);
    bench.List(1, 0);
    bench.Wait(5000);
    bench.List(row.first, 1);
    bench.Wait(400);
    bench.Submit(0);
    bench.Wait(20);
    LONGS_EQUAL_TEXT(0, bench.startTokens.size(), row.guardsAgainst);
    bench.Wait(50);
    bench.Submit(0);
    LONGS_EQUAL_TEXT(1, bench.startTokens.size(), row.guardsAgainst);
  }
}

// A leader that does not know all endpoints of its predecessor cannot look
// everywhere: leases of what it does not know have to lapse.
TEST(NewTerm, WaitsForEndpointsThatAreNotListed)
{
  struct UnknownRow
  {
    const char* guardsAgainst;
    ListPosition behind;
    ListPosition caughtUp;
    EndpointsInUse previous;
  };
  const UnknownRow rows[] = {
    { "endpoints that came later", { 1, 9 }, { 1, 10 }, { 10, 10 } },
    { "endpoints that had left before", { 9, 12 }, { 7, 12 }, { 5, 7 } },
  };
  for (const UnknownRow& row : rows) {
    Bench bench(4);
    bench.SetListPosition(row.behind);
    bench.Submit(0, row.previous);
    bench.Submit(1, row.previous);
    bench.Wait(1200);
    LONGS_EQUAL_TEXT(1, bench.startTokens.size(), row.guardsAgainst);
    bench.Wait(300);
    LONGS_EQUAL_TEXT(2, bench.startTokens.size(), row.guardsAgainst);
    bench.Submit(1, row.previous);
    bench.Wait(100);
    LONGS_EQUAL_TEXT(2, bench.startTokens.size(), row.guardsAgainst);
    bench.SetListPosition(row.caughtUp);
    bench.Wait(100);
    LONGS_EQUAL_TEXT(3, bench.startTokens.size(), row.guardsAgainst);
  }
}

// Between two submissions of the same work to this leader another one may have
// started its tasks.
TEST(NewTerm, ComesBeforeWorkThatAnotherLeaderHadInBetween)
{
  constexpr int kFit = 16; // Into one endpoint.
  Bench bench(1);
  for (int i = 0; i <= kFit; ++i) {
    bench.SubmitAs("full" + std::to_string(i), 0);
  }
  LONGS_EQUAL(kFit, bench.startTokens.size());
  bench.Wait(100);
  bench.SubmitAs("full" + std::to_string(kFit), 1);
  bench.EndRuns();
  bench.Wait(500);
  LONGS_EQUAL(1, bench.terms);
  LONGS_EQUAL(kFit + 1, bench.startTokens.size());
  CHECK(bench.startTokens.back() > bench.startTokens.front());
}

TEST(NewTerm, HoldsWorkAnewThatAnotherLeaderHadInBetween)
{
  Bench bench(4);
  const EndpointsInUse unknown{ 10, 10 };
  bench.SetListPosition({ 1, 9 });
  bench.SubmitAs("w", 1, unknown);
  bench.Wait(1200);
  bench.SubmitAs("w", 2, unknown);
  bench.Wait(1200);
  LONGS_EQUAL(0, bench.startTokens.size());
  bench.Wait(300);
  LONGS_EQUAL(1, bench.startTokens.size());
}

TEST(NewTerm, ComesBeforeWorkOfAnotherLeader)
{
  for (const NewTermRow& row : kNewTermRows) {
    Bench bench(row.endpoints);
    for (int i = 0; i < row.works; ++i) {
      bench.Submit(row.submissions);
      bench.Wait(5);
    }
    bench.Wait(400);
    CHECK_TEXT(bench.terms >= row.leastTerms, row.guardsAgainst);
    CHECK_TEXT(bench.terms <= row.mostTerms, row.guardsAgainst);
    LONGS_EQUAL_TEXT(row.works, bench.startTokens.size(), row.guardsAgainst);
    for (const std::uint64_t token : bench.startTokens) {
      CHECK_TEXT(row.submissions == 0 || token > 1, row.guardsAgainst);
    }
  }
}
