// A task that runs at two endpoints at once is a fault, whoever started it. The
// leader that sees both runs logs what it knows of them, once.
#include "support/ManualScheduler.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

struct SecondRunRow
{
  const char* guardsAgainst;
  const char* work; //!< That runs at the second endpoint as well.
  int logged;
};

constexpr SecondRunRow kSecondRunRows[] = {
  { "a task that runs twice without a trace in the logs", "w", 1 },
  { "taking a run of unknown work for a second one", "unknown", 0 },
};

}

TEST_GROUP(SecondRun){};

TEST(SecondRun, IsLoggedOnce)
{
  for (const SecondRunRow& row : kSecondRunRows) {
    ManualScheduler scheduler(2);
    scheduler.Submit("d1", "w");
    scheduler.Run(50);
    // The task's own run is at one of the two.
    for (std::size_t endpoint = 0; endpoint < 2; ++endpoint) {
      scheduler.AddRun(endpoint, { { row.work, 0, 0 }, 9 });
    }
    scheduler.Run(100);
    const auto logged = std::count_if(
      scheduler.decisions.begin(),
      scheduler.decisions.end(),
      [](const Decision& aDecision) {
        return aDecision.step == "run" && aDecision.outcome == "second run";
      });
    LONGS_EQUAL_TEXT(row.logged, logged, row.guardsAgainst);
  }
}
