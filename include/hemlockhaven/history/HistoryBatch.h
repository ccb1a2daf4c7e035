#ifndef HEMLOCKHAVEN_HISTORY_HISTORYBATCH_H
#define HEMLOCKHAVEN_HISTORY_HISTORYBATCH_H

#include "hemlockhaven/history/RequestRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockhaven {

//! One record of the log: what happened to requests at one daemon.
struct HistoryBatch
{
  std::string node;
  std::uint64_t lost = 0; //!< Records lost here since the last batch.
  std::vector<RequestRecord> records;
};

}

#endif
