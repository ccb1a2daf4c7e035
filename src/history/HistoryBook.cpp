#include "hemlockhaven/history/HistoryBook.h"

#include <algorithm>
#include <functional>

namespace hemlockhaven {

namespace {

std::size_t SizeOf(const Labels& aLabels)
{
  std::size_t bytes = 0;
  for (const Labels::Item& item : aLabels.Items()) {
    bytes += sizeof(item) + item.first.size() + item.second.size();
  }
  return bytes;
}

std::size_t SizeOf(const RequestRecord& aRecord)
{
  return sizeof(aRecord) + aRecord.id.size() + aRecord.caller.size() +
         aRecord.kind.size() + aRecord.zone.size() + SizeOf(aRecord.labels) +
         SizeOf(aRecord.endpointLabels);
}

}

HistoryBook::HistoryBook(std::size_t aMost, std::size_t aMostBytes)
  : mostPerShard_(std::max<std::size_t>(aMost / kShards, 1))
  , mostBytesPerShard_(aMostBytes / kShards)
{
}

void HistoryBook::Record(const RequestRecord& aRecord)
{
  const std::size_t hash = std::hash<std::string_view>()(aRecord.id);
  Shard& shard = shards_[hash % kShards];
  const std::lock_guard<std::mutex> lock(shard.mutex);
  const auto found = shard.byId.find(aRecord.id);
  if (found != shard.byId.end()) {
    RequestRecord& known = *found->second;
    if (known.endedMs == 0 || aRecord.endedMs != 0) {
      // The map's key is a view of the known id, so it goes first.
      shard.byId.erase(found);
      shard.bytes += SizeOf(aRecord) - SizeOf(known); // May wrap around.
      known = aRecord;
      shard.byId.emplace(known.id, &known);
    }
    return;
  }
  const std::size_t bytes = SizeOf(aRecord);
  while (!shard.records.empty() && (shard.records.size() >= mostPerShard_ ||
                                    shard.bytes + bytes > mostBytesPerShard_)) {
    shard.bytes -= SizeOf(shard.records.front());
    shard.byId.erase(shard.records.front().id);
    shard.records.pop_front();
    ++evicted_;
  }
  shard.bytes += bytes;
  RequestRecord& added = shard.records.emplace_back(aRecord);
  shard.byId.emplace(added.id, &added);
}

std::vector<RequestRecord> HistoryBook::Query(const WhereQuery& aQuery) const
{
  std::vector<RequestRecord> found;
  for (const Shard& shard : shards_) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    std::size_t taken = 0;
    for (auto record = shard.records.rbegin();
         record != shard.records.rend() && taken < aQuery.most;
         ++record) {
      if (record->submittedMs >= aQuery.sinceMs &&
          record->submittedMs < aQuery.untilMs &&
          aQuery.selector.Matches(record->labels)) {
        found.push_back(*record);
        ++taken;
      }
    }
  }
  std::sort(found.begin(),
            found.end(),
            [](const RequestRecord& aLeft, const RequestRecord& aRight) {
              return aLeft.submittedMs != aRight.submittedMs
                       ? aLeft.submittedMs > aRight.submittedMs
                       : aLeft.id < aRight.id;
            });
  found.resize(std::min(found.size(), aQuery.most));
  return found;
}

}
