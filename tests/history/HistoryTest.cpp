#include "hemlockhaven/history/DescribeRecord.h"
#include "hemlockhaven/history/HistoryBatcher.h"
#include "hemlockhaven/history/HistoryBook.h"
#include "hemlockhaven/history/ParseSince.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <string_view>

using namespace hemlockhaven;

namespace {

//! Saturday 28 Nov 2026 14:02 UTC.
constexpr std::int64_t kSubmittedMs = 1795874520000;

RequestRecord RecordOf(std::uint32_t aTasks,
                       std::int64_t aStartedAfter,
                       std::int64_t aEndedAfter,
                       JobState aState,
                       Reason aReason,
                       Ran aRan)
{
  RequestRecord record;
  record.id = "vm-1.7.1";
  record.caller = "tauwhare";
  record.kind = "storm call-out";
  record.labels.Set("trade", "canopy");
  record.labels.Set("urgency", "urgent");
  record.tasks = aTasks;
  record.submittedMs = kSubmittedMs;
  record.startedMs = aStartedAfter < 0 ? 0 : kSubmittedMs + aStartedAfter;
  record.endedMs = aEndedAfter < 0 ? 0 : kSubmittedMs + aEndedAfter;
  record.state = aState;
  record.reason = aReason;
  record.ran = aRan;
  record.zone = aStartedAfter < 0 ? "" : "a";
  return record;
}

struct SentenceRow
{
  const char* guardsAgainst;
  RequestRecord record;
  std::string_view ending; //!< After the caller.
};

const SentenceRow kSentenceRows[] = {
  { "a finished request without its place and times",
    RecordOf(1, 200, 800, JobState::Complete, Reason::None, Ran::Ran),
    " went to availability zone a, started after 0.2 s, and finished in "
    "0.6 s." },
  { "a running request that seems over",
    RecordOf(1, 200, -1, JobState::Running, Reason::None, Ran::Ran),
    " went to availability zone a, started after 0.2 s, and has been running "
    "for 4.8 s." },
  { "waiting without a reason",
    RecordOf(1, -1, -1, JobState::Running, Reason::None, Ran::NotRun),
    " has been waiting for 5.0 s because all suitable VMs are busy." },
  { "a refusal that does not say that nothing ran",
    RecordOf(1, -1, 10, JobState::Failed, Reason::QueueFull, Ran::NotRun),
    " was refused because its caller has as much work waiting as it may, so "
    "it did not run." },
  { "a failure that hides that it ran",
    RecordOf(1, 0, 800, JobState::Failed, Reason::EndpointFailed, Ran::Ran),
    " went to availability zone a, started after 0.0 s, and failed because "
    "the work itself reported a failure; it ran." },
  { "an unknown outcome that claims either",
    RecordOf(1, 0, 800, JobState::Failed, Reason::ConnectionLost, Ran::Unknown),
    " went to availability zone a, started after 0.0 s, and failed because "
    "the connection to the VM that had it was lost; it may have run." },
  { "a cancelled request that seems to have failed",
    RecordOf(1, -1, 10, JobState::Failed, Reason::Cancelled, Ran::NotRun),
    " was cancelled before it started, so it did not run." },
};

struct SinceRow
{
  const char* guardsAgainst;
  std::string_view text;
  std::string_view expected; //!< Empty: an error.
};

//! Now is Saturday 28 Nov 2026 14:02 in a zone 60 minutes east.
constexpr SinceRow kSinceRows[] = {
  { "a weekday that is today", "Saturday", "Saturday 28 Nov 00:00" },
  { "a weekday of the next week", "sunday", "Sunday 22 Nov 00:00" },
  { "days that begin in UTC", "yesterday", "Friday 27 Nov 00:00" },
  { "an unread length of time", "2 hours ago", "Saturday 28 Nov 12:02" },
  { "a time of day in the future", "14:30", "Friday 27 Nov 14:30" },
  { "a time of day of yesterday", "9:05", "Saturday 28 Nov 09:05" },
  { "an unread date", "2024-02-29", "Thursday 29 Feb 00:00" },
  { "an unread date and time", "2026-11-01T08:15", "Sunday 1 Nov 08:15" },
  { "a day that does not exist", "2026-02-29", "" },
  { "an hour that does not exist", "24:00", "" },
  { "a unit that does not exist", "2 moons ago", "" },
  { "text after a time", "14:30 sharp", "" },
};

}

TEST_GROUP(History){};

TEST(History, DescribesAsTheTableSays)
{
  for (const SentenceRow& row : kSentenceRows) {
    CHECK_EQUAL_TEXT("Saturday 28 Nov 14:02: the urgent storm call-out for "
                     "canopy (caller tauwhare)" +
                       std::string(row.ending),
                     DescribeRecord(row.record, kSubmittedMs + 5000),
                     row.guardsAgainst);
  }
}

// Guards against a job whose sentence hides that it has many tasks, and one
// that says that all of them ran.
TEST(History, DescribesJobs)
{
  const std::string text = DescribeRecord(
    RecordOf(40, 0, 9, JobState::Failed, Reason::EndpointFailed, Ran::Ran),
    kSubmittedMs);
  CHECK(text.find("call-out job of 40 tasks for canopy") != std::string::npos);
  CHECK(text.find("some of its tasks ran") != std::string::npos);
}

TEST(History, ParsesTimesAsTheTableSays)
{
  constexpr int kZone = 60;
  constexpr std::int64_t kNowMs = kSubmittedMs - std::int64_t{ kZone } * 60000;
  for (const SinceRow& row : kSinceRows) {
    const auto since = ParseSince(row.text, kNowMs, kZone);
    CHECK_TEXT(since.has_error() == row.expected.empty(), row.guardsAgainst);
    if (since.has_error()) {
      CHECK(since.error().detail.find("expected today") == 0);
      continue;
    }
    RequestRecord record;
    record.submittedMs = since.value();
    const std::string text = DescribeRecord(record, kNowMs, kZone);
    CHECK_EQUAL_TEXT(std::string(row.expected),
                     text.substr(0, text.find(": the")),
                     row.guardsAgainst);
  }
}

// Guards against a book that grows without bound, loses updates or answers in
// another order than newest first.
TEST(History, BookKeepsTheNewestAndUpdates)
{
  HistoryBook book(64);
  RequestRecord record;
  for (int index = 0; index < 1000; ++index) {
    record.id = "id-" + std::to_string(index);
    record.submittedMs = index;
    book.Record(record);
  }
  CHECK(book.EvictedCount() >= 1000 - 64);
  record.endedMs = 1;
  record.caller = "tauwhare";
  book.Record(record);
  record.endedMs = 0;
  record.caller = "late";
  book.Record(record);
  WhereQuery query;
  query.most = 2;
  const auto found = book.Query(query);
  LONGS_EQUAL(2, found.size());
  CHECK_EQUAL(std::string("tauwhare"), found[0].caller);
  CHECK(found[0].submittedMs > found[1].submittedMs);
  query.untilMs = found[0].submittedMs;
  CHECK(book.Query(query).front().submittedMs < found[0].submittedMs);
}

// Guards against records with long texts that take more memory than many usual
// ones.
TEST(History, BookBoundsTheBytesOfItsRecords)
{
  constexpr std::size_t kMostBytes = 1600000;
  constexpr std::size_t kValueBytes = 4000;
  constexpr std::size_t kRecords = 1000;
  HistoryBook book(100 * kRecords, kMostBytes);
  RequestRecord record;
  for (std::size_t index = 0; index < kRecords; ++index) {
    record.id = "id-" + std::to_string(index);
    record.submittedMs = static_cast<std::int64_t>(index);
    book.Record(record);
    record.labels.Set("x", std::string(kValueBytes, 'x'));
    book.Record(record);
  }
  WhereQuery query;
  query.most = kRecords;
  const auto found = book.Query(query);
  CHECK(found.size() <= kMostBytes / kValueBytes);
  CHECK(found.size() >= kMostBytes / kValueBytes / 2);
  LONGS_EQUAL(kRecords - 1, found.front().submittedMs);
}

// Guards against more than one append a second and against losses that nobody
// counts.
TEST(History, BatcherBoundsAndCounts)
{
  TimePoint now{};
  HistoryBatcher batcher("vm-1", [&now] { return now; });
  for (int index = 0; index < 130; ++index) {
    batcher.Add({});
  }
  const auto batch = batcher.TakeBatch();
  LONGS_EQUAL(100, batch->records.size());
  LONGS_EQUAL(30, batch->lost);
  batcher.Add({});
  CHECK(!batcher.TakeBatch());
  now += std::chrono::seconds(1);
  batcher.BatchFailed(*batch);
  LONGS_EQUAL(130, batcher.LostCount());
  LONGS_EQUAL(130, batcher.TakeBatch()->lost);
}
