#include "hemlockhaven/metrics/LatencyHistogram.h"

#include <sstream>

namespace hemlockhaven {

namespace {

constexpr Duration kFirstBound{ 1000 };

}

void LatencyHistogram::Record(Duration aDuration)
{
  std::size_t bucket = 0;
  for (Duration bound = kFirstBound; bucket < kBucketCount && aDuration > bound;
       bound *= 2) {
    ++bucket;
  }
  counts_.at(bucket).fetch_add(1, std::memory_order_relaxed);
  sumMicros_.fetch_add(aDuration.count(), std::memory_order_relaxed);
}

std::string LatencyHistogram::Write(std::string_view aName,
                                    std::string_view aLabels) const
{
  const std::string comma = aLabels.empty() ? "" : ",";
  std::ostringstream text;
  std::uint64_t count = 0;
  Duration bound = kFirstBound;
  for (std::size_t bucket = 0; bucket <= kBucketCount; ++bucket, bound *= 2) {
    count += counts_.at(bucket).load(std::memory_order_relaxed);
    text << aName << "_bucket{" << aLabels << comma << "le=\"";
    if (bucket < kBucketCount) {
      text << std::chrono::duration<double>(bound).count();
    } else {
      text << "+Inf";
    }
    text << "\"} " << count << '\n';
  }
  const Duration sum(sumMicros_.load(std::memory_order_relaxed));
  text << aName << "_sum{" << aLabels << "} "
       << std::chrono::duration<double>(sum).count() << '\n'
       << aName << "_count{" << aLabels << "} " << count << '\n';
  return text.str();
}

}
