// A process that wakes from a pause handles its input before its timers. What
// it knew before the pause is outdated until the first tick: the next leader
// may run the same tasks by then.
#include "support/ManualScheduler.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

struct OutdatedViewRow
{
  const char* guardsAgainst;
  void (*wake)(ManualScheduler&); //!< Input that is handled before the tick.
};

constexpr OutdatedViewRow kOutdatedViewRows[] = {
  { "starting waiting work in the room that a buffered reply frees",
    [](ManualScheduler& aScheduler) {
      aScheduler.EndRuns(0, RunOutcome::Done);
      aScheduler.AnswerPoll(0);
    } },
  { "starting work that arrived during the pause",
    [](ManualScheduler& aScheduler) {
      aScheduler.AnswerPoll(1);
      aScheduler.Submit("d2", "late");
    } },
};

}

TEST_GROUP(OutdatedView){};

TEST(OutdatedView, StartsNothingBeforeTheSecondTick)
{
  constexpr std::int64_t kPauseMs = 2000;
  for (const OutdatedViewRow& row : kOutdatedViewRows) {
    ManualScheduler scheduler(2);
    scheduler.Submit("d1", "first");
    scheduler.Submit("d1", "second");
    scheduler.Submit("d1", "waiting");
    LONGS_EQUAL_TEXT(2, scheduler.starts.size(), row.guardsAgainst);
    scheduler.Run(50);
    scheduler.EndRuns(1, RunOutcome::Done);
    scheduler.AdvanceTime(kPauseMs);
    row.wake(scheduler);
    LONGS_EQUAL_TEXT(2, scheduler.starts.size(), row.guardsAgainst);
    // Not all input may have been read by the first tick.
    scheduler.Tick();
    LONGS_EQUAL_TEXT(2, scheduler.starts.size(), row.guardsAgainst);
    scheduler.Run(50);
    CHECK_TEXT(scheduler.starts.size() > 2, row.guardsAgainst);
  }
}

// The members whose work runs there may have been lost long ago.
TEST(OutdatedView, RenewsNoLeaseBeforeTheFirstTick)
{
  ManualScheduler scheduler(1);
  scheduler.Submit("d1", "w");
  scheduler.Run(100);
  CHECK(scheduler.polls.back().deadlineClockMs > 0);
  constexpr std::int64_t kPauseMs = 500; // Shorter than the lease.
  scheduler.AdvanceTime(kPauseMs);
  scheduler.AnswerPoll(0);
  LONGS_EQUAL(0, scheduler.polls.back().deadlineClockMs);
  LONGS_EQUAL(0, scheduler.polls.back().wait.count());
  scheduler.Tick();
  scheduler.Run(50);
  CHECK(scheduler.polls.back().deadlineClockMs > 0);
}
