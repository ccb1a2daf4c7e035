#ifndef HEMLOCKHAVEN_SOAK_LEDGER_H
#define HEMLOCKHAVEN_SOAK_LEDGER_H

#include "hemlockhaven/core/Time.h"

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
};

//! What callers and endpoints saw, and the promises that it is held against.
class Ledger
{
public:
  void Add(CallerRecord aRecord);
  void Add(RunRecord aRecord) { runs_.push_back(std::move(aRecord)); }
  //! The endpoint's process was killed: its runs ended.
  void Killed(const std::string& aEndpoint, TimePoint aAt);
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

private:
  void CheckDoubleRuns(std::vector<std::string>& aFaults) const;
  void CheckAnswers(std::vector<std::string>& aFaults) const;
  void CheckForbidden(std::vector<std::string>& aFaults) const;
  void CheckShutdown(std::vector<std::string>& aFaults) const;

  struct Period
  {
    TimePoint from{};
    TimePoint until{};
  };

  std::vector<std::string> seen_;
  std::vector<CallerRecord> requests_;
  std::vector<RunRecord> runs_;
  std::map<std::string, std::vector<TimePoint>> kills_; //!< By endpoint.
  std::map<std::string, std::vector<Period>> forbidden_;
  std::map<std::size_t, std::vector<TimePoint>> told_;
  std::map<std::size_t, std::vector<TimePoint>> disturbed_;
};

}

#endif
