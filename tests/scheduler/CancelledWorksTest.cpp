// The memory of cancelled jobs must outlast the copies of a request, but not
// grow with the number of cancels.
#include "hemlockhaven/scheduler/CancelledWorks.h"

#include <string>
#include <vector>

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

struct Step
{
  std::int64_t atMs;
  const char* add; //!< Job that is cancelled; null: time passes only.
  bool evicts;
};

struct CancelledWorksRow
{
  const char* guardsAgainst;
  std::vector<Step> steps;
  const char* remembered; //!< Oldest first, each followed by a space.
  std::size_t size;       //!< Entries that take up memory.
};

const CancelledWorksRow kRows[] = {
  { "forgetting a cancel before its retention has passed",
    { { 0, "a", false }, { 29999, nullptr, false } },
    "a ",
    1 },
  { "remembering a cancel for ever",
    { { 0, "a", false }, { 30000, nullptr, false } },
    "",
    1 },
  { "entries that are out of date and still take up memory",
    { { 0, "a", false }, { 1, "b", false }, { 30000, "c", false } },
    "b c ",
    2 },
  { "memory that grows with the number of cancels",
    { { 0, "a", false },
      { 1, "b", false },
      { 2, "c", false },
      { 3, "d", true } },
    "b c d ",
    3 },
  { "forgetting a job that was cancelled again just now",
    { { 0, "a", false },
      { 1, "b", false },
      { 2, "c", false },
      { 3, "a", false },
      { 4, "d", true } },
    "c a d ",
    3 },
  { "a second cancel that does not extend the retention",
    { { 0, "a", false }, { 20000, "a", false }, { 40000, nullptr, false } },
    "a ",
    1 },
  { "an eviction though an entry is out of date",
    { { 0, "a", false },
      { 1, "b", false },
      { 2, "c", false },
      { 30000, "d", false } },
    "b c d ",
    3 },
};

TimePoint At(std::int64_t aMs)
{
  return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(aMs);
}

}

TEST_GROUP(CancelledWorks){};

TEST(CancelledWorks, KeepsTheNewestForTheirRetention)
{
  for (const CancelledWorksRow& row : kRows) {
    CancelledWorks works(3);
    for (const Step& step : row.steps) {
      if (step.add != nullptr) {
        CHECK_EQUAL_TEXT(
          step.evicts, works.Add(step.add, At(step.atMs)), row.guardsAgainst);
      }
    }
    const TimePoint end = At(row.steps.back().atMs);
    std::string remembered;
    for (const std::string& id : works.Ids(end)) {
      remembered += id + " ";
      CHECK_TEXT(works.Contains(id, end), row.guardsAgainst);
    }
    STRCMP_EQUAL_TEXT(row.remembered, remembered.c_str(), row.guardsAgainst);
    LONGS_EQUAL_TEXT(row.size, works.Size(), row.guardsAgainst);
    works.Expire(end + CancelledWorks::kRetention);
    LONGS_EQUAL_TEXT(0, works.Size(), row.guardsAgainst);
  }
}
