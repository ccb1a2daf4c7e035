#ifndef HEMLOCKHAVEN_TESTS_SUPPORT_LOADREPLAY_H
#define HEMLOCKHAVEN_TESTS_SUPPORT_LOADREPLAY_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/SchedulerPolicy.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlockhaven::Testing {

//! One kind of work: its arrival rate and size.
struct LoadKind
{
  const char* name;
  double arrivalsPerSecond; //!< Of a base load of about 140 per second.
  double meanTasks;         //!< Mean number of tasks per job.
  double meanRunTimeMs;     //!< Per task, at speed 1.
  double cpuMillis;
  double value; //!< Value of a job of mean size.
};

//! Multiplies the arrival rate of one kind for a period.
struct LoadBurst
{
  std::size_t kind;
  double factor;
  double startSecond;
  double endSecond;
};

//! The arrivals of a period and the fleet, without faults, that serves them.
struct LoadPattern
{
  const char* name;
  std::array<LoadKind, 3> kinds;
  double arrivalsPerSecond;
  double seconds;
  std::vector<LoadBurst> bursts;
  std::size_t endpoints;
  std::vector<double> speeds;
  std::vector<std::int64_t> cpuMillis; //!< Assigned to the endpoints in turn.
};

//! Outcome of a replay, from the callers' point of view.
struct LoadResult
{
  double onTimeShare = 0;       //!< Value completed on time / value submitted.
  double worstWindowsShare = 0; //!< Mean of the two worst 2 s windows.
  double worstKindShare = 0;
  std::size_t submitted = 0;
  std::size_t refused = 0;
  std::size_t late = 0;
  std::size_t rejectedStarts = 0;     //!< Starts rejected for lack of capacity.
  std::size_t refusedImmediately = 0; //!< Within 30 ms of submission.
};

//! Simulates the pattern on one scheduler, with random numbers from aSeed.
LoadResult Replay(const LoadPattern& aPattern, std::uint64_t aSeed);

//! Formats the result, for example "in time 0.98, worst windows 0.91, ...".
std::string Describe(const LoadResult& aResult);

}

#endif
