// Each answer has to name the submission that it ends: its entry VM ignores all
// others, so that a caller whose submission is never named waits in vain.
#include "support/ManualScheduler.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace hemlockhaven;
using namespace hemlockhaven::Testing;

namespace {

struct SubmissionKeyRow
{
  const char* guardsAgainst;
  void (*run)(ManualScheduler&); //!< After submission 1, by "d1", of "w".
  const char* answered;          //!< In order, each followed by a comma.
  std::size_t starts;
};

constexpr SubmissionKeyRow kRows[] = {
  { "an answer to the earlier of two submissions by one entry VM",
    [](ManualScheduler& aScheduler) {
      aScheduler.Submit("d1", "w");
      aScheduler.CancelJob("w");
    },
    "d1 2,",
    1 },
  { "an answer to the wrong one of two entry VMs",
    [](ManualScheduler& aScheduler) {
      aScheduler.Submit("d2", "w");
      aScheduler.CancelJob("w");
    },
    "d1 1,d2 2,",
    1 },
  { "the same if the later submission is of the earlier attempt",
    [](ManualScheduler& aScheduler) {
      aScheduler.Submit("d2", "w", 3000);
      aScheduler.CancelJob("w");
    },
    "d2 2,d1 1,",
    1 },
  { "a repeat that waits for a stop and is answered under the number that an "
    "earlier repeat raised",
    [](ManualScheduler& aScheduler) {
      aScheduler.Cancel("d1", "w");
      aScheduler.Submit("d2", "w", 0, 5);
      aScheduler.AdvanceTime(100);
      aScheduler.Submit("d3", "w");
      aScheduler.CancelJob("w");
    },
    "d1 1,d2 2,d3 3,",
    1 },
  { "a repeat that is started after the cancel of its job",
    [](ManualScheduler& aScheduler) {
      aScheduler.CancelJob("w");
      aScheduler.Submit("d2", "w");
      aScheduler.Run(3000);
      aScheduler.Submit("d3", "w");
    },
    "d1 1,d2 2,d3 3,",
    1 },
  { "the same in the next term",
    [](ManualScheduler& aScheduler) {
      aScheduler.CancelJob("w");
      aScheduler.StartTerm(9);
      aScheduler.Submit("d2", "w");
    },
    "d1 1,d2 2,",
    1 },
};

}

TEST_GROUP(SubmissionKey){};

TEST(SubmissionKey, IsReturnedWithTheAnswer)
{
  for (const SubmissionKeyRow& row : kRows) {
    ManualScheduler scheduler(2);
    scheduler.ListEndpoints(2);
    scheduler.Run(1000);
    scheduler.Submit("d1", "w");
    row.run(scheduler);
    scheduler.Run(500);
    std::string answered;
    for (const std::string& answer : scheduler.answered) {
      answered += answer + ",";
    }
    STRCMP_EQUAL_TEXT(row.answered, answered.c_str(), row.guardsAgainst);
    LONGS_EQUAL_TEXT(row.starts, scheduler.starts.size(), row.guardsAgainst);
  }
}
