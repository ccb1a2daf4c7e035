#ifndef HEMLOCKHAVEN_TESTS_SUPPORT_LOADREPLAY_H
#define HEMLOCKHAVEN_TESTS_SUPPORT_LOADREPLAY_H

#include "hemlockhaven/core/Time.h"
#include "hemlockhaven/scheduler/SchedulerPolicy.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlockhaven::Testing {

//! One kind of work: its share of the arrivals and its shape.
struct LoadKind
{
  const char* name;
  double arrivalsPerSecond; //!< Of a base load of about 140 a second.
  double meanTasks;         //!< Mean number of tasks.
  double meanRunTimeMs;     //!< Mean run time of a task at speed 1.
  double cpuMillis;
  double value; //!< Of the mean job.
};

//! More arrivals of one kind for a while.
struct LoadBurst
{
  std::size_t kind;
  double factor;
  double startSecond;
  double endSecond;
};

//! A day's arrivals on a fleet without faults.
struct LoadPattern
{
  const char* name;
  std::array<LoadKind, 3> kinds;
  double arrivalsPerSecond;
  double seconds;
  std::vector<LoadBurst> bursts;
  std::size_t endpoints;
  std::vector<double> speeds;
  std::vector<std::int64_t> cpuMillis; //!< Of the endpoints, in turn.
};

//! What callers got.
struct LoadResult
{
  double onTimeShare = 0;       //!< Worth answered in time / worth asked for.
  double worstWindowsShare = 0; //!< The same over the two worst spans of 2 s.
  double worstKindShare = 0;
  std::size_t submitted = 0;
  std::size_t refused = 0;
  std::size_t late = 0;
  std::size_t rejectedStarts = 0;     //!< Starts that found no room.
  std::size_t refusedImmediately = 0; //!< Within 30 ms.
};

//! Plays the pattern on one scheduler with fixed seeds.
LoadResult Replay(const LoadPattern& aPattern, std::uint64_t aSeed);

//! "in time 0.98, worst windows 0.91, ..."
std::string Describe(const LoadResult& aResult);

}

#endif
