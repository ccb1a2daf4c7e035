#ifndef HEMLOCKHAVEN_SRC_ADAPTERS_RECORDCODEC_H
#define HEMLOCKHAVEN_SRC_ADAPTERS_RECORDCODEC_H

#include "hemlockhaven/configuration/ConfigurationRecord.h"
#include "hemlockhaven/history/HistoryBatch.h"
#include "hemlockhaven/identity/ClaimBatch.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace hemlockhaven {

//! Content of a log record. A ConfigurationState is a snapshot.
using PlatformRecord = std::
  variant<ClaimBatch, ConfigurationChange, ConfigurationState, HistoryBatch>;

//! Encodes a record as JSON of the form {"v": 1, "type": ..., ...}. A record
//! with an invalid configuration document is malformed, for all readers alike.
std::string EncodeRecord(const PlatformRecord& aRecord);

//! Returns nullopt if the version or type is unknown or the record is
//! malformed.
std::optional<PlatformRecord> DecodeRecord(std::string_view aData);

}

#endif
