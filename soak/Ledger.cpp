#include "soak/Ledger.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hemlockhaven::Soak {

namespace {

//! Clocks of endpoints may run 2% slow in a lease of at most a second.
constexpr Duration kClockSlack{ 20000 };
//! A request that was sent this long before SIGTERM has reached the daemon.
constexpr Duration kArrival{ 50000 };

std::string WorkOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

}

void Ledger::Add(CallerRecord aRecord)
{
  requests_.push_back(std::move(aRecord));
}

void Ledger::Killed(const std::string& aEndpoint, TimePoint aAt)
{
  kills_[aEndpoint].push_back(aAt);
}

void Ledger::Forbid(const std::string& aEndpoint,
                    TimePoint aFrom,
                    TimePoint aUntil)
{
  forbidden_[aEndpoint].push_back({ aFrom, aUntil });
}

void Ledger::Told(std::size_t aDaemon, TimePoint aAt)
{
  told_[aDaemon].push_back(aAt);
}

void Ledger::Disturbed(std::size_t aDaemon, TimePoint aAt)
{
  disturbed_[aDaemon].push_back(aAt);
}

std::vector<std::string> Ledger::Faults() const
{
  std::vector<std::string> faults = seen_;
  CheckDoubleRuns(faults);
  CheckAnswers(faults);
  CheckForbidden(faults);
  CheckShutdown(faults);
  return faults;
}

std::size_t Ledger::CountStatus(unsigned aStatus) const
{
  return static_cast<std::size_t>(std::count_if(
    requests_.begin(), requests_.end(), [aStatus](const CallerRecord& aRecord) {
      return aRecord.status == aStatus;
    }));
}

void Ledger::CheckDoubleRuns(std::vector<std::string>& aFaults) const
{
  // Each run's begin and end, by task.
  std::map<std::string, std::vector<std::pair<Period, std::string>>> spans;
  std::map<std::pair<std::string, std::string>, std::size_t> open;
  for (const RunRecord& record : runs_) {
    auto& ofTask = spans[record.task];
    const auto key = std::make_pair(record.endpoint, record.task);
    if (record.event == "began") {
      TimePoint until = TimePoint::max();
      const auto kills = kills_.find(record.endpoint);
      if (kills != kills_.end()) {
        for (const TimePoint kill : kills->second) {
          if (kill >= record.at) {
            until = std::min(until, kill);
          }
        }
      }
      open[key] = ofTask.size();
      ofTask.push_back({ { record.at, until }, record.endpoint });
    } else if (open.count(key) != 0) {
      Period& period = ofTask[open[key]].first;
      period.until = std::min(period.until, record.at);
      open.erase(key);
    }
  }
  for (auto& [task, ofTask] : spans) {
    std::sort(
      ofTask.begin(), ofTask.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first.from < aRight.first.from;
      });
    for (std::size_t i = 1; i < ofTask.size(); ++i) {
      const auto& [before, beforeAt] = ofTask[i - 1];
      const auto& [next, nextAt] = ofTask[i];
      if (next.from + kClockSlack < before.until) {
        std::string fault = "task ";
        fault.append(task).append(" ran twice at once, at ");
        aFaults.push_back(
          fault.append(beforeAt).append(" and ").append(nextAt));
      }
    }
  }
}

void Ledger::CheckAnswers(std::vector<std::string>& aFaults) const
{
  std::map<std::string, std::set<std::string>> done;
  std::set<std::string> began;
  for (const RunRecord& record : runs_) {
    const std::string work = WorkOf(record.task);
    began.insert(work);
    if (record.event == "done") {
      done[work].insert(record.task);
    }
  }
  for (const CallerRecord& request : requests_) {
    if (request.status == 200 &&
        request.body.find("completed") != std::string::npos) {
      const auto found = done.find(request.id);
      if (found == done.end() || found->second.size() != request.tasks) {
        aFaults.push_back("job " + request.id +
                          " was called completed without the end of all tasks");
      }
    }
    if ((request.status == 429 || request.status == 503) &&
        began.count(request.id) != 0) {
      aFaults.push_back("job " + request.id + " was refused with status " +
                        std::to_string(request.status) + ", but has run");
    }
  }
}

void Ledger::CheckForbidden(std::vector<std::string>& aFaults) const
{
  for (const RunRecord& record : runs_) {
    const auto found = forbidden_.find(record.endpoint);
    if (record.event != "began" || found == forbidden_.end()) {
      continue;
    }
    for (const Period& period : found->second) {
      if (record.at > period.from && record.at < period.until) {
        aFaults.push_back("task " + record.task + " began at " +
                          record.endpoint + ", which drains");
      }
    }
  }
}

void Ledger::CheckShutdown(std::vector<std::string>& aFaults) const
{
  for (const CallerRecord& request : requests_) {
    const auto told = told_.find(request.daemon);
    if (request.status != 0 || told == told_.end()) {
      continue;
    }
    for (const TimePoint at : told->second) {
      const bool waited =
        request.sent + kArrival < at && (!request.ended || *request.ended > at);
      const auto disturbed = disturbed_.find(request.daemon);
      const bool excused =
        disturbed != disturbed_.end() &&
        std::any_of(disturbed->second.begin(),
                    disturbed->second.end(),
                    [&request](TimePoint aAt) {
                      return aAt > request.sent &&
                             (!request.ended || aAt < *request.ended);
                    });
      if (waited && !excused) {
        aFaults.push_back("job " + request.id +
                          " got no answer from a daemon that was stopping");
      }
    }
  }
}

}
