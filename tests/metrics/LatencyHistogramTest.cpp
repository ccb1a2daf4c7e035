#include "hemlockhaven/metrics/LatencyHistogram.h"
#include "hemlockhaven/metrics/DecisionCounters.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace hemlockhaven;

namespace {

struct BucketRow
{
  std::int64_t milliseconds;
  const char* expected; //!< A line of the metrics output.
};

constexpr BucketRow kBucketRows[] = {
  { 1, "t_bucket{a=\"b\",le=\"0.001\"} 1" },
  { 2, "t_bucket{a=\"b\",le=\"0.002\"} 1" },
  { 3, "t_bucket{a=\"b\",le=\"0.004\"} 1" },
  { 60000, "t_bucket{a=\"b\",le=\"16.384\"} 0" },
  { 60000, "t_bucket{a=\"b\",le=\"+Inf\"} 1" },
  { 60000, "t_sum{a=\"b\"} 60" },
};

}

TEST_GROUP(LatencyHistogram){};

TEST(LatencyHistogram, CountsInBucketsThatDouble)
{
  for (const BucketRow& row : kBucketRows) {
    LatencyHistogram histogram;
    histogram.Record(std::chrono::milliseconds(row.milliseconds));
    STRCMP_CONTAINS(row.expected, histogram.Write("t", "a=\"b\"").c_str());
  }
}

TEST_GROUP(DecisionCounters){};

TEST(DecisionCounters, BoundsDistinctKeys)
{
  DecisionCounters counters;
  for (std::size_t i = 0; i < 10 * DecisionCounters::kMaxKeysPerShard; ++i) {
    counters.Count("admit", "refused", "reason " + std::to_string(i));
  }
  counters.Count("admit", "refused", "reason 0");
  std::size_t keys = 0;
  std::uint64_t first = 0;
  counters.Visit(
    [&](auto, auto, std::string_view aReason, std::uint64_t aCount) {
      ++keys;
      first += aReason == "reason 0" ? aCount : 0;
    });
  CHECK(keys <= DecisionCounters::kMaxKeysPerShard + 1);
  LONGS_EQUAL(2, first);
}
