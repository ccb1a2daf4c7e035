#ifndef HEMLOCKHAVEN_TESTS_SUPPORT_STEADYWORK_H
#define HEMLOCKHAVEN_TESTS_SUPPORT_STEADYWORK_H

#include "support/Cluster.h"

#include <cstddef>

namespace hemlockhaven::Testing {

//! Creates work. Every third one has a single task of 1.5 s, which is longer
//! than the detection of any fault takes; the others have two tasks of 0.1 s.
Work MakeWork(int aNumber);

//! Run time, at speed 1, of a task of work created by MakeWork.
Duration TaskRunTime(const TaskKey& aTask);

//! Options for six daemons in three zones that read a list of 12 endpoints with
//! different speeds.
Cluster::Options ListReadingClusterOptions(std::uint64_t aSeed);

//! Schedules the submission of aCount pieces of work, numbered from aFirst, one
//! per interval, to the daemons in turn. An interval of 25 ms keeps about half
//! of the endpoints busy.
void SubmitAtInterval(Cluster& aCluster,
                      int aFirst,
                      int aCount,
                      Duration aInterval);

//! Counts the completed pieces of work among the aCount numbered from aFirst.
std::size_t CountCompleted(const Cluster& aCluster, int aFirst, int aCount);

}

#endif
