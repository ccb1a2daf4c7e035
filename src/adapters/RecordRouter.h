#ifndef HEMLOCKHAVEN_SRC_ADAPTERS_RECORDROUTER_H
#define HEMLOCKHAVEN_SRC_ADAPTERS_RECORDROUTER_H

#include "hemlockhaven/configuration/ConfigurationStore.h"
#include "hemlockhaven/history/HistoryBatch.h"
#include "hemlockhaven/identity/ClaimLedger.h"
#include "hemlockhaven/platform/LogReader.h"

#include <functional>

namespace hemlockhaven {

//! Receivers of log records. Null pointers and empty functions are skipped.
struct RecordReceivers
{
  ClaimLedger* claims = nullptr;
  ConfigurationStore* configuration = nullptr;
  std::function<void(const HistoryBatch&)> history;
  //! Called for each record that cannot be decoded.
  std::function<void()> onUndecodableRecord;
};

//! Returns a subscriber that decodes each record once and passes it to its
//! receiver.
LogSubscriber RouteRecords(const RecordReceivers& aReceivers);

}

#endif
