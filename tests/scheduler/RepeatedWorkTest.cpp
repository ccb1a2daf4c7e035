// Callers send a job again, to any entry VM, when their connection breaks. A
// leader keeps one entry VM for each piece of work: that of the newest attempt.
#include "support/ManualScheduler.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

std::string Join(const std::vector<std::string>& aTexts)
{
  std::string joined;
  for (const std::string& text : aTexts) {
    joined += (joined.empty() ? "" : ", ") + text;
  }
  return joined;
}

//! Of the first attempt; long enough for the other rows.
constexpr std::int64_t kFirstCallerTimeoutMs = 1800;

struct RepeatedWorkRow
{
  const char* guardsAgainst;
  void (*run)(ManualScheduler&); //!< After "d1" submitted "w".
  const char* starts;
  const char* cancelled; //!< Answers "Cancelled", with their entry VMs.
};

constexpr RepeatedWorkRow kRepeatedWorkRows[] = {
  { "losing a repeat that waits for the stop of the first submission",
    [](ManualScheduler& aScheduler) {
      aScheduler.Cancel("d1", "w");
      aScheduler.Submit("d2", "w");
    },
    "w, w",
    "d1 w" },
  { "starting such a repeat after the loss of its entry VM, which may have "
    "handed it to another leader",
    [](ManualScheduler& aScheduler) {
      aScheduler.Cancel("d1", "w");
      aScheduler.Submit("d2", "w");
      aScheduler.LoseEntryVm("d2");
    },
    "w",
    "d1 w, d2 w" },
  { "a second repeat that replaces such a repeat without an answer to it",
    [](ManualScheduler& aScheduler) {
      aScheduler.Cancel("d1", "w");
      aScheduler.Submit("d2", "w");
      aScheduler.AdvanceTime(1300);
      aScheduler.Submit("d3", "w");
    },
    "w, w",
    "d1 w, d2 w" },
  { "two entry VMs that hold the same work and may hand it to two leaders",
    [](ManualScheduler& aScheduler) { aScheduler.Submit("d2", "w"); },
    "w",
    "d1 w" },
  { "an earlier attempt, handed in late, that takes the place of the repeat",
    [](ManualScheduler& aScheduler) {
      aScheduler.Submit("d2", "w");
      aScheduler.Submit("d1", "w", 3000);
      aScheduler.Cancel("d1", "w");
    },
    "w",
    "d1 w, d1 w" },
  { "an earlier attempt that takes the place of a repeat that waits for a stop",
    [](ManualScheduler& aScheduler) {
      aScheduler.Cancel("d1", "w");
      aScheduler.Submit("d2", "w");
      aScheduler.Submit("d3", "w", 3000);
      aScheduler.LoseEntryVm("d3");
    },
    "w, w",
    "d1 w, d3 w" },
  { "stopping a repeat at the deadline of the first attempt",
    [](ManualScheduler& aScheduler) {
      aScheduler.Submit("d2", "w");
      aScheduler.Run(kFirstCallerTimeoutMs);
    },
    "w",
    "d1 w" },
  { "starting a repeat whose caller gave up while it waited for the stop",
    [](ManualScheduler& aScheduler) {
      aScheduler.Cancel("d1", "w");
      aScheduler.callerTimeoutMs = 500;
      aScheduler.Submit("d2", "w");
      aScheduler.Run(600);
    },
    "w",
    "d1 w, d2 w" },
};

}

TEST_GROUP(RepeatedWork){};

TEST(RepeatedWork, BelongsToTheNewestAttempt)
{
  for (const RepeatedWorkRow& row : kRepeatedWorkRows) {
    ManualScheduler scheduler(1);
    scheduler.callerTimeoutMs = kFirstCallerTimeoutMs;
    scheduler.Submit("d1", "w");
    scheduler.callerTimeoutMs = 30000;
    scheduler.Run(100);
    row.run(scheduler);
    if (!scheduler.stops.empty()) {
      scheduler.EndRuns(0, RunOutcome::Stopped);
    }
    scheduler.Run(100);
    STRCMP_EQUAL_TEXT(
      row.starts, Join(scheduler.starts).c_str(), row.guardsAgainst);
    STRCMP_EQUAL_TEXT(
      row.cancelled, Join(scheduler.cancelled).c_str(), row.guardsAgainst);
  }
}
