#ifndef HEMLOCKHAVEN_METRICS_LATENCYHISTOGRAM_H
#define HEMLOCKHAVEN_METRICS_LATENCYHISTOGRAM_H

#include "hemlockhaven/core/Time.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockhaven {

//! Histogram of durations; bucket bounds double from 1 ms to 16 s.
class LatencyHistogram
{
public:
  static constexpr std::size_t kBucketCount = 15;

  void Record(Duration aDuration);

  //! Formats cumulative buckets, sum and count in the Prometheus text format,
  //! with times in seconds. aLabels: "outcome=\"completed\"" or empty.
  std::string Write(std::string_view aName, std::string_view aLabels) const;

private:
  //! The last bucket is unbounded.
  std::array<std::atomic<std::uint64_t>, kBucketCount + 1> counts_{};
  std::atomic<std::int64_t> sumMicros_{ 0 };
};

}

#endif
