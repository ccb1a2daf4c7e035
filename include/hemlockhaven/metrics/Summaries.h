#ifndef HEMLOCKHAVEN_METRICS_SUMMARIES_H
#define HEMLOCKHAVEN_METRICS_SUMMARIES_H

#include "hemlockhaven/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace hemlockhaven {

namespace Detail {
struct SummaryShard;
}

//! Durations that are summarised.
enum class Series : std::uint8_t
{
  AnswerTime, //!< From submission to answer.
  AddedTime,  //!< Answer time less the time spent at the endpoint.
  QueueWait,  //!< From admission to the start of the last attempt.
  Count,      //!< Number of series.
};

constexpr std::size_t kSeriesCount = static_cast<std::size_t>(Series::Count);

//! Name of the series in the metrics output, for example "answer_time".
std::string_view SeriesName(Series aSeries);

//! Count, sum and quantiles of one series since the process started.
struct SummaryValue
{
  std::uint64_t count = 0;
  Duration sum{ 0 };
  Duration p50{ 0 }; //!< Estimate; 0 without samples.
  Duration p99{ 0 }; //!< Estimate; 0 without samples.
};

//! Summaries of durations. Sharded, one lock per shard; a thread always records
//! to the same shard.
class Summaries
{
public:
  Summaries();
  ~Summaries();
  Summaries(const Summaries&) = delete;
  Summaries& operator=(const Summaries&) = delete;

  void Record(Series aSeries, Duration aDuration);

  //! Quantiles are averages of the shards' estimates, weighted by sample count.
  SummaryValue Read(Series aSeries) const;

private:
  std::vector<std::unique_ptr<Detail::SummaryShard>> shards_;
};

}

#endif
