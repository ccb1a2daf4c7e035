#include "soak/Ledger.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hemlockhaven::Soak {

namespace {

//! The platform's bound for the end of a run that is stopped. A paused process
//! has ended its lapsed runs that long after the pause.
constexpr Duration kStopTimeout{ 50000 };
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

void Ledger::Paused(const std::string& aEndpoint, const Period& aPeriod)
{
  pauses_[aEndpoint].push_back(aPeriod);
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

Ledger::SpansByTask Ledger::Spans() const
{
  SpansByTask spans;
  std::map<std::pair<std::string, std::string>, std::size_t> open;
  for (const RunRecord& record : runs_) {
    auto& ofTask = spans[record.task];
    const auto key = std::make_pair(record.endpoint, record.task);
    if (record.event == "began") {
      RunSpan span;
      span.endpoint = record.endpoint;
      span.run = record.run;
      span.from = record.at;
      const auto kills = kills_.find(record.endpoint);
      if (kills != kills_.end()) {
        for (const TimePoint kill : kills->second) {
          if (kill >= record.at) {
            span.until = std::min(span.until, kill);
          }
        }
      }
      open[key] = ofTask.size();
      ofTask.push_back(std::move(span));
    } else if (open.count(key) != 0) {
      RunSpan& span = ofTask[open[key]];
      span.until = std::min(span.until, record.at);
      span.how = record.event;
      span.leaseEnd = record.leaseEnd;
      open.erase(key);
    }
  }
  for (auto& [task, ofTask] : spans) {
    std::sort(ofTask.begin(),
              ofTask.end(),
              [](const RunSpan& aLeft, const RunSpan& aRight) {
                return aLeft.from < aRight.from;
              });
  }
  return spans;
}

const Period* Ledger::PauseAtLeaseEnd(const RunSpan& aRun) const
{
  const auto found = pauses_.find(aRun.endpoint);
  if (!aRun.leaseEnd || found == pauses_.end()) {
    return nullptr;
  }
  const auto pause = std::find_if(
    found->second.begin(), found->second.end(), [&aRun](const Period& aPause) {
      return aPause.from <= *aRun.leaseEnd && *aRun.leaseEnd <= aPause.until;
    });
  return pause == found->second.end() ? nullptr : &*pause;
}

bool Ledger::Overlap(const RunSpan& aFirst, const RunSpan& aSecond) const
{
  if (aSecond.from >= aFirst.until) {
    return false;
  }
  const Period* pause = PauseAtLeaseEnd(aFirst);
  if (pause == nullptr || aSecond.from < *aFirst.leaseEnd) {
    return true;
  }
  // An endpoint whose process stands still cannot end the run with its lease,
  // as one that is up does. What it runs on after that counts.
  return aFirst.until > pause->until + kStopTimeout &&
         aSecond.until > pause->until + kStopTimeout;
}

void Ledger::CheckDoubleRuns(std::vector<std::string>& aFaults) const
{
  for (const auto& [task, ofTask] : Spans()) {
    for (std::size_t second = 1; second < ofTask.size(); ++second) {
      for (std::size_t first = 0; first < second; ++first) {
        if (Overlap(ofTask[first], ofTask[second])) {
          std::string fault = "task ";
          fault.append(task).append(" ran twice at once, at ");
          fault.append(ofTask[first].endpoint).append(" and ");
          aFaults.push_back(fault.append(ofTask[second].endpoint));
        }
      }
    }
  }
}

RunCounts Ledger::CountRuns(const UnseenHook& aIsUnseen) const
{
  RunCounts counts;
  const SpansByTask spans = Spans();
  std::map<std::string, std::vector<Period>> runsOfJob;
  for (const auto& [task, ofTask] : spans) {
    for (std::size_t i = 0; i < ofTask.size(); ++i) {
      const RunSpan& run = ofTask[i];
      runsOfJob[WorkOf(task)].push_back({ run.from, run.until });
      for (std::size_t first = 0; first < i; ++first) {
        if (Overlap(ofTask[first], run)) {
          ++counts.doubleRuns;
        } else if (run.from < ofTask[first].until) {
          ++counts.excusedDoubleRuns;
        }
      }
      if (!run.leaseEnd) {
        continue;
      }
      ++counts.lapsed;
      if (PauseAtLeaseEnd(run) == nullptr) {
        counts.longestLapse = std::max(
          counts.longestLapse,
          std::chrono::duration_cast<Duration>(run.until - *run.leaseEnd));
      }
      if (i + 1 < ofTask.size()) {
        ++counts.startsAfterLapse;
        if (!aIsUnseen(WorkOf(task), run.endpoint)) {
          continue;
        }
        ++counts.startsAfterUnseenLapse;
        const TimePoint end =
          PauseAtLeaseEnd(run) == nullptr ? run.until : *run.leaseEnd;
        const auto margin =
          std::chrono::duration_cast<Duration>(ofTask[i + 1].from - end);
        counts.smallestMargin =
          std::min(margin, counts.smallestMargin.value_or(margin));
      }
    }
  }
  for (const CallerRecord& request : requests_) {
    if (request.attempt == 1) {
      continue;
    }
    ++counts.resent;
    const std::vector<Period>& runs = runsOfJob[request.id];
    counts.resentWhileRunning += static_cast<std::size_t>(
      std::any_of(runs.begin(), runs.end(), [&request](const Period& aRun) {
        return aRun.from < request.sent && request.sent < aRun.until;
      }));
  }
  return counts;
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
  }
  // A job that was sent again is refused only if all its attempts were.
  std::map<std::string, bool> isRefused;
  for (const CallerRecord& request : requests_) {
    const bool isRejected = request.status == 429 || request.status == 503;
    const auto added = isRefused.emplace(request.id, isRejected).first;
    added->second = added->second && isRejected;
  }
  for (const auto& [id, refused] : isRefused) {
    if (refused && began.count(id) != 0) {
      aFaults.push_back("job " + id + " was refused, but has run");
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
