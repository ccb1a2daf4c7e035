#include "support/LoadReplay.h"

#include "support/Cluster.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <sstream>
#include <unordered_map>
#include <unordered_set>

namespace hemlockhaven::Testing {

namespace {

//! Log-normal sigma of run times, task counts and estimates, from the users'
//! site files.
constexpr double kLogNormalSigma = 0.4;
constexpr double kCpuLogNormalSigma = 0.2;
//! Maximum relative deviation of a task's run time from its job's mean.
constexpr double kTaskSpread = 0.15;
constexpr double kStretch = 1.6;
constexpr Duration kTargetLatency{ 60000 };

struct Job
{
  std::size_t kind = 0;
  double meanRunTimeMs = 0; //!< Mean over the job's tasks.
  double longestTaskMs = 0; //!< Run time of the longest task.
  double value = 0;
  double size = 0; //!< Core time.
  TimePoint sent{};
};

class LoadSimulation
{
public:
  LoadSimulation(const LoadPattern& aPattern, std::uint64_t aSeed)
    : pattern_(aPattern)
    , dice_(aSeed)
    , cluster_(MakeOptions(aPattern, aSeed))
  {
    cluster_.work = [this](const TaskKey& aTask) {
      startedJobs_.insert(aTask.workId);
      // Seeded by task, so that all runs of a task take equally long.
      Dice dice(std::hash<std::string>()(aTask.workId) + aTask.index);
      const double factor = 1 + kTaskSpread * (2 * dice.NextShare() - 1);
      return Duration(static_cast<std::int64_t>(
        jobs_[aTask.workId].meanRunTimeMs * factor * 1000));
    };
    for (std::size_t i = 0; i < aPattern.endpoints; ++i) {
      cluster_.SetCapacity(
        i, { aPattern.cpuMillis[i % aPattern.cpuMillis.size()], 65536, 0 });
    }
    cluster_.ListEndpoints();
  }

  LoadResult Run()
  {
    const TimePoint begin = cluster_.Time().Now();
    double at = 0;
    std::size_t number = 0;
    while (at < pattern_.seconds) {
      const std::size_t kind = DrawArrival(at);
      if (at >= pattern_.seconds) {
        break;
      }
      const TimePoint time =
        begin + Duration(static_cast<std::int64_t>(at * 1e6));
      cluster_.Time().ScheduleAt(time, [this, kind, number, at] {
        SubmitJob(kind, number, SizeFactorAt(kind, at));
      });
      ++number;
    }
    ScheduleReclaim(begin);
    constexpr Duration kDrainTime{ 8000000 };
    cluster_.Time().RunFor(
      Duration(static_cast<std::int64_t>(pattern_.seconds * 1e6)) + kDrainTime);
    return ComputeResult(begin);
  }

private:
  static Cluster::Options MakeOptions(const LoadPattern& aPattern,
                                      std::uint64_t aSeed)
  {
    Cluster::Options options;
    options.endpoints = aPattern.endpoints;
    options.speeds = aPattern.speeds;
    options.seed = aSeed;
    options.policy = aPattern.policy;
    return options;
  }

  //! Run time of a task; the same for all of its runs.
  static double TaskMs(const std::string& aId,
                       std::uint32_t aIndex,
                       double aMeanMs)
  {
    Dice dice(std::hash<std::string>()(aId) + aIndex);
    return aMeanMs * (1 + kTaskSpread * (2 * dice.NextShare() - 1));
  }

  void ScheduleReclaim(TimePoint aBegin)
  {
    const auto count = static_cast<std::size_t>(
      pattern_.reclaim.share * static_cast<double>(pattern_.endpoints));
    if (count == 0) {
      return;
    }
    const TimePoint notice =
      aBegin +
      Duration(static_cast<std::int64_t>(pattern_.reclaim.noticeSecond * 1e6));
    std::set<std::size_t> reclaimed;
    for (std::size_t i = 0; i < count; ++i) {
      reclaimed.insert(i * pattern_.endpoints / count);
    }
    cluster_.Time().ScheduleAt(
      notice, [this, reclaimed] { cluster_.ListEndpoints(reclaimed); });
    cluster_.Time().ScheduleAt(notice + Duration(2000000), [this, reclaimed] {
      for (const std::size_t endpoint : reclaimed) {
        cluster_.CrashEndpoint(endpoint);
      }
    });
  }

  double SizeFactorAt(std::size_t aKind, double aSecond) const
  {
    double factor = 1;
    for (const LoadBurst& burst : pattern_.bursts) {
      if (burst.kind == aKind && aSecond >= burst.startSecond &&
          aSecond < burst.endSecond) {
        factor *= burst.sizeFactor;
      }
    }
    return factor;
  }

  double RateAt(std::size_t aKind, double aSecond) const
  {
    double sum = 0;
    for (const LoadKind& kind : pattern_.kinds) {
      sum += kind.arrivalsPerSecond;
    }
    double rate = pattern_.arrivalsPerSecond *
                  pattern_.kinds.at(aKind).arrivalsPerSecond / sum;
    for (const LoadBurst& burst : pattern_.bursts) {
      if (burst.kind == aKind && aSecond >= burst.startSecond &&
          aSecond < burst.endSecond) {
        rate *= burst.factor;
      }
    }
    return rate;
  }

  //! Advances aSecond to the next arrival and draws its kind.
  std::size_t DrawArrival(double& aSecond)
  {
    double rate = 0;
    for (std::size_t kind = 0; kind < pattern_.kinds.size(); ++kind) {
      rate += RateAt(kind, aSecond);
    }
    aSecond += -std::log(1 - dice_.NextShare()) / rate;
    double pick = dice_.NextShare() * rate;
    for (std::size_t kind = 0; kind < pattern_.kinds.size(); ++kind) {
      pick -= RateAt(kind, aSecond);
      if (pick < 0) {
        return kind;
      }
    }
    return pattern_.kinds.size() - 1;
  }

  //! Draws from a log-normal distribution, capped at four times the mean.
  double DrawLogNormal(double aMean, double aSpread)
  {
    const double angle = 6.283185307179586 * dice_.NextShare();
    const double normal =
      std::sqrt(-2 * std::log(1 - dice_.NextShare())) * std::cos(angle);
    return std::min(4 * aMean,
                    aMean * std::exp(aSpread * normal - aSpread * aSpread / 2));
  }

  void SubmitJob(std::size_t aKind, std::size_t aNumber, double aSizeFactor)
  {
    const LoadKind& kind = pattern_.kinds.at(aKind);
    Work work;
    work.id = "j" + std::to_string(aNumber);
    work.kind = kind.name;
    work.priority = kind.priority;
    WorkStep step;
    step.count = static_cast<std::uint32_t>(
      std::max(1.0,
               std::round(DrawLogNormal(aSizeFactor * kind.meanTasks,
                                        kLogNormalSigma))));
    step.taskResources.cpuMillis = static_cast<std::int64_t>(
      DrawLogNormal(kind.cpuMillis, kCpuLogNormalSigma));
    step.taskResources.memoryMb = 64;
    Job job;
    job.kind = aKind;
    job.meanRunTimeMs = DrawLogNormal(kind.meanRunTimeMs, kLogNormalSigma);
    for (std::uint32_t index = 0; index < step.count; ++index) {
      job.longestTaskMs =
        std::max(job.longestTaskMs, TaskMs(work.id, index, job.meanRunTimeMs));
    }
    step.estimate = Duration(static_cast<std::int64_t>(
      DrawLogNormal(job.meanRunTimeMs, kLogNormalSigma) * 1000));
    const double size =
      step.count * job.meanRunTimeMs / (kind.meanTasks * kind.meanRunTimeMs);
    job.value = kind.value * std::min(4.0, 0.3 + 0.7 * size);
    job.size = step.count * job.meanRunTimeMs *
               static_cast<double>(step.taskResources.cpuMillis);
    job.sent = cluster_.Time().Now();
    work.steps.push_back(std::move(step));
    work.attempts = 3;
    work.stretch = kStretch;
    work.targetLatency = kTargetLatency;
    work.callerTimeout = Duration(4000000);
    jobs_[work.id] = job;
    cluster_.Submit(0, std::move(work));
  }

  //! The sizes from which on the jobs of a kind are in its largest 0.3 and in
  //! its largest 0.1.
  std::pair<double, double> SizeLimits(std::size_t aKind) const
  {
    std::vector<double> sizes;
    for (const auto& [id, job] : jobs_) {
      if (job.kind == aKind) {
        sizes.push_back(job.size);
      }
    }
    if (sizes.empty()) {
      return { 0, 0 };
    }
    std::sort(sizes.begin(), sizes.end());
    return { sizes[sizes.size() * 7 / 10], sizes[sizes.size() * 9 / 10] };
  }

  static void Count(JobCounts& aCounts, bool aCompleted, bool aOnTime)
  {
    ++aCounts.submitted;
    aCounts.onTime += aOnTime ? 1 : 0;
    aCounts.late += aCompleted && !aOnTime ? 1 : 0;
    aCounts.refused += aCompleted ? 0 : 1;
  }

  LoadResult ComputeResult(TimePoint aBegin)
  {
    LoadResult result;
    std::array<std::pair<double, double>, 3> sizeLimits;
    for (std::size_t kind = 0; kind < sizeLimits.size(); ++kind) {
      sizeLimits.at(kind) = SizeLimits(kind);
    }
    for (const auto& [id, answer] : cluster_.Answers()) {
      result.answers += id + ' ' + answer.answer.reason + ' ' +
                        std::to_string(answer.answer.retryAfter.count()) + ' ' +
                        std::to_string(answer.latency.count()) + '\n';
    }
    std::array<double, 3> submittedValue{};
    std::array<double, 3> onTimeValue{};
    std::map<std::int64_t, std::pair<double, double>> windows;
    for (const auto& [id, job] : jobs_) {
      const double objectiveMs =
        job.longestTaskMs * kStretch +
        static_cast<double>(kTargetLatency.count()) / 1000;
      const auto answer = cluster_.Answers().find(id);
      const bool completed =
        answer != cluster_.Answers().end() &&
        answer->second.answer.outcome == CallerOutcome::Completed;
      const double tookMs =
        completed ? static_cast<double>(answer->second.latency.count()) / 1000
                  : 0;
      const bool onTime = completed && tookMs <= objectiveMs;
      ++result.submitted;
      result.late += completed && !onTime ? 1 : 0;
      if (answer != cluster_.Answers().end() && !completed) {
        ++result.refused;
        constexpr Duration kImmediate{ 30000 };
        result.refusedImmediately +=
          answer->second.latency <= kImmediate ? 1 : 0;
      }
      result.refusedAfterStart +=
        answer != cluster_.Answers().end() &&
            answer->second.answer.outcome == CallerOutcome::Overloaded
          ? startedJobs_.count(id)
          : 0;
      KindResult& kind = result.kinds.at(job.kind);
      const auto& [fifth, tenth] = sizeLimits.at(job.kind);
      Count(kind.all, completed, onTime);
      Count(job.size >= tenth   ? kind.largest
            : job.size >= fifth ? kind.fifth
                                : kind.rest,
            completed,
            onTime);
      auto& window = windows[(job.sent - aBegin) / Duration(2000000)];
      const double earnedValue = onTime ? job.value : 0;
      submittedValue.at(job.kind) += job.value;
      onTimeValue.at(job.kind) += earnedValue;
      window.first += job.value;
      window.second += earnedValue;
    }
    double submittedSum = 0;
    double onTimeSum = 0;
    result.worstKindShare = 1;
    for (std::size_t kind = 0; kind < submittedValue.size(); ++kind) {
      submittedSum += submittedValue.at(kind);
      onTimeSum += onTimeValue.at(kind);
      result.worstKindShare = std::min(
        result.worstKindShare, onTimeValue.at(kind) / submittedValue.at(kind));
    }
    result.onTimeShare = onTimeSum / submittedSum;
    std::vector<double> shares;
    shares.reserve(windows.size());
    for (const auto& [number, window] : windows) {
      shares.push_back(window.second / window.first);
    }
    std::sort(shares.begin(), shares.end());
    result.worstWindowsShare = (shares[0] + shares[1]) / 2;
    result.rejectedStarts = cluster_.RejectedStartCount();
    return result;
  }

  const LoadPattern& pattern_;
  Dice dice_;
  std::unordered_map<std::string, Job> jobs_;
  std::unordered_set<std::string> startedJobs_;
  Cluster cluster_;
};

}

LoadResult Replay(const LoadPattern& aPattern, std::uint64_t aSeed)
{
  return LoadSimulation(aPattern, aSeed).Run();
}

std::string Describe(const LoadResult& aResult)
{
  std::ostringstream text;
  text << "in time " << aResult.onTimeShare << ", worst windows "
       << aResult.worstWindowsShare << ", worst kind " << aResult.worstKindShare
       << ", submitted " << aResult.submitted << ", refused " << aResult.refused
       << ", late " << aResult.late << ", rejected starts "
       << aResult.rejectedStarts << ", refused immediately "
       << aResult.refusedImmediately;
  return text.str();
}

std::string DescribeKinds(const LoadPattern& aPattern,
                          const LoadResult& aResult)
{
  std::ostringstream text;
  text.precision(3);
  for (std::size_t i = 0; i < aResult.kinds.size(); ++i) {
    const KindResult& kind = aResult.kinds.at(i);
    text << (i > 0 ? ", " : "") << aPattern.kinds.at(i).name << ' '
         << kind.all.OnTimeShare() << " (late " << kind.all.late << ", refused "
         << kind.all.refused << "; rest " << kind.rest.OnTimeShare()
         << ", fifth " << kind.fifth.OnTimeShare() << ", largest "
         << kind.largest.OnTimeShare() << ')';
  }
  return text.str();
}

}
