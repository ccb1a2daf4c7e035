#ifndef HEMLOCKHAVEN_SOAK_LEDGER_H
#define HEMLOCKHAVEN_SOAK_LEDGER_H

#include "hemlockhaven/core/Span.h"
#include "hemlockhaven/core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlockhaven::Soak {

//! A request as its caller saw it.
struct CallerRecord
{
  std::string id;
  std::size_t daemon = 0;
  std::size_t tasks = 0;
  unsigned attempt = 1; //!< A job sent again has the same id.
  TimePoint sent{};
  std::optional<TimePoint> ended;
  unsigned status = 0; //!< 0: no answer.
  std::string body;
};

//! A line that an endpoint wrote.
struct RunRecord
{
  std::string endpoint;
  std::string task;
  std::uint32_t run = 0;
  std::string event; //!< "began", or how it ended.
  TimePoint at{};
  std::optional<TimePoint> leaseEnd; //!< Of a lapsed run.
};

struct Period
{
  TimePoint from{};
  TimePoint until{};
};

//! One run of a task, from its begin to its real end.
struct RunSpan
{
  std::string endpoint;
  std::uint32_t run = 0;
  TimePoint from{};
  TimePoint until = TimePoint::max();
  std::string how; //!< Empty unless the endpoint wrote an end.
  std::optional<TimePoint> leaseEnd;
};

//! How often runs and jobs met what double runs need.
struct RunCounts
{
  std::size_t lapsed = 0;
  //! Of lapsed runs: between the end of the lease and the real end, at
  //! endpoints that were not paused then.
  Duration longestLapse{ 0 };
  std::size_t startsAfterLapse = 0;
  std::size_t startsAfterUnseenLapse = 0;
  //! Of the latter, between the end of the lapsed run (of its lease, if the
  //! endpoint was paused then) and the begin of the task's next one.
  std::optional<Duration> smallestMargin;
  std::size_t resent = 0;
  std::size_t resentWhileRunning = 0;
  std::size_t doubleRuns = 0;
  std::size_t excusedDoubleRuns = 0; //!< The stand-in had been paused.
};

//! What callers and endpoints saw, and the promises that it is held against.
class Ledger
{
public:
  void Add(CallerRecord aRecord);
  void Add(RunRecord aRecord) { runs_.push_back(std::move(aRecord)); }
  //! The endpoint's process was killed: its runs ended.
  void Killed(const std::string& aEndpoint, TimePoint aAt);
  //! The endpoint's process was paused, so that it could not end its runs.
  void Paused(const std::string& aEndpoint, const Period& aPeriod);
  //! Between these times the endpoint must get no starts.
  void Forbid(const std::string& aEndpoint, TimePoint aFrom, TimePoint aUntil);
  //! The daemon was told to stop, or killed, stopped or cut off then.
  void Told(std::size_t aDaemon, TimePoint aAt);
  void Disturbed(std::size_t aDaemon, TimePoint aAt);

  //! A promise was seen to be broken while the faults went on.
  void Broken(std::string aFault) { seen_.push_back(std::move(aFault)); }

  //! What was broken; empty: nothing.
  std::vector<std::string> Faults() const;

  std::size_t Requests() const { return requests_.size(); }
  std::size_t CountStatus(unsigned aStatus) const;
  //! What each caller saw, to trace a failure.
  Span<const CallerRecord> Callers() const { return requests_; }
  //! The hook says whether a leader took the lease of a job's run at an
  //! endpoint for lapsed without having been told.
  using UnseenHook =
    std::function<bool(const std::string& aJob, const std::string& aEndpoint)>;
  RunCounts CountRuns(const UnseenHook& aIsUnseen) const;

private:
  using SpansByTask = std::map<std::string, std::vector<RunSpan>>;

  //! All runs by task, in the order of their begins.
  SpansByTask Spans() const;
  //! The pause of the endpoint's process in which the run's lease ended.
  const Period* PauseAtLeaseEnd(const RunSpan& aRun) const;
  //! Whether both ran at some time; the first began first.
  bool Overlap(const RunSpan& aFirst, const RunSpan& aSecond) const;
  void CheckDoubleRuns(std::vector<std::string>& aFaults) const;
  void CheckAnswers(std::vector<std::string>& aFaults) const;
  void CheckForbidden(std::vector<std::string>& aFaults) const;
  void CheckShutdown(std::vector<std::string>& aFaults) const;

  std::vector<std::string> seen_;
  std::vector<CallerRecord> requests_;
  std::vector<RunRecord> runs_;
  std::map<std::string, std::vector<TimePoint>> kills_; //!< By endpoint.
  std::map<std::string, std::vector<Period>> pauses_;   //!< By endpoint.
  std::map<std::string, std::vector<Period>> forbidden_;
  std::map<std::size_t, std::vector<TimePoint>> told_;
  std::map<std::size_t, std::vector<TimePoint>> disturbed_;
};

}

#endif
