#include "hemlockhaven/metrics/Summaries.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <mutex>
#include <thread>

namespace hemlockhaven {

namespace {

namespace acc = boost::accumulators;

using Accumulator = acc::accumulator_set<
  double,
  acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

constexpr std::size_t kShardCount = 8;
constexpr std::array<double, 2> kQuantiles{ 0.5, 0.99 };

// The P-square estimator needs one sample per marker before its first estimate:
// two markers per quantile, plus three.
constexpr std::size_t kMarkerCount = 2 * kQuantiles.size() + 3;

// In the order of Series.
constexpr std::array<std::string_view, kSeriesCount> kSeriesNames{
  "answer_time",
  "added_time",
  "queue_wait"
};

//! Accumulator of one series in one shard.
struct Cell
{
  Accumulator accumulator{ acc::tag::extended_p_square::probabilities =
                             kQuantiles };
  std::array<double, kMarkerCount>
    firstSamples{}; //!< Until the first estimate.

  void Record(double aValue)
  {
    const std::size_t count = acc::count(accumulator);
    if (count < kMarkerCount) {
      firstSamples[count] = aValue;
    }
    accumulator(aValue);
  }

  double Quantile(std::size_t aIndex) const
  {
    const std::size_t count = acc::count(accumulator);
    if (count >= kMarkerCount) {
      return acc::extended_p_square(
        accumulator)[static_cast<std::ptrdiff_t>(aIndex)];
    }
    auto sorted = firstSamples;
    std::sort(sorted.begin(), sorted.begin() + count);
    const auto rank =
      static_cast<std::size_t>(kQuantiles[aIndex] * static_cast<double>(count));
    return sorted[std::min(rank, count - 1)];
  }
};

}

namespace Detail {

struct SummaryShard
{
  std::mutex mutex;
  std::array<Cell, kSeriesCount> cells;
};

}

std::string_view SeriesName(Series aSeries)
{
  return kSeriesNames.at(static_cast<std::size_t>(aSeries));
}

Summaries::Summaries()
{
  for (std::size_t i = 0; i < kShardCount; ++i) {
    shards_.push_back(std::make_unique<Detail::SummaryShard>());
  }
}

Summaries::~Summaries() = default;

void Summaries::Record(Series aSeries, Duration aDuration)
{
  const std::size_t index =
    std::hash<std::thread::id>{}(std::this_thread::get_id()) % kShardCount;
  Detail::SummaryShard& shard = *shards_[index];
  const std::lock_guard<std::mutex> lock(shard.mutex);
  shard.cells.at(static_cast<std::size_t>(aSeries))
    .Record(static_cast<double>(aDuration.count()));
}

SummaryValue Summaries::Read(Series aSeries) const
{
  SummaryValue value;
  double sum = 0;
  std::array<double, kQuantiles.size()> weightedSums{};
  for (const auto& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard->mutex);
    const Cell& cell = shard->cells.at(static_cast<std::size_t>(aSeries));
    const std::size_t count = acc::count(cell.accumulator);
    if (count == 0) {
      continue;
    }
    value.count += count;
    sum += acc::sum(cell.accumulator);
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      weightedSums[i] += static_cast<double>(count) * cell.Quantile(i);
    }
  }
  if (value.count > 0) {
    const auto count = static_cast<double>(value.count);
    value.sum = Duration(static_cast<std::int64_t>(sum));
    value.p50 = Duration(static_cast<std::int64_t>(weightedSums[0] / count));
    value.p99 = Duration(static_cast<std::int64_t>(weightedSums[1] / count));
  }
  return value;
}

}
