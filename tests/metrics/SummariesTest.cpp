#include "hemlockhaven/metrics/Summaries.h"

#include <thread>
#include <vector>

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace hemlockhaven;

namespace {

//! Each thread records the samples 1 ms to N ms in a shuffled order.
struct SampleRow
{
  const char* guardsAgainst;
  int threads;
  int samples; //!< Per thread; coprime to kStride.
  int p50Ms;
  int p99Ms;
};

constexpr int kStride = 7919;

constexpr SampleRow kRows[] = {
  { "estimate read before all markers have a sample", 1, 3, 2, 3 },
  { "wrong quantile of a single sample", 1, 1, 1, 1 },
  { "median skewed by extreme values", 1, 1000, 500, 990 },
  { "samples lost if several shards are merged", 8, 1000, 500, 990 },
};

}

TEST_GROUP(Summaries){};

TEST(Summaries, EstimatesQuantiles)
{
  for (const SampleRow& row : kRows) {
    Summaries summaries;
    std::vector<std::thread> threads;
    threads.reserve(row.threads);
    for (int i = 0; i < row.threads; ++i) {
      threads.emplace_back([&summaries, &row] {
        for (int sample = 0; sample < row.samples; ++sample) {
          const int ms = (sample * kStride) % row.samples + 1;
          summaries.Record(Series::QueueWait, std::chrono::milliseconds(ms));
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    const SummaryValue value = summaries.Read(Series::QueueWait);
    const int total = row.threads * row.samples;
    LONGS_EQUAL_TEXT(total, value.count, row.guardsAgainst);
    LONGS_EQUAL_TEXT(
      500L * total * (row.samples + 1), value.sum.count(), row.guardsAgainst);
    const double tolerance = row.samples * 0.05 * 1000;
    DOUBLES_EQUAL_TEXT(
      row.p50Ms * 1000.0, value.p50.count(), tolerance, row.guardsAgainst);
    DOUBLES_EQUAL_TEXT(
      row.p99Ms * 1000.0, value.p99.count(), tolerance, row.guardsAgainst);
    LONGS_EQUAL_TEXT(
      0, summaries.Read(Series::AnswerTime).count, row.guardsAgainst);
  }
}
