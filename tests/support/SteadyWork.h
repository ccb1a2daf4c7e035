#ifndef HEMLOCKHAVEN_TESTS_SUPPORT_STEADYWORK_H
#define HEMLOCKHAVEN_TESTS_SUPPORT_STEADYWORK_H

#include "support/Cluster.h"

#include <cstddef>

namespace hemlockhaven::Testing {

//! Every third work has one task of 1.5 s, which outlives the detection of any
//! fault; the others have two of 0.1 s.
Work MakeWork(int aNumber);

//! The run time at speed 1 of a task of such work.
Duration TaskRunTime(const TaskKey& aTask);

//! Six daemons in three zones, which read the list of 12 endpoints of several
//! speeds.
Cluster::Options ListReadingClusterOptions(std::uint64_t aSeed);

//! Hands in the works from aFirst on, one at each interval, at the daemons in
//! turn. One each 25 ms keeps about half of the endpoints busy.
void SubmitAtInterval(Cluster& aCluster,
                      int aFirst,
                      int aCount,
                      Duration aInterval);

//! How many works from aFirst on have been completed.
std::size_t CountCompleted(const Cluster& aCluster, int aFirst, int aCount);

}

#endif
