#include "hemlockhaven/history/HistoryBatcher.h"

#include <utility>

namespace hemlockhaven {

HistoryBatcher::HistoryBatcher(std::string aNode, Clock aClock)
  : node_(std::move(aNode))
  , clock_(std::move(aClock))
  , nextBatch_(clock_())
{
}

void HistoryBatcher::Add(const RequestRecord& aRecord)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  if (records_.size() >= kMostRecords) {
    ++lost_;
    return;
  }
  records_.push_back(aRecord);
}

std::optional<HistoryBatch> HistoryBatcher::TakeBatch()
{
  const TimePoint now = clock_();
  const std::lock_guard<std::mutex> lock(mutex_);
  if (now < nextBatch_ || records_.empty()) {
    return std::nullopt;
  }
  nextBatch_ = now + kInterval;
  return HistoryBatch{ node_,
                       lost_ - std::exchange(reported_, lost_),
                       std::exchange(records_, {}) };
}

void HistoryBatcher::BatchFailed(const HistoryBatch& aBatch)
{
  const std::lock_guard<std::mutex> lock(mutex_);
  lost_ += aBatch.records.size();
  reported_ -= aBatch.lost;
}

std::uint64_t HistoryBatcher::LostCount() const
{
  const std::lock_guard<std::mutex> lock(mutex_);
  return lost_;
}

}
