#include "hemlockhaven/metrics/DecisionCounters.h"

namespace hemlockhaven {

void DecisionCounters::Count(std::string_view aStep,
                             std::string_view aOutcome,
                             std::string_view aReason)
{
  Shard& shard =
    shards_[std::hash<std::string_view>()(aOutcome) % shards_.size()];
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.counts.find(KeyView(aStep, aOutcome, aReason));
  if (found != shard.counts.end()) {
    ++found->second;
  } else if (shard.counts.size() < kMaxKeysPerShard) {
    shard.counts.emplace(
      Key{ std::string(aStep), std::string(aOutcome), std::string(aReason) },
      1);
  } else {
    ++shard.counts[Key{ "other", "", "" }];
  }
}

void DecisionCounters::Visit(
  const std::function<
    void(std::string_view, std::string_view, std::string_view, std::uint64_t)>&
    aVisitor) const
{
  for (const Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    for (const auto& [key, count] : shard.counts) {
      aVisitor(key.step, key.outcome, key.reason, count);
    }
  }
}

}
