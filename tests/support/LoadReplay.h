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
  std::uint32_t priority = 0;
};

//! Multiplies the arrival rate of one kind for a period, and its task counts.
struct LoadBurst
{
  std::size_t kind;
  double factor;
  double startSecond;
  double endSecond;
  double sizeFactor = 1;
};

//! Endpoints that leave 2 s after a notice.
struct LoadReclaim
{
  double share = 0; //!< Of the endpoints.
  double noticeSecond = 0;
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
  SchedulerPolicy policy = {};
  LoadReclaim reclaim = {};
};

//! Outcome of some of the jobs.
struct JobCounts
{
  std::size_t submitted = 0;
  std::size_t onTime = 0;
  std::size_t late = 0;
  std::size_t refused = 0;

  double OnTimeShare() const
  {
    return submitted == 0
             ? 1
             : static_cast<double>(onTime) / static_cast<double>(submitted);
  }
};

//! Outcome of one kind, in all and by size: the largest tenth of its jobs, the
//! fifth below it, and the rest.
struct KindResult
{
  JobCounts all;
  JobCounts rest;
  JobCounts fifth;
  JobCounts largest;
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
  std::size_t refusedAfterStart = 0;  //!< Refused although a task had run.
  std::array<KindResult, 3> kinds;
  //! Each answer with its time and Retry-After, to compare runs.
  std::string answers;
};

//! Simulates the pattern on one scheduler, with random numbers from aSeed.
LoadResult Replay(const LoadPattern& aPattern, std::uint64_t aSeed);

//! Formats the result, for example "in time 0.98, worst windows 0.91, ...".
std::string Describe(const LoadResult& aResult);

//! Formats the outcome by kind and size, for example
//! "tear-quote 0.98 (late 2, refused 10; rest 0.99, fifth 0.97, largest 0.9)".
std::string DescribeKinds(const LoadPattern& aPattern,
                          const LoadResult& aResult);

}

#endif
