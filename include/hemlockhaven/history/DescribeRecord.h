#ifndef HEMLOCKHAVEN_HISTORY_DESCRIBERECORD_H
#define HEMLOCKHAVEN_HISTORY_DESCRIBERECORD_H

#include "hemlockhaven/history/RequestRecord.h"

#include <cstdint>
#include <string>

namespace hemlockhaven {

//! One plain sentence about a request, from its labels alone, for a person
//! without training. Times are local: UTC plus aZoneMinutes.
std::string DescribeRecord(const RequestRecord& aRecord,
                           std::int64_t aNowMs,
                           int aZoneMinutes = 0);

}

#endif
