#include "hemlockhaven/platform/LogReader.h"
#include "hemlockhaven/platform/LogTail.h"

// Included before CppUTest, whose macro for operator new breaks this header.
#include <future>

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

using namespace hemlockhaven;

namespace {

//! Pages and the resulting events: r<offset> for a record, g<from>-<to> for a
//! gap and p<position> for a position.
struct FeedRow
{
  const char* guardsAgainst;
  std::vector<LogPage> pages;
  std::string_view events;
};

const FeedRow kFeedRows[] = {
  { "never reaching the end of an empty log", { { 0, 0, {} } }, "p0 " },
  { "records out of order or delivered twice",
    { { 0, 3, { { 0, "" }, { 1, "" } } }, { 0, 3, { { 1, "" }, { 2, "" } } } },
    "r0 r1 p2 r2 p3 " },
  { "an undetected gap caused by retention",
    { { 5, 7, { { 5, "" } } } },
    "g0-5 r5 p6 " },
  { "an undetected gap inside a page",
    { { 0, 3, { { 0, "" }, { 2, "" } } } },
    "r0 g1-2 r2 p3 " },
  { "skipping records after an empty page", { { 0, 9, {} } }, "p0 " },
  { "a delayed page that moves the reader back",
    { { 0, 2, { { 0, "" }, { 1, "" } } }, { 0, 1, { { 0, "" } } } },
    "r0 r1 p2 p2 " },
  { "a log whose records were all removed", { { 4, 4, {} } }, "g0-4 p4 " },
};

}

TEST_GROUP(LogReader){};

TEST(LogReader, DeliversRecordsAndGapsInOrder)
{
  for (const FeedRow& row : kFeedRows) {
    std::string events;
    LogReader reader;
    reader.Subscribe({ [&events](LogOffset aFrom, LogOffset aTo) {
                        events += "g" + std::to_string(aFrom) + "-" +
                                  std::to_string(aTo) + " ";
                      },
                       [&events](const LogRecord& aRecord) {
                         events += "r" + std::to_string(aRecord.offset) + " ";
                       },
                       [&events](const LogPosition& aPosition) {
                         events +=
                           "p" + std::to_string(aPosition.position) + " ";
                       } });
    for (const LogPage& page : row.pages) {
      reader.Feed(page);
    }
    CHECK_EQUAL_TEXT(std::string(row.events), events, row.guardsAgainst);
  }
}

// Guards against a tail that stops at an error or does not read until the next
// poll after Wake. The test would hang.
TEST(LogReader, TailRetriesAfterErrorsAndReadsWhenWoken)
{
  LogReader reader;
  int reads = 0;
  std::promise<void> recovered;
  std::promise<void> woken;
  LogTail::Options options;
  options.pollInterval = std::chrono::hours(1);
  options.initialBackoff = std::chrono::milliseconds(1);
  LogTail tail(
    reader,
    [&](LogOffset, std::size_t) -> Result<LogPage> {
      ++reads;
      if (reads < 3) {
        return Error::NotRun("read", Reason::LogUnavailable, "outage");
      }
      if (reads < 5) {
        (reads == 3 ? recovered : woken).set_value();
      }
      return LogPage{};
    },
    options);
  recovered.get_future().wait();
  tail.Wake();
  woken.get_future().wait();
}
