#ifndef HEMLOCKHAVEN_SRC_HTTP_EXPOSITION_H
#define HEMLOCKHAVEN_SRC_HTTP_EXPOSITION_H

#include "hemlockhaven/metrics/Counters.h"
#include "hemlockhaven/metrics/Summaries.h"
#include "http/OperatorHooks.h"

#include <string>

namespace hemlockhaven {

//! Counters, gauges and summaries in the Prometheus text format 0.0.4. Times
//! are in seconds.
std::string WriteExposition(const Counters& aCounters,
                            const Summaries& aSummaries,
                            const NodeStatus& aStatus);

}

#endif
