#ifndef HEMLOCKHAVEN_FUZZ_NODE_FAKELOG_H
#define HEMLOCKHAVEN_FUZZ_NODE_FAKELOG_H

#include "hemlockhaven/configuration/ConfigurationRecord.h"
#include "hemlockhaven/history/HistoryBatch.h"
#include "hemlockhaven/identity/ClaimBatch.h"
#include "hemlockhaven/platform/LogHooks.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace hemlockhaven::Fuzz {

//! The platform's log with outages, lost answers and retention.
class FakeLog
{
public:
  using Record = std::
    variant<ClaimBatch, ConfigurationChange, ConfigurationState, HistoryBatch>;

  //! aFate, a random number, decides whether the answer is lost.
  Result<LogOffset> Append(Record aRecord, std::uint32_t aFate);
  Result<LogPage> Read(LogOffset aFrom) const;
  const Record& At(const LogRecord& aRecord) const;

  void SetDown(bool aDown) { down_ = aDown; }
  LogOffset Next() const { return records_.size(); }
  //! Drops all but the newest records.
  void Retain(std::size_t aMost);

private:
  bool down_ = false;
  LogOffset start_ = 0;
  std::vector<Record> records_; //!< Also the dropped ones.
};

}

#endif
