#ifndef HEMLOCKHAVEN_HISTORY_HISTORYBOOK_H
#define HEMLOCKHAVEN_HISTORY_HISTORYBOOK_H

#include "hemlockhaven/history/RequestRecord.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockhaven {

//! What happened to the newest requests. Thread-safe; in shards by id.
class HistoryBook
{
public:
  static constexpr std::size_t kDefaultRecords = 20000;
  static constexpr std::size_t kDefaultBytes = std::size_t{ 16 } << 20U;

  //! The oldest records make room for newer ones beyond either bound.
  explicit HistoryBook(std::size_t aMost = kDefaultRecords,
                       std::size_t aMostBytes = kDefaultBytes);

  //! Adds the record or replaces the one with the same id. A record that is
  //! over is not replaced by one that is not.
  void Record(const RequestRecord& aRecord);

  //! The matching records, newest submission first.
  std::vector<RequestRecord> Query(const WhereQuery& aQuery) const;

  //! Records that made room for newer ones.
  std::uint64_t EvictedCount() const { return evicted_; }

private:
  static constexpr std::size_t kShards = 16;

  struct Shard
  {
    mutable std::mutex mutex;
    std::deque<RequestRecord> records;
    std::size_t bytes = 0; //!< Of the records, approximately.
    //! Views into the ids of records; elements of a deque do not move.
    std::unordered_map<std::string_view, RequestRecord*> byId;
  };

  std::size_t mostPerShard_;
  std::size_t mostBytesPerShard_;
  std::atomic<std::uint64_t> evicted_{ 0 };
  std::array<Shard, kShards> shards_;
};

}

#endif
