#ifndef HEMLOCKHAVEN_SRC_ADAPTERS_RECORDROUTER_H
#define HEMLOCKHAVEN_SRC_ADAPTERS_RECORDROUTER_H

#include "hemlockhaven/configuration/ConfigurationStore.h"
#include "hemlockhaven/history/HistoryBatch.h"
#include "hemlockhaven/identity/ClaimLedger.h"
#include "hemlockhaven/platform/LogReader.h"

#include <functional>

namespace hemlockhaven {

//! Receivers of the log's records; null or empty ones get nothing.
struct RecordReceivers
{
  ClaimLedger* claims = nullptr;
  ConfigurationStore* configuration = nullptr;
  std::function<void(const HistoryBatch&)> history;
  std::function<void()>
    onUndecodableRecord; //!< For each record that is not understood.
};

//! A subscriber that decodes each record once and hands it to its receiver.
LogSubscriber RouteRecords(const RecordReceivers& aReceivers);

}

#endif
