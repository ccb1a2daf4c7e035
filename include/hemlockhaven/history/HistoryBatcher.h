#ifndef HEMLOCKHAVEN_HISTORY_HISTORYBATCHER_H
#define HEMLOCKHAVEN_HISTORY_HISTORYBATCHER_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/history/HistoryBatch.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hemlockhaven {

//! Collects records for the log within its share of appends. Thread-safe.
class HistoryBatcher
{
public:
  //! At most one batch a second and 100 records a batch (design page, 4.6).
  static constexpr std::size_t kMostRecords = 100;
  static constexpr Duration kInterval = std::chrono::seconds(1);

  HistoryBatcher(std::string aNode, Clock aClock);

  //! Adds a record that is over; counted as lost if the batch is full.
  void Add(const RequestRecord& aRecord);

  //! The batch to append now, if one is due.
  std::optional<HistoryBatch> TakeBatch();

  //! The append of a batch failed: its records count as lost.
  void BatchFailed(const HistoryBatch& aBatch);

  //! Records that did not reach the log.
  std::uint64_t LostCount() const;

private:
  std::string node_;
  Clock clock_;
  mutable std::mutex mutex_; //!< Guards all members below.
  std::vector<RequestRecord> records_;
  TimePoint nextBatch_;
  std::uint64_t lost_ = 0;
  std::uint64_t reported_ = 0; //!< Part of lost_ that a batch has told.
};

}

#endif
